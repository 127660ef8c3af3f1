use super::*;

/// Whether an upstream takes new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Presence {
    /// It takes new work.
    #[display("serving")]
    Serving,
    /// It leaves by its own word.
    #[display("leaving")]
    Leaving,
    /// Its lease has run out.
    #[display("lapsed")]
    Lapsed,
}
