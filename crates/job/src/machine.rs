use super::*;

/// A machine as listed by the platform.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Machine {
    /// Name of the machine.
    pub name: Name,
    /// Pool that the machine belongs to, or is moving to.
    pub pool: Name,
    /// Current state.
    pub state: MachineState,
    /// Total resources.
    pub capacity: Resources,
    /// Labels: first the kind of the machine, then its rack.
    pub labels: Vec<Name>,
    /// Name of the instance that runs on it.
    pub instance: Option<Name>,
}

/// State of a machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MachineState {
    /// In operation.
    Up,
    /// Moving to another pool.
    Moving,
    /// Down for maintenance.
    Maintained,
    /// Down for another reason.
    Down,
}
