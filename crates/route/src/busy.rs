use super::*;

/// A slot that is granted.
#[derive(Debug, Clone)]
pub(crate) struct Busy {
    /// Number of the upstream in its pool.
    pub(crate) upstream: usize,
    pub(crate) kind: Name,
    /// When it is free, whatever is heard.
    pub(crate) until: Time,
}
