use super::*;

/// Durations of the agreement; all follow from the bound of 5 s for a change to be in force.
#[derive(Debug)]
pub struct Timing;

impl Timing {
    /// Between heartbeats of the leader to voters.
    pub const HEARTBEAT: Duration = Duration::from_millis(150);
    /// Between heartbeats of the leader to observers: several within a view lease.
    pub const OBSERVER_HEARTBEAT: Duration = Duration::from_millis(400);
    /// Shortest wait for a leader before an election.
    pub const ELECTION_MIN: Duration = Duration::from_millis(600);
    /// Longest wait for a leader before an election.
    pub const ELECTION_MAX: Duration = Duration::from_millis(900);
    /// How long a leader leads on the answers of a majority; below `ELECTION_MIN` by the drift
    /// allowed between two clocks.
    pub const LEADER_LEASE: Duration = Duration::from_millis(500);
    /// How long a daemon acts on its configuration without hearing from the leader.
    pub const VIEW_LEASE: Duration = Duration::from_millis(2000);
    /// Added by the leader to leases that others count, for the drift between two clocks.
    pub const DRIFT: Duration = Duration::from_millis(100);
    /// How long the leader waits for the answer to a part of a snapshot before it sends it again.
    pub const RESEND: Duration = Duration::from_millis(1000);
}
