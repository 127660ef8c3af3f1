use super::*;

/// How an [`Order`] starts or changes a wave.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Edit {
    /// Starts a wave over every instance that the selector matches.
    Start(Selector),
    /// Starts a wave over every instance whose periodic maintenance is due.
    Schedule,
    /// Stops giving grants until the wave is resumed.
    Pause,
    /// Gives grants again, and resets the count of failures.
    Resume,
    /// Ends the wave. Instances that are still draining return to service; grants in a later phase
    /// run to their end.
    Cancel,
}
