use super::*;

/// A machine as the platform lists it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Machine {
    /// Its name.
    pub name: Name,
    /// Pool that it is in.
    pub pool: Name,
    /// Whether it is up.
    pub state: MachineState,
    /// What it has.
    pub capacity: Resources,
    /// Kind, then rack.
    pub labels: Vec<Name>,
    /// Instance that runs on it.
    pub instance: Option<Name>,
}

/// Whether a machine is up.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MachineState {
    /// It is.
    Up,
    /// It is on its way to another pool.
    Moving,
    /// It is down for maintenance.
    Maintained,
    /// It is down.
    Down,
}
