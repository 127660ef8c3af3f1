use super::*;

/// What a [`Step`] does with one instance.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Action {
    /// Grants a disruption of the instance and starts to drain it.
    Grant(Purpose),
    /// Records that no daemon has requests in flight on the instance.
    Drained,
    /// Records that the platform has accepted the reboot.
    Rebooted,
    /// Ends the grant of an instance that came back and has run for the soak time.
    Release,
    /// Ends a grant whose current phase has timed out.
    Expire,
    /// Starts to return a lent instance to its home pool.
    Recall,
}
