use super::*;

/// A request to an instance, as the leader decided it.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct InstanceCall {
    /// Id of the request at the leader.
    pub(crate) id: job::CallId,
    /// Receiver.
    pub(crate) incarnation: job::Incarnation,
    /// Address of the instance.
    pub(crate) address: Name,
    pub(crate) order: job::Order,
    pub(crate) token: job::Token,
    /// How long to wait for the answer of the instance.
    pub(crate) timeout: Duration,
}
