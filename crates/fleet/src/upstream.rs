use super::*;

/// An upstream as the fleet knows it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Upstream {
    /// What it announced last.
    pub announcement: Announcement,
    /// Whether it takes new work.
    pub presence: Presence,
}
