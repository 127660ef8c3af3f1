use super::*;

/// A slot that a broker has granted and that has not been returned.
#[derive(Debug, Clone)]
pub(crate) struct GrantedSlot {
    /// Index of the upstream in its pool.
    pub(crate) upstream: usize,
    /// Kind of the request that uses the slot.
    pub(crate) kind: Name,
    /// End of the lease: the slot is freed then even if its release is never received.
    pub(crate) until: Time,
}
