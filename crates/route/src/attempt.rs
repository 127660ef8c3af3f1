use super::*;

/// One send of a request to an upstream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Attempt {
    /// Number of the attempt.
    pub id: AttemptId,
    /// Request to send.
    pub request: RequestId,
    /// Instance to send it to.
    pub instance: Name,
    /// Address of the instance, `IP:PORT`.
    pub address: Name,
    /// Time at which the caller no longer needs the answer.
    pub deadline: Time,
    /// Time after which it must no longer connect to the instance.
    pub lease: Time,
}
