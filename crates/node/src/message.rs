use super::*;

/// Messages between daemons.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Agreement.
    Quorum(quorum::Message),
    /// Requests.
    Route(route::Message),
    /// A proposal for whoever leads.
    Propose(Box<Proposal>),
    /// Upstreams that were heard by the sender, for whoever leads.
    Heard(Vec<Name>),
    /// Drains under way on which the sender has no work in flight, for whoever leads.
    Idle(Vec<(Name, fleet::Epoch)>),
}
