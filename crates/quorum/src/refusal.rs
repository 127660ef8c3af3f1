use super::*;

/// Reason for refusing a membership change.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Refusal {
    /// This member is not the leader.
    #[display("this daemon does not lead")]
    NotLeader,
    /// The previous change is not committed yet, or the leader has only just been elected.
    #[display("the former change is not committed yet")]
    Busy,
    /// The member to promote has not been heard from, has no disk, or lacks entries.
    #[display("the member has no disk or lags behind")]
    NotReady,
    /// The voter has another disk than the recorded one; demote it to observer first.
    #[display("the voter has another disk: make it an observer first")]
    OtherDisk,
    /// The change would remove the last voter.
    #[display("no voter would be left")]
    LastVoter,
}
