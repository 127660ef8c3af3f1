/// Size limits of the log and of messages.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Bytes of commands applied between two snapshots.
    pub snapshot_interval_bytes: usize,
    /// Entries retained before the snapshot index, so that members that lag slightly need no
    /// snapshot.
    pub retained_entries: u64,
    /// Maximum bytes of commands of these entries.
    pub retained_bytes: usize,
    /// Maximum bytes of commands or snapshot data in one message.
    pub max_message_bytes: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            snapshot_interval_bytes: 4 * 1024 * 1024,
            retained_entries: 1_000,
            retained_bytes: 4 * 1024 * 1024,
            max_message_bytes: 256 * 1024,
        }
    }
}
