use super::*;

/// Relays datagrams from one daemon to another and back, unless it is cut.
#[derive(Debug)]
pub(crate) struct Link {
    address: SocketAddr,
    cut: Arc<AtomicBool>,
    ended: Arc<AtomicBool>,
    bytes: Arc<AtomicU64>,
}

/// Largest datagram.
const MAX_DATAGRAM_BYTES: usize = 65_536;

/// Longest time until the relay threads notice that the link was dropped.
const POLL_INTERVAL: Duration = Duration::from_millis(200);

impl Link {
    /// Starts a link to `target`.
    pub(crate) fn start(target: &str) -> eyre::Result<Self> {
        let near = Arc::new(socket()?);
        let far = Arc::new(socket()?);
        far.connect(target)?;
        let link = Self {
            address: near.local_addr()?,
            cut: Arc::default(),
            ended: Arc::default(),
            bytes: Arc::default(),
        };
        let dialler = Arc::new(Mutex::new(None));
        link.relay({
            let (near, far, dialler) = (near.clone(), far.clone(), dialler.clone());
            move |buffer| {
                let (bytes, from) = near.recv_from(buffer)?;
                *dialler.lock().unwrap_or_else(PoisonError::into_inner) = Some(from);
                Ok((bytes, far.clone(), None))
            }
        });
        link.relay(move |buffer| {
            let bytes = far.recv(buffer)?;
            let to = *dialler.lock().unwrap_or_else(PoisonError::into_inner);
            Ok((bytes, near.clone(), to))
        });
        Ok(link)
    }

    /// Address that the dialling daemon uses.
    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Drops all datagrams without notice while `cut` is set.
    pub(crate) fn set_cut(&self, cut: bool) {
        self.cut.store(cut, Ordering::Relaxed);
    }

    /// Payload bytes relayed in both directions.
    pub(crate) fn bytes(&self) -> u64 {
        self.bytes.load(Ordering::Relaxed)
    }

    /// Starts a thread that forwards each datagram that `receive` reads into its buffer. `receive`
    /// returns the length of the datagram, the socket to send it from, and the destination unless
    /// that socket is connected.
    fn relay(
        &self,
        receive: impl Fn(&mut [u8]) -> io::Result<(usize, Arc<UdpSocket>, Option<SocketAddr>)>
        + Send
        + 'static,
    ) {
        let (cut, ended, total) = (self.cut.clone(), self.ended.clone(), self.bytes.clone());
        thread::spawn(move || {
            let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
            while !ended.load(Ordering::Relaxed) {
                let Ok((bytes, socket, to)) = receive(&mut buffer) else { continue };
                if cut.load(Ordering::Relaxed) {
                    continue;
                }
                total.fetch_add(bytes as u64, Ordering::Relaxed);
                match to {
                    Some(to) => socket.send_to(&buffer[..bytes], to).ok(),
                    None => socket.send(&buffer[..bytes]).ok(),
                };
            }
        });
    }
}

impl Drop for Link {
    fn drop(&mut self) {
        self.ended.store(true, Ordering::Relaxed);
    }
}

fn socket() -> eyre::Result<UdpSocket> {
    let socket = UdpSocket::bind("127.0.0.1:0")?;
    socket.set_read_timeout(Some(POLL_INTERVAL))?;
    Ok(socket)
}
