use super::*;

/// What the leader wants of one instance.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Action {
    /// Disrupt it.
    Grant(Purpose),
    /// No daemon has work in flight on it.
    Drained,
    /// The platform has accepted its reboot.
    Rebooted,
    /// It is back and stayed long enough.
    Release,
    /// Its grant lasted too long.
    Expire,
    /// It is to return from a loan.
    Recall,
}
