use super::*;

/// What follows from a command.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Effect {
    /// A request was judged; a resend gets the first verdict.
    Verdict {
        /// The request.
        request: Name,
        /// What became of it.
        verdict: Verdict,
    },
    /// The configuration is another.
    Configured(Arc<Config>),
    /// An upstream is new, or is another than before.
    Upstream(Upstream),
    /// An instance takes new work, as announced here.
    Serving(Announcement),
    /// An instance takes no new work.
    NotServing(Name),
}
