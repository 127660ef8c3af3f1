use super::*;

/// What follows from a command.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Effect {
    /// A change was judged; a resend gets the first verdict.
    Verdict {
        /// Request of the change.
        request: Name,
        /// What became of it.
        verdict: Verdict,
    },
    /// The configuration is another.
    Configured(Arc<Config>),
    /// An upstream is new, or is another than before.
    Upstream(Upstream),
}
