use super::*;

/// Maintenance that is due on a set of machines.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Wave {
    /// Machines, with where each stands.
    pub machines: BTreeMap<Name, Progress>,
    /// When it was asked for.
    pub requested_at: UnixMs,
    /// Within which it is to be done.
    pub duration: Duration,
    /// Most machines that are down for it at once.
    pub budget: u32,
}

/// Where a machine of a wave stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Progress {
    /// Its maintenance has not begun.
    Due,
    /// Its maintenance has begun, or it has left.
    Begun,
}

impl Wave {
    /// Whether the maintenance of every machine has begun.
    pub fn is_complete(&self) -> bool {
        self.machines.values().all(|progress| *progress == Progress::Begun)
    }
}
