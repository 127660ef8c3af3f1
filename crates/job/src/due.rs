use super::*;

/// A round that is due by some given time, of a job that has not ended.
#[derive(Debug, Clone, Copy)]
pub(crate) struct DueRound<'a> {
    pub(crate) job: JobId,
    /// Index of the round.
    pub(crate) number: u32,
    /// When the round is due; the time of submission for a job that does not recur.
    pub(crate) at: UnixMs,
    pub(crate) record: &'a JobRecord,
    pub(crate) round: &'a Round,
    pub(crate) queue: &'a Queue,
}

impl<'a> DueRound<'a> {
    /// Rounds with waiting tasks that are looked at of one job. A job may have any number of them due,
    /// and later ones start no sooner than these.
    const MAX_WAITING: usize = 100;

    /// Rounds that are due by the time that `by` returns for their queue. A queue for which it
    /// returns `None` is skipped.
    pub(crate) fn all(
        table: &'a Table,
        config: &'a Config,
        by: impl Fn(&Queue) -> Option<UnixMs>,
    ) -> impl Iterator<Item = Self> {
        Self::of(&table.live, table, config, by)
    }

    /// The same, of the given jobs.
    pub(crate) fn of(
        jobs: &'a BTreeSet<JobId>,
        table: &'a Table,
        config: &'a Config,
        by: impl Fn(&Queue) -> Option<UnixMs>,
    ) -> impl Iterator<Item = Self> {
        let live = jobs.iter().filter_map(|job| Some((*job, table.jobs.get(job)?)));
        let open = live.filter(|(_, record)| !record.state.is_terminal());
        let queued = open.filter_map(move |(job, record)| {
            let queue = config.queue(&record.queue)?;
            Some((job, record, queue, by(queue)?))
        });
        queued.flat_map(|(job, record, queue, by)| {
            // A job that does not recur is due even if the leader that accepted it had a clock that
            // was ahead.
            let is_due = move |number| record.spec.due(number).is_none_or(|at| at <= by);
            let due = record.rounds.iter_open().take_while(move |(number, _)| is_due(*number));
            let mut waiting = 0;
            let due = due.take_while(move |(_, round)| {
                waiting += usize::from(round.has_waiting_tasks());
                waiting <= Self::MAX_WAITING
            });
            due.map(move |(number, round)| {
                let at = record.spec.due(number).unwrap_or(record.accepted_at);
                Self { job, number, at, record, round, queue }
            })
        })
    }

    /// Groups with waiting tasks, with their index.
    pub(crate) fn waiting_groups(self) -> impl Iterator<Item = (u16, &'a Group)> {
        let groups = (0..).zip(&self.record.spec.groups);
        groups.filter(move |(position, _)| self.round.waiting[usize::from(*position)] > 0)
    }

    /// Id of the group at `position`.
    pub(crate) fn group_id(self, position: u16) -> GroupId {
        GroupId { job: self.job, round: self.number, group: position }
    }
}
