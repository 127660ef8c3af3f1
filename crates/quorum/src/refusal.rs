use super::*;

/// Why a change of members is not made.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Refusal {
    /// Only the leader makes changes.
    #[display("this daemon does not lead")]
    NotLeader,
    /// The former change is not committed yet, or the leader has just been elected.
    #[display("the former change is not committed yet")]
    Busy,
    /// The member has not been heard, has no disk, or lacks entries.
    #[display("the member has no disk or lags behind")]
    NotReady,
    /// The voter came back with another disk; it must become an observer first.
    #[display("the voter has another disk: make it an observer first")]
    OtherDisk,
    /// No voter would be left.
    #[display("no voter would be left")]
    LastVoter,
}
