use super::*;

/// A round of a job that is not over, and whose time has come.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Due<'a> {
    pub(crate) job: JobId,
    /// Number of the round.
    pub(crate) number: u32,
    /// When it was due.
    pub(crate) at: Unix,
    pub(crate) entry: &'a Entry,
    pub(crate) round: &'a Round,
    pub(crate) queue: &'a Queue,
}

impl<'a> Due<'a> {
    /// Rounds that are due by the time that `by` says for their queue; none where it says `None`.
    pub(crate) fn all(
        table: &'a Table,
        config: &'a Config,
        by: impl Fn(&Queue) -> Option<Unix>,
    ) -> impl Iterator<Item = Self> {
        let live = table.live.iter().filter_map(|job| Some((*job, table.jobs.get(job)?)));
        let open = live.filter(|(_, entry)| !entry.standing.is_over());
        let queued = open.filter_map(move |(job, entry)| {
            let queue = config.queue(&entry.queue)?;
            Some((job, entry, queue, by(queue)?))
        });
        queued.flat_map(|(job, entry, queue, by)| {
            let rounds = entry.rounds.iter().zip(0..).map(move |(round, number)| {
                let at = entry.spec.due(number).unwrap_or(entry.accepted);
                Self { job, number, at, entry, round, queue }
            });
            rounds.take_while(move |due| due.at <= by)
        })
    }

    /// Groups of which tasks wait, by position.
    pub(crate) fn waiting(self) -> impl Iterator<Item = (u16, &'a Group)> {
        let groups = (0..).zip(&self.entry.spec.groups);
        groups.filter(move |(position, _)| self.round.waiting[usize::from(*position)] > 0)
    }

    /// The tasks of the group at `position`.
    pub(crate) fn cohort(self, position: u16) -> Cohort {
        Cohort { job: self.job, round: self.number, group: position }
    }
}
