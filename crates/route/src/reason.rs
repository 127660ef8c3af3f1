use super::*;

/// Why a request got no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Reason {
    /// The daemon has no present configuration.
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
    /// It waited for a slot until its deadline.
    #[display("no slot was free in time")]
    NoSlot,
    /// Upstreams refused it, or could not be reached.
    #[display("no upstream took it")]
    NotTaken,
    /// An upstream may have run it, and gave no whole answer.
    #[display("upstream gave no whole answer")]
    Broken,
    /// An upstream may have run it, and gave no answer in time.
    #[display("upstream gave no answer in time")]
    Late,
    /// The daemon stops.
    #[display("this instance is shutting down")]
    Stopping,
}
