use super::*;

/// Maintenance of a set of machines.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Wave {
    /// Progress by machine.
    pub machines: BTreeMap<Name, Progress>,
    /// When the operator requested the wave.
    pub requested_at: UnixMs,
    /// Time within which the operator wants it done.
    pub duration: Duration,
    /// Maximum number of machines down for the wave at the same time.
    pub budget: u32,
}

/// Progress of one machine of a wave.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Progress {
    /// Maintenance has not begun.
    Due,
    /// Maintenance has begun, or the machine has left.
    Begun,
}

impl Wave {
    /// Whether maintenance has begun on every machine.
    pub fn is_complete(&self) -> bool {
        self.machines.values().all(|progress| *progress == Progress::Begun)
    }
}
