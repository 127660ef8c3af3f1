use super::*;

/// An encoded message received from a peer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Frame {
    /// Peer, as authenticated by its certificate.
    pub from: Name,
    /// Encoded message.
    pub body: Vec<u8>,
}

impl Frame {
    /// Version of the frame format of this build.
    pub const VERSION: u8 = 1;
    /// Maximum size of a body, in bytes.
    pub const MAX_BYTES: usize = 8 * 1024 * 1024;
}
