use super::*;

/// A snapshot on its way to a member that lags behind the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Transfer {
    /// Index of the snapshot.
    pub index: Index,
    /// Bytes that the member has.
    pub offset: usize,
    /// When the bytes from `offset` on were sent.
    pub sent: Time,
}
