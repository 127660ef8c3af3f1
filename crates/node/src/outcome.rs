use super::*;

/// Result of applying a committed command, by component.
#[derive(Debug, Clone, PartialEq, Eq, From)]
pub enum Outcome {
    /// Effect on the fleet state.
    Fleet(fleet::Effect),
    /// Effect on job placement.
    Place(place::Effect),
    /// Decision about request routing.
    Route(route::Decision),
}
