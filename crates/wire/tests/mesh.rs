//! Frames to a daemon that stands still.

use {
    std::{net::SocketAddr, sync::mpsc as std_mpsc, time::Duration},
    tokio::sync::mpsc,
};

const FRAME_BYTES: usize = 64 * 1024;
/// Far more than may wait for one peer.
const FRAMES: usize = 2000;
/// Most that may wait in this process: the outbox, and as much again within the connection.
const MOST_BYTES: usize = 16 * 1024 * 1024;

/// Runs `work` on a thread of its own, as a daemon does.
fn on_thread<F: Future<Output = ()> + 'static>(work: impl FnOnce() -> F + Send + 'static) {
    std::thread::spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
        let runtime = runtime.expect("a runtime");
        tokio::task::LocalSet::new().block_on(&runtime, work());
    });
}

#[test]
fn little_waits_for_a_peer_that_stands_still() {
    let (still, other) =
        (SocketAddr::from(([127, 9, 0, 1], 7810)), SocketAddr::from(([127, 9, 0, 2], 7810)));
    let (heard, first) = std_mpsc::channel();
    let (ends, end) = std_mpsc::channel::<()>();
    on_thread(move || async move {
        let (frames, mut inbox) = mpsc::unbounded_channel();
        let _mesh = wire::Mesh::start(still, frames).expect("an address");
        inbox.recv().await.expect("a frame");
        heard.send(()).expect("the sender waits");
        // Blocks the thread, so that nothing is read any more.
        end.recv().ok();
    });
    let (reports, taken) = std_mpsc::channel();
    on_thread(move || async move {
        let (frames, _inbox) = mpsc::unbounded_channel();
        let mesh = wire::Mesh::start(other, frames).expect("an address");
        while first.try_recv().is_err() {
            mesh.send(still, vec![1]);
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        let mut taken = 0;
        for _ in 0..FRAMES {
            taken += usize::from(mesh.send(still, vec![0; FRAME_BYTES])) * FRAME_BYTES;
            tokio::time::sleep(Duration::from_micros(100)).await;
        }
        reports.send(taken).expect("the test waits");
    });
    let taken = taken.recv_timeout(Duration::from_secs(30)).expect("the sender ends");
    drop(ends);
    assert!(taken <= MOST_BYTES, "{taken} bytes were taken for a peer that stands still");
}
