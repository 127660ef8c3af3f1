//! Guards against unbounded memory use: the frames queued for a peer that has stopped reading.

use {
    std::{net::SocketAddr, sync::mpsc as std_mpsc, time::Duration},
    tokio::sync::mpsc,
};

const FRAME_BYTES: usize = 64 * 1024;
/// Number of frames sent: far more than may be queued for one peer.
const FRAMES: usize = 2000;
/// Maximum size of the frames held in this process: the outbox, and as much again within the
/// connection.
const MAX_QUEUED_BYTES: usize = 16 * 1024 * 1024;

/// Runs `work` on a thread with its own runtime, as a daemon does.
fn on_thread<F: Future<Output = ()> + 'static>(work: impl FnOnce() -> F + Send + 'static) {
    std::thread::spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
        let runtime = runtime.expect("a runtime");
        tokio::task::LocalSet::new().block_on(&runtime, work());
    });
}

#[test]
fn frames_queued_for_a_blocked_peer_are_bounded() {
    let (blocked, other) =
        (SocketAddr::from(([127, 9, 0, 1], 7810)), SocketAddr::from(([127, 9, 0, 2], 7810)));
    let (connected, on_connected) = std_mpsc::channel();
    let (stop, stopped) = std_mpsc::channel::<()>();
    on_thread(move || async move {
        let (frames, mut inbox) = mpsc::unbounded_channel();
        let _mesh = wire::Mesh::start(blocked, frames).expect("an address");
        inbox.recv().await.expect("a frame");
        connected.send(()).expect("the sender waits");
        // Blocks the thread, so that nothing is read any more.
        stopped.recv().ok();
    });
    let (result_sender, queued) = std_mpsc::channel();
    on_thread(move || async move {
        let (frames, _inbox) = mpsc::unbounded_channel();
        let mesh = wire::Mesh::start(other, frames).expect("an address");
        while on_connected.try_recv().is_err() {
            mesh.send(blocked, wire::Class::Bulk, vec![1]);
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        let mut queued = 0;
        for _ in 0..FRAMES {
            queued += usize::from(mesh.send(blocked, wire::Class::Bulk, vec![0; FRAME_BYTES]))
                * FRAME_BYTES;
            tokio::time::sleep(Duration::from_micros(100)).await;
        }
        result_sender.send(queued).expect("the test waits");
    });
    let queued = queued.recv_timeout(Duration::from_secs(30)).expect("the sender ends");
    drop(stop);
    assert!(queued <= MAX_QUEUED_BYTES, "{queued} bytes were queued for a blocked peer");
}

/// Guards against a frame that the encoder lets pass and the queue for the peer never takes.
#[test]
fn a_frame_of_the_largest_size_is_delivered() {
    let (receiver, sender) =
        (SocketAddr::from(([127, 9, 0, 3], 7810)), SocketAddr::from(([127, 9, 0, 4], 7810)));
    let (delivered, on_delivered) = std_mpsc::channel();
    on_thread(move || async move {
        let (frames, mut inbox) = mpsc::unbounded_channel();
        let _mesh = wire::Mesh::start(receiver, frames).expect("an address");
        while let Some((_, body)) = inbox.recv().await {
            delivered.send(body.len()).ok();
        }
    });
    on_thread(move || async move {
        let (frames, _inbox) = mpsc::unbounded_channel();
        let mesh = wire::Mesh::start(sender, frames).expect("an address");
        // The protocols above repeat what gets no answer.
        loop {
            mesh.send(receiver, wire::Class::Bulk, vec![0; wire::Frame::MAX_BYTES]);
            tokio::time::sleep(Duration::from_secs(1)).await;
        }
    });
    let bytes = on_delivered.recv_timeout(Duration::from_secs(30)).expect("the frame arrives");
    assert_eq!(bytes, wire::Frame::MAX_BYTES);
}
