use super::*;

/// A whole answer of an upstream, as one daemon passes it to another.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Media type of the body.
    pub content_type: Option<String>,
    /// The body.
    #[serde(with = "serde_bytes")]
    pub body: Vec<u8>,
}
