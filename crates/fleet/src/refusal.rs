use super::*;

/// Why a request cannot be met.
#[derive(Debug, Clone, PartialEq, Eq, Display, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Refusal {
    /// Wave that does not exist.
    #[display("wave `{_0}` does not exist")]
    UnknownWave(Name),
    /// Wave that exists already.
    #[display("wave `{_0}` exists already")]
    KnownWave(Name),
    /// Wave that has ended.
    #[display("wave `{_0}` has ended")]
    EndedWave(Name),
    /// Wave without instances.
    #[display("wave `{_0}` selects no instance")]
    EmptyWave(Name),
    /// Instances that another wave is to maintain.
    #[display("wave `{_0}` is not over and has some of the same instances")]
    SharedWave(Name),
    /// Too many waves at once.
    #[display("{_0} waves are not over; cancel one first")]
    TooManyWaves(usize),
    /// Instance that does not exist.
    #[display("instance `{_0}` does not exist")]
    UnknownInstance(Name),
    /// Instance that is still there.
    #[display("instance `{_0}` is not down")]
    Present(Name),
}
