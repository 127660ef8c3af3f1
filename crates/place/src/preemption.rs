//! Urgent jobs in the place of others.

use super::*;

/// Tasks that leave a worker so that an urgent job fits.
struct Sacrifice {
    victims: Vec<Name>,
    loss: u64,
}

impl Planner {
    /// Time that a checkpoint and a later start cost a task.
    const CHECKPOINT_COST: Duration = Duration::from_secs(2);
    /// One in so many checkpoints fails, and loses the work since the start.
    const CHECKPOINT_FAILURE: u32 = 16;
    /// How long room is kept for an urgent job before it looks elsewhere.
    const URGENT_CLAIM: Duration = Duration::from_secs(4);

    /// Releases the tasks whose loss is least on one worker, and keeps their room for `id`.
    pub(crate) fn preempt(
        &mut self,
        state: &State,
        id: &Name,
        entry: &Entry,
        reserve: Resources,
        now: Time,
    ) {
        let eligible = self.eligible(state, &entry.job.selector);
        let mut least: Option<(usize, Sacrifice)> = None;
        for &number in eligible.iter() {
            let slot = &self.slots[number];
            if !slot.open || self.rack_is_full(state, entry, slot) {
                continue;
            }
            let bound = least.as_ref().map_or(u64::MAX, |(_, sacrifice)| sacrifice.loss);
            if let Some(sacrifice) = self.sacrifice(state, number, reserve, bound, now) {
                least = Some((number, sacrifice));
            }
        }
        let Some((number, sacrifice)) = least else { return };
        for victim in &sacrifice.victims {
            self.release(victim, Cause::Preempted, now);
        }
        self.claim(id, number, reserve, now + Self::URGENT_CLAIM);
    }

    /// Tasks of a worker that make room for `reserve` at a loss below `bound`.
    fn sacrifice(
        &self,
        state: &State,
        number: usize,
        reserve: Resources,
        bound: u64,
        now: Time,
    ) -> Option<Sacrifice> {
        let slot = &self.slots[number];
        if !reserve.fits(slot.size) {
            return None;
        }
        let host = state.hosts().get(&slot.name)?;
        let mut tasks: Vec<_> =
            host.tasks.iter().filter_map(|id| self.victim(state, id, now)).collect();
        tasks.sort_unstable();
        let mut room = slot.free;
        let mut sacrifice = Sacrifice { victims: Vec::new(), loss: 0 };
        for (_, loss, id) in tasks {
            if reserve.fits(room.saturating_sub(slot.held)) {
                break;
            }
            room += state.jobs().get(id)?.placement()?.reserve;
            sacrifice.loss += loss;
            sacrifice.victims.push(id.clone());
        }
        let enough = reserve.fits(room.saturating_sub(slot.held)) && sacrifice.loss < bound;
        enough.then_some(sacrifice)
    }

    /// Urgency and loss of a task, where it may be preempted.
    fn victim<'a>(
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
        let work = self.clock(now).saturating_sub(since) / Self::CHECKPOINT_FAILURE;
        millicores * (work + Self::CHECKPOINT_COST).as_millis() as u64
    }
}
