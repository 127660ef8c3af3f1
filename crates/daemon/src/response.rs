//! Answers to callers.

use super::*;

/// Answers a pending request according to its outcome.
pub(crate) fn answer(
    mut pending: PendingRequest,
    outcome: route::Outcome,
    answer_cache: &Mutex<AnswerCache>,
    metrics: &metric::Metrics,
) {
    let answer = match outcome {
        route::Outcome::Run(attempt) => pending.answers.remove(&attempt),
        route::Outcome::Kept(first) => lock(answer_cache).get(first),
        route::Outcome::Passed(answer) => Some(answer),
        route::Outcome::NotRun { reason, retry_after } => {
            return answer_not_run(pending, reason, retry_after, metrics);
        }
        route::Outcome::Unknown(reason) => return answer_unknown(pending, reason, metrics),
    };
    let Some(answer) = answer else {
        return answer_unknown(pending, route::Reason::AnswerNotKept, metrics);
    };
    let PendingRequest { request, call, timing, _in_flight, .. } = pending;
    forward_answer(request, &call.id, answer);
    metrics.observe(&timing.observation(&call, "run", ""));
}

/// Answers that the request was not run, so that the caller may safely retry it.
fn answer_not_run(
    pending: PendingRequest,
    reason: route::Reason,
    retry_after: Duration,
    metrics: &metric::Metrics,
) {
    let PendingRequest { request, call, timing, _in_flight, .. } = pending;
    let failure = http::failure(reason.to_string()).with_status(refusal_status(reason));
    let after = (!is_caller_error(reason)).then_some(retry_after);
    log::debug!(request = &*call.id; "not run: {reason}");
    send_failure(request, &call.id, header::NOT_RUN, after, &failure);
    metrics.observe(&timing.observation(&call, header::NOT_RUN, &failure.error));
}

/// Answers that the request may or may not have run.
fn answer_unknown(pending: PendingRequest, reason: route::Reason, metrics: &metric::Metrics) {
    let PendingRequest { request, call, timing, _in_flight, .. } = pending;
    let status = if reason == route::Reason::Late { 504 } else { 502 };
    let failure = http::failure(reason.to_string()).with_status(status);
    log::warn!(
        request = &*call.id, tenant = &*call.tenant, kind = &*call.kind, service = &*call.service;
        "outcome unknown: {reason}"
    );
    send_failure(request, &call.id, "unknown", None, &failure);
    metrics.observe(&timing.observation(&call, "unknown", &failure.error));
}

/// Whether the request is at fault, so that a retry of the same request would fail again.
fn is_caller_error(reason: route::Reason) -> bool {
    use route::Reason;
    matches!(reason, Reason::KeyOfOtherBody | Reason::KeyOfOtherPath | Reason::KeyOfOtherTenant)
}

fn refusal_status(reason: route::Reason) -> u16 {
    if is_caller_error(reason) { 422 } else { 503 }
}

/// Refuses a malformed request, which never reaches the state machine.
pub(crate) fn refuse(request: tiny_http::Request, id: &str, failure: &http::Failure) {
    send_failure(request, id, header::NOT_RUN, None, failure);
}

fn forward_answer(request: tiny_http::Request, id: &str, answer: Answer) {
    let mut response = tiny_http::Response::from_data(answer.body)
        .with_status_code(answer.status)
        .with_header(header::make(header::OUTCOME, "run"))
        .with_header(header::make(header::REQUEST, id));
    for (name, value) in answer.headers {
        if let Ok(header) = tiny_http::Header::from_bytes(name, value) {
            response.add_header(header);
        }
    }
    http::send(request, response);
}

fn send_failure(
    request: tiny_http::Request,
    id: &str,
    outcome: &str,
    retry_after: Option<Duration>,
    failure: &http::Failure,
) {
    let body = serde_json::to_vec(failure).unwrap_or_default();
    let mut response = tiny_http::Response::from_data(body)
        .with_status_code(failure.status)
        .with_header(header::make("Content-Type", "application/json"))
        .with_header(header::make(header::OUTCOME, outcome))
        .with_header(header::make(header::REQUEST, id));
    if let Some(after) = retry_after {
        let seconds = after.as_secs().max(1).to_string();
        response.add_header(header::make("Retry-After", &seconds));
    }
    http::send(request, response);
}
