use super::*;

/// Whether an upstream is present, by its announcements and lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Presence {
    /// It announced itself and holds a lease.
    #[display("serving")]
    Serving,
    /// It said that it leaves.
    #[display("leaving")]
    Leaving,
    /// Its lease has expired.
    #[display("lapsed")]
    Lapsed,
}
