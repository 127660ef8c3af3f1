use super::*;

/// Who waits for an answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Origin {
    /// An edge of this daemon.
    Own(Ticket),
    /// A peer, under its own number.
    Peer(Name, Ticket),
}
