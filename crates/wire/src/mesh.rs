use {
    super::*,
    rustls::{
        DigitallySignedStruct, SignatureScheme,
        client::danger::{HandshakeSignatureValid, ServerCertVerified, ServerCertVerifier},
        crypto::{CryptoProvider, verify_tls12_signature, verify_tls13_signature},
        pki_types::UnixTime,
    },
    std::{
        any::Any,
        cell::{Cell, RefCell},
        rc::Rc,
        time::Instant,
    },
    tokio::{
        sync::Notify,
        task::{JoinSet, spawn_local},
    },
};

/// Maximum size of what was sent on one stream and not read yet by the peer, in bytes. Urgent frames
/// wait behind that much bulk on the way: 131 ms at 2 Mbit/s.
const STREAM_WINDOW_BYTES: u32 = 32 * 1024;

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
/// whichever side opened it, and has a stream for each class of frames. Frames that cannot be sent are
/// dropped: every protocol above repeats what it needs.
pub struct Mesh {
    endpoint: quinn::Endpoint,
    peers: Rc<RefCell<model::Map<SocketAddr, Peer>>>,
    inbox: mpsc::UnboundedSender<(SocketAddr, Vec<u8>)>,
    started: Instant,
    /// Frames that have waited for too long, since they were last taken.
    expired: RefCell<BTreeMap<(SocketAddr, Class), Expired>>,
}

struct Peer {
    outbox: Rc<Outbox>,
    /// Id of the connection in use; `None` while an outgoing connection is being established.
    connection: Option<usize>,
}

/// Frames for one peer, and what wakes those who send them.
#[derive(Default)]
struct Outbox {
    queue: RefCell<Queue>,
    urgent: Notify,
    bulk: Notify,
    closed: Cell<bool>,
}

/// Receiving end of an [`Outbox`], which closes it when dropped.
struct OutboxReceiver(Rc<Outbox>);

impl Outbox {
    fn new() -> (Rc<Self>, OutboxReceiver) {
        let outbox = Rc::<Self>::default();
        (outbox.clone(), OutboxReceiver(outbox))
    }

    /// Queues `body`; returns false if the queue is full.
    fn try_send(&self, now: Duration, class: Class, body: Vec<u8>) -> bool {
        let fits = self.queue.borrow_mut().push(now, class, body);
        self.ready(class).notify_one();
        fits
    }

    fn ready(&self, class: Class) -> &Notify {
        match class {
            Class::Urgent => &self.urgent,
            Class::Bulk => &self.bulk,
        }
    }
}

impl Drop for OutboxReceiver {
    fn drop(&mut self) {
        self.0.closed.set(true);
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
        let mesh = Rc::new(Self {
            endpoint,
            peers: Rc::default(),
            inbox,
            started: Instant::now(),
            expired: RefCell::default(),
        });
        spawn_local(mesh.clone().accept());
        Ok(mesh)
    }

    /// Queues `body` for `to`; if the queue of its class is full, drops it and returns false.
    pub fn send(self: &Rc<Self>, to: SocketAddr, class: Class, body: Vec<u8>) -> bool {
        let known = self.peers.borrow().get(&to).map(|peer| peer.outbox.clone());
        let outbox =
            known.filter(|outbox| !outbox.closed.get()).unwrap_or_else(|| self.open_connection(to));
        outbox.try_send(self.started.elapsed(), class, body)
    }

    /// Whether no frame of a class waits for `to`.
    pub fn is_idle(&self, to: SocketAddr, class: Class) -> bool {
        let peers = self.peers.borrow();
        peers.get(&to).is_none_or(|peer| peer.outbox.queue.borrow().is_idle(class))
    }

    /// Takes the counts of the frames that were dropped after waiting for too long, by receiver and
    /// class.
    pub fn take_expired(&self) -> BTreeMap<(SocketAddr, Class), Expired> {
        self.expired.take()
    }

    fn open_connection(self: &Rc<Self>, to: SocketAddr) -> Rc<Outbox> {
        let (outbox, queued) = Outbox::new();
        self.peers.borrow_mut().insert(to, Peer { outbox: outbox.clone(), connection: None });
        spawn_local(self.clone().connect(to, queued));
        outbox
    }

    /// Connects to `to`, and serves the connection until it fails.
    async fn connect(self: Rc<Self>, to: SocketAddr, queued: OutboxReceiver) {
        let Ok(connecting) = self.endpoint.connect(to, CLASSES_NAME) else { return };
        if let Ok(Ok(connection)) = tokio::time::timeout(CONNECT_TIMEOUT, connecting).await {
            if let Some(peer) =
                self.peers.borrow_mut().get_mut(&to).filter(|p| p.connection.is_none())
            {
                peer.connection = Some(connection.stable_id());
            }
            spawn_local(self.clone().receive(connection.clone()));
            self.send_frames(connection, queued).await;
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
                mesh.send_frames(connection, queued).await;
            });
        }
    }

    /// Sends the queued frames, each class over its own stream if the peer reads both, until the
    /// connection fails. Another connection to the peer may replace this one for sending; it still
    /// delivers incoming frames.
    async fn send_frames(&self, connection: quinn::Connection, outbox: OutboxReceiver) {
        let to = connection.remote_address();
        let sender = |classes| ClassSender { mesh: self, to, classes, outbox: &outbox.0 };
        let Ok(urgent) = connection.open_uni().await else { return };
        if !reads_classes(&connection) {
            tokio::select! {
                _ = connection.closed() => {}
                _ = sender(&Class::ALL).run(urgent) => {}
            }
            return;
        }
        let Ok(bulk) = connection.open_uni().await else { return };
        tokio::select! {
            _ = connection.closed() => {}
            _ = sender(&[Class::Urgent]).run(urgent) => {}
            _ = sender(&[Class::Bulk]).run(bulk) => {}
        }
    }

    /// Passes the frames of one connection to the inbox, until one of its streams ends.
    async fn receive(self: Rc<Self>, connection: quinn::Connection) {
        let from = connection.remote_address();
        let mut streams = JoinSet::new();
        loop {
            tokio::select! {
                stream = connection.accept_uni() => {
                    let Ok(stream) = stream else { break };
                    streams.spawn_local(self.clone().receive_class(from, stream));
                }
                Some(_) = streams.join_next() => break,
            }
        }
        connection.close(0u8.into(), b"stream ended");
        let mut peers = self.peers.borrow_mut();
        if peers.get(&from).is_some_and(|peer| peer.connection == Some(connection.stable_id())) {
            peers.remove(&from);
        }
    }

    /// Passes the frames of one stream to the inbox, until it ends.
    async fn receive_class(self: Rc<Self>, from: SocketAddr, mut stream: quinn::RecvStream) {
        while let Ok(body) = link::read(&mut stream).await {
            if self.inbox.send((from, body)).is_err() {
                return;
            }
        }
    }
}

/// Sends frames of some classes over one stream.
struct ClassSender<'a> {
    mesh: &'a Mesh,
    to: SocketAddr,
    /// The classes; frames of the first one go first.
    classes: &'a [Class],
    outbox: &'a Outbox,
}

impl ClassSender<'_> {
    /// Runs until the stream fails.
    async fn run(self, mut stream: quinn::SendStream) -> io::Result<()> {
        if let Some(class) = self.classes.first() {
            stream.set_priority(class.priority())?;
        }
        loop {
            let Some((class, body)) = self.classes.iter().find_map(|class| self.pop(*class)) else {
                self.wait().await;
                continue;
            };
            link::write(&mut stream, body).await?;
            self.outbox.queue.borrow_mut().written(class);
        }
    }

    fn pop(&self, class: Class) -> Option<(Class, Vec<u8>)> {
        let (mesh, mut expired) = (self.mesh, Expired::default());
        let body = self.outbox.queue.borrow_mut().pop(mesh.started.elapsed(), class, &mut expired);
        if expired != Expired::default() {
            *mesh.expired.borrow_mut().entry((self.to, class)).or_default() += expired;
        }
        body.map(|body| (class, body))
    }

    /// Waits for a frame of one of the classes.
    async fn wait(&self) {
        match self.classes {
            [class] => self.outbox.ready(*class).notified().await,
            _ => tokio::select! {
                () = self.outbox.urgent.notified() => {}
                () = self.outbox.bulk.notified() => {}
            },
        }
    }
}

/// Subject name in the certificates of all daemons.
const PEER_NAME: &str = "sardinevalve";

/// A further subject name of daemons that read a stream for each class of frames; they also connect
/// with it. Those of earlier versions read one stream.
const CLASSES_NAME: &str = "classes.sardinevalve";

/// Whether the peer reads a stream for each class of frames.
fn reads_classes(connection: &quinn::Connection) -> bool {
    let names_classes = |data: Box<dyn Any>| {
        let data = data.downcast::<quinn::crypto::rustls::HandshakeData>().ok()?;
        Some(data.server_name.as_deref() == Some(CLASSES_NAME))
    };
    match connection.peer_identity() {
        Some(identity) => has_classes_certificate(identity).unwrap_or(false),
        None => connection.handshake_data().and_then(names_classes).unwrap_or(false),
    }
}

fn has_classes_certificate(identity: Box<dyn Any>) -> Option<bool> {
    let identity = identity.downcast::<Vec<CertificateDer>>().ok()?;
    let certificate = webpki::EndEntityCert::try_from(identity.first()?).ok()?;
    let subject = ServerName::try_from(CLASSES_NAME).ok()?;
    Some(certificate.verify_is_valid_for_subject_name(&subject).is_ok())
}

/// Server and client configuration, with a newly generated key.
fn tls_configs() -> Result<(quinn::ServerConfig, quinn::ClientConfig)> {
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let generated =
        rcgen::generate_simple_self_signed(vec![PEER_NAME.into(), CLASSES_NAME.into()])?;
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
    transport.stream_receive_window(STREAM_WINDOW_BYTES.into());
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
