use super::*;

/// Input of [`State::reduce`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Event {
    /// A caller's request was received in full.
    Arrive(Request),
    /// An attempt ended.
    AttemptEnded {
        /// The attempt.
        attempt: AttemptId,
        /// How it ended.
        report: Report,
    },
    /// A command that concerns routing was committed.
    Decided(Decision),
    /// A message of another daemon was received.
    Message {
        /// The daemon.
        from: Name,
        /// The message.
        message: Message,
    },
    /// A timer set by [`Effect::Subscribe`] fired.
    Timer(Timer),
    /// The configuration has changed.
    Configured(Arc<Config>),
    /// An upstream accepts new requests.
    Serving(Announcement),
    /// An upstream accepts no new requests.
    NotServing(Name),
    /// The daemon gained (true) or lost its view. It may act on its configuration only while it has
    /// a view, that is, while it knows that the configuration is current.
    View(bool),
    /// The daemon shuts down: refuse further requests.
    Stop,
    /// The daemon shuts down: answer all requests by this time.
    Bound(Time),
}
