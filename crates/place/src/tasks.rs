//! Calls about tasks, their leases, and what the platform answers.

use super::*;

impl Planner {
    /// After which a call without an answer is repeated.
    pub const CALL_REPEAT: Duration = Duration::from_secs(1);
    /// Time that a checkpoint may take before the task is stopped.
    pub const CHECKPOINT_LIMIT: Duration = Duration::from_secs(2);
    /// Time that a start may take before the job goes elsewhere.
    pub const START_LIMIT: Duration = Duration::from_secs(10);
    /// Between two renewals of a lease.
    pub const RENEWAL: Duration = Duration::from_secs(4);
    /// Silence after which a worker is taken as lost.
    pub const SILENCE: Duration = Duration::from_secs(10);

    pub(crate) fn set_due(&mut self, id: &Name, at: Time) {
        let Some(task) = self.tasks.get_mut(id) else { return };
        if let Some(former) = task.due.replace(at) {
            self.due.remove(&(former, id.clone()));
        }
        self.due.insert((at, id.clone()));
    }

    pub(crate) fn release(&mut self, id: &Name, cause: Cause, now: Time) {
        let Some(task) = self.tasks.get_mut(id) else { return };
        if task.released.is_some() {
            return;
        }
        task.released = Some(now);
        let epoch = task.epoch;
        self.propose(Step::Release { job: id.clone(), epoch, cause });
    }

    pub(crate) fn on_started(&mut self, id: &Name, epoch: Epoch, now: Time) {
        let Some(task) = self.tasks.get_mut(id).filter(|task| task.epoch == epoch) else { return };
        if task.released.is_some() {
            return;
        }
        task.confirmed.get_or_insert(now);
        if let Some(due) = task.due.take() {
            self.due.remove(&(due, id.clone()));
        }
    }

    pub(crate) fn on_ended(&mut self, id: &Name, epoch: Epoch, end: End) {
        let Some(task) = self.tasks.get(id).filter(|task| task.epoch == epoch) else { return };
        if end == End::Lapsed {
            return;
        }
        let peak = task.peak;
        self.propose(Step::End { job: id.clone(), epoch, end, peak });
    }

    pub(crate) fn on_lost(&mut self, worker: &Name) {
        let Some(&number) = self.numbers.get(worker) else { return };
        self.lose(number);
    }

    /// Proposes that a worker is lost, and renews none of its leases from here on.
    fn lose(&mut self, number: usize) {
        let slot = &mut self.slots[number];
        if slot.lost {
            return;
        }
        slot.lost = true;
        slot.open = false;
        let worker = slot.name.clone();
        self.propose(Step::Lose { worker });
    }

    /// Notes silent workers, and renews leases.
    pub(crate) fn watch_workers(&mut self, state: &State, now: Time) {
        for number in 0..self.slots.len() {
            let slot = &self.slots[number];
            if slot.tasks == 0 || slot.lost {
                continue;
            }
            if now >= slot.heard + Self::SILENCE {
                self.lose(number);
            } else if now >= slot.renew_at {
                self.renew(state, number, now);
            }
        }
    }

    fn renew(&mut self, state: &State, number: usize, now: Time) {
        let slot = &mut self.slots[number];
        slot.renew_at = now + Self::RENEWAL;
        let worker = slot.name.clone();
        let Some(host) = state.hosts().get(&worker) else { return };
        let renewed = |id| self.tasks.get(id).filter(|task| task.released.is_none());
        let epochs: Vec<_> = host.tasks.iter().filter_map(renewed).map(|task| task.epoch).collect();
        if !epochs.is_empty() {
            self.orders.push(Order::Renew { worker, epochs });
        }
    }

    /// Calls the platform about tasks whose call is due.
    pub(crate) fn take_due(&mut self, state: &State, now: Time) {
        while let Some((at, id)) = self.due.first().cloned() {
            if at > now {
                return;
            }
            self.due.pop_first();
            if let Some(task) = self.tasks.get_mut(&id) {
                task.due = None;
            }
            self.call_about(state, &id, now);
        }
    }

    fn call_about(&mut self, state: &State, id: &Name, now: Time) {
        let Some(placement) = state.jobs().get(id).and_then(Entry::placement) else { return };
        match placement.release {
            Some(release) => self.call_end(id, release, now),
            None => self.call_start(id, placement, now),
        }
    }

    fn call_start(&mut self, id: &Name, placement: &Placement, now: Time) {
        let Some(task) = self.tasks.get(id) else { return };
        if task.confirmed.is_some() || task.released.is_some() {
            return;
        }
        if now >= task.seen + Self::START_LIMIT {
            return self.release(id, Cause::Unconfirmed, now);
        }
        let action = Action::Start { reserve: placement.reserve };
        self.call(id, placement.epoch, task.slot, action);
        self.set_due(id, now + Self::CALL_REPEAT);
    }

    fn call_end(&mut self, id: &Name, release: Release, now: Time) {
        let Some(task) = self.tasks.get(id) else { return };
        let (epoch, slot) = (task.epoch, task.slot);
        let released = task.released.unwrap_or(now);
        if release.is_over(self.clock(now)) && now >= released + Release::LEASE_OVER {
            let peak = task.peak;
            self.propose(Step::End { job: id.clone(), epoch, end: End::Lapsed, peak });
        }
        let keeps_work = matches!(release.cause, Cause::Preempted | Cause::Overfull);
        let in_time = now < released + Self::CHECKPOINT_LIMIT;
        let action = if keeps_work && in_time { Action::Checkpoint } else { Action::Stop };
        self.call(id, epoch, slot, action);
        self.set_due(id, now + Self::CALL_REPEAT);
    }
}
