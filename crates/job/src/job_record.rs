use super::*;

/// State of an accepted job.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobRecord {
    /// Queue of the job.
    pub queue: Name,
    /// Organisation that submitted it; `None` for an anonymous caller.
    pub organisation: Option<Name>,
    /// Whether it exceeded the agreed rate of its organisation.
    pub surplus: bool,
    /// Description of the job; empty once it has been dropped.
    pub spec: Arc<Spec>,
    /// Digest of the description, once that has been dropped.
    pub(crate) digest: Option<SpecDigest>,
    /// When the job was accepted.
    pub accepted_at: UnixMs,
    /// Critical path through the estimates of its groups, including the admission delay of its
    /// queue.
    pub critical_path: Duration,
    /// Current state.
    pub state: JobState,
    /// When the job ended.
    pub ended_at: Option<UnixMs>,
    /// Number of attempts without an end.
    pub open_attempts: u32,
    /// Number of tasks that are not done and may crash the instances that run them.
    pub(crate) suspects: u32,
    /// When an instance last crashed that ran, or may have run, one of its tasks; 0 before.
    pub(crate) crashed_at: UnixMs,
    /// Estimated memory of the description, in bytes.
    pub(crate) spec_bytes: usize,
    pub(crate) rounds: Rounds,
}

impl JobRecord {
    /// Memory of a job apart from its description and its tasks: its entries in the maps of the table
    /// and of the leader.
    const BASE_BYTES: usize = 1024;
    /// Memory of an ended job whose content has been dropped.
    const DROPPED_BYTES: usize = 512;

    pub(crate) fn new(queue: Name, spec: Spec, delay: Duration, accepted_at: UnixMs) -> Self {
        let rounds = Rounds::new(&spec);
        Self {
            queue,
            organisation: None,
            surplus: false,
            critical_path: spec.critical_path(delay),
            spec_bytes: spec.footprint(),
            spec: Arc::new(spec),
            digest: None,
            accepted_at,
            state: JobState::Queued,
            ended_at: None,
            open_attempts: 0,
            suspects: 0,
            crashed_at: 0,
            rounds,
        }
    }

    /// Whether a caller of `organisation` may see the job: if it belongs to the same organisation or
    /// to none.
    pub fn is_visible_to(&self, organisation: Option<&Name>) -> bool {
        self.organisation.is_none() || self.organisation.as_ref() == organisation
    }

    /// Whether a submission under the id of this job is this job once more. Ids are unique among all
    /// queues, since a task is named by the id of its job alone.
    pub fn is_resent_by(&self, queue: &Name, spec: &Spec, organisation: Option<&Name>) -> bool {
        let is_same = match self.digest {
            Some(digest) => digest == SpecDigest::from(spec),
            None => *self.spec == *spec,
        };
        self.is_visible_to(organisation) && self.queue == *queue && is_same
    }

    /// Estimated memory that a job takes on each voter when it is accepted, in bytes.
    pub fn footprint_of(spec: &Spec) -> usize {
        Self::BASE_BYTES + spec.footprint() + Round::footprint(spec)
    }

    /// Estimated memory that the job takes on each voter, in bytes.
    pub(crate) fn footprint(&self) -> usize {
        match self.digest {
            Some(_) => Self::DROPPED_BYTES,
            None => Self::BASE_BYTES + self.spec_bytes + self.rounds.footprint(),
        }
    }

    /// Drops what is needed of an ended job no more: callers ask only for its state, and whether it is
    /// the one that they send again.
    pub(crate) fn drop_content(&mut self) {
        if self.digest.is_none() {
            self.digest = Some(SpecDigest::from(&*self.spec));
            self.spec = Arc::default();
            self.spec_bytes = 0;
            self.rounds = Rounds::default();
        }
    }

    /// State of `task`, which must belong to this job; `None` once its round is done.
    pub fn task_state(&self, task: TaskId) -> Option<&TaskState> {
        self.rounds.get(task.round)?.task_state(task.group, task.index)
    }

    pub(crate) fn is_recurring(&self) -> bool {
        self.spec.recurrence.is_some()
    }

    /// Whether its tasks must not run beside those of other jobs.
    pub(crate) fn is_suspect(&self) -> bool {
        self.suspects > 0
    }

    fn count_suspects(&self) -> u32 {
        let rounds = self.rounds.iter_begun();
        let tasks = rounds.flat_map(|(_, round)| round.groups.iter().flatten());
        tasks.filter(|task| task.phase != Phase::Done && task.crashes.is_suspect()).count() as u32
    }

    /// Whether a task waits to be started, now or in a later round.
    pub(crate) fn has_waiting_tasks(&self) -> bool {
        !self.state.is_terminal() && self.rounds.have_waiting_tasks()
    }

    /// Whether an attempt at `task` has to be stopped, since the job has ended. The budget of a
    /// continuous group holds until its caller cancels the job, also if the job has failed.
    pub(crate) fn must_stop(&self, task: TaskId) -> bool {
        let has_budget = |group: &Group| group.continuous && group.max_unavailable.is_some();
        let keeps = self.state == JobState::Failed && self.group(task).is_some_and(has_budget);
        self.state.is_terminal() && !keeps
    }

    /// The group of `task`.
    pub fn group(&self, task: TaskId) -> Option<&Group> {
        self.spec.groups.get(usize::from(task.group))
    }

    /// Claims of attempts that have no end yet.
    pub(crate) fn claims(&self, job: JobId) -> impl Iterator<Item = Claim> {
        self.rounds.iter_begun().flat_map(move |(round, groups)| {
            groups.groups.iter().enumerate().flat_map(move |(group, task_states)| {
                task_states.iter().enumerate().filter_map(move |(index, task_state)| {
                    let Phase::Claimed(incarnation) = &task_state.phase else { return None };
                    let task = TaskId { job, round, group: group as u16, index: index as u16 };
                    Some(Claim {
                        task,
                        number: task_state.number,
                        incarnation: incarnation.clone(),
                    })
                })
            })
        })
    }

    /// Records the start of an attempt; returns false if its task cannot be started any more.
    pub(crate) fn claim(&mut self, claim: &Claim) -> bool {
        let TaskId { round: number, group, index, .. } = claim.task;
        let fits = |task_state: &&TaskState| {
            task_state.phase == Phase::Waiting && task_state.number < claim.number
        };
        if self.state.is_terminal() || self.task_state(claim.task).filter(fits).is_none() {
            return false;
        }
        let Some(round) = self.rounds.get_mut(number) else { return false };
        round.set_phase(group, index, Phase::Claimed(claim.incarnation.clone()));
        round.groups[usize::from(group)][usize::from(index)].number = claim.number;
        self.state = JobState::Running;
        self.open_attempts += 1;
        true
    }

    /// Records the end of an attempt at `at`; `None` if it is not the current attempt of its task.
    pub(crate) fn end(&mut self, end: &AttemptEnd, max_attempts: u32, at: UnixMs) -> Option<()> {
        let TaskId { round: number, group, index, .. } = end.task;
        let spec = self.spec.clone();
        let declared_group = spec.groups.get(usize::from(group))?;
        let task_state = self.task_state(end.task)?;
        if !matches!(task_state.phase, Phase::Claimed(_)) || task_state.number != end.number {
            return None;
        }
        let round = self.rounds.get_mut(number)?;
        self.open_attempts -= 1;
        let done = end.reason == EndReason::Done && !declared_group.continuous;
        round.set_phase(group, index, if done { Phase::Done } else { Phase::Waiting });
        if done && declared_group.gang {
            // A gang is done as a whole as soon as one of its members is.
            for member in 0..declared_group.count {
                let task_state = round.task_state(group, member)?;
                self.open_attempts -= u32::from(matches!(task_state.phase, Phase::Claimed(_)));
                round.set_phase(group, member, Phase::Done);
            }
        }
        let task_state = &mut round.groups[usize::from(group)][usize::from(index)];
        task_state.checkpoint = end.checkpoint.clone().or(task_state.checkpoint.take());
        task_state.failed += u32::from(end.reason == EndReason::Failed);
        task_state.ended |= !end.reason.may_not_have_run();
        let since_crash = declared_group.continuous.then(|| at.saturating_sub(self.crashed_at));
        task_state.crashes.record(end.reason, since_crash);
        let has_failed = end.reason == EndReason::Failed && !declared_group.continuous;
        let exhausted = has_failed && task_state.failed >= max_attempts
            || task_state.crashes.is_given_up(end.reason);
        if declared_group.gang && task_state.checkpoint.is_some() {
            let checkpoint = task_state.checkpoint.clone();
            for task_state in &mut round.groups[usize::from(group)] {
                task_state.checkpoint = checkpoint.clone();
            }
        }
        self.rounds.close_if_done(number);
        if matches!(end.reason, EndReason::Crashed { .. } | EndReason::Vanished) {
            self.crashed_at = at;
            self.suspects = self.count_suspects();
        } else if self.is_suspect() {
            self.suspects = self.count_suspects();
        }
        if !self.state.is_terminal() {
            // A lost attempt may never have started. A job with no other attempts is queued again.
            let untouched = self.open_attempts == 0 && self.rounds.are_untouched();
            if untouched && end.reason.may_not_have_run() {
                self.state = JobState::Queued;
            }
            if exhausted {
                self.state = JobState::Failed;
            } else if self.rounds.are_done() {
                self.state = JobState::Completed;
            }
        }
        Some(())
    }
}
