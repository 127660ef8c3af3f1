use {super::*, std::cmp::Reverse};

/// Sort key of a waiting job in the queue: most urgent first, then earliest start time.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct QueueKey {
    pub(crate) urgency: Reverse<Urgency>,
    /// Latest replicated time at which it should start to meet its deadline.
    pub(crate) start_by: Time,
    pub(crate) id: Name,
}

impl QueueKey {
    /// Deadline of a job that declares none.
    const DEADLINE: Duration = Duration::from_secs(600);

    pub(crate) fn new(state: &State, id: &Name, entry: &Entry) -> Self {
        let job = &entry.job;
        let run_time = state.class(&job.class).and_then(Class::run_time).unwrap_or(job.run_time);
        let deadline = entry.submitted + job.deadline.unwrap_or(Self::DEADLINE);
        Self {
            urgency: Reverse(job.urgency),
            start_by: deadline.saturating_sub(run_time),
            id: id.clone(),
        }
    }
}
