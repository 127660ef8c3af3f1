use super::*;

/// Commands of every area.
#[allow(clippy::large_enum_variant, reason = "a command is decoded, applied and dropped")]
#[derive(Debug, Clone, PartialEq, Eq, From, Serialize, Deserialize)]
pub enum Command {
    /// Concerns the fleet.
    Fleet(fleet::Command),
    /// Concerns jobs on workers.
    Place(place::Command),
    /// Concerns dispatch.
    Route(route::Command),
}
