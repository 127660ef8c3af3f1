//! Sends requests to upstreams.

use super::*;

/// Time within which a connection to an upstream must be established.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Maximum size of an answer body, in bytes.
const MAX_ANSWER_BYTES: u64 = 16 * 1024 * 1024;

/// Status codes of answers without a body.
const STATUSES_WITHOUT_BODY: [u16; 2] = [204, 304];

/// Sends `call` as `attempt`, and reports the result.
pub(crate) fn send(
    attempt: &route::Attempt,
    call: &Call,
    clock: Clock,
) -> (route::Report, Option<Answer>) {
    let now = clock.now();
    let Some(remaining) = attempt.deadline.checked_sub(now).filter(|_| now < attempt.lease) else {
        return (route::Report::NotSent, None);
    };
    match exchange(attempt, call, remaining) {
        Ok((true, _)) => (route::Report::Refused, None),
        Ok((false, answer)) => (route::Report::Answered, Some(answer)),
        Err(error) if was_connection_refused(&error) => (route::Report::NotSent, None),
        Err(_) if clock.now() >= attempt.deadline => (route::Report::Late, None),
        Err(_) => (route::Report::Broken, None),
    }
}

/// Sends the request and reads the complete answer; the flag tells whether the answer states that
/// the request was not run.
fn exchange(
    attempt: &route::Attempt,
    call: &Call,
    remaining: Duration,
) -> attohttpc::Result<(bool, Answer)> {
    let response = prepare(attempt, call, remaining)?.bytes(&call.body).send()?;
    let (status, headers, reader) = response.split();
    let status = status.as_u16();
    if status < 200 {
        return Err(broken("answer is not final"));
    }
    let text = |name: &str| headers.get(name).and_then(|value| value.to_str().ok());
    let refused = status == 503 && text(header::OUTCOME) == Some(header::NOT_RUN);
    let has_body = call.method != "HEAD" && !STATUSES_WITHOUT_BODY.contains(&status);
    let length = text("content-length").and_then(|length| length.parse().ok());
    let body = if has_body { read(reader, length)? } else { Vec::new() };
    let all =
        headers.iter().filter_map(|(name, value)| Some((name.as_str(), value.to_str().ok()?)));
    let headers = header::forwarded(all, text("connection").unwrap_or_default());
    Ok((refused, Answer { status, headers, body }))
}

fn prepare(
    attempt: &route::Attempt,
    call: &Call,
    remaining: Duration,
) -> attohttpc::Result<attohttpc::RequestBuilder> {
    let method = attohttpc::Method::from_bytes(call.method.as_bytes())
        .map_err(|error| attohttpc::Error::from(attohttpc::ErrorKind::Http(error.into())))?;
    let url = format!("http://{}{}", attempt.address, call.path);
    let mut request = attohttpc::RequestBuilder::try_new(method, url)?
        .follow_redirects(false)
        .proxy_settings(attohttpc::ProxySettings::builder().build())
        .max_headers(header::MAX_COUNT)
        .connect_timeout(CONNECT_TIMEOUT.min(remaining))
        .read_timeout(remaining);
    for (name, value) in &call.headers {
        let name = attohttpc::header::HeaderName::from_bytes(name.as_bytes())
            .map_err(|error| attohttpc::Error::from(attohttpc::ErrorKind::Http(error.into())))?;
        request = request.try_header_append(name, value.as_str())?;
    }
    request
        .try_header(header::KIND, call.kind.as_str())?
        .try_header(header::TENANT, call.tenant.as_str())?
        .try_header(header::REQUEST, call.id.as_str())?
        .try_header(header::ATTEMPT, attempt.id)
}

/// Reads a complete body; `length` is its stated length. A body whose end is not marked by a length
/// or by chunks is rejected, since a broken connection would look like its end.
fn read(reader: attohttpc::ResponseReader, length: Option<u64>) -> attohttpc::Result<Vec<u8>> {
    if length.is_none() && !is_chunked(&reader) {
        return Err(broken("answer has neither a `Content-Length` nor chunked encoding"));
    }
    let mut body = Vec::new();
    let bytes = reader.take(MAX_ANSWER_BYTES + 1).read_to_end(&mut body)? as u64;
    if bytes > MAX_ANSWER_BYTES {
        return Err(broken("answer is too large"));
    }
    if length.is_some_and(|length| length != bytes) {
        return Err(broken("answer ended before its stated length"));
    }
    Ok(body)
}

/// Whether a body is chunked. The library exposes neither the `Transfer-Encoding` header nor the
/// type of the reader, so only its debug output tells a chunked body from one that ends with the
/// connection.
fn is_chunked(reader: &attohttpc::ResponseReader) -> bool {
    format!("{reader:?}").contains("Chunked(")
}

fn broken(message: &str) -> attohttpc::Error {
    std::io::Error::other(message).into()
}

/// Whether the connection was refused, so that no byte can have reached the upstream.
fn was_connection_refused(error: &attohttpc::Error) -> bool {
    match error.kind() {
        attohttpc::ErrorKind::Io(error) => error.kind() == ErrorKind::ConnectionRefused,
        _ => false,
    }
}
