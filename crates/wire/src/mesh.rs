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

/// Frames that may wait for one peer.
const OUTBOX_FRAMES: usize = 4096;

/// Bytes that may wait for one peer: a second of the busiest link of a leader, small against its memory.
const OUTBOX_BYTES: usize = 4 * 1024 * 1024;

/// Time within which a connection must stand.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(800);

/// First guess of the round trip, before it is measured; data centres of a region are close.
const INITIAL_RTT: Duration = Duration::from_millis(20);

/// Frames between daemons that learn of each other while they run.
///
/// Every daemon makes a key at its start; nobody hands out certificates here. Frames are encrypted,
/// and a peer is known by its address: whoever can send from the address of a member, or answer at
/// it, can speak for it. The network between the instances must not let others do that.
///
/// Runs on the current thread, within a `LocalSet`. A connection serves both directions, whoever
/// made it. A frame that cannot be sent is dropped: every protocol above repeats what it needs.
pub struct Mesh {
    endpoint: quinn::Endpoint,
    peers: Rc<RefCell<model::Map<SocketAddr, Peer>>>,
    inbox: mpsc::UnboundedSender<(SocketAddr, Vec<u8>)>,
}

struct Peer {
    outbox: Outbox,
    /// Connection in use; the dialler's own has none until it stands.
    connection: Option<usize>,
}

/// Frames on their way to one peer.
#[derive(Clone)]
struct Outbox {
    frames: mpsc::Sender<Vec<u8>>,
    /// Bytes of the frames that wait.
    bytes: Rc<Cell<usize>>,
}

/// The other end of an [`Outbox`].
struct Waiting {
    frames: mpsc::Receiver<Vec<u8>>,
    bytes: Rc<Cell<usize>>,
}

impl Outbox {
    fn new() -> (Self, Waiting) {
        let (sender, receiver) = mpsc::channel(OUTBOX_FRAMES);
        let bytes = Rc::<Cell<usize>>::default();
        (Self { frames: sender, bytes: bytes.clone() }, Waiting { frames: receiver, bytes })
    }

    fn put(&self, body: Vec<u8>) -> bool {
        let bytes = self.bytes.get() + body.len();
        let fits = bytes <= OUTBOX_BYTES && self.frames.try_send(body).is_ok();
        if fits {
            self.bytes.set(bytes);
        }
        fits
    }
}

impl Waiting {
    async fn take(&mut self) -> Option<Vec<u8>> {
        let body = self.frames.recv().await?;
        self.bytes.set(self.bytes.get() - body.len());
        Some(body)
    }
}

impl Mesh {
    /// Listens on `address`, and hands every frame received to `inbox`.
    pub fn start(
        address: SocketAddr,
        inbox: mpsc::UnboundedSender<(SocketAddr, Vec<u8>)>,
    ) -> Result<Rc<Self>> {
        let (server, client) = keys()?;
        let endpoint = quinn::Endpoint::server(server, address);
        let mut endpoint = endpoint.map_err(|source| Error::Listen { address, source })?;
        endpoint.set_default_client_config(client);
        let mesh = Rc::new(Self { endpoint, peers: Rc::default(), inbox });
        spawn_local(mesh.clone().accept());
        Ok(mesh)
    }

    /// Sends `body` to `to`; drops it, and returns false, where the peer cannot keep up.
    pub fn send(self: &Rc<Self>, to: SocketAddr, body: Vec<u8>) -> bool {
        let known = self.peers.borrow().get(&to).map(|peer| peer.outbox.clone());
        let outbox =
            known.filter(|outbox| !outbox.frames.is_closed()).unwrap_or_else(|| self.dial(to));
        outbox.put(body)
    }

    fn dial(self: &Rc<Self>, to: SocketAddr) -> Outbox {
        let (outbox, waiting) = Outbox::new();
        self.peers.borrow_mut().insert(to, Peer { outbox: outbox.clone(), connection: None });
        spawn_local(self.clone().connect(to, waiting));
        outbox
    }

    async fn connect(self: Rc<Self>, to: SocketAddr, waiting: Waiting) {
        let Ok(connecting) = self.endpoint.connect(to, PEER) else { return };
        if let Ok(Ok(connection)) = tokio::time::timeout(CONNECT_TIMEOUT, connecting).await {
            if let Some(peer) =
                self.peers.borrow_mut().get_mut(&to).filter(|p| p.connection.is_none())
            {
                peer.connection = Some(connection.stable_id());
            }
            spawn_local(self.clone().receive(connection.clone()));
            pump(connection, waiting).await;
        }
    }

    async fn accept(self: Rc<Self>) {
        while let Some(incoming) = self.endpoint.accept().await {
            let mesh = self.clone();
            spawn_local(async move {
                let Ok(connection) = incoming.await else { return };
                let (outbox, waiting) = Outbox::new();
                let id = Some(connection.stable_id());
                let peer = Peer { outbox, connection: id };
                mesh.peers.borrow_mut().insert(connection.remote_address(), peer);
                spawn_local(mesh.clone().receive(connection.clone()));
                pump(connection, waiting).await;
            });
        }
    }

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

/// Name in the certificate of every daemon.
const PEER: &str = "sardinevalve";

/// Sends what waits over one stream, until the connection fails.
async fn pump(connection: quinn::Connection, mut waiting: Waiting) {
    let Ok(mut stream) = connection.open_uni().await else { return };
    loop {
        let body = tokio::select! {
            body = waiting.take() => body,
            _ = connection.closed() => return,
        };
        let Some(body) = body else { break };
        if link::write(&mut stream, &body).await.is_err() {
            return;
        }
    }
    // Another connection has taken the peer over; this one may still bring frames.
    connection.closed().await;
}

fn keys() -> Result<(quinn::ServerConfig, quinn::ClientConfig)> {
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let made = rcgen::generate_simple_self_signed(vec![PEER.into()])?;
    let key = PrivateKeyDer::try_from(made.signing_key.serialize_der())
        .map_err(|_| Error::Certificate(rcgen::Error::CouldNotParseKeyPair))?;
    let server = rustls::ServerConfig::builder_with_provider(provider.clone())
        .with_protocol_versions(&[&rustls::version::TLS13])?
        .with_no_client_auth()
        .with_single_cert(vec![made.cert.der().clone()], key)?;
    let server = quinn::crypto::rustls::QuicServerConfig::try_from(server)?;
    let mut server = quinn::ServerConfig::with_crypto(Arc::new(server));
    let client = rustls::ClientConfig::builder_with_provider(provider.clone())
        .with_protocol_versions(&[&rustls::version::TLS13])?
        .dangerous()
        .with_custom_certificate_verifier(Arc::new(AnyKey(provider)))
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

/// Takes the key of any daemon, since nobody vouches for one.
#[derive(Debug)]
struct AnyKey(Arc<CryptoProvider>);

impl ServerCertVerifier for AnyKey {
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
