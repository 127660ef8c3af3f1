use super::*;

/// What follows from a committed command, by area.
#[derive(Debug, Clone, PartialEq, Eq, From)]
pub enum Outcome {
    /// Concerns the fleet.
    Fleet(fleet::Effect),
    /// Concerns jobs on workers.
    Place(place::Effect),
    /// Concerns dispatch.
    Route(route::Decision),
}
