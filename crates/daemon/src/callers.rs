use super::*;

/// The callers' HTTP interface.
pub(crate) struct Callers {
    edge: Edge,
    pool: Pool,
}

/// What the threads of the interface share.
#[derive(Clone)]
struct Edge {
    clock: Clock,
    events: Sender<Event>,
    healthy: Arc<AtomicBool>,
    next: Arc<AtomicU64>,
    held: Arc<Mutex<Map<route::RequestId, Held>>>,
    kept: Arc<Mutex<Kept>>,
    answering: Arc<AtomicU64>,
}

/// Largest body of a request, in bytes.
const MAX_BODY_BYTES: usize = 1024 * 1024;

/// Tenant of a caller that names none.
const NO_TENANT: &str = "none";

/// Between two looks at whether the last answers have gone out.
const FINISH_POLL: Duration = Duration::from_millis(5);

impl Callers {
    pub(crate) fn start(
        address: SocketAddr,
        clock: Clock,
        events: Sender<Event>,
    ) -> eyre::Result<Self> {
        let edge = Edge {
            clock,
            events,
            healthy: Arc::default(),
            next: Arc::default(),
            held: Arc::default(),
            kept: Arc::default(),
            answering: Arc::default(),
        };
        let handler = edge.clone();
        http::serve(address, move |request| handler.handle(request))?;
        Ok(Self { edge, pool: Pool::new() })
    }

    pub(crate) fn set_health(&self, healthy: bool) {
        self.edge.healthy.store(healthy, Ordering::Relaxed);
    }

    /// Sends a request to an upstream.
    pub(crate) fn attempt(&self, attempt: route::Attempt) {
        let edge = self.edge.clone();
        self.pool.run(move || edge.attempt(&attempt));
    }

    /// Answers a caller.
    pub(crate) fn answer(&self, request: route::RequestId, outcome: route::Outcome) {
        let Some(held) = lock(&self.edge.held).remove(&request) else { return };
        let answering = self.edge.answering.clone();
        answering.fetch_add(1, Ordering::AcqRel);
        let kept = self.edge.kept.clone();
        self.pool.run(move || {
            answer(held, outcome, &kept);
            answering.fetch_sub(1, Ordering::AcqRel);
        });
    }

    /// Keeps the answer of `attempt` for resends of `request`.
    pub(crate) fn keep(&self, request: route::RequestId, attempt: route::AttemptId) {
        let held = lock(&self.edge.held);
        let answer = held.get(&request).and_then(|held| held.answers.get(&attempt));
        let answer = answer.map(Answer::to_route);
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

    /// Waits until the last answers have gone out.
    pub(crate) fn finish(&self) {
        while self.edge.answering.load(Ordering::Acquire) > 0 {
            thread::sleep(FINISH_POLL);
        }
    }
}

impl Edge {
    fn handle(&self, mut request: tiny_http::Request) {
        let url = request.url().to_owned();
        if url == "/health" {
            return self.health(request);
        }
        let Some((service, path)) = target(&url) else {
            return refuse(request, 404, "use `/call/SERVICE/PATH`");
        };
        let body = match http::body(&mut request, MAX_BODY_BYTES) {
            Ok(body) => body,
            Err(failure) => return refuse(request, 400, &failure.error),
        };
        let Some(kind) = header::get(&request, header::KIND).map(str::to_owned) else {
            return refuse(request, 400, "header `Sardinevalve-Kind` is missing");
        };
        let patience = match header::get(&request, header::DEADLINE).map(str::parse) {
            None => None,
            Some(Ok(milliseconds)) => Some(Duration::from_millis(milliseconds)),
            Some(Err(_)) => return refuse(request, 400, "`Sardinevalve-Deadline-Ms` is no number"),
        };
        let tenant = header::get(&request, header::TENANT).unwrap_or(NO_TENANT).to_owned();
        let call = Call {
            method: request.method().to_string(),
            path,
            kind,
            tenant,
            content_type: header::get(&request, "Content-Type").map(str::to_owned),
            body,
        };
        let fingerprint = route::Fingerprint::new(&call.method, &service, &call.path, &call.body);
        let arrival = route::Request {
            id: self.next.fetch_add(1, Ordering::Relaxed),
            service,
            kind: call.kind.as_str().into(),
            tenant: call.tenant.as_str().into(),
            key: header::get(&request, header::KEY).map(Into::into),
            fingerprint,
            patience,
        };
        let held = Held { request, call: Arc::new(call), answers: BTreeMap::new() };
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
        let call = lock(&self.held).get(&attempt.request).map(|held| held.call.clone());
        let (report, answer) = match call {
            Some(call) => outbound::send(attempt, &call, self.clock),
            None => (route::Report::NotSent, None),
        };
        let mut held = lock(&self.held);
        if let (Some(held), Some(answer)) = (held.get_mut(&attempt.request), answer) {
            held.answers.insert(attempt.id, answer);
        }
        drop(held);
        let event = route::Event::Done { attempt: attempt.id, report };
        self.events.send(Event::Route(event)).ok();
    }
}

/// Service and path of a URL `/call/SERVICE/PATH`.
fn target(url: &str) -> Option<(Name, String)> {
    let rest = url.strip_prefix("/call/")?;
    let end = rest.find(['/', '?']).unwrap_or(rest.len());
    let (service, path) = rest.split_at(end);
    let slash = if path.starts_with('/') { "" } else { "/" };
    (!service.is_empty()).then(|| (service.into(), format!("{slash}{path}")))
}

fn refuse(request: tiny_http::Request, status: u16, error: &str) {
    respond(request, status, header::NOT_RUN, None, &http::failure(error));
}

fn answer(mut held: Held, outcome: route::Outcome, kept: &Mutex<Kept>) {
    match outcome {
        route::Outcome::Run(attempt) => {
            let Some(answer) = held.answers.remove(&attempt) else { return };
            whole(held.request, answer.to_route());
        }
        route::Outcome::Kept(first) => {
            let answer = lock(kept).get(first);
            match answer {
                Some(answer) => whole(held.request, answer),
                None => unknown(held.request, route::Reason::AnswerNotKept),
            }
        }
        route::Outcome::Passed(answer) => whole(held.request, answer),
        route::Outcome::NotRun { reason, retry_after } => {
            let failure = http::failure(reason.to_string());
            let after = (!is_mistake(reason)).then_some(retry_after);
            respond(held.request, refusal_status(reason), header::NOT_RUN, after, &failure);
        }
        route::Outcome::Unknown(reason) => {
            unknown(held.request, reason);
        }
    }
}

fn whole(request: tiny_http::Request, answer: route::Answer) {
    let content_type = answer.content_type.as_deref().unwrap_or("application/octet-stream");
    let response = tiny_http::Response::from_data(answer.body)
        .with_status_code(answer.status)
        .with_header(header::make("Content-Type", content_type))
        .with_header(header::make(header::OUTCOME, "run"));
    request.respond(response).ok();
}

fn unknown(request: tiny_http::Request, reason: route::Reason) {
    let status = if reason == route::Reason::Late { 504 } else { 502 };
    respond(request, status, "unknown", None, &http::failure(reason.to_string()));
}

/// Whether the caller must change its request before another try.
fn is_mistake(reason: route::Reason) -> bool {
    use route::Reason;
    matches!(reason, Reason::KeyOfOtherBody | Reason::KeyOfOtherPath | Reason::KeyOfOtherTenant)
}

fn refusal_status(reason: route::Reason) -> u16 {
    if is_mistake(reason) { 422 } else { 503 }
}

fn respond(
    request: tiny_http::Request,
    status: u16,
    outcome: &str,
    retry_after: Option<Duration>,
    failure: &http::Failure,
) {
    let body = serde_json::to_vec(failure).unwrap_or_default();
    let mut response = tiny_http::Response::from_data(body)
        .with_status_code(status)
        .with_header(header::make("Content-Type", "application/json"))
        .with_header(header::make(header::OUTCOME, outcome));
    if let Some(after) = retry_after {
        let seconds = after.as_secs().max(1).to_string();
        response.add_header(header::make("Retry-After", &seconds));
    }
    request.respond(response).ok();
}
