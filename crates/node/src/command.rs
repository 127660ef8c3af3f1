use super::*;

/// A replicated command, by component.
#[allow(clippy::large_enum_variant, reason = "a command is decoded, applied and dropped")]
#[derive(Debug, Clone, PartialEq, Eq, From, Serialize, Deserialize)]
pub enum Command {
    /// Command to the fleet state.
    Fleet(fleet::Command),
    /// Command to job placement.
    Place(place::Command),
    /// Command to request routing.
    Route(route::Command),
}
