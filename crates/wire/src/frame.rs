use super::*;

/// Bytes that a peer sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Frame {
    /// Peer, as its certificate names it.
    pub from: Name,
    /// Encoded message.
    pub body: Vec<u8>,
}

impl Frame {
    /// Version of the frames that this build speaks.
    pub const VERSION: u8 = 1;
    /// Largest body, in bytes.
    pub const MAX_BYTES: usize = 8 * 1024 * 1024;
}
