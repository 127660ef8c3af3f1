use super::*;

/// A whole answer of an upstream, as one daemon passes it to another.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Headers that are passed on.
    pub headers: Vec<(String, String)>,
    /// The body.
    #[serde(with = "serde_bytes")]
    pub body: Vec<u8>,
}
