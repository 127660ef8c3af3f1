use super::*;

/// What an upstream instance reports about itself when it announces itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Announcement {
    /// Name of the instance, unique in the fleet.
    pub instance: Name,
    /// Service whose requests it answers.
    pub service: Name,
    /// Address that requests are sent to, `IP:PORT`.
    pub address: Name,
    /// Maximum number of requests that it runs at the same time.
    pub slots: u32,
    /// Maximum number of connections that it accepts at the same time.
    pub connections: u32,
    /// Number that grows with each start of the instance. An announcement with a lower one than
    /// the latest is stale.
    pub incarnation: u64,
    /// Failure domains of the instance.
    pub location: Location,
    /// Labels of the instance. Labels that operators configure override them.
    #[serde(default)]
    pub labels: Labels,
}
