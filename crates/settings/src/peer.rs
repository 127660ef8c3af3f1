use super::*;

/// A daemon of the fleet, including this one.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Peer {
    /// Address on which it listens for peers.
    pub address: SocketAddr,
    /// Role in consensus.
    pub role: Role,
}
