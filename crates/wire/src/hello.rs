use super::*;

/// First message on a connection.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Hello {
    /// Version of the frames that follow.
    pub(crate) version: u8,
    /// Name of the sender.
    pub(crate) name: Name,
    /// Start of the sender.
    pub(crate) boot: u64,
}
