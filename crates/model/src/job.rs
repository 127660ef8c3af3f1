use super::*;

/// A job as its team declares it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Job {
    /// Team whose quota it counts against.
    pub team: Name,
    /// Jobs of one class resemble each other in size and run time.
    pub class: Name,
    /// How much it presses.
    #[serde(default)]
    pub urgency: Urgency,
    /// Size that the team expects; usage seen in the class goes before it.
    pub size: Resources,
    /// Run time that the team expects.
    pub run_time: Duration,
    /// Time from submission within which it is wanted.
    #[serde(default)]
    pub deadline: Option<Duration>,
    /// Labels that a worker must have; any worker where absent.
    #[serde(default)]
    pub selector: Option<Selector>,
    /// How it spreads over racks with others.
    #[serde(default)]
    pub spread: Option<Spread>,
}
