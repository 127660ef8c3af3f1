use super::*;

/// Frames that may wait for one peer.
const OUTBOX_FRAMES: usize = 4096;

/// The sending side of the transport; dropping it ends the transport's thread.
#[derive(Debug)]
pub struct Transport {
    outboxes: BTreeMap<Name, mpsc::Sender<Vec<u8>>>,
    endpoint: quinn::Endpoint,
    client: watch::Sender<quinn::ClientConfig>,
}

impl Transport {
    /// Listens on `address`, connects to `peers` as there is something to send, and hands every
    /// frame received to `inbox`. `boot` differs between any two starts of this daemon.
    pub fn start(
        own: Name,
        boot: u64,
        address: SocketAddr,
        identity: &Identity,
        peers: BTreeMap<Name, SocketAddr>,
        inbox: Sender<Frame>,
    ) -> Result<Self> {
        let (server, client) = (identity.server()?, identity.client()?);
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
        let runtime = runtime.map_err(|source| Error::Listen { address, source })?;
        let entered = runtime.enter();
        let endpoint = quinn::Endpoint::server(server, address);
        let endpoint = endpoint.map_err(|source| Error::Listen { address, source })?;
        let (client, client_receiver) = watch::channel(client);
        drop(entered);
        let hello = Hello { version: Frame::VERSION, name: own, boot };
        let mut outboxes = BTreeMap::new();
        let mut boots = BTreeMap::new();
        let mut diallers = Vec::new();
        for (peer, address) in peers {
            let (sender, outbox) = mpsc::channel(OUTBOX_FRAMES);
            let (boot_sender, boot) = watch::channel(None);
            let (endpoint, own) = (endpoint.clone(), hello.clone());
            let client = client_receiver.clone();
            outboxes.insert(peer.clone(), sender);
            boots.insert(peer.clone(), boot_sender);
            diallers.push(link::Dialler { endpoint, client, own, peer, address, outbox, boot });
        }
        let accepting = endpoint.clone();
        thread::spawn(move || runtime.block_on(work(accepting, diallers, Arc::new(boots), inbox)));
        Ok(Self { outboxes, endpoint, client })
    }

    /// Uses `identity` for every connection from now on; those that stand go on.
    pub fn renew(&self, identity: &Identity) -> Result {
        let (server, client) = (identity.server()?, identity.client()?);
        self.endpoint.set_server_config(Some(server));
        self.client.send_replace(client);
        Ok(())
    }

    /// Sends `body` to `to`; drops it where the peer is unknown or cannot keep up.
    pub fn send(&self, to: &Name, body: Vec<u8>) {
        if let Some(outbox) = self.outboxes.get(to) {
            outbox.try_send(body).ok();
        }
    }
}

/// Runs until nobody can send any more.
async fn work(
    endpoint: quinn::Endpoint,
    diallers: Vec<link::Dialler>,
    boots: link::Boots,
    inbox: Sender<Frame>,
) {
    tokio::spawn(link::accept(endpoint, boots, inbox));
    let tasks: Vec<_> = diallers.into_iter().map(|dialler| tokio::spawn(dialler.run())).collect();
    for task in tasks {
        task.await.ok();
    }
}
