use super::*;

/// Room on a worker that is kept for one job until its present tasks have left.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Claim {
    pub(crate) slot: usize,
    pub(crate) reserve: Resources,
    pub(crate) until: Time,
}
