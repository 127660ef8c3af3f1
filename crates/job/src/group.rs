use super::*;

/// Tasks of a job that are alike.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Group {
    /// How many tasks.
    pub count: u16,
    /// What each of them takes.
    pub size: Resources,
    /// Rough estimate of how long each takes.
    pub estimate: Duration,
    /// Groups whose tasks must all be done first.
    pub after: Vec<u16>,
    /// Whether the tasks save checkpoints.
    pub checkpointing: bool,
    /// Whether the tasks work only together.
    pub gang: bool,
    /// Whether the tasks slow each other down across racks.
    pub rack_local: bool,
    /// Label that the instance must have.
    pub requirement: Option<Name>,
    /// Rack that holds the data.
    pub data_rack: Option<Name>,
    /// Most tasks of one round on one instance.
    pub max_per_instance: Option<u16>,
    /// Whether copies may run side by side.
    pub allow_duplicates: bool,
    /// Whether the tasks run until the job is cancelled.
    pub long_running: bool,
    /// What the tasks run; tasks of one image behave alike.
    pub image: Option<Name>,
    /// Latency that the tail of the tasks' own users must stay below.
    pub latency_target: Option<Duration>,
    /// Whether the tasks use only what others leave idle.
    pub best_effort: bool,
    /// How many lasting tasks may be unavailable at once on our account.
    pub max_unavailable: Option<u16>,
}

impl Group {
    /// Whether its tasks stay for long.
    pub fn is_long_lived(&self) -> bool {
        self.long_running || self.best_effort
    }

    /// Work of one task, in thousandths of a processor times milliseconds; none for a lasting task
    /// or a filler.
    pub fn work(&self) -> u64 {
        if self.long_running || self.best_effort {
            return 0;
        }
        self.size.millicores.saturating_mul(self.estimate.as_millis() as u64)
    }

    /// Whether an instance with these labels may run its tasks.
    pub fn accepts(&self, labels: &[Name]) -> bool {
        self.requirement.as_ref().is_none_or(|label| labels.contains(label))
    }

    /// What a task counts against the room of its instance.
    pub fn reserved(&self) -> Resources {
        let millicores = if self.best_effort { 0 } else { self.size.millicores };
        Resources { millicores, ..self.size }
    }
}
