use super::*;

/// Notifications about slots between a daemon and the broker of a service; batched in a [`Parcel`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Note {
    /// To the broker: request a slot.
    Want(Want),
    /// To the broker: cancel the slot request with this ticket.
    Withdraw(Ticket),
    /// To the broker: release a slot.
    Free {
        /// Slot request for which the slot was granted.
        ticket: Ticket,
        /// How the attempt ended.
        report: Report,
        /// How long the attempt took.
        took: Duration,
    },
    /// To the broker: after an answer, the daemon passed the slot on to another of its requests.
    Pass {
        /// Slot request that held the slot.
        from: Ticket,
        /// Slot request that holds the slot now.
        to: Ticket,
        /// Kind of the request that holds the slot now.
        kind: Name,
        /// How long the answered attempt took.
        took: Duration,
    },
    /// To a new broker, in reply to [`Note::Recall`]: all slots of the service that the daemon
    /// holds.
    Holds {
        /// Time since the daemon started. A daemon that restarted recently does not know the slots
        /// that it held before.
        age: Duration,
        /// The slots.
        held: Vec<Held>,
    },
    /// From the broker: a slot is granted.
    Grant {
        /// The slot request.
        ticket: Ticket,
        /// Instance that the slot belongs to.
        instance: Name,
    },
    /// From the broker: a slot request is refused because the caller's request could not be
    /// answered in time.
    Refuse {
        /// The slot request.
        ticket: Ticket,
        /// Reason to give to the caller.
        reason: Reason,
        /// Delay after which the caller should retry.
        retry_after: Duration,
    },
    /// From a new broker: the receiver must report the slots that it holds and ignore grants of
    /// earlier brokers from then on.
    Recall,
}
