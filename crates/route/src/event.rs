use super::*;

/// What may happen to requests.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Event {
    /// A caller's request arrived whole.
    Arrive(Request),
    /// An attempt ended.
    AttemptEnded {
        /// The attempt.
        attempt: AttemptId,
        /// How it ended.
        report: Report,
    },
    /// The log decided on a claim, or on who dispatches.
    Decided(Decision),
    /// Another daemon sent a message.
    Message {
        /// The daemon.
        from: Name,
        /// What it sent.
        message: Message,
    },
    /// A timer fell due.
    Timer(Timer),
    /// The configuration is another.
    Configured(Arc<Config>),
    /// An upstream takes new work.
    Serving(Announcement),
    /// An upstream takes no new work.
    NotServing(Name),
    /// The daemon got, or lost, its view of the configuration.
    View(bool),
    /// The daemon takes no further requests.
    Stop,
}
