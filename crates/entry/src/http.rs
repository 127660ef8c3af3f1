//! HTTP servers, which turn requests into calls and answers into responses.

use {
    super::*,
    http_body_util::{BodyExt, Full, LengthLimitError, Limited},
    hyper::{
        Request, Response,
        body::{Body as _, Incoming},
        header,
        server::conn::http1,
        service::service_fn,
    },
    hyper_util::rt::TokioIo,
    std::convert::Infallible,
    tokio::{
        net::{TcpListener, TcpStream},
        task::spawn_local,
    },
};

/// Time for which the rest of a request that was refused for its size is read and discarded, so that
/// its client finds the answer.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(5);

/// Time allowed for receiving the head of a request.
const HEAD_TIMEOUT: Duration = Duration::from_secs(15);

/// Maximum time that a caller waits for an answer.
const CALLER_TIMEOUT: Duration = Duration::from_millis(1800);

/// Maximum time that an instance or an operator waits for an answer; they try another daemon after
/// a second.
const CONTROL_TIMEOUT: Duration = Duration::from_millis(900);

/// Part of the caller's deadline that is reserved for the response to travel.
const RESPONSE_MARGIN: Duration = Duration::from_millis(60);

/// State shared between the HTTP servers and the main loop.
pub(crate) struct ServerState {
    pub(crate) calls: mpsc::UnboundedSender<(Call, Duration, oneshot::Sender<Answer>)>,
    pub(crate) ready: Cell<bool>,
    pub(crate) stopping: Cell<bool>,
    /// Requests that were refused before they were read to their end, for the log.
    pub(crate) refused: mpsc::UnboundedSender<(String, Answer)>,
    /// Whether this daemon drains: takes no more connections and closes the idle ones.
    pub(crate) drain: watch::Sender<bool>,
    /// Number of requests that were read whole and whose answer may not have been sent yet.
    pub(crate) unanswered: Cell<usize>,
    pub(crate) metrics: Rc<Metrics>,
}

/// Clients that an address is meant for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Endpoint {
    Callers,
    Control,
    Balancer,
    Scraper,
}

impl Endpoint {
    /// Name in metrics.
    fn name(self) -> &'static str {
        if self == Self::Callers { "callers" } else { "control" }
    }

    /// Whether the address is closed while the daemon drains. The balancer and scrapers are answered
    /// until the process ends.
    fn drains(self) -> bool {
        matches!(self, Self::Callers | Self::Control)
    }
}

/// A request that was read whole, until its connection ends or has its next request.
struct Unanswered(Rc<ServerState>);

impl Unanswered {
    fn enter(server: &Rc<ServerState>) -> Self {
        server.unanswered.set(server.unanswered.get() + 1);
        Self(server.clone())
    }
}

impl Drop for Unanswered {
    fn drop(&mut self) {
        self.0.unanswered.set(self.0.unanswered.get() - 1);
    }
}

/// Listens on `address` until this daemon drains.
pub(crate) async fn serve(
    address: SocketAddr,
    endpoint: Endpoint,
    server: Rc<ServerState>,
) -> eyre::Result<()> {
    let listener = TcpListener::bind(address)
        .await
        .wrap_err_with(|| format!("cannot listen on `{address}`"))?;
    spawn_local(async move {
        loop {
            let accepted = tokio::select! {
                biased;
                accepted = listener.accept() => accepted,
                () = draining(endpoint, &server) => return,
            };
            match accepted {
                Ok((stream, _)) => {
                    spawn_local(connection(stream, endpoint, server.clone()));
                }
                Err(_) => tokio::time::sleep(Duration::from_millis(20)).await,
            }
        }
    });
    Ok(())
}

/// Waits until this daemon drains; for ever if the endpoint does not.
async fn draining(endpoint: Endpoint, server: &ServerState) {
    let mut drain = server.drain.subscribe();
    if !endpoint.drains() || drain.wait_for(|drains| *drains).await.is_err() {
        std::future::pending::<()>().await;
    }
}

/// Serves a connection. Once this daemon drains, the connection ends after the answer to a request that
/// has arrived.
async fn connection(stream: TcpStream, endpoint: Endpoint, server: Rc<ServerState>) {
    stream.set_nodelay(true).ok();
    let unanswered = Rc::new(Cell::new(None));
    let service = {
        let server = server.clone();
        service_fn(move |request| handle(request, endpoint, server.clone(), unanswered.clone()))
    };
    let mut builder = http1::Builder::new();
    builder.timer(hyper_util::rt::TokioTimer::new()).header_read_timeout(HEAD_TIMEOUT);
    let mut connection = std::pin::pin!(builder.serve_connection(TokioIo::new(stream), service));
    // Errors are ignored: the client may disconnect in the middle of a request.
    tokio::select! {
        biased;
        result = connection.as_mut() => return result.unwrap_or_default(),
        () = draining(endpoint, &server) => connection.as_mut().graceful_shutdown(),
    }
    connection.await.ok();
}

type Body = Full<Bytes>;

async fn handle(
    request: Request<Incoming>,
    endpoint: Endpoint,
    server: Rc<ServerState>,
    unanswered: Rc<Cell<Option<Unanswered>>>,
) -> Result<Response<Body>, Infallible> {
    let mut response = match endpoint {
        Endpoint::Balancer => {
            let ready = request.uri().path() == platform::READY_PATH && server.ready.get();
            empty_response(if ready { 200 } else { 503 })
        }
        Endpoint::Scraper => {
            let mut response = empty_response(200);
            let kind = header::HeaderValue::from_static(metrics::CONTENT_TYPE);
            response.headers_mut().insert(header::CONTENT_TYPE, kind);
            *response.body_mut() = Full::new(server.metrics.text().into());
            response
        }
        Endpoint::Callers | Endpoint::Control => {
            unanswered.set(None);
            respond(request, endpoint, &server, &unanswered).await
        }
    };
    if server.stopping.get() {
        let close = header::HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    Ok(response)
}

async fn respond(
    request: Request<Incoming>,
    endpoint: Endpoint,
    server: &Rc<ServerState>,
    unanswered: &Cell<Option<Unanswered>>,
) -> Response<Body> {
    let started = std::time::Instant::now();
    let (head, body) = request.into_parts();
    let body = match read(body).await {
        Ok(body) => body,
        Err(answer) => {
            let call = format!("{} {}", head.method, head.uri.path());
            server.refused.send((call, answer.clone())).ok();
            let response = platform::response(&answer);
            server.metrics.observe_answer(endpoint.name(), response.status, started.elapsed());
            return http_response(response, true);
        }
    };
    unanswered.set(Some(Unanswered::enter(server)));
    let header_text = |name: &str| head.headers.get(name).and_then(|value| value.to_str().ok());
    let time_left = header_text(platform::TIME_LEFT_HEADER)
        .and_then(|time_left| time_left.parse().ok())
        .map(Duration::from_millis);
    let request = platform::Request {
        method: head.method.as_str(),
        path: head.uri.path(),
        host: header_text("Host").unwrap_or_default(),
        // A value that is not text is not the same as no value: its key is unknown.
        authorization: head
            .headers
            .get(header::AUTHORIZATION)
            .map(|value| std::str::from_utf8(value.as_bytes()).unwrap_or_default()),
        body: &body,
    };
    let callers = endpoint == Endpoint::Callers;
    let timeout = if callers { CALLER_TIMEOUT } else { CONTROL_TIMEOUT };
    let timeout = time_left
        .map_or(timeout, |time_left| time_left.saturating_sub(RESPONSE_MARGIN).min(timeout));
    let response = match platform::parse_call(&request, callers) {
        Err(response) => response,
        Ok(call) => {
            let (sender, receiver) = oneshot::channel();
            let sent = server.calls.send((call, timeout, sender));
            let answer = if sent.is_ok() { receiver.await.ok() } else { None };
            platform::response(&answer.unwrap_or(Answer::Unknown))
        }
    };
    server.metrics.observe_answer(endpoint.name(), response.status, started.elapsed());
    http_response(response, false)
}

/// Reads the body of a request; gives the answer to one that is too large, or not read to its end.
async fn read(mut body: Incoming) -> Result<Bytes, Answer> {
    let max = model::MAX_REQUEST_BYTES;
    let too_large = body.size_hint().lower() > max as u64;
    if !too_large {
        match Limited::new(&mut body, max).collect().await {
            Ok(read) => return Ok(read.to_bytes()),
            Err(error) if !error.is::<LengthLimitError>() => {
                return Err(Answer::Invalid(error.to_string()));
            }
            Err(_) => {}
        }
    }
    spawn_local(tokio::time::timeout(DISCARD_TIMEOUT, async move {
        while let Some(Ok(_)) = body.frame().await {}
    }));
    Err(Answer::TooLarge { max })
}

fn http_response(response: platform::Response, close: bool) -> Response<Body> {
    let mut builder = Response::builder().status(response.status);
    if let Some(seconds) = response.retry_after {
        builder = builder.header(header::RETRY_AFTER, seconds);
    }
    if close {
        builder = builder.header(header::CONNECTION, "close");
    }
    if response.body.is_some() {
        builder = builder.header(header::CONTENT_TYPE, "application/json");
    }
    let body = Full::new(response.body.unwrap_or_default().into());
    builder.body(body).unwrap_or_else(|_| empty_response(500))
}

fn empty_response(status: u16) -> Response<Body> {
    let mut response = Response::new(Body::default());
    if let Ok(status) = hyper::StatusCode::from_u16(status) {
        *response.status_mut() = status;
    }
    response
}
