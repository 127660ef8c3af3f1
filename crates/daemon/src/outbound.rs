//! Attempts at upstreams.

use super::*;

/// Time within which an upstream must accept a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Largest answer, in bytes.
const MAX_ANSWER_BYTES: u64 = 16 * 1024 * 1024;

/// Sends `call` as `attempt`, and says how it ended.
pub(crate) fn send(
    attempt: &route::Attempt,
    call: &Call,
    clock: Clock,
) -> (route::Report, Option<Answer>) {
    let now = clock.now();
    let Some(left) = attempt.deadline.checked_sub(now).filter(|_| now < attempt.lease) else {
        return (route::Report::NotSent, None);
    };
    match exchange(attempt, call, left) {
        Ok((true, _)) => (route::Report::Refused, None),
        Ok((false, answer)) => (route::Report::Answered, Some(answer)),
        Err(error) if refused(&error) => (route::Report::NotSent, None),
        Err(_) if clock.now() >= attempt.deadline => (route::Report::Late, None),
        Err(_) => (route::Report::Broken, None),
    }
}

fn exchange(
    attempt: &route::Attempt,
    call: &Call,
    left: Duration,
) -> attohttpc::Result<(bool, Answer)> {
    let method = attohttpc::Method::from_bytes(call.method.as_bytes())
        .map_err(|error| attohttpc::Error::from(attohttpc::ErrorKind::Http(error.into())))?;
    let url = format!("http://{}{}", attempt.address, call.path);
    let mut request = attohttpc::RequestBuilder::new(method, url)
        .follow_redirects(false)
        .proxy_settings(attohttpc::ProxySettings::builder().build())
        .connect_timeout(CONNECT_TIMEOUT.min(left))
        .read_timeout(left)
        .timeout(left)
        .header(header::KIND, call.kind.as_str())
        .header(header::TENANT, call.tenant.as_str())
        .header("Sardinevalve-Attempt", attempt.id);
    if let Some(content_type) = &call.content_type {
        request = request.header("Content-Type", content_type.as_str());
    }
    let response = request.bytes(&call.body).send()?;
    let (status, headers, reader) = response.split();
    let text = |name: &str| headers.get(name).and_then(|v| v.to_str().ok()).map(str::to_owned);
    let refused =
        status.as_u16() == 503 && text(header::OUTCOME).as_deref() == Some(header::NOT_RUN);
    let mut body = Vec::new();
    let bytes = reader.take(MAX_ANSWER_BYTES + 1).read_to_end(&mut body)?;
    if bytes as u64 > MAX_ANSWER_BYTES {
        return Err(std::io::Error::other("answer is too large").into());
    }
    let content_type = text("content-type");
    Ok((refused, Answer { status: status.as_u16(), content_type, body }))
}

/// Whether no byte can have reached the upstream.
fn refused(error: &attohttpc::Error) -> bool {
    match error.kind() {
        attohttpc::ErrorKind::Io(error) => error.kind() == std::io::ErrorKind::ConnectionRefused,
        _ => false,
    }
}
