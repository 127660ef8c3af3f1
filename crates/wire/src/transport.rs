use super::*;

/// Frames that may wait for one peer.
const OUTBOX_FRAMES: usize = 4096;

/// The sending side of the transport; dropping it ends the transport's thread.
#[derive(Debug)]
pub struct Transport {
    outboxes: BTreeMap<Name, mpsc::Sender<Vec<u8>>>,
}

impl Transport {
    /// Listens on `address`, connects to `peers`, and hands every frame received to `inbox`.
    pub fn start(
        own: Name,
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
        let mut outboxes = BTreeMap::new();
        let mut dials = Vec::new();
        for (peer, address) in peers {
            let (outbox, receiver) = mpsc::channel(OUTBOX_FRAMES);
            dials.push(link::dial(endpoint.clone(), own.clone(), peer.clone(), address, receiver));
            outboxes.insert(peer, outbox);
        }
        thread::spawn(move || {
            runtime.block_on(async {
                tokio::spawn(link::accept(endpoint.clone(), inbox));
                let dials: Vec<_> = dials.into_iter().map(tokio::spawn).collect();
                for dial in dials {
                    dial.await.ok();
                }
            });
        });
        Ok(Self { outboxes })
    }

    /// Sends `body` to `to`; drops it where the peer is unknown or cannot keep up.
    pub fn send(&self, to: &Name, body: Vec<u8>) {
        if let Some(outbox) = self.outboxes.get(to) {
            outbox.try_send(body).ok();
        }
    }
}
