//! HTTP client for instances and the platform, with a connection pool.

use {
    super::*,
    http_body_util::{BodyExt, Full, Limited},
    hyper::{Request, client::conn::http1, header},
    hyper_util::rt::TokioIo,
    job::CallError,
    tokio::{net::TcpStream, sync::Semaphore, task::spawn_local},
};

const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Maximum number of concurrent calls to one address, not counting renewals.
const MAX_CONCURRENT_CALLS: usize = 6;

/// Maximum number of idle connections to one address.
const MAX_IDLE_CONNECTIONS: usize = 4;

/// Maximum size of a response body, in bytes.
const MAX_ANSWER_BYTES: usize = 4 * 1024 * 1024;

type Sender = http1::SendRequest<Full<Bytes>>;

/// Connections by address.
#[derive(Default)]
pub(crate) struct HttpClient {
    hosts: RefCell<Map<Name, Rc<Host>>>,
}

struct Host {
    idle: RefCell<Vec<Sender>>,
    calls: Semaphore,
}

impl HttpClient {
    fn host(&self, address: &Name) -> Rc<Host> {
        let mut hosts = self.hosts.borrow_mut();
        let host = hosts.entry(address.clone()).or_insert_with(|| {
            let calls = Semaphore::new(MAX_CONCURRENT_CALLS);
            Rc::new(Host { idle: RefCell::default(), calls })
        });
        host.clone()
    }

    /// Sends a request and returns the status and body of the response.
    ///
    /// Calls to the same address queue for one of a limited number of permits. Calls with
    /// `long_poll` set, which the server may hold open for long, do not need one.
    pub(crate) async fn call(
        &self,
        address: &Name,
        outgoing: platform::Outgoing,
        long_poll: bool,
        timeout: Duration,
    ) -> Result<(u16, Bytes), CallError> {
        let host = self.host(address);
        let exchange = async {
            let _permit = if long_poll { None } else { host.calls.acquire().await.ok() };
            host.exchange(address, outgoing).await
        };
        tokio::time::timeout(timeout, exchange).await.unwrap_or(Err(CallError::Timeout))
    }
}

impl Host {
    async fn exchange(
        &self,
        address: &Name,
        outgoing: platform::Outgoing,
    ) -> Result<(u16, Bytes), CallError> {
        let mut sender = match self.idle_connection() {
            Some(sender) => sender,
            None => connect(address).await?,
        };
        let mut builder = Request::builder()
            .method(outgoing.method)
            .uri(&outgoing.path)
            .header(header::HOST, &**address);
        if outgoing.body.is_some() {
            builder = builder.header(header::CONTENT_TYPE, "application/json");
        }
        for (name, value) in outgoing.headers {
            builder = builder.header(name, value);
        }
        let body = Full::new(Bytes::from(outgoing.body.unwrap_or_default()));
        let request = builder.body(body).map_err(|_| CallError::Unreadable)?;
        let response = sender.send_request(request).await.map_err(|_| CallError::Broken)?;
        let status = response.status().as_u16();
        let body = Limited::new(response.into_body(), MAX_ANSWER_BYTES).collect().await;
        let body = body.map_err(|_| CallError::Broken)?.to_bytes();
        if self.idle.borrow().len() < MAX_IDLE_CONNECTIONS {
            self.idle.borrow_mut().push(sender);
        }
        Ok((status, body))
    }

    fn idle_connection(&self) -> Option<Sender> {
        let mut idle = self.idle.borrow_mut();
        idle.retain(|sender| !sender.is_closed());
        let ready = idle.iter().rposition(|sender| sender.is_ready())?;
        Some(idle.remove(ready))
    }
}

async fn connect(address: &Name) -> Result<Sender, CallError> {
    // Names are not resolved: that cannot be given up, and would hold up the end of the process.
    let address = address.parse::<SocketAddr>().map_err(|_| CallError::Unreadable)?;
    let connecting = TcpStream::connect(address);
    let stream = tokio::time::timeout(CONNECT_TIMEOUT, connecting).await;
    let stream = stream.map_err(|_| CallError::Timeout)?.map_err(|_| CallError::Refused)?;
    stream.set_nodelay(true).ok();
    let handshake = http1::handshake(TokioIo::new(stream)).await;
    let (sender, connection) = handshake.map_err(|_| CallError::Broken)?;
    spawn_local(async move {
        connection.await.ok();
    });
    Ok(sender)
}
