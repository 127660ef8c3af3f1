use super::*;

/// Commands of every area.
#[derive(Debug, Clone, PartialEq, Eq, From, Serialize, Deserialize)]
pub enum Command {
    /// Concerns the fleet.
    Fleet(fleet::Command),
    /// Concerns jobs on workers.
    Place(place::Command),
    /// Concerns dispatch.
    Route(route::Command),
}
