use super::*;

/// Accepts the connections of one HTTP edge within stated bounds.
///
/// `tiny_http` accepts without a limit and reads without a timeout. Both are set from outside: the
/// timeouts of the listening socket are inherited by the sockets it accepts, and `tiny_http` stops
/// accepting when `accept` fails, which it does once the listening socket no longer blocks. The
/// server that stopped still serves its connections; another takes its place as soon as there is
/// room. The read timeout of the listening socket ends an idle `accept` as well, so that servers
/// follow each other on an idle edge too.
///
/// A burst of connections leaves some of them queued in `tiny_http` behind others that stay open:
/// it counts a thread as free until that thread has woken up. A further connection that ends at
/// once makes it start a thread, which then takes the first one queued. Each time the number of
/// connections has grown, as many such connections are made as may be queued.
pub(crate) struct Acceptor {
    listener: TcpListener,
    port: u16,
    limits: Limits,
    /// Open connections for which the present server has been made to start threads.
    woken: AtomicUsize,
    handle: Box<dyn Fn(tiny_http::Request) + Send + Sync>,
}

/// Between two counts of the open connections.
const COUNT_INTERVAL: Duration = Duration::from_millis(100);

/// Between two looks for connections to refuse.
const REFUSE_INTERVAL: Duration = Duration::from_millis(5);

/// After which a server that stopped accepting has no connection left that sends requests.
const DRAINED_AFTER: Duration = Duration::from_secs(30);

impl Acceptor {
    /// Listens on `address`, and hands each request to `handle`, which must not block.
    pub(crate) fn start(
        address: SocketAddr,
        limits: Limits,
        handle: impl Fn(tiny_http::Request) + Send + Sync + 'static,
    ) -> eyre::Result<()> {
        let listener =
            TcpListener::bind(address).wrap_err_with(|| format!("cannot listen on `{address}`"))?;
        let socket = socket2::SockRef::from(&listener);
        socket.set_read_timeout(Some(limits.read_timeout))?;
        socket.set_write_timeout(Some(limits.write_timeout))?;
        let port = listener.local_addr()?.port();
        let acceptor = Arc::new(Self {
            listener,
            port,
            limits,
            woken: AtomicUsize::new(0),
            handle: Box::new(handle),
        });
        let server = acceptor.server()?;
        thread::spawn({
            let acceptor = acceptor.clone();
            move || acceptor.receive(&server)
        });
        thread::spawn(move || acceptor.watch());
        Ok(())
    }

    /// Another server, with threads of its own.
    fn server(&self) -> eyre::Result<tiny_http::Server> {
        self.woken.store(0, Ordering::Release);
        let server = tiny_http::Server::from_listener(self.listener.try_clone()?, None);
        server.map_err(|error| eyre::eyre!("cannot listen on port {}: {error}", self.port))
    }

    /// Takes the requests of `server` until it accepts no more and has none left.
    fn receive(self: Arc<Self>, server: &tiny_http::Server) {
        let mut accepts = true;
        loop {
            match server.recv_timeout(DRAINED_AFTER) {
                Ok(Some(request)) => (self.handle)(request),
                Ok(None) if accepts => {}
                Ok(None) => return,
                Err(_) => {
                    accepts = false;
                    let acceptor = self.clone();
                    thread::spawn(move || acceptor.follow());
                }
            }
        }
    }

    /// Puts another server in the place of one that stopped accepting.
    fn follow(self: Arc<Self>) {
        loop {
            self.refuse_while_full();
            match self.server() {
                Ok(server) => return self.receive(&server),
                Err(error) => log::error!("{error}"),
            }
            thread::sleep(COUNT_INTERVAL);
        }
    }

    /// Stops accepting while the edge is full.
    fn watch(&self) {
        loop {
            let count = self.wake_threads();
            if count >= self.limits.connections {
                self.block(false);
            }
            thread::sleep(COUNT_INTERVAL);
        }
    }

    /// Wakes a thread for every connection since the last look, and returns how many are open.
    fn wake_threads(&self) -> usize {
        let count = connections::count(self.port);
        let before = self.woken.swap(count, Ordering::AcqRel);
        for _ in before..count {
            self.wake_thread();
        }
        count
    }

    /// Makes a connection that ends at once, so that a queued one gets a thread.
    fn wake_thread(&self) {
        let Ok(address) = self.listener.local_addr() else { return };
        let Ok(stream) = TcpStream::connect_timeout(&address, COUNT_INTERVAL) else { return };
        socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO)).ok();
    }

    fn is_full(&self) -> bool {
        connections::count(self.port) >= self.limits.connections
    }

    fn block(&self, blocks: bool) {
        if let Err(error) = self.listener.set_nonblocking(!blocks) {
            log::error!("cannot change the listening socket of port {}: {error}", self.port);
        }
    }

    fn refuse_while_full(&self) {
        let mut refused = Refused::default();
        let mut counted = Instant::now();
        let mut full = self.is_full();
        if full {
            log::warn!(port = self.port; "connections are refused: the edge is full");
        }
        while full {
            self.block(false);
            match self.listener.accept() {
                Ok((stream, _)) => refused.push(stream),
                Err(_) => thread::sleep(REFUSE_INTERVAL),
            }
            if counted.elapsed() >= COUNT_INTERVAL {
                full = self.is_full();
                counted = Instant::now();
            }
        }
        self.block(true);
    }
}
