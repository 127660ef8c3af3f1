use super::*;

/// Messages between daemons.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Consensus.
    Quorum(quorum::Message),
    /// Request routing.
    Route(route::Message),
    /// A proposal, for the leader.
    Propose(Box<Proposal>),
    /// Instances that have announced themselves or renewed their lease at the sender, for the
    /// leader.
    Heard(Vec<Name>),
    /// Drains for which the sender has no requests in flight, for the leader.
    Idle(Vec<(Name, fleet::Epoch)>),
}
