use super::*;

/// Commands that change the fleet, each idempotent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Command {
    /// An operator wants another configuration.
    Change(Change),
    /// An upstream is there.
    Announce(Announcement),
    /// An upstream leaves; its requests in flight complete.
    Leave {
        /// Instance that leaves.
        instance: Name,
        /// Start of the instance that is meant.
        incarnation: u64,
    },
    /// An upstream was not heard within its lease.
    Lapse {
        /// Instance whose lease has run out.
        instance: Name,
        /// Start of the instance that is meant.
        incarnation: u64,
    },
    /// An operator wants something of a wave.
    Maintain(Order),
    /// An instance is gone for good.
    Forget {
        /// Id that the operator gave the request.
        request: Name,
        /// Who asks.
        author: Name,
        /// The instance.
        instance: Name,
    },
    /// The leader goes one step further with an instance.
    Step(Step),
    /// What a wave waits for has changed.
    Wait {
        /// The wave.
        wave: Name,
        /// What it waits for.
        wait: Wait,
        /// Fleet time of the proposal.
        at: Time,
    },
    /// Fleet time passes.
    Tick {
        /// Fleet time of the proposal.
        at: Time,
    },
}
