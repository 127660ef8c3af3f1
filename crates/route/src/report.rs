use super::*;

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Serialize, Deserialize)]
pub enum Report {
    /// A complete answer was received.
    #[display("answered")]
    Answered,
    /// No byte can have reached the upstream.
    #[display("not sent")]
    NotSent,
    /// The upstream reported that it did not run the request.
    #[display("refused by the upstream")]
    Refused,
    /// The slot was returned without an attempt.
    #[display("slot not used")]
    Unused,
    /// The request may have run; no complete answer was received.
    #[display("no whole answer")]
    Broken,
    /// The request may have run; no answer was received by the deadline.
    #[display("timed out")]
    Late,
}
