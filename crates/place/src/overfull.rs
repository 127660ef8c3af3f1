//! Usage reports, and relief of workers that use more than they have.

use super::*;

impl Planner {
    /// Share of a worker's memory above which it is relieved, in percent.
    const MEMORY_PERCENT: u64 = 95;
    /// Reports of too little processor time in a row before a task leaves.
    const MAX_OVERFULL: u32 = 3;
    /// Age of a task from which its usage is taken as typical.
    const WARM_UP: Duration = Duration::from_secs(15);
    /// Between two changes of what is held for a task.
    const RESIZE: Duration = Duration::from_secs(30);
    /// Allowance above the greatest usage seen, in percent.
    const HEADROOM_PERCENT: u64 = 120;
    /// Change below which what is held stays as it is, in percent.
    const MIN_CHANGE_PERCENT: u64 = 20;

    pub(crate) fn on_usage(&mut self, state: &State, usage: &Usage, now: Time) {
        let Some(&number) = self.numbers.get(&usage.worker) else { return };
        let measured = now.saturating_sub(usage.age);
        self.hear(state, number, now);
        self.note_usage(usage);
        self.look_for_missing(state, number, usage, measured, now);
        if measured < self.slots[number].settled {
            return;
        }
        self.relieve(state, number, now);
        self.resize(state, usage, measured, now);
    }

    fn hear(&mut self, state: &State, number: usize, now: Time) {
        let slot = &mut self.slots[number];
        slot.heard = now;
        let lost = state.hosts().get(&slot.name).is_some_and(|host| host.lost);
        if lost {
            let worker = slot.name.clone();
            self.propose(Step::Find { worker });
        }
    }

    fn note_usage(&mut self, usage: &Usage) {
        for (epoch, used) in &usage.tasks {
            let Some(id) = self.jobs_by_epoch.get(epoch) else { continue };
            let Some(task) = self.tasks.get_mut(id) else { continue };
            task.usage = Some(*used);
            task.peak = Some(task.peak.unwrap_or_default().max(*used));
        }
    }

    /// Asks again after tasks that should run but were not reported.
    fn look_for_missing(
        &mut self,
        state: &State,
        number: usize,
        usage: &Usage,
        measured: Time,
        now: Time,
    ) {
        let Some(host) = state.hosts().get(&self.slots[number].name) else { return };
        for id in &host.tasks {
            let Some(task) = self.tasks.get_mut(id) else { continue };
            let should_run = task.confirmed.is_some_and(|confirmed| confirmed < measured);
            if should_run && !usage.tasks.contains_key(&task.epoch) {
                task.confirmed = None;
                task.seen = now;
                self.set_due(id, now);
            }
        }
    }

    /// Throttles or releases the least urgent task of a worker that uses more than it has.
    fn relieve(&mut self, state: &State, number: usize, now: Time) {
        let Some(host) = state.hosts().get(&self.slots[number].name) else { return };
        let load = self.load(state, host);
        let size = host.worker.size;
        let memory = load.memory_mb * 100 > size.memory_mb * Self::MEMORY_PERCENT;
        let processors = load.millicores > size.millicores;
        let slot = &mut self.slots[number];
        if !memory && !processors {
            slot.overfull = 0;
            return;
        }
        slot.overfull += 1;
        let leaves = memory || slot.overfull >= Self::MAX_OVERFULL;
        let Some(id) = self.least_urgent(state, host, load.saturating_sub(size), now) else {
            return;
        };
        if leaves {
            let slot = &mut self.slots[number];
            slot.overfull = 0;
            slot.settled = now + Self::CHECKPOINT_LIMIT;
            self.release(&id, Cause::Overfull, now);
        } else {
            self.throttle(state, &id);
        }
    }

    /// What a worker's tasks use; what is held for those not yet reported.
    fn load(&self, state: &State, host: &Host) -> Resources {
        let mut load = Resources::default();
        for id in &host.tasks {
            let Some(placement) = state.jobs().get(id).and_then(Entry::placement) else { continue };
            let Some(task) = self.tasks.get(id) else { continue };
            if task.released.is_none() {
                load += task.usage.unwrap_or(placement.reserve);
            }
        }
        load
    }

    /// The least urgent task, one that covers `excess` and loses little first.
    fn least_urgent(
        &self,
        state: &State,
        host: &Host,
        excess: Resources,
        now: Time,
    ) -> Option<Name> {
        let candidates = host.tasks.iter().filter_map(|id| {
            let task = self.tasks.get(id).filter(|task| task.released.is_none())?;
            let used = task.usage?;
            let urgency = state.jobs().get(id)?.job.urgency;
            Some((urgency, !excess.fits(used), self.loss(state, id, task, now), id))
        });
        candidates.min().map(|(.., id)| id.clone())
    }

    fn throttle(&mut self, state: &State, id: &Name) {
        let Some(placement) = state.jobs().get(id).and_then(Entry::placement) else { return };
        let Some(task) = self.tasks.get(id) else { return };
        let millicores = placement.reserve.millicores;
        self.call(id, placement.epoch, task.slot, Action::Throttle { millicores });
    }

    /// Adjusts what is held for tasks whose usage differs from it.
    fn resize(&mut self, state: &State, usage: &Usage, measured: Time, now: Time) {
        for epoch in usage.tasks.keys() {
            let Some(id) = self.jobs_by_epoch.get(epoch).cloned() else { continue };
            let Some(entry) = state.jobs().get(&id) else { continue };
            let Some(placement) = entry.placement() else { continue };
            let Some(task) = self.tasks.get(&id) else { continue };
            let warm = task.confirmed.is_some_and(|at| measured >= at + Self::WARM_UP);
            if !warm || now < task.resized + Self::RESIZE || task.released.is_some() {
                continue;
            }
            let reserve = Self::fitted(entry, task.peak.unwrap_or_default());
            if differs(reserve, placement.reserve)
                && reserve.saturating_sub(placement.reserve).fits(self.slots[task.slot].room())
            {
                self.propose(Step::Resize { job: id.clone(), epoch: *epoch, reserve });
            }
            if let Some(task) = self.tasks.get_mut(&id) {
                task.resized = now;
            }
        }
    }

    fn fitted(entry: &Entry, peak: Resources) -> Resources {
        let wanted = Resources {
            millicores: peak.millicores * Self::HEADROOM_PERCENT / 100,
            memory_mb: peak.memory_mb * Self::HEADROOM_PERCENT / 100,
            accelerators: 0,
        };
        let mut reserve = wanted.max(State::floor(&entry.job));
        reserve.accelerators = entry.job.size.accelerators;
        reserve
    }
}

fn differs(wanted: Resources, held: Resources) -> bool {
    let far =
        |wanted: u64, held: u64| wanted.abs_diff(held) * 100 > held * Planner::MIN_CHANGE_PERCENT;
    far(wanted.millicores, held.millicores) || far(wanted.memory_mb, held.memory_mb)
}
