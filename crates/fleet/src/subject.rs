use super::*;

/// What a decision concerns.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Display, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Subject {
    /// An instance.
    #[display("instance `{_0}`")]
    Instance(Name),
    /// A pool.
    #[display("pool `{_0}`")]
    Pool(Name),
    /// A wave.
    #[display("wave `{_0}`")]
    Wave(Name),
    /// The configuration.
    #[display("configuration")]
    Config,
}
