use super::*;

/// Commands that change the fleet state. Each is idempotent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Command {
    /// An operator replaces the configuration.
    Change(Change),
    /// An upstream announces itself, or repeats its announcement.
    Announce(Announcement),
    /// An upstream leaves on its own; its requests in flight still complete.
    Leave {
        /// Instance that leaves.
        instance: Name,
        /// Incarnation that leaves; the command has no effect on a later one.
        incarnation: u64,
    },
    /// An upstream did not renew its lease in time.
    Lapse {
        /// Instance whose lease has run out.
        instance: Name,
        /// Incarnation that held the lease; the command has no effect on a later one.
        incarnation: u64,
    },
    /// An operator, or the schedule, starts or changes a maintenance wave.
    Maintain(Order),
    /// An operator removes an instance that will not come back.
    Forget {
        /// Request id chosen by the operator; a resend carries the same id.
        request: Name,
        /// Operator who sent the request.
        author: Name,
        /// Instance to remove.
        instance: Name,
    },
    /// The leader advances the grant of one instance.
    Step(Step),
    /// The reason why a wave waits has changed.
    Wait {
        /// Name of the wave.
        wave: Name,
        /// The new reason.
        wait: Wait,
        /// Fleet time of the proposal.
        at: Time,
    },
    /// Advances fleet time.
    Tick {
        /// Fleet time of the proposal.
        at: Time,
    },
}
