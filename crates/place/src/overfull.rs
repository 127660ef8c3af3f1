//! Handles usage reports: throttles or releases tasks of workers that are overfull, that is, whose
//! tasks use more than the worker has, and adjusts reservations to the measured usage.

use super::*;

impl Planner {
    /// Memory usage above which a worker is overfull, in percent of its memory.
    const MEMORY_PERCENT: u64 = 95;
    /// Consecutive reports of excess processor usage from which a task is released instead of
    /// throttled. Excess memory usage releases a task at once.
    const MAX_OVERFULL_REPORTS: u32 = 3;
    /// Time since its start from which the usage of a task counts as typical.
    const WARM_UP: Duration = Duration::from_secs(15);
    /// Minimum time between two changes of a task's reservation.
    const RESIZE_INTERVAL: Duration = Duration::from_secs(30);
    /// Reservation in percent of the peak usage.
    const HEADROOM_PERCENT: u64 = 120;
    /// Minimum change of a reservation, in percent of the current one. Smaller ones are not made.
    const MIN_CHANGE_PERCENT: u64 = 20;

    pub(crate) fn on_usage(&mut self, state: &State, usage: &Usage, now: Time) {
        let Some(&index) = self.slot_by_name.get(&usage.worker) else { return };
        let measured = now.saturating_sub(usage.age);
        self.record_contact(state, index, now);
        self.record_usage(usage);
        self.restart_missing_tasks(state, index, usage, measured, now);
        if measured < self.slots[index].valid_from {
            return;
        }
        self.relieve_worker(state, index, now);
        self.resize_tasks(state, usage, measured, now);
    }

    fn record_contact(&mut self, state: &State, index: usize, now: Time) {
        let slot = &mut self.slots[index];
        slot.last_report = now;
        let lost = state.hosts().get(&slot.name).is_some_and(|host| host.lost);
        if lost {
            let worker = slot.name.clone();
            self.propose(Step::Find { worker });
        }
    }

    fn record_usage(&mut self, usage: &Usage) {
        for (epoch, used) in &usage.tasks {
            let Some(id) = self.jobs_by_epoch.get(epoch) else { continue };
            let Some(task) = self.tasks.get_mut(id) else { continue };
            task.usage = Some(*used);
            task.peak = Some(task.peak.unwrap_or_default().max(*used));
        }
    }

    /// Repeats the start call of tasks that should be running but are missing from the report.
    fn restart_missing_tasks(
        &mut self,
        state: &State,
        index: usize,
        usage: &Usage,
        measured: Time,
        now: Time,
    ) {
        let Some(host) = state.hosts().get(&self.slots[index].name) else { return };
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

    /// Throttles or releases the least urgent task of an overfull worker.
    fn relieve_worker(&mut self, state: &State, index: usize, now: Time) {
        let Some(host) = state.hosts().get(&self.slots[index].name) else { return };
        let load = self.load(state, host);
        let size = host.worker.size;
        let memory = load.memory_mb * 100 > size.memory_mb * Self::MEMORY_PERCENT;
        let processors = load.millicores > size.millicores;
        let slot = &mut self.slots[index];
        if !memory && !processors {
            slot.overfull_reports = 0;
            return;
        }
        slot.overfull_reports += 1;
        let release = memory || slot.overfull_reports >= Self::MAX_OVERFULL_REPORTS;
        let Some(id) = self.victim(state, host, load.saturating_sub(size), now) else { return };
        if release {
            let slot = &mut self.slots[index];
            slot.overfull_reports = 0;
            slot.valid_from = now + Self::CHECKPOINT_TIMEOUT;
            self.release(&id, Cause::Overfull, now);
        } else {
            self.throttle(state, &id);
        }
    }

    /// Usage of a worker's tasks. Tasks that were not reported yet count with their reservation.
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

    /// The task of a worker to throttle or release: the least urgent one. Among equally urgent
    /// ones, prefers one whose usage covers `excess`, then the one that loses the least work.
    fn victim(&self, state: &State, host: &Host, excess: Resources, now: Time) -> Option<Name> {
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

    /// Proposes new reservations for tasks whose usage differs enough from the current one.
    fn resize_tasks(&mut self, state: &State, usage: &Usage, measured: Time, now: Time) {
        for epoch in usage.tasks.keys() {
            let Some(id) = self.jobs_by_epoch.get(epoch).cloned() else { continue };
            let Some(entry) = state.jobs().get(&id) else { continue };
            let Some(placement) = entry.placement() else { continue };
            let Some(task) = self.tasks.get(&id) else { continue };
            let warm = task.confirmed.is_some_and(|at| measured >= at + Self::WARM_UP);
            if !warm || now < task.resize_checked + Self::RESIZE_INTERVAL || task.released.is_some()
            {
                continue;
            }
            let reserve = Self::fitted_reserve(entry, task.peak.unwrap_or_default());
            if differs_enough(reserve, placement.reserve)
                && reserve.saturating_sub(placement.reserve).fits(self.slots[task.slot].room())
            {
                self.propose(Step::Resize { job: id.clone(), epoch: *epoch, reserve });
            }
            if let Some(task) = self.tasks.get_mut(&id) {
                task.resize_checked = now;
            }
        }
    }

    /// Reservation for a task with this peak usage: the peak with headroom, but no less than may be
    /// reserved for the job.
    fn fitted_reserve(entry: &Entry, peak: Resources) -> Resources {
        let wanted = Resources {
            millicores: peak.millicores * Self::HEADROOM_PERCENT / 100,
            memory_mb: peak.memory_mb * Self::HEADROOM_PERCENT / 100,
            accelerators: 0,
        };
        let mut reserve = wanted.max(State::min_reserve(&entry.job));
        reserve.accelerators = entry.job.size.accelerators;
        reserve
    }
}

fn differs_enough(wanted: Resources, held: Resources) -> bool {
    let far =
        |wanted: u64, held: u64| wanted.abs_diff(held) * 100 > held * Planner::MIN_CHANGE_PERCENT;
    far(wanted.millicores, held.millicores) || far(wanted.memory_mb, held.memory_mb)
}
