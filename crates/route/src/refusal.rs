use super::*;

/// Why a pool does not take a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Refusal {
    pub(crate) reason: Reason,
    pub(crate) retry_after: Duration,
}
