use {super::*, bytes::Bytes};

/// Time without traffic after which a connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(2);

/// Delay between attempts to connect to a peer.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// Time within which a connection must be established.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Number of packets after which a peer acknowledges them at once; fewer are acknowledged along with
/// other traffic, or after a short delay. An acknowledgement of its own costs about as much as a
/// small frame.
const MAX_UNACKNOWLEDGED_PACKETS: u32 = 10;

/// The QUIC configuration of all connections.
pub(crate) fn transport_config() -> quinn::TransportConfig {
    let mut config = quinn::TransportConfig::default();
    let idle = quinn::IdleTimeout::try_from(IDLE_TIMEOUT).expect("idle timeout fits a varint");
    config.max_idle_timeout(Some(idle));
    let mut acknowledgements = quinn::AckFrequencyConfig::default();
    acknowledgements.ack_eliciting_threshold(MAX_UNACKNOWLEDGED_PACKETS.into());
    config.ack_frequency_config(Some(acknowledgements));
    config
}

/// The sending side of the connection to one peer.
pub(crate) struct Dialler {
    pub(crate) endpoint: quinn::Endpoint,
    pub(crate) client: watch::Receiver<quinn::ClientConfig>,
    pub(crate) own: Hello,
    pub(crate) peer: Name,
    pub(crate) address: SocketAddr,
    pub(crate) outbox: mpsc::Receiver<Vec<u8>>,
    /// The peer's `boot` number from its last hello; a change means that it has restarted.
    pub(crate) boot: watch::Receiver<Option<u64>>,
}

impl Dialler {
    /// Sends the frames of the outbox, and connects when there is something to send. Returns once
    /// all senders of the outbox are dropped.
    pub(crate) async fn run(mut self) {
        while let Some(first) = self.outbox.recv().await {
            match self.connect().await {
                Ok(stream) => self.send_frames(stream, first).await,
                Err(error) => {
                    log::debug!(peer = &*self.peer; "cannot connect to peer: {error}");
                    // Frames that cannot be sent are dropped, also those queued meanwhile.
                    while self.outbox.try_recv().is_ok() {}
                    tokio::time::sleep(RETRY_DELAY).await;
                }
            }
        }
    }

    /// Connects to the peer and sends the hello.
    async fn connect(&mut self) -> io::Result<quinn::SendStream> {
        self.boot.mark_unchanged();
        let connecting = {
            let client = self.client.borrow().clone();
            self.endpoint.connect_with(client, self.address, &self.peer)
        };
        let connecting = connecting.map_err(io::Error::other)?;
        let connection = tokio::time::timeout(CONNECT_TIMEOUT, connecting).await??;
        let mut stream = connection.open_uni().await?;
        let hello = Codec::encode(&self.own).map_err(io::Error::other)?;
        write(&mut stream, hello).await?;
        Ok(stream)
    }

    /// Sends frames until the connection fails or the peer has restarted.
    async fn send_frames(&mut self, mut stream: quinn::SendStream, first: Vec<u8>) {
        let mut next = Some(first);
        while let Some(body) = next {
            if write(&mut stream, body).await.is_err() {
                return;
            }
            next = tokio::select! {
                body = self.outbox.recv() => body,
                _ = stream.stopped() => return,
                _ = self.boot.changed() => return,
            };
        }
    }
}

/// Writes a frame: the length of `body` as a big-endian `u32`, then `body`.
pub(crate) async fn write(stream: &mut quinn::SendStream, body: Vec<u8>) -> io::Result<()> {
    let length = u32::try_from(body.len()).map_err(io::Error::other)?;
    let length = Bytes::copy_from_slice(&length.to_be_bytes());
    stream.write_all_chunks(&mut [length, body.into()]).await?;
    Ok(())
}

/// The `boot` number of each peer, from its last hello.
pub(crate) type BootSenders = Arc<BTreeMap<Name, watch::Sender<Option<u64>>>>;

/// Accepts connections from peers, and passes their frames to `inbox`.
pub(crate) async fn accept(endpoint: quinn::Endpoint, boots: BootSenders, inbox: Sender<Frame>) {
    while let Some(incoming) = endpoint.accept().await {
        let (boots, inbox) = (boots.clone(), inbox.clone());
        tokio::spawn(async move {
            if let Err(error) = receive(incoming, boots, inbox).await {
                log::debug!("connection of a peer ended: {error}");
            }
        });
    }
}

/// Passes the frames of one connection to `inbox`, if its hello is valid.
async fn receive(
    incoming: quinn::Incoming,
    boots: BootSenders,
    inbox: Sender<Frame>,
) -> io::Result<()> {
    let address = incoming.remote_address();
    let connection = incoming.await?;
    let mut stream = connection.accept_uni().await?;
    let hello = read(&mut stream).await?;
    let Some(hello) = verify_hello(&connection, &hello) else {
        log::warn!(address:% = address; "peer refused: its name does not match its certificate");
        return Ok(());
    };
    let Some(boot) = boots.get(&hello.name) else {
        log::warn!(peer = &*hello.name; "peer refused: it is not a member of the fleet");
        return Ok(());
    };
    boot.send_if_modified(|boot| boot.replace(hello.boot) != Some(hello.boot));
    loop {
        let body = read(&mut stream).await?;
        if inbox.send(Frame { from: hello.name.clone(), body }).is_err() {
            return Ok(());
        }
    }
}

/// Reads a frame as [`write()`] writes it.
pub(crate) async fn read(stream: &mut quinn::RecvStream) -> io::Result<Vec<u8>> {
    let mut length = [0; 4];
    stream.read_exact(&mut length).await.map_err(io::Error::other)?;
    let length = u32::from_be_bytes(length) as usize;
    if length > Frame::MAX_BYTES {
        return Err(io::Error::other(Error::Size { bytes: length, max: Frame::MAX_BYTES }));
    }
    let mut body = vec![0; length];
    stream.read_exact(&mut body).await.map_err(io::Error::other)?;
    Ok(body)
}

/// Decodes the peer's hello and verifies it: `None` if the frame version differs, or if the
/// certificate of the connection is not valid for the name.
fn verify_hello(connection: &quinn::Connection, hello: &[u8]) -> Option<Hello> {
    let hello = Codec::decode::<Hello>(hello).ok()?;
    if hello.version != Frame::VERSION {
        return None;
    }
    let identity = connection.peer_identity()?.downcast::<Vec<CertificateDer>>().ok()?;
    let certificate = webpki::EndEntityCert::try_from(identity.first()?).ok()?;
    let subject = ServerName::try_from(&*hello.name).ok()?;
    certificate.verify_is_valid_for_subject_name(&subject).ok()?;
    Some(hello)
}
