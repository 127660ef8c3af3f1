use super::*;

/// Room on a worker that is kept free for one waiting job until enough of the current tasks have
/// ended.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Claim {
    /// Index of the worker in `Planner::slots`.
    pub(crate) slot: usize,
    pub(crate) reserve: Resources,
    /// Local time at which the claim expires.
    pub(crate) until: Time,
}
