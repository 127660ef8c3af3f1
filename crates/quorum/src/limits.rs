/// Sizes that bound the log and the messages.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Bytes of commands that are applied between two snapshots.
    pub log_bytes: usize,
    /// Entries that are kept before a snapshot, for members that lag a little.
    pub kept_entries: u64,
    /// Most bytes of commands, or of a snapshot, in one message.
    pub message_bytes: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self { log_bytes: 4 * 1024 * 1024, kept_entries: 1_000, message_bytes: 256 * 1024 }
    }
}
