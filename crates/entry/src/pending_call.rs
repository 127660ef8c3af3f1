use super::*;

/// A call received by this daemon that has not been answered.
#[derive(Debug, Clone)]
pub(crate) struct PendingCall {
    pub(crate) call: Call,
    /// When its client stops waiting.
    pub(crate) until: Time,
    /// Daemon that it was last sent to, and when.
    pub(crate) sent: Option<(Name, Time)>,
    /// Whether some daemon may have carried it out.
    pub(crate) may_have_run: bool,
}
