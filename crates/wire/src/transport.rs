use super::*;

/// Frames that may wait for one peer.
const OUTBOX_FRAMES: usize = 4096;

/// The sending side of the transport; dropping it ends the transport's thread.
#[derive(Debug)]
pub struct Transport {
    outboxes: BTreeMap<Name, mpsc::Sender<Vec<u8>>>,
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
        let mut endpoint = endpoint.map_err(|source| Error::Listen { address, source })?;
        endpoint.set_default_client_config(client);
        drop(entered);
        let hello = Hello { version: Frame::VERSION, name: own, boot };
        let mut outboxes = BTreeMap::new();
        let mut boots = BTreeMap::new();
        let mut diallers = Vec::new();
        for (peer, address) in peers {
            let (sender, outbox) = mpsc::channel(OUTBOX_FRAMES);
            let (boot_sender, boot) = watch::channel(None);
            let (endpoint, own) = (endpoint.clone(), hello.clone());
            outboxes.insert(peer.clone(), sender);
            boots.insert(peer.clone(), boot_sender);
            diallers.push(link::Dialler { endpoint, own, peer, address, outbox, boot });
        }
        thread::spawn(move || runtime.block_on(work(endpoint, diallers, Arc::new(boots), inbox)));
        Ok(Self { outboxes })
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
