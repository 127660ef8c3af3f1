use super::*;

/// What a journal entry is about.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Display, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Subject {
    /// An instance, by name.
    #[display("instance `{_0}`")]
    Instance(Name),
    /// A pool, by name.
    #[display("pool `{_0}`")]
    Pool(Name),
    /// A wave, by name.
    #[display("wave `{_0}`")]
    Wave(Name),
    /// The fleet configuration.
    #[display("configuration")]
    Config,
}
