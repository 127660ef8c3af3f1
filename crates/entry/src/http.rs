//! HTTP edges: requests become calls, and answers become responses.

use {
    super::*,
    http_body_util::{BodyExt, Full, Limited},
    hyper::{Request, Response, body::Incoming, header, server::conn::http1, service::service_fn},
    hyper_util::rt::TokioIo,
    std::convert::Infallible,
    tokio::{
        net::{TcpListener, TcpStream},
        task::spawn_local,
    },
};

/// Largest body taken, in bytes.
const MAX_BODY_BYTES: usize = 4 * 1024 * 1024;

/// How long a client may take for the head of a request.
const HEAD_TIMEOUT: Duration = Duration::from_secs(15);

/// Longest wait for an answer to a caller.
const CALLER_PATIENCE: Duration = Duration::from_millis(1800);

/// Longest wait for an answer to an instance or an operator, who turn elsewhere after a second.
const CONTROL_PATIENCE: Duration = Duration::from_millis(900);

/// What is left of a caller's time for the answer to travel.
const TRAVEL: Duration = Duration::from_millis(60);

/// What an edge shares with the loop.
pub(crate) struct Edge {
    pub(crate) calls: mpsc::UnboundedSender<(Call, Duration, oneshot::Sender<Answer>)>,
    pub(crate) ready: Cell<bool>,
    pub(crate) stopping: Cell<bool>,
    pub(crate) in_flight: Cell<usize>,
    pub(crate) metrics: Rc<Metrics>,
}

/// Who may call an address.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Audience {
    Callers,
    Control,
    Balancer,
    Scraper,
}

/// Serves `address` until the process ends.
pub(crate) async fn serve(
    address: SocketAddr,
    audience: Audience,
    edge: Rc<Edge>,
) -> eyre::Result<()> {
    let listener = TcpListener::bind(address)
        .await
        .wrap_err_with(|| format!("cannot listen on `{address}`"))?;
    spawn_local(async move {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    spawn_local(connection(stream, audience, edge.clone()));
                }
                Err(_) => tokio::time::sleep(Duration::from_millis(20)).await,
            }
        }
    });
    Ok(())
}

async fn connection(stream: TcpStream, audience: Audience, edge: Rc<Edge>) {
    stream.set_nodelay(true).ok();
    let service = service_fn(move |request| handle(request, audience, edge.clone()));
    let mut builder = http1::Builder::new();
    builder.timer(hyper_util::rt::TokioTimer::new()).header_read_timeout(HEAD_TIMEOUT);
    // A client that goes away in the middle of a request is no fault of ours.
    builder.serve_connection(TokioIo::new(stream), service).await.ok();
}

type Body = Full<Bytes>;

async fn handle(
    request: Request<Incoming>,
    audience: Audience,
    edge: Rc<Edge>,
) -> Result<Response<Body>, Infallible> {
    if audience == Audience::Balancer {
        let ready = request.uri().path() == platform::READY_PATH && edge.ready.get();
        return Ok(plain(if ready { 200 } else { 503 }));
    }
    if audience == Audience::Scraper {
        let mut response = plain(200);
        let kind = header::HeaderValue::from_static(metrics::CONTENT_TYPE);
        response.headers_mut().insert(header::CONTENT_TYPE, kind);
        *response.body_mut() = Full::new(edge.metrics.text().into());
        return Ok(response);
    }
    edge.in_flight.set(edge.in_flight.get() + 1);
    let response = respond(request, audience, &edge).await;
    edge.in_flight.set(edge.in_flight.get() - 1);
    Ok(response)
}

async fn respond(request: Request<Incoming>, audience: Audience, edge: &Edge) -> Response<Body> {
    let started = std::time::Instant::now();
    let (head, body) = request.into_parts();
    let Ok(body) = Limited::new(body, MAX_BODY_BYTES).collect().await else { return plain(400) };
    let body = body.to_bytes();
    let text = |name: &str| head.headers.get(name).and_then(|value| value.to_str().ok());
    let left = text(platform::TIME_LEFT_HEADER)
        .and_then(|left| left.parse().ok())
        .map(Duration::from_millis);
    let request = platform::Request {
        method: head.method.as_str(),
        path: head.uri.path(),
        host: text("Host").unwrap_or_default(),
        body: &body,
    };
    let callers = audience == Audience::Callers;
    let patience = if callers { CALLER_PATIENCE } else { CONTROL_PATIENCE };
    let patience = left.map_or(patience, |left| left.saturating_sub(TRAVEL).min(patience));
    let response = match platform::parse_call(&request, callers) {
        Err(response) => response,
        Ok(call) => {
            let (sender, receiver) = oneshot::channel();
            let sent = edge.calls.send((call, patience, sender));
            let answer = if sent.is_ok() { receiver.await.ok() } else { None };
            platform::response(&answer.unwrap_or(Answer::Unknown))
        }
    };
    let call = if callers { "callers" } else { "control" };
    edge.metrics.answered(call, response.status, started.elapsed());
    let mut builder = Response::builder().status(response.status);
    if let Some(seconds) = response.retry_after {
        builder = builder.header(header::RETRY_AFTER, seconds);
    }
    if edge.stopping.get() {
        builder = builder.header(header::CONNECTION, "close");
    }
    if response.body.is_some() {
        builder = builder.header(header::CONTENT_TYPE, "application/json");
    }
    let body = Full::new(response.body.unwrap_or_default().into());
    builder.body(body).unwrap_or_else(|_| plain(500))
}

fn plain(status: u16) -> Response<Body> {
    let mut response = Response::new(Body::default());
    if let Ok(status) = hyper::StatusCode::from_u16(status) {
        *response.status_mut() = status;
    }
    response
}
