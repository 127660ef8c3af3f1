use super::*;

/// Why a request got no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Reason {
    /// The daemon has no view: it cannot tell whether its configuration is current.
    #[display("this instance has no present configuration")]
    NoView,
    /// The service is not configured.
    #[display("service does not exist")]
    UnknownService,
    /// The kind is not configured.
    #[display("kind does not exist")]
    UnknownKind,
    /// The queue of the service is full.
    #[display("queue is full")]
    QueueFull,
    /// Its expected wait in the queue is too long to meet its deadline.
    #[display("it could not be answered in time")]
    Overloaded,
    /// No slot became free early enough to answer it by its deadline.
    #[display("no slot was free in time")]
    NoSlot,
    /// Upstreams refused it, or could not be reached.
    #[display("no upstream took it")]
    NotTaken,
    /// An upstream may have run it, but gave no complete answer.
    #[display("upstream gave no whole answer")]
    Broken,
    /// An upstream may have run it, but gave no answer by the deadline.
    #[display("upstream gave no answer in time")]
    Late,
    /// The key was used with another body.
    #[display("`Idempotency-Key` was used before with another body")]
    KeyOfOtherBody,
    /// The key was used with another method, service or path.
    #[display("`Idempotency-Key` was used before with another method or path")]
    KeyOfOtherPath,
    /// The key was used by another tenant.
    #[display("`Idempotency-Key` was used before by another tenant")]
    KeyOfOtherTenant,
    /// The maximum number of claims is reached.
    #[display("too many non-idempotent requests are remembered")]
    TooManyClaims,
    /// The log did not decide on the claim in time; an earlier send may have run.
    #[display("no majority decided in time whether it ran before")]
    Undecided,
    /// The daemon that holds the claim of the first send has lost its outcome or does not reply.
    #[display("it was sent before, and its outcome is lost")]
    OutcomeLost,
    /// The first answer is no longer kept.
    #[display("it ran before, and its answer is no longer kept")]
    AnswerNotKept,
    /// The daemon is shutting down.
    #[display("this instance is shutting down")]
    Stopping,
}
