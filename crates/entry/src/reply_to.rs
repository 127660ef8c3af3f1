use super::*;

/// Where the answer to a call goes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum ReplyTo {
    /// To a client of this daemon.
    Client(CallTicket),
    /// To a peer, with the id that the peer gave the call.
    Peer(Name, CallTicket),
}
