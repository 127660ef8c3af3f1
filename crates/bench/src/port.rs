use super::*;

/// Chooses ports outside the ephemeral range, so that the kernel gives them to no other process.
#[derive(Debug)]
pub(crate) struct Port;

/// First port that is tried; the ephemeral range begins after the last, at 32768 by default.
const FIRST: u32 = 10_000;

/// Number of ports in the range.
const COUNT: u32 = 22_000;

/// Distance between the first ports of processes with consecutive ids, which may run at the same
/// time.
const STRIDE: u32 = 199;

static NEXT: AtomicU32 = AtomicU32::new(0);

impl Port {
    /// An address on loopback with a port that is free for both TCP and UDP.
    pub(crate) fn free() -> eyre::Result<String> {
        for _ in 0..COUNT {
            let step = NEXT.fetch_add(1, Ordering::Relaxed);
            let offset = std::process::id().wrapping_mul(STRIDE).wrapping_add(step) % COUNT;
            let address = format!("127.0.0.1:{}", FIRST + offset);
            if TcpListener::bind(&address).is_ok() && UdpSocket::bind(&address).is_ok() {
                return Ok(address);
            }
        }
        bail!("no port is free for both TCP and UDP on loopback")
    }
}
