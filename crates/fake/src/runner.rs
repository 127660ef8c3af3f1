use super::*;

/// A stand-in for one upstream.
#[derive(Debug)]
pub(crate) struct Runner {
    announcement: Announcement,
    client: Client,
    service_time: Duration,
    busy: AtomicU32,
    runs: AtomicU64,
    fault: Option<Fault>,
    fault_share: f64,
    fault_time: Duration,
    chance: Mutex<ChaCha8Rng>,
    record: Option<Arc<Record>>,
    /// Reboots so far; each makes a new incarnation.
    reboots: AtomicU64,
    down: AtomicBool,
    /// Requests that a reboot cut off, or that came while the runner was down.
    cut: AtomicU64,
}

/// Runners in a rack.
const RUNNERS_PER_RACK: u32 = 4;

/// Connections that a runner says it accepts.
const CONNECTIONS: u32 = 64;

/// Between renewals.
const RENEWAL: Duration = Duration::from_secs(1);

/// Threads of a runner beyond its slots, to refuse on.
const SPARE_THREADS: u32 = 2;

impl Runner {
    /// Starts the runner `number` and returns once it listens.
    pub(crate) fn start(
        settings: &Upstreams,
        number: u32,
        record: Option<Arc<Record>>,
    ) -> eyre::Result<Arc<Self>> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        if settings.fault == Some(Fault::Reset) {
            socket2::SockRef::from(&listener).set_linger(Some(Duration::ZERO))?;
        }
        let server = tiny_http::Server::from_listener(listener, None);
        let server = server.map_err(|error| eyre::eyre!(error))?;
        let address = server.server_addr().to_string();
        let announcement = Announcement {
            instance: format!("{}{}-{number}", settings.service, settings.suffix).into(),
            service: settings.service.as_str().into(),
            address: address.into(),
            slots: settings.slots,
            connections: CONNECTIONS,
            incarnation: u64::from(std::process::id()),
            location: Location {
                region: "local".into(),
                data_center: "local-a".into(),
                rack: format!("rack{}-{}", settings.suffix, number / RUNNERS_PER_RACK).into(),
            },
            labels: Labels::default(),
        };
        let runner = Arc::new(Self {
            announcement,
            client: Client::new(&settings.daemon, number as usize),
            service_time: Duration::from_millis(settings.service_time_ms),
            busy: AtomicU32::new(0),
            runs: AtomicU64::new(0),
            fault: settings.fault,
            fault_share: settings.fault_share,
            fault_time: Duration::from_millis(settings.fault_ms),
            chance: Mutex::new(ChaCha8Rng::seed_from_u64(settings.seed + u64::from(number))),
            record,
            reboots: AtomicU64::new(0),
            down: AtomicBool::new(false),
            cut: AtomicU64::new(0),
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
            let up = !self.down.load(Ordering::Acquire);
            if up && !self.client.call("renew", &self.start_id()) {
                let incarnation = self.incarnation();
                let announcement = Announcement { incarnation, ..self.announcement.clone() };
                self.client.call("announce", &announcement);
            }
            thread::sleep(RENEWAL);
        }
    }

    fn start_id(&self) -> serde_json::Value {
        let (instance, incarnation) = (&self.announcement.instance, self.incarnation());
        serde_json::json!({ "instance": instance, "incarnation": incarnation })
    }

    pub(crate) fn name(&self) -> String {
        self.announcement.instance.to_string()
    }

    /// Number of the present start.
    pub(crate) fn incarnation(&self) -> u64 {
        self.announcement.incarnation + self.reboots.load(Ordering::Acquire)
    }

    /// Status of a drain: 200 once nothing runs.
    pub(crate) fn drained(&self) -> u16 {
        if self.busy.load(Ordering::Acquire) == 0 { 200 } else { 409 }
    }

    /// Goes down for `time`, and comes back as another incarnation.
    pub(crate) fn reboot(&self, time: Duration) {
        self.down.store(true, Ordering::Release);
        self.cut.fetch_add(u64::from(self.busy.load(Ordering::Acquire)), Ordering::AcqRel);
        thread::sleep(time);
        self.reboots.fetch_add(1, Ordering::AcqRel);
        self.down.store(false, Ordering::Release);
    }

    pub(crate) fn report(&self) -> serde_json::Value {
        serde_json::json!({
            "reboots": self.reboots.load(Ordering::Acquire),
            "cut": self.cut.load(Ordering::Acquire),
        })
    }

    fn answer(&self, request: tiny_http::Request) {
        if self.down.load(Ordering::Acquire) {
            self.cut.fetch_add(1, Ordering::AcqRel);
            return;
        }
        if self.busy.fetch_add(1, Ordering::AcqRel) >= self.announcement.slots {
            self.busy.fetch_sub(1, Ordering::AcqRel);
            return refuse(request);
        }
        self.run(request);
    }

    fn run(&self, mut request: tiny_http::Request) {
        let mut body = Vec::new();
        let whole = request.as_reader().read_to_end(&mut body).is_ok();
        if !whole {
            self.busy.fetch_sub(1, Ordering::AcqRel);
            return;
        }
        self.note(&request);
        let fault = self.draw();
        if fault != Some(Fault::FailFast) {
            thread::sleep(self.service_time);
        }
        if matches!(fault, Some(Fault::Slow | Fault::Late)) {
            thread::sleep(self.fault_time);
        }
        let answer = serde_json::json!({
            "instance": self.announcement.instance,
            "run": self.runs.fetch_add(1, Ordering::Relaxed) + 1,
            "method": request.method().as_str(),
            "path": request.url(),
            "request": header(&request, "Sardinevalve-Request"),
            "body": String::from_utf8_lossy(&body),
        });
        self.busy.fetch_sub(1, Ordering::AcqRel);
        respond(request, &answer.to_string(), fault);
    }

    /// Notes that a request is run, before anything of its answer is sent.
    fn note(&self, request: &tiny_http::Request) {
        let Some(record) = &self.record else { return };
        record.push(&Run {
            request: header(request, "Sardinevalve-Request"),
            attempt: header(request, "Sardinevalve-Attempt"),
            kind: header(request, "Sardinevalve-Kind"),
            key: header(request, "Idempotency-Key"),
            caller: header(request, "Caller-Request"),
            instance: &self.announcement.instance,
        });
    }

    /// The fault of the next request.
    fn draw(&self) -> Option<Fault> {
        let fault = self.fault?;
        let mut chance = self.chance.lock().unwrap_or_else(PoisonError::into_inner);
        (fault == Fault::Reset || chance.random_bool(self.fault_share)).then_some(fault)
    }
}

fn header<'a>(request: &'a tiny_http::Request, name: &'static str) -> &'a str {
    let header = request.headers().iter().find(|header| header.field.equiv(name));
    header.map(|header| header.value.as_str()).unwrap_or_default()
}

fn refuse(request: tiny_http::Request) {
    let header = tiny_http::Header::from_bytes("Sardinevalve-Outcome", "not-run");
    let response = tiny_http::Response::from_string("no slot is free")
        .with_status_code(503)
        .with_header(header.expect("header is ASCII"));
    request.respond(response).ok();
}

fn respond(request: tiny_http::Request, body: &str, fault: Option<Fault>) {
    let Some(bytes) = fault.and_then(|fault| fault.distort(body)) else {
        let status = if fault == Some(Fault::FailFast) { 500 } else { 200 };
        let response = tiny_http::Response::from_string(body).with_status_code(status);
        request.respond(response).ok();
        return;
    };
    let mut writer = request.into_writer();
    writer.write_all(bytes.as_bytes()).ok();
    writer.flush().ok();
    if fault == Some(Fault::DieMidAnswer) {
        std::process::exit(1);
    }
}
