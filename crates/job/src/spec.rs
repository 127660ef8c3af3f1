use super::*;

/// A job as its caller describes it.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Spec {
    /// Handed to every task as it is.
    pub payload: Arc<str>,
    /// Groups of tasks; a group refers to others by position.
    pub groups: Vec<Group>,
    /// When the job recurs.
    pub recurrence: Option<Recurrence>,
}

impl Spec {
    /// Most tasks of a job, over all rounds.
    pub const MAX_TASKS: usize = 100_000;

    /// How many rounds the job has.
    pub fn rounds(&self) -> u32 {
        self.recurrence.map_or(1, |recurrence| recurrence.count)
    }

    /// When `round` is due; `None` where the job does not wait for a time.
    pub fn due(&self, round: u32) -> Option<UnixMs> {
        let recurrence = self.recurrence?;
        let interval = recurrence.interval.as_millis() as u64;
        Some(recurrence.first + u64::from(round) * interval)
    }

    /// Whether the tasks of any group run until the job is cancelled.
    pub fn is_long_running(&self) -> bool {
        self.groups.iter().any(|group| group.long_running)
    }

    /// Longest chain of estimates through the groups, each of them after a delay.
    pub fn critical_path(&self, delay: Duration) -> Duration {
        let mut ends: Vec<Duration> = Vec::with_capacity(self.groups.len());
        for group in &self.groups {
            let before = group.after.iter().filter_map(|i| ends.get(usize::from(*i))).max();
            ends.push(before.copied().unwrap_or_default() + delay + group.estimate);
        }
        ends.into_iter().max().unwrap_or_default()
    }

    /// Work of one round but for lasting tasks and fillers, in thousandths of a processor times
    /// milliseconds.
    pub fn work(&self) -> u64 {
        let works = self.groups.iter().map(|g| g.work().saturating_mul(u64::from(g.count)));
        works.fold(0, u64::saturating_add)
    }

    /// What is wrong with the job, by place.
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
