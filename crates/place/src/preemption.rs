//! Preemption of less urgent tasks by urgent jobs.

use super::*;

/// Tasks to release from one worker so that an urgent job fits.
struct VictimSet {
    victims: Vec<Name>,
    /// Sum of their expected losses, see [`Planner::loss`].
    loss: u64,
}

impl Planner {
    /// Time that a checkpoint and the restart from it cost a task.
    const CHECKPOINT_COST: Duration = Duration::from_secs(2);
    /// One in this many checkpoints is expected to fail, which loses the work since the start.
    const CHECKPOINTS_PER_FAILURE: u32 = 16;
    /// How long room is kept for an urgent job before other workers are considered for it again.
    const URGENT_CLAIM_DURATION: Duration = Duration::from_secs(4);

    /// Makes room for the urgent job `id` on the worker where this loses the least work: releases
    /// tasks there, and claims their room for the job.
    pub(crate) fn preempt(
        &mut self,
        state: &State,
        id: &Name,
        entry: &Entry,
        reserve: Resources,
        now: Time,
    ) {
        let eligible = self.eligible(state, &entry.job.selector);
        let mut best: Option<(usize, VictimSet)> = None;
        for &index in eligible.iter() {
            let slot = &self.slots[index];
            if !slot.open || self.rack_is_full(state, entry, slot) {
                continue;
            }
            let bound = best.as_ref().map_or(u64::MAX, |(_, victim_set)| victim_set.loss);
            if let Some(victim_set) = self.find_victims(state, index, reserve, bound, now) {
                best = Some((index, victim_set));
            }
        }
        let Some((index, victim_set)) = best else { return };
        for victim in &victim_set.victims {
            self.release(victim, Cause::Preempted, now);
        }
        self.claim(id, index, reserve, now + Self::URGENT_CLAIM_DURATION);
    }

    /// Tasks of a worker whose release makes room for `reserve`, least urgent first; `None` if they
    /// do not make enough room, or if their expected loss is not below `bound`.
    fn find_victims(
        &self,
        state: &State,
        index: usize,
        reserve: Resources,
        bound: u64,
        now: Time,
    ) -> Option<VictimSet> {
        let slot = &self.slots[index];
        if !reserve.fits(slot.size) {
            return None;
        }
        let host = state.hosts().get(&slot.name)?;
        let mut tasks: Vec<_> =
            host.tasks.iter().filter_map(|id| self.preemptible(state, id, now)).collect();
        tasks.sort_unstable();
        let mut room = slot.free;
        let mut victim_set = VictimSet { victims: Vec::new(), loss: 0 };
        for (_, loss, id) in tasks {
            if reserve.fits(room.saturating_sub(slot.held)) {
                break;
            }
            room += state.jobs().get(id)?.placement()?.reserve;
            victim_set.loss += loss;
            victim_set.victims.push(id.clone());
        }
        let enough = reserve.fits(room.saturating_sub(slot.held)) && victim_set.loss < bound;
        enough.then_some(victim_set)
    }

    /// Urgency and expected loss of a task, `None` if it must not be preempted.
    fn preemptible<'a>(
        &self,
        state: &State,
        id: &'a Name,
        now: Time,
    ) -> Option<(Urgency, u64, &'a Name)> {
        let task = self.tasks.get(id).filter(|task| task.released.is_none())?;
        let urgency = state.jobs().get(id)?.job.urgency;
        (urgency < Urgency::Urgent).then(|| (urgency, self.loss(state, id, task, now), id))
    }

    /// Work that releasing a task is expected to lose, in millicore milliseconds.
    pub(crate) fn loss(&self, state: &State, id: &Name, task: &Task, now: Time) -> u64 {
        let placement = state.jobs().get(id).and_then(Entry::placement);
        let millicores = placement.map_or(0, |placement| placement.reserve.millicores);
        let since = placement.map_or(task.seen, |placement| placement.since);
        let work = self.clock(now).saturating_sub(since) / Self::CHECKPOINTS_PER_FAILURE;
        millicores * (work + Self::CHECKPOINT_COST).as_millis() as u64
    }
}
