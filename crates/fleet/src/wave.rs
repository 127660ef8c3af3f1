use super::*;

/// Rolling maintenance of a set of instances.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Wave {
    /// Operator who started it, or [`Planner::SCHEDULE`].
    pub author: Name,
    /// Its status.
    pub standing: Standing,
    /// Fleet time at which it started.
    pub started: Time,
    /// Fleet time at which it ended.
    pub ended: Option<Time>,
    /// Instances that failed since the wave was started or resumed.
    pub failures: u32,
    /// Progress by instance.
    pub instances: BTreeMap<Name, Progress>,
    /// Why it waits, as last recorded in the journal.
    pub wait: Option<Wait>,
    /// Total time that maintained instances spent under a grant.
    pub spent: Duration,
}

impl Wave {
    /// A running wave over `instances` that starts at `now`.
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

    /// Number of instances with this progress.
    pub fn count(&self, progress: Progress) -> usize {
        self.instances.values().filter(|other| **other == progress).count()
    }

    /// Number of instances that the wave has not finished.
    pub fn left(&self) -> usize {
        self.instances.values().filter(|progress| !progress.ended()).count()
    }

    /// Maximum number of instances under a grant at the same time while the canary instances are
    /// not done, `None` afterwards, when only budgets limit it.
    pub fn max_concurrent(&self, policy: &Policy) -> Option<usize> {
        let done = self.count(Progress::Done);
        let canary = policy.canary as usize;
        (done < canary).then(|| canary - done)
    }

    /// Estimated time until the wave finishes, extrapolated from its progress so far; zero once it
    /// has ended, `None` before the first instance is done.
    pub fn estimate(&self, now: Time) -> Option<Duration> {
        let done = self.count(Progress::Done) as u32;
        let elapsed = now.checked_sub(self.started)?;
        if self.standing.ended() {
            return Some(Duration::ZERO);
        }
        (done > 0).then(|| elapsed * self.left() as u32 / done)
    }
}
