use super::*;

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Serialize, Deserialize)]
pub enum Report {
    /// A whole answer came.
    #[display("answered")]
    Answered,
    /// No byte can have reached the upstream.
    #[display("not sent")]
    NotSent,
    /// The upstream said that it did not run the request.
    #[display("refused by the upstream")]
    Refused,
    /// The slot was not used.
    #[display("slot not used")]
    Unused,
    /// The request may have run; no whole answer came.
    #[display("no whole answer")]
    Broken,
    /// The request may have run; no answer came by the deadline.
    #[display("timed out")]
    Late,
}
