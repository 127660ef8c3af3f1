use {
    super::*,
    rustls::{
        DigitallySignedStruct, SignatureScheme,
        client::danger::{HandshakeSignatureValid, ServerCertVerified, ServerCertVerifier},
        crypto::{CryptoProvider, verify_tls12_signature, verify_tls13_signature},
        pki_types::UnixTime,
    },
    std::{
        cell::{Cell, RefCell},
        rc::Rc,
    },
    tokio::task::spawn_local,
};

/// Maximum number of frames queued for one peer.
const OUTBOX_FRAMES: usize = 4096;

/// Maximum size of the frames queued for one peer, in bytes. An empty queue takes any frame: the
/// protocols above repeat what was dropped, and would repeat a frame that never fits for ever.
const OUTBOX_BYTES: usize = model::MAX_REQUEST_BYTES;

/// Time within which a connection must be established.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(800);

/// Initial estimate of the round-trip time, until it is measured; data centres of a region are
/// close to each other.
const INITIAL_RTT: Duration = Duration::from_millis(20);

/// Exchanges frames with daemons that discover each other at run time.
///
/// Every daemon generates a key at start; no certificates are distributed. Frames are encrypted,
/// but a peer is identified only by its address: anyone who can send from the address of a member,
/// or answer at it, can impersonate it. The network between the instances must prevent that.
///
/// Runs on the current thread, within a `LocalSet`. Each connection serves both directions,
/// whichever side opened it. Frames that cannot be sent are dropped: every protocol above repeats
/// what it needs.
pub struct Mesh {
    endpoint: quinn::Endpoint,
    peers: Rc<RefCell<model::Map<SocketAddr, Peer>>>,
    inbox: mpsc::UnboundedSender<(SocketAddr, Vec<u8>)>,
}

struct Peer {
    outbox: Outbox,
    /// Id of the connection in use; `None` while an outgoing connection is being established.
    connection: Option<usize>,
}

/// Sending end of the queue of frames for one peer.
#[derive(Clone)]
struct Outbox {
    frames: mpsc::Sender<Vec<u8>>,
    /// Total size of the queued frames.
    bytes: Rc<Cell<usize>>,
}

/// Receiving end of an [`Outbox`].
struct OutboxReceiver {
    frames: mpsc::Receiver<Vec<u8>>,
    bytes: Rc<Cell<usize>>,
}

impl Outbox {
    fn new() -> (Self, OutboxReceiver) {
        let (sender, receiver) = mpsc::channel(OUTBOX_FRAMES);
        let bytes = Rc::<Cell<usize>>::default();
        (Self { frames: sender, bytes: bytes.clone() }, OutboxReceiver { frames: receiver, bytes })
    }

    /// Queues `body`; returns false if the queue is full or closed.
    fn try_send(&self, body: Vec<u8>) -> bool {
        let queued = self.bytes.get();
        let bytes = queued + body.len();
        let has_room = queued == 0 || bytes <= OUTBOX_BYTES;
        let fits = has_room && self.frames.try_send(body).is_ok();
        if fits {
            self.bytes.set(bytes);
        }
        fits
    }
}

impl OutboxReceiver {
    async fn recv(&mut self) -> Option<Vec<u8>> {
        let body = self.frames.recv().await?;
        self.bytes.set(self.bytes.get() - body.len());
        Some(body)
    }
}

impl Mesh {
    /// Listens on `address`, and passes every received frame to `inbox`.
    pub fn start(
        address: SocketAddr,
        inbox: mpsc::UnboundedSender<(SocketAddr, Vec<u8>)>,
    ) -> Result<Rc<Self>> {
        let (server, client) = tls_configs()?;
        let endpoint = quinn::Endpoint::server(server, address);
        let mut endpoint = endpoint.map_err(|source| Error::Listen { address, source })?;
        endpoint.set_default_client_config(client);
        let mesh = Rc::new(Self { endpoint, peers: Rc::default(), inbox });
        spawn_local(mesh.clone().accept());
        Ok(mesh)
    }

    /// Queues `body` for `to`; if the queue is full, drops it and returns false.
    pub fn send(self: &Rc<Self>, to: SocketAddr, body: Vec<u8>) -> bool {
        let known = self.peers.borrow().get(&to).map(|peer| peer.outbox.clone());
        let outbox = known
            .filter(|outbox| !outbox.frames.is_closed())
            .unwrap_or_else(|| self.open_connection(to));
        outbox.try_send(body)
    }

    fn open_connection(self: &Rc<Self>, to: SocketAddr) -> Outbox {
        let (outbox, queued) = Outbox::new();
        self.peers.borrow_mut().insert(to, Peer { outbox: outbox.clone(), connection: None });
        spawn_local(self.clone().connect(to, queued));
        outbox
    }

    /// Connects to `to`, and serves the connection until it fails.
    async fn connect(self: Rc<Self>, to: SocketAddr, queued: OutboxReceiver) {
        let Ok(connecting) = self.endpoint.connect(to, PEER_NAME) else { return };
        if let Ok(Ok(connection)) = tokio::time::timeout(CONNECT_TIMEOUT, connecting).await {
            if let Some(peer) =
                self.peers.borrow_mut().get_mut(&to).filter(|p| p.connection.is_none())
            {
                peer.connection = Some(connection.stable_id());
            }
            spawn_local(self.clone().receive(connection.clone()));
            send_frames(connection, queued).await;
        }
    }

    /// Accepts connections; each replaces the previous connection to the same address for sending.
    async fn accept(self: Rc<Self>) {
        while let Some(incoming) = self.endpoint.accept().await {
            let mesh = self.clone();
            spawn_local(async move {
                let Ok(connection) = incoming.await else { return };
                let (outbox, queued) = Outbox::new();
                let id = Some(connection.stable_id());
                let peer = Peer { outbox, connection: id };
                mesh.peers.borrow_mut().insert(connection.remote_address(), peer);
                spawn_local(mesh.clone().receive(connection.clone()));
                send_frames(connection, queued).await;
            });
        }
    }

    /// Passes the frames of one connection to the inbox, until the stream ends.
    async fn receive(self: Rc<Self>, connection: quinn::Connection) {
        let from = connection.remote_address();
        if let Ok(mut stream) = connection.accept_uni().await {
            while let Ok(body) = link::read(&mut stream).await {
                if self.inbox.send((from, body)).is_err() {
                    return;
                }
            }
        }
        connection.close(0u8.into(), b"stream ended");
        let mut peers = self.peers.borrow_mut();
        if peers.get(&from).is_some_and(|peer| peer.connection == Some(connection.stable_id())) {
            peers.remove(&from);
        }
    }
}

/// Subject name in the certificates of all daemons.
const PEER_NAME: &str = "sardinevalve";

/// Sends the queued frames over one stream, until the connection fails.
async fn send_frames(connection: quinn::Connection, mut queued: OutboxReceiver) {
    let Ok(mut stream) = connection.open_uni().await else { return };
    loop {
        let body = tokio::select! {
            body = queued.recv() => body,
            _ = connection.closed() => return,
        };
        let Some(body) = body else { break };
        if link::write(&mut stream, body).await.is_err() {
            return;
        }
    }
    // All senders are gone, since another connection to the peer has replaced this one; it may
    // still deliver incoming frames.
    connection.closed().await;
}

/// Server and client configuration, with a newly generated key.
fn tls_configs() -> Result<(quinn::ServerConfig, quinn::ClientConfig)> {
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let generated = rcgen::generate_simple_self_signed(vec![PEER_NAME.into()])?;
    let key = PrivateKeyDer::try_from(generated.signing_key.serialize_der())
        .map_err(|_| Error::Certificate(rcgen::Error::CouldNotParseKeyPair))?;
    let server = rustls::ServerConfig::builder_with_provider(provider.clone())
        .with_protocol_versions(&[&rustls::version::TLS13])?
        .with_no_client_auth()
        .with_single_cert(vec![generated.cert.der().clone()], key)?;
    let server = quinn::crypto::rustls::QuicServerConfig::try_from(server)?;
    let mut server = quinn::ServerConfig::with_crypto(Arc::new(server));
    let client = rustls::ClientConfig::builder_with_provider(provider.clone())
        .with_protocol_versions(&[&rustls::version::TLS13])?
        .dangerous()
        .with_custom_certificate_verifier(Arc::new(AcceptAnyCertificate(provider)))
        .with_no_client_auth();
    let client = quinn::crypto::rustls::QuicClientConfig::try_from(client)?;
    let mut client = quinn::ClientConfig::new(Arc::new(client));
    let mut transport = link::transport_config();
    transport.initial_rtt(INITIAL_RTT);
    let transport = Arc::new(transport);
    server.transport_config(transport.clone());
    client.transport_config(transport);
    Ok((server, client))
}

/// Accepts the certificate of any daemon, since no authority issues them.
#[derive(Debug)]
struct AcceptAnyCertificate(Arc<CryptoProvider>);

impl ServerCertVerifier for AcceptAnyCertificate {
    fn verify_server_cert(
        &self,
        _: &CertificateDer<'_>,
        _: &[CertificateDer<'_>],
        _: &ServerName<'_>,
        _: &[u8],
        _: UnixTime,
    ) -> Result<ServerCertVerified, rustls::Error> {
        Ok(ServerCertVerified::assertion())
    }

    fn verify_tls12_signature(
        &self,
        message: &[u8],
        certificate: &CertificateDer<'_>,
        signature: &DigitallySignedStruct,
    ) -> Result<HandshakeSignatureValid, rustls::Error> {
        let algorithms = &self.0.signature_verification_algorithms;
        verify_tls12_signature(message, certificate, signature, algorithms)
    }

    fn verify_tls13_signature(
        &self,
        message: &[u8],
        certificate: &CertificateDer<'_>,
        signature: &DigitallySignedStruct,
    ) -> Result<HandshakeSignatureValid, rustls::Error> {
        let algorithms = &self.0.signature_verification_algorithms;
        verify_tls13_signature(message, certificate, signature, algorithms)
    }

    fn supported_verify_schemes(&self) -> Vec<SignatureScheme> {
        self.0.signature_verification_algorithms.supported_schemes()
    }
}
