use super::*;

/// One try to have a request answered by an upstream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Attempt {
    /// Number at this daemon.
    pub id: AttemptId,
    /// Request tried.
    pub request: RequestId,
    /// Instance tried.
    pub instance: Name,
    /// Address of the instance, `IP:PORT`.
    pub address: Name,
    /// Time at which the caller no longer needs the answer.
    pub deadline: Time,
    /// Time at which it may no longer connect.
    pub lease: Time,
}
