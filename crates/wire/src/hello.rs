use super::*;

/// First message on a connection, by which the sender introduces itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Hello {
    /// Version of the frame format.
    pub(crate) version: u8,
    /// Name of the sender.
    pub(crate) name: Name,
    /// Random number of this start of the sender.
    pub(crate) boot: u64,
}
