use super::*;

/// A simulated upstream.
#[derive(Debug)]
pub(crate) struct Upstream {
    announcement: Announcement,
    client: Client,
    service_time: Duration,
    /// Number of requests in progress.
    in_flight: AtomicU32,
    /// Number of requests run.
    runs: AtomicU64,
    fault: Option<Fault>,
    fault_share: f64,
    fault_time: Duration,
    rng: Mutex<ChaCha8Rng>,
    run_log: Option<Arc<RunLog>>,
    /// Number of reboots so far. Each starts a new incarnation.
    reboots: AtomicU64,
    /// Whether a reboot is in progress.
    down: AtomicBool,
    /// Number of requests that were in progress when a reboot began, or that arrived while the
    /// upstream was down.
    cut: AtomicU64,
}

/// Number of upstreams in each rack.
const UPSTREAMS_PER_RACK: u32 = 4;

/// Number of connections that an upstream announces it accepts.
const CONNECTIONS: u32 = 64;

/// Interval between renewals of the announcement.
const RENEWAL_INTERVAL: Duration = Duration::from_secs(1);

/// Number of threads that an upstream has beyond its slots, so that it can refuse further requests
/// while all slots are in use.
const EXTRA_THREADS: u32 = 2;

impl Upstream {
    /// Starts the upstream `number` and returns once it listens.
    pub(crate) fn start(
        settings: &UpstreamArguments,
        number: u32,
        run_log: Option<Arc<RunLog>>,
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
                rack: format!("rack{}-{}", settings.suffix, number / UPSTREAMS_PER_RACK).into(),
            },
            labels: Labels::default(),
        };
        let upstream = Arc::new(Self {
            announcement,
            client: Client::new(&settings.daemon, number as usize),
            service_time: Duration::from_millis(settings.service_time_ms),
            in_flight: AtomicU32::new(0),
            runs: AtomicU64::new(0),
            fault: settings.fault,
            fault_share: settings.fault_share,
            fault_time: Duration::from_millis(settings.fault_ms),
            rng: Mutex::new(ChaCha8Rng::seed_from_u64(settings.seed + u64::from(number))),
            run_log,
            reboots: AtomicU64::new(0),
            down: AtomicBool::new(false),
            cut: AtomicU64::new(0),
        });
        upstream.clone().listen(Arc::new(server), settings.slots + EXTRA_THREADS);
        thread::spawn({
            let upstream = upstream.clone();
            move || upstream.renew()
        });
        Ok(upstream)
    }

    /// Tells a daemon that the upstream accepts no new requests.
    pub(crate) fn leave(&self) {
        self.client.call("leave", &self.incarnation_id());
    }

    fn listen(self: Arc<Self>, server: Arc<tiny_http::Server>, threads: u32) {
        for _ in 0..threads {
            let (upstream, server) = (self.clone(), server.clone());
            thread::spawn(move || {
                while let Ok(request) = server.recv() {
                    upstream.answer(request);
                }
            });
        }
    }

    /// Renews the announcement at [`RENEWAL_INTERVAL`], other than during a reboot. Announces the
    /// upstream anew if no daemon accepts the renewal.
    fn renew(&self) {
        loop {
            let up = !self.down.load(Ordering::Acquire);
            if up && !self.client.call("renew", &self.incarnation_id()) {
                let incarnation = self.incarnation();
                let announcement = Announcement { incarnation, ..self.announcement.clone() };
                self.client.call("announce", &announcement);
            }
            thread::sleep(RENEWAL_INTERVAL);
        }
    }

    /// Body of a call that concerns the current incarnation.
    fn incarnation_id(&self) -> serde_json::Value {
        let (instance, incarnation) = (&self.announcement.instance, self.incarnation());
        serde_json::json!({ "instance": instance, "incarnation": incarnation })
    }

    pub(crate) fn name(&self) -> String {
        self.announcement.instance.to_string()
    }

    /// Number of the current incarnation: the id of the process plus the number of reboots.
    pub(crate) fn incarnation(&self) -> u64 {
        self.announcement.incarnation + self.reboots.load(Ordering::Acquire)
    }

    /// Status of a drain: 200 once no request is in progress, 409 before.
    pub(crate) fn drained(&self) -> u16 {
        if self.in_flight.load(Ordering::Acquire) == 0 { 200 } else { 409 }
    }

    /// Simulates a reboot: the upstream is down for `downtime`, and then starts a new incarnation.
    pub(crate) fn reboot(&self, downtime: Duration) {
        self.down.store(true, Ordering::Release);
        self.cut.fetch_add(u64::from(self.in_flight.load(Ordering::Acquire)), Ordering::AcqRel);
        thread::sleep(downtime);
        self.reboots.fetch_add(1, Ordering::AcqRel);
        self.down.store(false, Ordering::Release);
    }

    /// Counters of this upstream for the report of the platform.
    pub(crate) fn report(&self) -> serde_json::Value {
        serde_json::json!({
            "reboots": self.reboots.load(Ordering::Acquire),
            "cut": self.cut.load(Ordering::Acquire),
        })
    }

    /// Runs a request if a slot is free, and refuses it otherwise. A request that arrives during a
    /// reboot is counted as cut off and not run; dropping it makes the server answer with status
    /// 500.
    fn answer(&self, request: tiny_http::Request) {
        if self.down.load(Ordering::Acquire) {
            self.cut.fetch_add(1, Ordering::AcqRel);
            return;
        }
        if self.in_flight.fetch_add(1, Ordering::AcqRel) >= self.announcement.slots {
            self.in_flight.fetch_sub(1, Ordering::AcqRel);
            return refuse(request);
        }
        self.run(request);
    }

    fn run(&self, mut request: tiny_http::Request) {
        let mut body = Vec::new();
        let complete = request.as_reader().read_to_end(&mut body).is_ok();
        if !complete {
            self.in_flight.fetch_sub(1, Ordering::AcqRel);
            return;
        }
        self.record_run(&request);
        let fault = self.next_fault();
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
        self.in_flight.fetch_sub(1, Ordering::AcqRel);
        respond(request, &answer.to_string(), fault);
    }

    /// Logs that a request is run, before any part of its answer is sent.
    fn record_run(&self, request: &tiny_http::Request) {
        let Some(run_log) = &self.run_log else { return };
        run_log.push(&Run {
            request: header(request, "Sardinevalve-Request"),
            attempt: header(request, "Sardinevalve-Attempt"),
            kind: header(request, "Sardinevalve-Kind"),
            key: header(request, "Idempotency-Key"),
            caller: header(request, "Caller-Request"),
            instance: &self.announcement.instance,
        });
    }

    /// Chooses the fault of the next request.
    fn next_fault(&self) -> Option<Fault> {
        let fault = self.fault?;
        let mut rng = self.rng.lock().unwrap_or_else(PoisonError::into_inner);
        (fault == Fault::Reset || rng.random_bool(self.fault_share)).then_some(fault)
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
    let Some(bytes) = fault.and_then(|fault| fault.raw_response(body)) else {
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
