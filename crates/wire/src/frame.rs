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
    /// Maximum size of a body, in bytes: a request, in the form that the log holds, and what surrounds
    /// it. Larger contents, such as snapshots, are sent in parts.
    pub const MAX_BYTES: usize = 2 * model::MAX_REQUEST_BYTES;
}
