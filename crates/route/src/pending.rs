use super::*;

/// A request that has no final answer yet.
#[derive(Debug, Clone)]
pub(crate) struct Pending {
    pub(crate) request: Request,
    pub(crate) idempotent: bool,
    pub(crate) deadline: Time,
    pub(crate) attempts: u32,
    /// Attempt that runs, `None` while it waits.
    pub(crate) running: Option<AttemptId>,
}
