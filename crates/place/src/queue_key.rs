use {super::*, std::cmp::Reverse};

/// Place of a waiting job in the queue.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Want {
    pub(crate) urgency: Reverse<Urgency>,
    /// Latest time at which it should start.
    pub(crate) start_by: Time,
    pub(crate) id: Name,
}

impl Want {
    /// Deadline of a job that names none.
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
