use super::*;

/// Periods of what a daemon does by the clock.
#[derive(Debug)]
pub(crate) struct Beat;

impl Beat {
    /// Between two looks at leases and proposals.
    pub(crate) const PERIOD: Duration = Duration::from_millis(200);
    /// After which a proposal is repeated.
    pub(crate) const REPEAT: Duration = Duration::from_millis(400);
    /// After which whoever waits for a proposal is told that its outcome is unknown.
    pub(crate) const GIVE_UP: Duration = Duration::from_secs(10);
    /// Lease of an announcement.
    pub(crate) const ANNOUNCEMENT: Duration = Duration::from_millis(2500);
}
