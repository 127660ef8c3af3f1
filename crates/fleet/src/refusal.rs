use super::*;

/// Why a request was refused.
#[derive(Debug, Clone, PartialEq, Eq, Display, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Refusal {
    /// No wave has this name.
    #[display("wave `{_0}` does not exist")]
    UnknownWave(Name),
    /// A wave with this name exists.
    #[display("wave `{_0}` already exists")]
    KnownWave(Name),
    /// The wave has ended.
    #[display("wave `{_0}` has ended")]
    EndedWave(Name),
    /// The wave would have no instances.
    #[display("wave `{_0}` selects no instance")]
    EmptyWave(Name),
    /// This wave still has to maintain some of the same instances.
    #[display("wave `{_0}` has not ended and includes some of the same instances")]
    SharedWave(Name),
    /// This many waves have not ended, which is the maximum.
    #[display("{_0} waves have not ended; cancel one first")]
    TooManyWaves(usize),
    /// No instance has this name.
    #[display("instance `{_0}` does not exist")]
    UnknownInstance(Name),
    /// The instance is still present, so it cannot be removed.
    #[display("instance `{_0}` is not down")]
    Present(Name),
}
