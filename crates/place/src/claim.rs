use super::*;

/// Room on a worker that is kept free for one waiting job until enough of the current tasks have
/// ended.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Claim {
    pub(crate) slot: usize,
    pub(crate) reserve: Resources,
    pub(crate) until: Time,
}
