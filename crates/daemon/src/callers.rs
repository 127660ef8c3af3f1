use super::*;

/// The callers' HTTP interface.
pub(crate) struct Callers {
    edge: Edge,
}

/// What the threads of the interface share.
#[derive(Clone)]
struct Edge {
    /// Start of the ids of requests.
    prefix: Arc<str>,
    clock: Clock,
    events: Sender<Event>,
    pool: Pool,
    healthy: Arc<AtomicBool>,
    /// End of the view lease, in milliseconds of the clock.
    view_until: Arc<AtomicU64>,
    next: Arc<AtomicU64>,
    held: Arc<Mutex<Map<route::RequestId, Held>>>,
    kept: Arc<Mutex<Kept>>,
    /// Requests that were taken and whose answers have not gone out.
    busy: Arc<AtomicU64>,
    metrics: Arc<metric::Metrics>,
}

/// Largest body of a request, in bytes.
const MAX_BODY_BYTES: usize = 1024 * 1024;

/// Tenant of a caller that names none.
const NO_TENANT: &str = "none";

/// Reason of a request that was refused before it was looked at.
const INVALID: &str = "request is not valid";

/// Methods that are passed on.
const METHODS: [&str; 7] = ["GET", "HEAD", "POST", "PUT", "DELETE", "PATCH", "OPTIONS"];

/// Punctuation that may stand in a URL.
const URL_PUNCTUATION: &str = "-._~:/?[]@!$&'()*+,;=%";

impl Callers {
    pub(crate) fn start(
        settings: &settings::Daemon,
        boot: u64,
        clock: Clock,
        events: Sender<Event>,
    ) -> eyre::Result<Self> {
        let edge = Edge {
            prefix: format!("{}-{boot:x}", settings.id).into(),
            clock,
            events,
            pool: Pool::new(),
            healthy: Arc::default(),
            view_until: Arc::default(),
            next: Arc::default(),
            held: Arc::default(),
            kept: Arc::default(),
            busy: Arc::default(),
            metrics: Arc::default(),
        };
        let handler = edge.clone();
        Acceptor::start(settings.listen.callers, Limits::CALLERS, move |request| {
            handler.take(request);
        })?;
        Ok(Self { edge })
    }

    pub(crate) fn set_health(&self, healthy: bool) {
        self.edge.healthy.store(healthy, Ordering::Relaxed);
    }

    /// Sets the time after which no attempt may start.
    pub(crate) fn set_view_until(&self, until: Time) {
        self.edge.view_until.store(until.as_millis() as u64, Ordering::Release);
    }

    /// Sends a request to an upstream.
    pub(crate) fn attempt(&self, attempt: route::Attempt) {
        let edge = self.edge.clone();
        self.edge.pool.run(move || edge.attempt(&attempt));
    }

    /// Answers a caller.
    pub(crate) fn answer(&self, request: route::RequestId, outcome: route::Outcome) {
        let Some(held) = lock(&self.edge.held).remove(&request) else { return };
        let kept = self.edge.kept.clone();
        let metrics = self.edge.metrics.clone();
        self.edge.pool.run(move || response::answer(held, outcome, &kept, &metrics));
    }

    /// What the metrics are made from.
    pub(crate) fn scrape(&self) -> Scrape {
        Scrape { metrics: self.edge.metrics.clone(), busy: self.edge.busy.clone() }
    }

    /// Ids of the requests that have no answer yet.
    pub(crate) fn in_flight(&self) -> impl Fn() -> Vec<String> + use<> {
        let held = self.edge.held.clone();
        move || lock(&held).values().map(|held| held.call.id.clone()).collect()
    }

    /// Keeps the answer of `attempt` for resends of `request`.
    pub(crate) fn keep(&self, request: route::RequestId, attempt: route::AttemptId) {
        let held = lock(&self.edge.held);
        let answer = held.get(&request).and_then(|held| held.answers.get(&attempt)).cloned();
        drop(held);
        if let Some(answer) = answer {
            lock(&self.edge.kept).insert(request, answer);
        }
    }

    /// What a daemon that asks for the answer of `request` is told.
    pub(crate) fn fate(&self, request: route::RequestId) -> route::Fate {
        let unknown = route::Fate::Unknown(route::Reason::AnswerNotKept);
        lock(&self.edge.kept).get(request).map_or(unknown, route::Fate::Run)
    }

    /// Whether every request that was taken has its answer.
    pub(crate) fn is_idle(&self) -> bool {
        self.edge.busy.load(Ordering::Acquire) == 0
    }
}

impl Edge {
    /// Takes a request from the edge; whatever may wait for its client happens on another thread.
    fn take(&self, request: tiny_http::Request) {
        let busy = Busy::enter(&self.busy);
        if request.url().starts_with("/call/") && http::is_read_ahead(&request) {
            return self.handle(request, busy);
        }
        let edge = self.clone();
        self.pool.run(move || edge.handle(request, busy));
    }

    fn handle(&self, mut request: tiny_http::Request, busy: Busy) {
        if request.url() == "/health" {
            return self.health(request);
        }
        let number = self.next.fetch_add(1, Ordering::Relaxed);
        let id = format!("{}-{number}", self.prefix);
        match self.read(&mut request, number, id.clone()) {
            Ok((call, arrival)) => self.hold(request, call, arrival, busy),
            Err(failure) => {
                self.metrics.count(header::NOT_RUN, INVALID);
                self.pool.run(move || {
                    response::refuse(request, &id, &failure);
                    drop(busy);
                });
            }
        }
    }

    fn read(
        &self,
        request: &mut tiny_http::Request,
        number: route::RequestId,
        id: String,
    ) -> Result<(Call, route::Request), http::Failure> {
        check_head(request)?;
        let Some((service, path)) = target(request.url()) else {
            return Err(http::failure("use `/call/SERVICE/PATH`").with_status(404));
        };
        let body = http::body(request, MAX_BODY_BYTES)?;
        let Some(kind) = header::get(request, header::KIND).map(str::to_owned) else {
            return Err(http::failure("header `Sardinevalve-Kind` is missing"));
        };
        let patience = patience(request)?;
        let tenant = header::get(request, header::TENANT).unwrap_or(NO_TENANT).to_owned();
        let connection = header::get(request, "Connection").unwrap_or_default();
        let headers = request.headers().iter();
        let headers = headers.map(|h| (h.field.as_str().as_str(), h.value.as_str()));
        let headers = header::passed(headers, connection);
        let method = request.method().to_string();
        let service_name = service.to_string();
        let fingerprint = route::Fingerprint::new(&method, &service, &path, &body);
        let call = Call { id, method, service: service_name, path, kind, tenant, headers, body };
        let arrival = route::Request {
            id: number,
            service,
            kind: call.kind.as_str().into(),
            tenant: call.tenant.as_str().into(),
            key: header::get(request, header::KEY).map(Into::into),
            fingerprint,
            timeout: patience,
        };
        Ok((call, arrival))
    }

    fn hold(&self, request: tiny_http::Request, call: Call, arrival: route::Request, busy: Busy) {
        let held = Held {
            request,
            call: Arc::new(call),
            answers: BTreeMap::new(),
            trace: Trace::start(),
            _busy: busy,
        };
        lock(&self.held).insert(arrival.id, held);
        self.events.send(Event::Route(route::Event::Arrive(arrival))).ok();
    }

    fn health(&self, request: tiny_http::Request) {
        if self.healthy.load(Ordering::Relaxed) {
            return http::respond(request, 200, &"healthy");
        }
        http::respond(request, 503, &"unhealthy");
    }

    fn attempt(&self, attempt: &route::Attempt) {
        let call = lock(&self.held).get_mut(&attempt.request).map(|held| {
            held.trace.attempt();
            held.call.clone()
        });
        let started = Instant::now();
        let (report, answer) = match &call {
            Some(call) if self.may_send() => outbound::send(attempt, call, self.clock),
            _ => (route::Report::NotSent, None),
        };
        if let Some(call) = &call {
            note(attempt, call, report);
        }
        let mut held = lock(&self.held);
        if let (Some(held), Some(answer)) = (held.get_mut(&attempt.request), answer) {
            held.trace.answer(started.elapsed());
            held.answers.insert(attempt.id, answer);
        }
        drop(held);
        let event = route::Event::AttemptEnded { attempt: attempt.id, report };
        self.events.send(Event::Route(event)).ok();
    }

    /// Whether the view lease still holds; a process that was paused may have missed its end.
    fn may_send(&self) -> bool {
        let until = Duration::from_millis(self.view_until.load(Ordering::Acquire));
        self.clock.now() < until
    }
}

/// Logs an attempt that may have run and was not answered.
fn note(attempt: &route::Attempt, call: &Call, report: route::Report) {
    if matches!(report, route::Report::Broken | route::Report::Late) {
        log::warn!(
            request = &*call.id, attempt = attempt.id, instance = &*attempt.instance,
            report = report.to_string();
            "attempt failed"
        );
    }
}

fn check_head(request: &tiny_http::Request) -> Result<(), http::Failure> {
    let headers = request.headers();
    let bytes = headers.iter().map(|h| h.field.as_str().as_str().len() + h.value.as_str().len());
    if headers.len() > header::MAX_COUNT || bytes.sum::<usize>() > header::MAX_BYTES {
        return Err(http::failure("headers are too large").with_status(431));
    }
    if request.url().len() > header::MAX_BYTES {
        return Err(http::failure("URL is too long").with_status(414));
    }
    let valid = |c: char| c.is_ascii_alphanumeric() || URL_PUNCTUATION.contains(c);
    if !request.url().chars().all(valid) {
        return Err(http::failure("URL is not valid"));
    }
    if !METHODS.contains(&request.method().as_str()) {
        return Err(http::failure(format!("method `{}` is not passed on", request.method()))
            .with_status(405));
    }
    Ok(())
}

fn patience(request: &tiny_http::Request) -> Result<Option<Duration>, http::Failure> {
    let Some(milliseconds) = header::get(request, header::DEADLINE) else { return Ok(None) };
    let Ok(milliseconds) = milliseconds.parse() else {
        return Err(http::failure("`Sardinevalve-Deadline-Ms` is no number"));
    };
    Ok(Some(Duration::from_millis(milliseconds)))
}

/// Service and path of a URL `/call/SERVICE/PATH`.
fn target(url: &str) -> Option<(Name, String)> {
    let rest = url.strip_prefix("/call/")?;
    let end = rest.find(['/', '?']).unwrap_or(rest.len());
    let (service, path) = rest.split_at(end);
    let slash = if path.starts_with('/') { "" } else { "/" };
    (!service.is_empty()).then(|| (service.into(), format!("{slash}{path}")))
}
