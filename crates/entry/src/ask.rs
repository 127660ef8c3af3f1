use super::*;

/// A call of an edge of this daemon that has no answer yet.
#[derive(Debug, Clone)]
pub(crate) struct Ask {
    pub(crate) call: Call,
    /// When its edge gives up.
    pub(crate) until: Time,
    /// Whom it was sent to last, and when.
    pub(crate) sent: Option<(Name, Time)>,
    /// Whether somebody may have acted on it.
    pub(crate) may_have_run: bool,
}
