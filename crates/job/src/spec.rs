use super::*;

/// A job as described by its caller.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Spec {
    /// Passed unchanged to every task.
    pub payload: Arc<str>,
    /// Task groups; a group refers to earlier groups by index.
    pub groups: Vec<Group>,
    /// Schedule of a recurring job.
    pub recurrence: Option<Recurrence>,
}

impl Spec {
    /// Maximum number of tasks of a job over all rounds.
    pub const MAX_TASKS: usize = 100_000;

    /// Number of rounds; 1 for a job that does not recur.
    pub fn rounds(&self) -> u32 {
        self.recurrence.map_or(1, |recurrence| recurrence.count)
    }

    /// When `round` is due; `None` if the job does not recur.
    pub fn due(&self, round: u32) -> Option<UnixMs> {
        let recurrence = self.recurrence?;
        let interval = recurrence.interval.as_millis() as u64;
        Some(recurrence.first + u64::from(round) * interval)
    }

    /// Whether any group runs until the job is cancelled.
    pub fn is_continuous(&self) -> bool {
        self.groups.iter().any(|group| group.continuous)
    }

    /// Length of the critical path through the groups' estimates, with a delay before each group.
    pub fn critical_path(&self, delay: Duration) -> Duration {
        let mut ends: Vec<Duration> = Vec::with_capacity(self.groups.len());
        for group in &self.groups {
            let before = group.after.iter().filter_map(|i| ends.get(usize::from(*i))).max();
            ends.push(before.copied().unwrap_or_default() + delay + group.estimate);
        }
        ends.into_iter().max().unwrap_or_default()
    }

    /// Estimated work of one round, excluding continuous and best-effort tasks, in
    /// millicore-milliseconds.
    pub fn work(&self) -> u64 {
        let works = self.groups.iter().map(|g| g.work().saturating_mul(u64::from(g.count)));
        works.fold(0, u64::saturating_add)
    }

    /// Estimated memory that it takes, in bytes.
    pub fn footprint(&self) -> usize {
        const NAME_BYTES: usize = 48;
        let names = |group: &Group| {
            [&group.requirement, &group.data_rack, &group.image].into_iter().flatten().count()
        };
        let group = |group: &Group| {
            size_of::<Group>() + size_of_val(&group.after[..]) + names(group) * NAME_BYTES
        };
        self.payload.len() + self.groups.iter().map(group).sum::<usize>()
    }

    /// Describes the first problem with the job, if there is one.
    pub fn validation_error(&self) -> Option<String> {
        if self.groups.is_empty() {
            return Some("job has no task group".into());
        }
        let tasks: usize = self.groups.iter().map(|group| usize::from(group.count)).sum();
        if tasks * self.rounds() as usize > Self::MAX_TASKS {
            return Some(format!("job has more than {} tasks", Self::MAX_TASKS));
        }
        self.groups.iter().enumerate().find_map(|(i, group)| {
            if group.count == 0 {
                return Some(format!("group {i} has no tasks"));
            }
            let unknown = group.after.iter().find(|after| usize::from(**after) >= i);
            unknown.map(|after| format!("group {i} comes after group {after}, which is no earlier"))
        })
    }
}
