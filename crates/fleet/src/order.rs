use super::*;

/// A request to start or change a wave.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Request id; a resend carries the same id.
    pub request: Name,
    /// Operator who sent the request, or [`Planner::SCHEDULE`].
    pub author: Name,
    /// Name of the wave.
    pub wave: Name,
    /// The requested operation.
    pub edit: Edit,
}
