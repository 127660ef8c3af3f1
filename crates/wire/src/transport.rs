use super::*;

/// Maximum number of frames queued for one peer.
const OUTBOX_FRAMES: usize = 4096;

/// Handle for sending; dropping it ends the transport's thread.
#[derive(Debug)]
pub struct Transport {
    outboxes: BTreeMap<Name, mpsc::Sender<Vec<u8>>>,
    endpoint: quinn::Endpoint,
    client: watch::Sender<quinn::ClientConfig>,
}

impl Transport {
    /// Listens on `address`, connects to `peers` on demand, and passes every received frame to
    /// `inbox`. `boot` must differ between any two starts of this daemon.
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
        thread::spawn(move || runtime.block_on(run(accepting, diallers, Arc::new(boots), inbox)));
        Ok(Self { outboxes, endpoint, client })
    }

    /// Uses `identity` for all new connections; existing connections are kept.
    pub fn renew(&self, identity: &Identity) -> Result {
        let (server, client) = (identity.server()?, identity.client()?);
        self.endpoint.set_server_config(Some(server));
        self.client.send_replace(client);
        Ok(())
    }

    /// Queues `body` for `to`; drops it if the peer is unknown or its queue is full.
    pub fn send(&self, to: &Name, body: Vec<u8>) {
        if let Some(outbox) = self.outboxes.get(to) {
            outbox.try_send(body).ok();
        }
    }
}

/// Runs until all outboxes are closed.
async fn run(
    endpoint: quinn::Endpoint,
    diallers: Vec<link::Dialler>,
    boots: link::BootSenders,
    inbox: Sender<Frame>,
) {
    tokio::spawn(link::accept(endpoint, boots, inbox));
    let tasks: Vec<_> = diallers.into_iter().map(|dialler| tokio::spawn(dialler.run())).collect();
    for task in tasks {
        task.await.ok();
    }
}
