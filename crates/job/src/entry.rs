use super::*;

/// An accepted job.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Its queue.
    pub queue: Name,
    /// What it is.
    pub spec: Arc<Spec>,
    /// When it was accepted.
    pub accepted: Unix,
    /// Longest chain of estimates through its groups, with the delay of its queue's policy.
    pub chain: Duration,
    /// Where it stands.
    pub standing: Standing,
    /// When it ended.
    pub over: Option<Unix>,
    /// Attempts that have no end yet.
    pub claimed: u32,
    pub(crate) rounds: Vec<Round>,
}

impl Entry {
    pub(crate) fn new(queue: Name, spec: Spec, delay: Duration, accepted: Unix) -> Self {
        let rounds = (0..spec.rounds()).map(|_| Round::new(&spec)).collect();
        Self {
            queue,
            chain: spec.chain(delay),
            spec: Arc::new(spec),
            accepted,
            standing: Standing::Queued,
            over: None,
            claimed: 0,
            rounds,
        }
    }

    /// The state of `task`, which is one of this job.
    pub fn slot(&self, task: Task) -> Option<&Slot> {
        self.rounds.get(task.round as usize)?.slot(task.group, task.index)
    }

    /// The group of `task`.
    pub fn group(&self, task: Task) -> Option<&Group> {
        self.spec.groups.get(usize::from(task.group))
    }

    /// Attempts without an end, with who runs them.
    pub(crate) fn claims(&self, job: JobId) -> impl Iterator<Item = Claim> {
        let rounds = self.rounds.iter().enumerate();
        rounds.flat_map(move |(round, groups)| {
            groups.groups.iter().enumerate().flat_map(move |(group, slots)| {
                slots.iter().enumerate().filter_map(move |(index, slot)| {
                    let Phase::Claimed(incarnation) = &slot.phase else { return None };
                    let task =
                        Task { job, round: round as u32, group: group as u16, index: index as u16 };
                    Some(Claim { task, number: slot.number, incarnation: incarnation.clone() })
                })
            })
        })
    }

    pub(crate) fn claim(&mut self, claim: &Claim) -> bool {
        let Task { round, group, index, .. } = claim.task;
        let Some(round) = self.rounds.get_mut(round as usize) else { return false };
        let fits = |slot: &&Slot| slot.phase == Phase::Waiting && slot.number < claim.number;
        if self.standing.is_over() || round.slot(group, index).filter(fits).is_none() {
            return false;
        }
        round.set(group, index, Phase::Claimed(claim.incarnation.clone()));
        round.groups[usize::from(group)][usize::from(index)].number = claim.number;
        self.standing = Standing::Running;
        self.claimed += 1;
        true
    }

    /// Takes the end of an attempt; `None` where the attempt is not the present one.
    pub(crate) fn end(&mut self, end: &End, max_attempts: u32) -> Option<()> {
        let Task { round: number, group, index, .. } = end.task;
        let spec = self.spec.clone();
        let declared = spec.groups.get(usize::from(group))?;
        let round = self.rounds.get_mut(number as usize)?;
        let slot = round.slot(group, index)?;
        if !matches!(slot.phase, Phase::Claimed(_)) || slot.number != end.number {
            return None;
        }
        self.claimed -= 1;
        let done = end.how == How::Done && !declared.lasting;
        round.set(group, index, if done { Phase::Done } else { Phase::Waiting });
        if done && declared.gang {
            for member in 0..declared.count {
                let slot = round.slot(group, member)?;
                self.claimed -= u32::from(matches!(slot.phase, Phase::Claimed(_)));
                round.set(group, member, Phase::Done);
            }
        }
        let slot = &mut round.groups[usize::from(group)][usize::from(index)];
        slot.checkpoint = end.checkpoint.clone().or(slot.checkpoint.take());
        slot.failed += u32::from(end.how == How::Failed);
        slot.ended |= end.how != How::Lost;
        let exhausted = slot.failed >= max_attempts && !declared.lasting;
        if declared.gang && slot.checkpoint.is_some() {
            let checkpoint = slot.checkpoint.clone();
            for slot in &mut round.groups[usize::from(group)] {
                slot.checkpoint = checkpoint.clone();
            }
        }
        if !self.standing.is_over() {
            // Attempts that were lost may never have started; a job without any other waits again.
            let untouched = self.claimed == 0 && self.rounds.iter().all(Round::is_untouched);
            if untouched && end.how == How::Lost {
                self.standing = Standing::Queued;
            }
            if exhausted {
                self.standing = Standing::Failed;
            } else if self.rounds.iter().all(Round::is_done) {
                self.standing = Standing::Completed;
            }
        }
        Some(())
    }
}
