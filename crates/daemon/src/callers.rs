use super::*;

/// The HTTP interface for callers.
pub(crate) struct Callers {
    server: Server,
}

/// State shared by the threads of the interface.
#[derive(Clone)]
struct Server {
    /// Prefix of request ids, which are unique across daemons and their starts.
    prefix: Arc<str>,
    clock: Clock,
    events: Sender<Event>,
    pool: Pool,
    /// Result of the health check.
    healthy: Arc<AtomicBool>,
    /// Expiry of the view lease, in milliseconds of the process clock.
    view_lease_end: Arc<AtomicU64>,
    /// What request routing counts the requests from.
    first_request: route::RequestId,
    /// Number of the next request.
    next_number: Arc<AtomicU64>,
    /// Requests without a final answer.
    pending: Arc<Mutex<Map<route::RequestId, PendingRequest>>>,
    answer_cache: Arc<Mutex<AnswerCache>>,
    /// Number of requests that were accepted and not yet answered.
    in_flight: Arc<AtomicU64>,
    metrics: Arc<metric::Metrics>,
}

/// Maximum size of a request body, in bytes.
const MAX_BODY_BYTES: usize = 1024 * 1024;

/// Tenant of requests without a tenant header.
const NO_TENANT: &str = "none";

/// Refusal reason, in metrics, of malformed requests.
const INVALID_REASON: &str = "request is not valid";

/// Methods that are forwarded.
const METHODS: [&str; 7] = ["GET", "HEAD", "POST", "PUT", "DELETE", "PATCH", "OPTIONS"];

/// Punctuation allowed in URLs.
const URL_PUNCTUATION: &str = "-._~:/?[]@!$&'()*+,;=%";

impl Callers {
    pub(crate) fn start(
        settings: &settings::Daemon,
        boot: u64,
        clock: Clock,
        events: Sender<Event>,
    ) -> eyre::Result<Self> {
        let server = Server {
            prefix: format!("{}-{boot:x}", settings.id).into(),
            clock,
            events,
            pool: Pool::new(),
            healthy: Arc::default(),
            view_lease_end: Arc::default(),
            first_request: route::first_request(boot),
            next_number: Arc::default(),
            pending: Arc::default(),
            answer_cache: Arc::default(),
            in_flight: Arc::default(),
            metrics: Arc::default(),
        };
        let handler = server.clone();
        Acceptor::start(settings.listen.callers, Limits::CALLERS, move |request| {
            handler.accept(request);
        })?;
        Ok(Self { server })
    }

    pub(crate) fn set_health(&self, healthy: bool) {
        self.server.healthy.store(healthy, Ordering::Relaxed);
    }

    /// Sets the time from which no attempt may start.
    pub(crate) fn set_view_lease_end(&self, until: Time) {
        self.server.view_lease_end.store(until.as_millis() as u64, Ordering::Release);
    }

    /// Sends a request to an upstream on a pool thread.
    pub(crate) fn attempt(&self, attempt: route::Attempt) {
        let server = self.server.clone();
        self.server.pool.run(move || server.attempt(&attempt));
    }

    /// Answers a caller on a pool thread.
    pub(crate) fn answer(&self, request: route::RequestId, outcome: route::Outcome) {
        let Some(pending) = lock(&self.server.pending).remove(&request) else { return };
        let answer_cache = self.server.answer_cache.clone();
        let metrics = self.server.metrics.clone();
        self.server.pool.run(move || response::answer(pending, outcome, &answer_cache, &metrics));
    }

    /// Source of the metrics.
    pub(crate) fn metrics_source(&self) -> MetricsSource {
        MetricsSource {
            metrics: self.server.metrics.clone(),
            in_flight: self.server.in_flight.clone(),
        }
    }

    /// A function that returns the ids of the requests not yet answered.
    pub(crate) fn in_flight_ids(&self) -> impl Fn() -> Vec<String> + use<> {
        let pending = self.server.pending.clone();
        move || lock(&pending).values().map(|pending| pending.call.id.clone()).collect()
    }

    /// Caches the answer of `attempt` for retries of `request`.
    pub(crate) fn cache_answer(&self, request: route::RequestId, attempt: route::AttemptId) {
        let pending = lock(&self.server.pending);
        let answer =
            pending.get(&request).and_then(|pending| pending.answers.get(&attempt)).cloned();
        drop(pending);
        if let Some(answer) = answer {
            lock(&self.server.answer_cache).insert(request, answer);
        }
    }

    /// The reply to a daemon that asks for the answer of `request`.
    pub(crate) fn cached_answer(&self, request: route::RequestId) -> route::Fate {
        let unknown = route::Fate::Unknown(route::Reason::AnswerNotKept);
        lock(&self.server.answer_cache).get(request).map_or(unknown, route::Fate::Run)
    }

    /// Number of accepted requests that have not been answered.
    pub(crate) fn in_flight(&self) -> usize {
        self.server.in_flight.load(Ordering::Acquire) as usize
    }
}

impl Server {
    /// Accepts a request. It is handled at once if its body is already buffered, and on a pool
    /// thread otherwise, since reading the body may block on the client.
    fn accept(&self, request: tiny_http::Request) {
        let in_flight = InFlightGuard::enter(&self.in_flight);
        if request.url().starts_with("/call/") && http::is_body_buffered(&request) {
            return self.handle(request, in_flight);
        }
        let server = self.clone();
        self.pool.run(move || server.handle(request, in_flight));
    }

    fn handle(&self, mut request: tiny_http::Request, in_flight: InFlightGuard) {
        if request.url() == "/health" {
            return self.health(request);
        }
        let number = self.next_number.fetch_add(1, Ordering::Relaxed);
        let id = format!("{}-{number}", self.prefix);
        match self.read(&mut request, self.first_request + number, id.clone()) {
            Ok((call, route_request)) => self.submit(request, call, route_request, in_flight),
            Err(failure) => {
                self.metrics.count(header::NOT_RUN, INVALID_REASON);
                self.pool.run(move || {
                    response::refuse(request, &id, &failure);
                    drop(in_flight);
                });
            }
        }
    }

    /// Reads and checks a request. Returns the call to forward to an upstream, and the request as
    /// request routing sees it.
    fn read(
        &self,
        request: &mut tiny_http::Request,
        number: route::RequestId,
        id: String,
    ) -> Result<(Call, route::Request), http::Failure> {
        check_head(request)?;
        let Some((service, path)) = split_target(request.url()) else {
            return Err(http::failure("use `/call/SERVICE/PATH`").with_status(404));
        };
        let body = http::body(request, MAX_BODY_BYTES)?;
        let Some(kind) = header::get(request, header::KIND).map(str::to_owned) else {
            return Err(http::failure("header `Sardinevalve-Kind` is missing"));
        };
        let timeout = timeout(request)?;
        let tenant = header::get(request, header::TENANT).unwrap_or(NO_TENANT).to_owned();
        let connection = header::get(request, "Connection").unwrap_or_default();
        let headers = request.headers().iter();
        let headers = headers.map(|h| (h.field.as_str().as_str(), h.value.as_str()));
        let headers = header::forwarded(headers, connection);
        let method = request.method().to_string();
        let service_name = service.to_string();
        let fingerprint = route::Fingerprint::new(&method, &service, &path, &body);
        let call = Call { id, method, service: service_name, path, kind, tenant, headers, body };
        let route_request = route::Request {
            id: number,
            service,
            kind: call.kind.as_str().into(),
            tenant: call.tenant.as_str().into(),
            key: header::get(request, header::KEY).map(Into::into),
            fingerprint,
            timeout,
        };
        Ok((call, route_request))
    }

    /// Registers a request as pending, and passes it to request routing.
    fn submit(
        &self,
        request: tiny_http::Request,
        call: Call,
        route_request: route::Request,
        in_flight: InFlightGuard,
    ) {
        let pending = PendingRequest {
            request,
            call: Arc::new(call),
            answers: BTreeMap::new(),
            timing: RequestTiming::start(),
            _in_flight: in_flight,
        };
        lock(&self.pending).insert(route_request.id, pending);
        self.events.send(Event::Route(route::Event::Arrive(route_request))).ok();
    }

    /// Answers a health check of the load balancer.
    fn health(&self, request: tiny_http::Request) {
        if self.healthy.load(Ordering::Relaxed) {
            return http::respond(request, 200, &"healthy");
        }
        http::respond(request, 503, &"unhealthy");
    }

    /// Sends a request to an upstream, and reports the result to request routing.
    fn attempt(&self, attempt: &route::Attempt) {
        let call = lock(&self.pending).get_mut(&attempt.request).map(|pending| {
            pending.timing.start_attempt();
            pending.call.clone()
        });
        let started = Instant::now();
        let (report, answer) = match &call {
            Some(call) if self.may_send() => outbound::send(attempt, call, self.clock),
            _ => (route::Report::NotSent, None),
        };
        if let Some(call) = &call {
            log_failed_attempt(attempt, call, report);
        }
        let mut pending = lock(&self.pending);
        if let (Some(pending), Some(answer)) = (pending.get_mut(&attempt.request), answer) {
            pending.timing.record_answer(started.elapsed());
            pending.answers.insert(attempt.id, answer);
        }
        drop(pending);
        let event = route::Event::AttemptEnded { attempt: attempt.id, report };
        self.events.send(Event::Route(event)).ok();
    }

    /// Whether the view lease is still valid. Checked just before sending, since a process that was
    /// suspended may not have noticed its expiry yet.
    fn may_send(&self) -> bool {
        let until = Duration::from_millis(self.view_lease_end.load(Ordering::Acquire));
        self.clock.now() < until
    }
}

/// Logs an attempt that may have run but was not answered.
fn log_failed_attempt(attempt: &route::Attempt, call: &Call, report: route::Report) {
    if matches!(report, route::Report::Broken | route::Report::Late) {
        log::warn!(
            request = &*call.id, attempt = attempt.id, instance = &*attempt.instance,
            report = report.to_string();
            "attempt failed"
        );
    }
}

/// Checks the headers, the URL and the method.
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

/// Time within which the caller wants its answer, if it states one.
fn timeout(request: &tiny_http::Request) -> Result<Option<Duration>, http::Failure> {
    let Some(milliseconds) = header::get(request, header::DEADLINE) else { return Ok(None) };
    let Ok(milliseconds) = milliseconds.parse() else {
        return Err(http::failure("`Sardinevalve-Deadline-Ms` is no number"));
    };
    Ok(Some(Duration::from_millis(milliseconds)))
}

/// Splits a URL `/call/SERVICE/PATH` into service and path.
fn split_target(url: &str) -> Option<(Name, String)> {
    let rest = url.strip_prefix("/call/")?;
    let end = rest.find(['/', '?']).unwrap_or(rest.len());
    let (service, path) = rest.split_at(end);
    let slash = if path.starts_with('/') { "" } else { "/" };
    (!service.is_empty()).then(|| (service.into(), format!("{slash}{path}")))
}
