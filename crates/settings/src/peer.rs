use super::*;

/// A daemon of the fleet, this one included.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Peer {
    /// Where it listens for peers.
    pub address: SocketAddr,
    /// Its part in the agreement.
    pub role: Role,
}
