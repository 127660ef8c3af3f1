use super::*;

/// Ports that nobody else on this machine gets by asking for any port.
#[derive(Debug)]
pub(crate) struct Port;

/// First port below those that the kernel gives to outgoing connections.
const FIRST: u32 = 10_000;

/// Number of ports that are tried.
const COUNT: u32 = 22_000;

/// Between the first ports of two processes with neighbouring ids.
const STRIDE: u32 = 199;

static NEXT: AtomicU32 = AtomicU32::new(0);

impl Port {
    /// An address on loopback with a port that is free for streams and datagrams.
    pub(crate) fn free() -> eyre::Result<String> {
        for _ in 0..COUNT {
            let step = NEXT.fetch_add(1, Ordering::Relaxed);
            let offset = std::process::id().wrapping_mul(STRIDE).wrapping_add(step) % COUNT;
            let address = format!("127.0.0.1:{}", FIRST + offset);
            if TcpListener::bind(&address).is_ok() && UdpSocket::bind(&address).is_ok() {
                return Ok(address);
            }
        }
        bail!("no port is free on loopback")
    }
}
