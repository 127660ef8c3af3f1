use super::*;

/// A stand-in for one upstream.
#[derive(Debug)]
pub(crate) struct Runner {
    announcement: Announcement,
    client: Client,
    service_time: Duration,
    busy: AtomicU32,
    runs: AtomicU64,
}

/// Runners in a rack.
const RUNNERS_PER_RACK: u32 = 4;

/// Connections that a runner says it accepts.
const CONNECTIONS: u32 = 64;

/// Between renewals.
const RENEWAL: Duration = Duration::from_millis(500);

/// Threads of a runner beyond its slots, to refuse on.
const SPARE_THREADS: u32 = 2;

impl Runner {
    /// Starts the runner `number` and returns once it listens.
    pub(crate) fn start(settings: &Upstreams, number: u32) -> eyre::Result<Arc<Self>> {
        let server = tiny_http::Server::http("127.0.0.1:0").map_err(|error| eyre::eyre!(error))?;
        let address = server.server_addr().to_string();
        let announcement = Announcement {
            instance: format!("{}-{number}", settings.service).into(),
            service: settings.service.as_str().into(),
            address: address.into(),
            slots: settings.slots,
            connections: CONNECTIONS,
            incarnation: u64::from(std::process::id()),
            location: Location {
                region: "local".into(),
                data_center: "local-a".into(),
                rack: format!("rack-{}", number / RUNNERS_PER_RACK).into(),
            },
            labels: Labels::default(),
        };
        let runner = Arc::new(Self {
            announcement,
            client: Client::new(&settings.daemon, number as usize),
            service_time: Duration::from_millis(settings.service_time_ms),
            busy: AtomicU32::new(0),
            runs: AtomicU64::new(0),
        });
        runner.clone().listen(Arc::new(server), settings.slots + SPARE_THREADS);
        thread::spawn({
            let runner = runner.clone();
            move || runner.renew()
        });
        Ok(runner)
    }

    /// Tells the daemons that the runner takes no new work.
    pub(crate) fn leave(&self) {
        self.client.call("leave", &self.start_id());
    }

    fn listen(self: Arc<Self>, server: Arc<tiny_http::Server>, threads: u32) {
        for _ in 0..threads {
            let (runner, server) = (self.clone(), server.clone());
            thread::spawn(move || {
                while let Ok(request) = server.recv() {
                    runner.answer(request);
                }
            });
        }
    }

    fn renew(&self) {
        loop {
            if !self.client.call("renew", &self.start_id()) {
                self.client.call("announce", &self.announcement);
            }
            thread::sleep(RENEWAL);
        }
    }

    fn start_id(&self) -> serde_json::Value {
        let Announcement { instance, incarnation, .. } = &self.announcement;
        serde_json::json!({ "instance": instance, "incarnation": incarnation })
    }

    fn answer(&self, mut request: tiny_http::Request) {
        if self.busy.fetch_add(1, Ordering::AcqRel) >= self.announcement.slots {
            self.busy.fetch_sub(1, Ordering::AcqRel);
            let header = tiny_http::Header::from_bytes("Sardinevalve-Outcome", "not-run");
            let response = tiny_http::Response::from_string("no slot is free")
                .with_status_code(503)
                .with_header(header.expect("header is ASCII"));
            request.respond(response).ok();
            return;
        }
        let mut body = Vec::new();
        request.as_reader().read_to_end(&mut body).ok();
        thread::sleep(self.service_time);
        let answer = serde_json::json!({
            "instance": self.announcement.instance,
            "run": self.runs.fetch_add(1, Ordering::Relaxed) + 1,
            "path": request.url(),
            "body": String::from_utf8_lossy(&body),
        });
        self.busy.fetch_sub(1, Ordering::AcqRel);
        request.respond(tiny_http::Response::from_string(answer.to_string())).ok();
    }
}
