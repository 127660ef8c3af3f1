//! Urgent frames on a slow link: they don't wait for bulk that was sent before them.

use {
    std::{
        net::{SocketAddr, UdpSocket},
        rc::Rc,
        sync::mpsc as std_mpsc,
        time::{Duration, Instant},
    },
    tokio::{sync::mpsc, task::spawn_local},
    wire::Class,
};

/// Rate of the link, in bytes a second: 2 Mbit/s.
const BYTES_PER_SECOND: u32 = 250_000;
const BULK_BYTES: usize = 2_000_000;
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(150);
const LEADER_LEASE: Duration = Duration::from_millis(500);
const HEARTBEATS: usize = 11;
/// Maximum size of a datagram.
const MAX_DATAGRAM_BYTES: usize = 65_536;

/// Runs `work` on a thread with its own runtime, as a daemon does.
fn on_thread<F: Future<Output = ()> + 'static>(work: impl FnOnce() -> F + Send + 'static) {
    std::thread::spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
        let runtime = runtime.expect("a runtime");
        tokio::task::LocalSet::new().block_on(&runtime, work());
    });
}

/// Passes datagrams on between the first sender to `address` and `receiver`: in order, with unlimited
/// queues, at the rate of the link.
fn start_slow_link(address: SocketAddr, receiver: SocketAddr) {
    let near = UdpSocket::bind(address).expect("an address");
    let far = UdpSocket::bind((address.ip(), 0)).expect("a port");
    far.connect(receiver).expect("an address");
    std::thread::spawn(move || {
        let mut datagram = vec![0; MAX_DATAGRAM_BYTES];
        let (_, sender) = near.peek_from(&mut datagram).expect("a datagram");
        near.connect(sender).expect("an address");
        let clone = |socket: &UdpSocket| socket.try_clone().expect("a socket");
        pass_on(clone(&near), clone(&far));
        pass_on(far, near);
    });
}

fn pass_on(from: UdpSocket, to: UdpSocket) {
    let (queue, queued) = std_mpsc::channel::<Vec<u8>>();
    std::thread::spawn(move || {
        let mut datagram = vec![0; MAX_DATAGRAM_BYTES];
        while let Ok(bytes) = from.recv(&mut datagram) {
            queue.send(datagram[..bytes].to_vec()).ok();
        }
    });
    std::thread::spawn(move || {
        let mut free_at = Instant::now();
        for datagram in queued {
            free_at = free_at.max(Instant::now())
                + Duration::from_secs(datagram.len() as u64) / BYTES_PER_SECOND;
            std::thread::sleep(free_at.saturating_duration_since(Instant::now()));
            to.send(&datagram).ok();
        }
    });
}

/// A frame, and when it was received.
type Delivery = (Vec<u8>, Instant);

/// Sends bulk, and then heartbeats, each with the time at which it is sent.
async fn send_all(mesh: Rc<wire::Mesh>, to: SocketAddr, sent: std_mpsc::Sender<Instant>) {
    assert!(mesh.send(to, Class::Bulk, vec![0; BULK_BYTES]));
    for number in 1..=HEARTBEATS {
        tokio::time::sleep(HEARTBEAT_INTERVAL).await;
        assert!(mesh.send(to, Class::Urgent, vec![number as u8]));
        sent.send(Instant::now()).ok();
    }
}

/// Starts two meshes, of which the first connects to the other through a slow link; either that one
/// or the other sends. Returns what arrives at the receiver, and the times of the heartbeats.
fn send_over_slow_link(
    [connecting, link, accepting]: [SocketAddr; 3],
    accepting_sends: bool,
) -> (std_mpsc::Receiver<Delivery>, std_mpsc::Receiver<Instant>) {
    let (delivered, on_delivered) = std_mpsc::channel();
    let (connected, on_connected) = std_mpsc::channel::<()>();
    let (sent, on_sent) = std_mpsc::channel();
    let (delivered_back, sent_back) = (delivered.clone(), sent.clone());
    on_thread(move || async move {
        let (frames, mut inbox) = mpsc::unbounded_channel();
        let mesh = wire::Mesh::start(accepting, frames).expect("an address");
        let (from, _) = inbox.recv().await.expect("a frame");
        connected.send(()).ok();
        if accepting_sends {
            spawn_local(send_all(mesh.clone(), from, sent_back));
        }
        while let Some((_, body)) = inbox.recv().await {
            delivered.send((body, Instant::now())).ok();
        }
    });
    start_slow_link(link, accepting);
    on_thread(move || async move {
        let (frames, mut inbox) = mpsc::unbounded_channel();
        let mesh = wire::Mesh::start(connecting, frames).expect("an address");
        while on_connected.try_recv().is_err() {
            mesh.send(link, Class::Urgent, vec![0]);
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
        if !accepting_sends {
            spawn_local(send_all(mesh.clone(), link, sent));
        }
        while let Some((_, body)) = inbox.recv().await {
            delivered_back.send((body, Instant::now())).ok();
        }
    });
    (on_delivered, on_sent)
}

fn heartbeats_behind_bulk_arrive_within_the_leader_lease(hosts: [u8; 3], accepting_sends: bool) {
    let addresses = hosts.map(|host| SocketAddr::from(([127, 9, 0, host], 7810)));
    let (on_delivered, on_sent) = send_over_slow_link(addresses, accepting_sends);
    let timeout = Duration::from_secs(60);
    let mut took = Vec::new();
    while took.len() < HEARTBEATS {
        let (body, at) = on_delivered.recv_timeout(timeout).expect("the heartbeats arrive");
        assert_ne!(body.len(), BULK_BYTES, "the bulk arrived after {} heartbeats", took.len());
        if body != [0] {
            let sent = on_sent.recv_timeout(timeout).expect("it was sent");
            took.push(at.saturating_duration_since(sent));
        }
    }
    took.sort_unstable();
    // The longest ones show how busy this machine is.
    let median = took[HEARTBEATS / 2];
    assert!(median < LEADER_LEASE, "{took:?}");
    println!("heartbeats took {took:?}");
    let (bulk, _) = on_delivered.recv_timeout(timeout).expect("the bulk arrives");
    assert_eq!(bulk.len(), BULK_BYTES);
}

/// Guards against leaders that lose their lease while a configuration is on its way to others.
#[test]
fn heartbeats_behind_bulk_arrive_within_the_leader_lease_on_a_slow_link() {
    heartbeats_behind_bulk_arrive_within_the_leader_lease([5, 6, 7], false);
}

/// Guards against classes that only the side that connects knows of.
#[test]
fn heartbeats_of_the_side_that_accepted_arrive_within_the_leader_lease_on_a_slow_link() {
    heartbeats_behind_bulk_arrive_within_the_leader_lease([10, 11, 12], true);
}

/// Guards against a peer of the version before classes that gets no bulk.
#[test]
fn a_peer_that_reads_one_stream_gets_all_frames() {
    let [peer, sender] = [8, 9].map(|host| SocketAddr::from(([127, 9, 0, host], 7810)));
    let (delivered, on_delivered) = std_mpsc::channel();
    on_thread(move || async move {
        let generated = rcgen::generate_simple_self_signed(vec!["sardinevalve".into()]);
        let generated = generated.expect("a certificate");
        let key = rustls::pki_types::PrivateKeyDer::try_from(generated.signing_key.serialize_der());
        let certificates = vec![generated.cert.der().clone()];
        let server = quinn::ServerConfig::with_single_cert(certificates, key.expect("a key"));
        let endpoint = quinn::Endpoint::server(server.expect("a configuration"), peer);
        let incoming = endpoint.expect("an address").accept().await.expect("a connection");
        let connection = incoming.await.expect("a connection");
        let mut stream = connection.accept_uni().await.expect("a stream");
        let mut length = [0; 4];
        while stream.read_exact(&mut length).await.is_ok() {
            let mut body = vec![0; u32::from_be_bytes(length) as usize];
            stream.read_exact(&mut body).await.expect("a frame");
            delivered.send(body).ok();
        }
    });
    on_thread(move || async move {
        let (frames, _inbox) = mpsc::unbounded_channel();
        let mesh = wire::Mesh::start(sender, frames).expect("an address");
        for class in Class::ALL {
            assert!(mesh.send(peer, class, class.name().into()));
            tokio::time::sleep(HEARTBEAT_INTERVAL).await;
        }
        std::future::pending::<()>().await;
    });
    let received = || on_delivered.recv_timeout(Duration::from_secs(30)).expect("a frame");
    assert_eq!([received(), received()], [b"urgent".to_vec(), b"bulk".to_vec()]);
}
