use super::*;

/// Maintenance of many instances.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Wave {
    /// Who started it.
    pub author: Name,
    /// Its state.
    pub standing: Standing,
    /// Fleet time at which it started.
    pub started: Time,
    /// Fleet time at which it ended.
    pub ended: Option<Time>,
    /// Instances that failed since it last ran.
    pub failures: u32,
    /// Every instance with how far it is.
    pub instances: BTreeMap<Name, Progress>,
    /// What it waits for.
    pub wait: Option<Wait>,
    /// Sum of the times that maintained instances were under a grant.
    pub spent: Duration,
}

impl Wave {
    /// A wave over `instances` that starts now.
    pub fn new(author: Name, instances: BTreeSet<Name>, now: Time) -> Self {
        Self {
            author,
            standing: Standing::Running,
            started: now,
            ended: None,
            failures: 0,
            instances: instances.into_iter().map(|name| (name, Progress::Waiting)).collect(),
            wait: None,
            spent: Duration::ZERO,
        }
    }

    /// Instances that are this far.
    pub fn count(&self, progress: Progress) -> usize {
        self.instances.values().filter(|other| **other == progress).count()
    }

    /// Instances for which something remains to be done.
    pub fn left(&self) -> usize {
        self.instances.values().filter(|progress| !progress.ended()).count()
    }

    /// Instances that the wave may have under a grant at once, `None` for as many as budgets allow.
    pub fn width(&self, policy: &Policy) -> Option<usize> {
        let done = self.count(Progress::Done);
        let canary = policy.canary as usize;
        (done < canary).then(|| canary - done)
    }

    /// Time until the end at the pace so far, `None` before the first instance is done.
    pub fn estimate(&self, now: Time) -> Option<Duration> {
        let done = self.count(Progress::Done) as u32;
        let elapsed = now.checked_sub(self.started)?;
        if self.standing.ended() {
            return Some(Duration::ZERO);
        }
        (done > 0).then(|| elapsed * self.left() as u32 / done)
    }
}
