//! What the three HTTP edges share.

use super::*;

/// Threads that wait for requests at one edge.
const THREADS: usize = 8;

/// An error as the edges report it.
#[derive(Debug, Serialize)]
pub(crate) struct Failure {
    pub(crate) error: String,
}

/// Listens on `address`, and hands each request to `handle` on one of a few threads.
pub(crate) fn serve(
    address: SocketAddr,
    handle: impl Fn(tiny_http::Request) + Clone + Send + 'static,
) -> eyre::Result<()> {
    let server = tiny_http::Server::http(address)
        .map_err(|error| eyre::eyre!("cannot listen on `{address}`: {error}"))?;
    let server = Arc::new(server);
    for _ in 0..THREADS {
        let (server, handle) = (server.clone(), handle.clone());
        thread::spawn(move || {
            while let Ok(request) = server.recv() {
                handle(request);
            }
        });
    }
    Ok(())
}

/// Reads a body of at most `max` bytes.
pub(crate) fn body(request: &mut tiny_http::Request, max: usize) -> Result<Vec<u8>, Failure> {
    let mut body = Vec::new();
    let read = request.as_reader().take(max as u64 + 1).read_to_end(&mut body);
    match read {
        Ok(bytes) if bytes > max => Err(failure(format!("body is over {max} bytes"))),
        Ok(_) => Ok(body),
        Err(error) => Err(failure(format!("cannot read the body: {error}"))),
    }
}

/// Reads a JSON body.
pub(crate) fn json<T: DeserializeOwned>(
    request: &mut tiny_http::Request,
    max: usize,
) -> Result<T, Failure> {
    let body = body(request, max)?;
    serde_json::from_slice(&body).map_err(|error| failure(format!("cannot read the body: {error}")))
}

pub(crate) fn failure(error: impl Into<String>) -> Failure {
    Failure { error: error.into() }
}

/// Answers with `value` as JSON.
pub(crate) fn respond<T: Serialize>(request: tiny_http::Request, status: u16, value: &T) {
    let body = serde_json::to_vec(value).unwrap_or_default();
    let response = tiny_http::Response::from_data(body)
        .with_status_code(status)
        .with_header(header::make("Content-Type", "application/json"));
    request.respond(response).ok();
}
