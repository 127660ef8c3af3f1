use super::*;

/// What an operator wants of a wave.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Edit {
    /// Maintain every instance that the selector matches.
    Start(Selector),
    /// Maintain every instance whose maintenance is due.
    Schedule,
    /// Give no further grants.
    Pause,
    /// Give grants again.
    Resume,
    /// End the wave once its outstanding grants have ended.
    Cancel,
}
