use super::*;

/// Accepts the connections of one HTTP listener, with a limit on their number and timeouts for
/// reads and writes.
///
/// `tiny_http` has neither a connection limit nor read timeouts, so both are imposed from outside.
/// Accepted sockets inherit the timeouts of the listening socket. To stop accepting, the listening
/// socket is made non-blocking: `accept` then fails, and `tiny_http` ends its accept loop but still
/// serves its open connections. Another server takes over the listening socket once the number of
/// connections is below the limit. The read timeout of the listening socket also ends an idle
/// `accept`, so servers replace each other on an idle listener too.
///
/// After a burst, some connections may stay queued in `tiny_http` behind others that remain open,
/// since it counts a thread as free until that thread has woken up. Any further connection, even
/// one that is closed at once, makes it start a thread, which then takes the first queued
/// connection. So whenever the number of connections has grown, one such connection is made for
/// each added one.
pub(crate) struct Acceptor {
    listener: TcpListener,
    port: u16,
    limits: Limits,
    /// Number of open connections for which the current server has been made to start threads.
    threads_started_for: AtomicUsize,
    handle: Box<dyn Fn(tiny_http::Request) + Send + Sync>,
}

/// Interval between counts of the open connections.
const COUNT_INTERVAL: Duration = Duration::from_millis(100);

/// Interval between polls for connections to refuse.
const REFUSE_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Time without a request after which a server that has stopped accepting has no active connection
/// left.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(30);

impl Acceptor {
    /// Listens on `address`, and passes each request to `handle`, which must not block.
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
            threads_started_for: AtomicUsize::new(0),
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

    /// Creates another server on the listening socket, with threads of its own.
    fn server(&self) -> eyre::Result<tiny_http::Server> {
        self.threads_started_for.store(0, Ordering::Release);
        let server = tiny_http::Server::from_listener(self.listener.try_clone()?, None);
        server.map_err(|error| eyre::eyre!("cannot listen on port {}: {error}", self.port))
    }

    /// Handles the requests of `server` until it has stopped accepting and has none left. Once it
    /// has stopped, another thread starts the next server.
    fn receive(self: Arc<Self>, server: &tiny_http::Server) {
        let mut accepts = true;
        loop {
            match server.recv_timeout(DRAIN_TIMEOUT) {
                Ok(Some(request)) => (self.handle)(request),
                Ok(None) if accepts => {}
                Ok(None) => return,
                Err(_) => {
                    accepts = false;
                    let acceptor = self.clone();
                    thread::spawn(move || acceptor.replace_server());
                }
            }
        }
    }

    /// Replaces a server that has stopped accepting, once there is room for connections.
    fn replace_server(self: Arc<Self>) {
        loop {
            self.refuse_while_full();
            match self.server() {
                Ok(server) => return self.receive(&server),
                Err(error) => log::error!("{error}"),
            }
            thread::sleep(COUNT_INTERVAL);
        }
    }

    /// Counts the open connections, and makes the server stop accepting when the limit is reached.
    fn watch(&self) {
        loop {
            let count = self.start_threads();
            if count >= self.limits.connections {
                self.set_blocking(false);
            }
            thread::sleep(COUNT_INTERVAL);
        }
    }

    /// Starts a thread for every connection made since the last count, and returns the number of
    /// open connections.
    fn start_threads(&self) -> usize {
        let count = connections::count(self.port);
        let before = self.threads_started_for.swap(count, Ordering::AcqRel);
        for _ in before..count {
            self.start_thread();
        }
        count
    }

    /// Makes a connection that is closed at once, so that `tiny_http` starts a thread for a queued
    /// one.
    fn start_thread(&self) {
        let Ok(address) = self.listener.local_addr() else { return };
        let Ok(stream) = TcpStream::connect_timeout(&address, COUNT_INTERVAL) else { return };
        socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO)).ok();
    }

    fn is_full(&self) -> bool {
        connections::count(self.port) >= self.limits.connections
    }

    fn set_blocking(&self, blocking: bool) {
        if let Err(error) = self.listener.set_nonblocking(!blocking) {
            log::error!("cannot change the listening socket of port {}: {error}", self.port);
        }
    }

    /// Refuses new connections until the number of open ones is below the limit, and then lets the
    /// listening socket block again.
    fn refuse_while_full(&self) {
        let mut refused = RefusedConnections::default();
        let mut counted = Instant::now();
        let mut full = self.is_full();
        if full {
            log::warn!(port = self.port; "connection limit reached; refusing new connections");
        }
        while full {
            self.set_blocking(false);
            match self.listener.accept() {
                Ok((stream, _)) => refused.push(stream),
                Err(_) => thread::sleep(REFUSE_POLL_INTERVAL),
            }
            if counted.elapsed() >= COUNT_INTERVAL {
                full = self.is_full();
                counted = Instant::now();
            }
        }
        self.set_blocking(true);
    }
}
