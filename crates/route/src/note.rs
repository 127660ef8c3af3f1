use super::*;

/// What daemons and the broker of a service tell each other.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Note {
    /// To the broker: a request asks for a slot.
    Want(Want),
    /// To the broker: a request no longer asks.
    Withdraw(Ticket),
    /// To the broker: a slot is free.
    Free {
        /// Who held it.
        ticket: Ticket,
        /// How the attempt ended.
        report: Report,
        /// How long it took.
        took: Duration,
    },
    /// To the broker: a slot was passed on after an answer.
    Pass {
        /// Who held it.
        from: Ticket,
        /// Who holds it now.
        to: Ticket,
        /// Kind of the latter.
        kind: Name,
        /// How long the answered attempt took.
        took: Duration,
    },
    /// To the broker: every slot that the daemon holds.
    Holds {
        /// Time since the daemon started.
        age: Duration,
        /// The slots.
        held: Vec<Held>,
    },
    /// From the broker: a slot is granted.
    Grant {
        /// Who asked.
        ticket: Ticket,
        /// Instance with the slot.
        instance: Name,
    },
    /// From the broker: a request would wait in vain.
    Refuse {
        /// Who asked.
        ticket: Ticket,
        /// Why.
        reason: Reason,
        /// When to come back.
        retry_after: Duration,
    },
    /// From a new broker: say what you hold, and use no grant of a former one.
    Recall,
}
