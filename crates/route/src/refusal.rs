use super::*;

/// Refusal of a request by a [`Pool`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Refusal {
    pub(crate) reason: Reason,
    /// Delay after which the caller should retry.
    pub(crate) retry_after: Duration,
}
