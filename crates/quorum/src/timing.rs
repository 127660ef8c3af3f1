use super::*;

/// Timing of consensus. All values follow from the bound of 5 s within which a change must be in
/// force on every member.
#[derive(Debug)]
pub struct Timing;

impl Timing {
    /// Heartbeat interval towards voters.
    pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(150);
    /// Heartbeat interval towards observers; several fit within a view lease.
    pub const OBSERVER_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(400);
    /// Minimum election timeout.
    pub const MIN_ELECTION_TIMEOUT: Duration = Duration::from_millis(600);
    /// Maximum election timeout.
    pub const MAX_ELECTION_TIMEOUT: Duration = Duration::from_millis(900);
    /// Time after which a leader steps down unless a majority has answered it; shorter than
    /// `MIN_ELECTION_TIMEOUT` to allow for drift between two clocks.
    pub const LEADER_LEASE: Duration = Duration::from_millis(500);
    /// Time for which a member may act on its applied configuration after it was last in contact
    /// with the leader.
    pub const VIEW_LEASE: Duration = Duration::from_millis(2000);
    /// Allowance for drift between two clocks; the leader adds it to leases that other members
    /// measure by their own clocks.
    pub const CLOCK_DRIFT: Duration = Duration::from_millis(100);
    /// Time after which the leader sends an unanswered snapshot chunk again.
    pub const CHUNK_RETRY_INTERVAL: Duration = Duration::from_millis(1000);
}
