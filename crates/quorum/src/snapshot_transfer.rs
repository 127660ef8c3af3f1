use super::*;

/// A snapshot transfer to a member that needs compacted entries.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SnapshotTransfer {
    /// Last log index that the snapshot includes.
    pub index: Index,
    /// Bytes that the member has received.
    pub offset: usize,
    /// Time at which the chunk at `offset` was sent; zero if it has not been sent yet.
    pub sent: Time,
}
