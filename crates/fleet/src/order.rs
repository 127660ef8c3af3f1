use super::*;

/// An operator's order about a wave.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Id that the operator gave the request; a resend carries the same.
    pub request: Name,
    /// Who asks.
    pub author: Name,
    /// The wave.
    pub wave: Name,
    /// What is asked.
    pub edit: Edit,
}
