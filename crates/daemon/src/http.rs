//! Code shared by the three HTTP interfaces.

use super::*;

/// Size up to which `tiny_http` reads a body before it passes the request on, in bytes.
const BUFFERED_BODY_BYTES: usize = 1024;

/// Time within which a complete body must arrive.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// An error, as reported to clients.
#[derive(Debug, Serialize)]
pub(crate) struct Failure {
    #[serde(skip)]
    pub(crate) status: u16,
    pub(crate) error: String,
}

/// Listens on `address`, and calls `handle` for each request on a pool thread, where it may block.
pub(crate) fn serve(
    address: SocketAddr,
    limits: Limits,
    handle: impl Fn(tiny_http::Request) + Clone + Send + Sync + 'static,
) -> eyre::Result<()> {
    let pool = Pool::new();
    Acceptor::start(address, limits, move |request| {
        let handle = handle.clone();
        pool.run(move || handle(request));
    })
}

/// Whether the body of `request` is already buffered, so that reading it does not block.
pub(crate) fn is_body_buffered(request: &tiny_http::Request) -> bool {
    let small = request.body_length().unwrap_or(0) <= BUFFERED_BODY_BYTES;
    small
        && !["Transfer-Encoding", "Expect"].iter().any(|name| header::get(request, name).is_some())
}

/// Reads a body of at most `max` bytes.
pub(crate) fn body(request: &mut tiny_http::Request, max: usize) -> Result<Vec<u8>, Failure> {
    let length = request.body_length();
    if length.is_some_and(|length| length > max) {
        return Err(too_large(max));
    }
    let body = read(request.as_reader(), max)?;
    if length.is_some_and(|length| length != body.len()) {
        return Err(failure("body ended before its stated length"));
    }
    Ok(body)
}

fn read(reader: &mut dyn Read, max: usize) -> Result<Vec<u8>, Failure> {
    let started = Instant::now();
    let mut body = Vec::new();
    let mut chunk = [0; 8 * 1024];
    while started.elapsed() < BODY_TIMEOUT {
        match reader.read(&mut chunk) {
            Ok(0) => return Ok(body),
            Ok(bytes) => body.extend_from_slice(&chunk[..bytes]),
            Err(error) if error.kind() == ErrorKind::WouldBlock => break,
            Err(error) => return Err(failure(format!("cannot read the body: {error}"))),
        }
        if body.len() > max {
            return Err(too_large(max));
        }
    }
    Err(failure("body did not arrive in time").with_status(408))
}

fn too_large(max: usize) -> Failure {
    failure(format!("body is over {max} bytes")).with_status(413)
}

/// Reads and parses a JSON body of at most `max` bytes.
pub(crate) fn json<T: DeserializeOwned>(
    request: &mut tiny_http::Request,
    max: usize,
) -> Result<T, Failure> {
    let body = body(request, max)?;
    serde_json::from_slice(&body).map_err(|error| failure(format!("cannot read the body: {error}")))
}

/// An error with status 400.
pub(crate) fn failure(error: impl Into<String>) -> Failure {
    Failure { status: 400, error: error.into() }
}

impl Failure {
    pub(crate) fn with_status(self, status: u16) -> Self {
        Self { status, ..self }
    }
}

/// Sends `value` as JSON.
pub(crate) fn respond<T: Serialize>(request: tiny_http::Request, status: u16, value: &T) {
    let body = serde_json::to_vec(value).unwrap_or_default();
    let response = tiny_http::Response::from_data(body)
        .with_status_code(status)
        .with_header(header::make("Content-Type", "application/json"));
    send(request, response);
}

/// Whether the daemon stops, so that connections are to close after their next answer.
static STOPPING: AtomicBool = AtomicBool::new(false);

/// From now on, asks clients to close their connections.
pub(crate) fn close_connections() {
    STOPPING.store(true, Ordering::Relaxed);
}

/// Sends `response` with a `Content-Length`, never chunked.
pub(crate) fn send(request: tiny_http::Request, response: tiny_http::Response<Cursor<Vec<u8>>>) {
    let response = response.with_chunked_threshold(usize::MAX);
    let sent = if STOPPING.load(Ordering::Relaxed) {
        send_last(request, response)
    } else {
        request.respond(response)
    };
    if let Err(error) = sent {
        log::debug!("answer not sent: {error}");
    }
}

/// Sends `response` with `Connection: close`, a header that `tiny_http` leaves out.
fn send_last(
    request: tiny_http::Request,
    response: tiny_http::Response<Cursor<Vec<u8>>>,
) -> std::io::Result<()> {
    let is_head = *request.method() == tiny_http::Method::Head;
    let version = request.http_version().clone();
    let mut bytes = Vec::new();
    response.raw_print(&mut bytes, version, request.headers(), is_head, None)?;
    let status_end = bytes.windows(2).position(|pair| pair == b"\r\n").map_or(0, |end| end + 2);
    bytes.splice(status_end..status_end, *b"Connection: close\r\n");
    let mut writer = request.into_writer();
    writer.write_all(&bytes)?;
    writer.flush()
}
