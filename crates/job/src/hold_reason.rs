use super::*;

/// Why tasks that are ready do not start.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Display)]
pub enum HoldReason {
    /// No instance of the pool has room.
    #[display("no instance of the pool has room")]
    Room,
    /// Room goes to organisations with a lower share first.
    #[display("room goes to organisations with a lower share first")]
    Share,
    /// The organisation has reached its limit.
    #[display("the organisation has reached its limit")]
    Limit,
    /// The gang exceeds the limit of its organisation by itself, and waits until it is raised.
    #[display("the gang exceeds the limit of its organisation")]
    GangOverLimit,
}
