use super::*;

/// What an upstream says of itself when it announces.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Announcement {
    /// Name of the instance, unique in the fleet.
    pub instance: Name,
    /// Service whose requests it answers.
    pub service: Name,
    /// Where requests go, `IP:PORT`.
    pub address: Name,
    /// Requests it runs at once.
    pub slots: u32,
    /// Connections it accepts at once.
    pub connections: u32,
    /// Grows with each start of the instance; a lower one is stale.
    pub incarnation: u64,
    /// Where it stands.
    pub location: Location,
    /// Labels it carries besides those that operators give it.
    #[serde(default)]
    pub labels: Labels,
}
