use super::*;

/// Time after which a silent connection is given up.
const IDLE_TIMEOUT: Duration = Duration::from_secs(2);

/// Between packets that keep a connection open.
const KEEP_ALIVE: Duration = Duration::from_millis(500);

/// Between attempts to reach a peer.
const RETRY: Duration = Duration::from_millis(100);

/// Time within which a connection must stand.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

pub(crate) fn transport_config() -> quinn::TransportConfig {
    let mut config = quinn::TransportConfig::default();
    let idle = quinn::IdleTimeout::try_from(IDLE_TIMEOUT).expect("idle timeout fits a varint");
    config.max_idle_timeout(Some(idle));
    config.keep_alive_interval(Some(KEEP_ALIVE));
    config
}

/// Keeps a connection to one peer, and sends what arrives in `outbox`.
pub(crate) async fn dial(
    endpoint: quinn::Endpoint,
    own: Name,
    peer: Name,
    address: SocketAddr,
    mut outbox: mpsc::Receiver<Vec<u8>>,
) {
    loop {
        match connect(&endpoint, &own, &peer, address).await {
            Ok(stream) => {
                log::info!(peer = &*peer; "peer connected");
                if pump(stream, &mut outbox).await.is_none() {
                    return;
                }
                log::warn!(peer = &*peer; "peer lost");
            }
            Err(error) => log::debug!(peer = &*peer; "peer not reached: {error}"),
        }
        while outbox.try_recv().is_ok() {}
        tokio::time::sleep(RETRY).await;
    }
}

async fn connect(
    endpoint: &quinn::Endpoint,
    own: &Name,
    peer: &Name,
    address: SocketAddr,
) -> io::Result<quinn::SendStream> {
    let connecting = endpoint.connect(address, peer).map_err(io::Error::other)?;
    let connection = tokio::time::timeout(CONNECT_TIMEOUT, connecting).await??;
    let mut stream = connection.open_uni().await?;
    write(&mut stream, &[&[Frame::VERSION], own.as_bytes()].concat()).await?;
    Ok(stream)
}

/// Sends until the connection fails; `None` once nobody can send any more.
async fn pump(mut stream: quinn::SendStream, outbox: &mut mpsc::Receiver<Vec<u8>>) -> Option<()> {
    loop {
        let body = outbox.recv().await?;
        if write(&mut stream, &body).await.is_err() {
            return Some(());
        }
    }
}

async fn write(stream: &mut quinn::SendStream, body: &[u8]) -> io::Result<()> {
    let length = u32::try_from(body.len()).map_err(io::Error::other)?;
    stream.write_all(&length.to_be_bytes()).await?;
    stream.write_all(body).await?;
    Ok(())
}

/// Accepts connections from peers, and hands their frames to `inbox`.
pub(crate) async fn accept(endpoint: quinn::Endpoint, inbox: Sender<Frame>) {
    while let Some(incoming) = endpoint.accept().await {
        let inbox = inbox.clone();
        tokio::spawn(async move {
            if let Err(error) = receive(incoming, inbox).await {
                log::debug!("connection of a peer ended: {error}");
            }
        });
    }
}

async fn receive(incoming: quinn::Incoming, inbox: Sender<Frame>) -> io::Result<()> {
    let address = incoming.remote_address();
    let connection = incoming.await?;
    let mut stream = connection.accept_uni().await?;
    let hello = read(&mut stream).await?;
    let Some(from) = introduced(&connection, &hello) else {
        log::warn!(address:% = address; "peer refused: its name does not match its certificate");
        return Ok(());
    };
    loop {
        let body = read(&mut stream).await?;
        if inbox.send(Frame { from: from.clone(), body }).is_err() {
            return Ok(());
        }
    }
}

async fn read(stream: &mut quinn::RecvStream) -> io::Result<Vec<u8>> {
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

/// The name in `hello`, if the certificate of the connection carries it.
fn introduced(connection: &quinn::Connection, hello: &[u8]) -> Option<Name> {
    let (version, name) = hello.split_first()?;
    if *version != Frame::VERSION {
        return None;
    }
    let name = std::str::from_utf8(name).ok()?;
    let identity = connection.peer_identity()?.downcast::<Vec<CertificateDer>>().ok()?;
    let certificate = webpki::EndEntityCert::try_from(identity.first()?).ok()?;
    let subject = ServerName::try_from(name).ok()?;
    certificate.verify_is_valid_for_subject_name(&subject).ok()?;
    Some(name.into())
}
