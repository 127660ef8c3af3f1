use super::*;

/// Result of applying a command, for the daemon to act on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Effect {
    /// A request got its verdict; a resend gets the first verdict again.
    Verdict {
        /// Id of the request.
        request: Name,
        /// Outcome of the request.
        verdict: Verdict,
    },
    /// A new configuration is in force.
    Configured(Arc<Config>),
    /// An upstream is new, or its record has changed.
    Upstream(Upstream),
    /// An instance takes new requests, as described by this announcement.
    Serving(Announcement),
    /// An instance takes no new requests.
    NotServing(Name),
}
