use super::*;

/// A complete answer of an upstream, as one daemon sends it to another.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Headers to pass on to the caller.
    pub headers: Vec<(String, String)>,
    /// Body of the answer.
    #[serde(with = "serde_bytes")]
    pub body: Vec<u8>,
}
