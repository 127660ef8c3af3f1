//! Calls to the platform about tasks, the answers, and renewal of leases.

use super::*;

impl Planner {
    /// Time after which a call without an answer is repeated.
    pub const CALL_RETRY_INTERVAL: Duration = Duration::from_secs(1);
    /// Time that a checkpoint may take before the task is stopped without one.
    pub const CHECKPOINT_TIMEOUT: Duration = Duration::from_secs(2);
    /// Time that a start may take before the task is released, so that the job is placed again.
    pub const START_TIMEOUT: Duration = Duration::from_secs(10);
    /// Time between two renewals of a lease.
    pub const RENEWAL_INTERVAL: Duration = Duration::from_secs(4);
    /// Time without a report after which a worker with tasks counts as lost.
    pub const WORKER_TIMEOUT: Duration = Duration::from_secs(10);

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
        // Only the planner concludes that a lease has expired, see `call_end`.
        if end == End::Lapsed {
            return;
        }
        let peak = task.peak;
        self.propose(Step::End { job: id.clone(), epoch, end, peak });
    }

    pub(crate) fn on_lost(&mut self, worker: &Name) {
        let Some(&index) = self.slot_by_name.get(worker) else { return };
        self.propose_lost(index);
    }

    /// Proposes that a worker is lost, and stops renewing its leases.
    fn propose_lost(&mut self, index: usize) {
        let slot = &mut self.slots[index];
        if slot.lost {
            return;
        }
        slot.lost = true;
        slot.open = false;
        let worker = slot.name.clone();
        self.propose(Step::Lose { worker });
    }

    /// Detects lost workers, and renews the leases of the others.
    pub(crate) fn watch_workers(&mut self, state: &State, now: Time) {
        for index in 0..self.slots.len() {
            let slot = &self.slots[index];
            if slot.tasks == 0 || slot.lost {
                continue;
            }
            if now >= slot.last_report + Self::WORKER_TIMEOUT {
                self.propose_lost(index);
            } else if now >= slot.renew_at {
                self.renew(state, index, now);
            }
        }
    }

    /// Renews the leases of the tasks on a worker, except released ones.
    fn renew(&mut self, state: &State, index: usize, now: Time) {
        let slot = &mut self.slots[index];
        slot.renew_at = now + Self::RENEWAL_INTERVAL;
        let worker = slot.name.clone();
        let Some(host) = state.hosts().get(&worker) else { return };
        let renewed = |id| self.tasks.get(id).filter(|task| task.released.is_none());
        let epochs: Vec<_> = host.tasks.iter().filter_map(renewed).map(|task| task.epoch).collect();
        if !epochs.is_empty() {
            self.orders.push(Order::Renew { worker, epochs });
        }
    }

    /// Makes the calls to the platform that are due.
    pub(crate) fn send_due_calls(&mut self, state: &State, now: Time) {
        while let Some((at, id)) = self.due.first().cloned() {
            if at > now {
                return;
            }
            self.due.pop_first();
            if let Some(task) = self.tasks.get_mut(&id) {
                task.due = None;
            }
            self.call_for_task(state, &id, now);
        }
    }

    fn call_for_task(&mut self, state: &State, id: &Name, now: Time) {
        let Some(placement) = state.jobs().get(id).and_then(Entry::placement) else { return };
        match placement.release {
            Some(release) => self.call_end(id, release, now),
            None => self.call_start(id, placement, now),
        }
    }

    /// Repeats the start call until the platform confirms it, and releases the task if that takes
    /// longer than [`Self::START_TIMEOUT`].
    fn call_start(&mut self, id: &Name, placement: &Placement, now: Time) {
        let Some(task) = self.tasks.get(id) else { return };
        if task.confirmed.is_some() || task.released.is_some() {
            return;
        }
        if now >= task.seen + Self::START_TIMEOUT {
            return self.release(id, Cause::Unconfirmed, now);
        }
        let action = Action::Start { reserve: placement.reserve };
        self.call(id, placement.epoch, task.slot, action);
        self.set_due(id, now + Self::CALL_RETRY_INTERVAL);
    }

    /// Asks the platform to end a released task, at first with a checkpoint if its work is to be
    /// kept. Also proposes that the task has ended once its lease must have expired, both by
    /// replicated time, which the state checks, and by local time since this planner learnt of the
    /// release.
    fn call_end(&mut self, id: &Name, release: Release, now: Time) {
        let Some(task) = self.tasks.get(id) else { return };
        let (epoch, slot) = (task.epoch, task.slot);
        let released = task.released.unwrap_or(now);
        if release.is_lease_expired(self.clock(now))
            && now >= released + Release::LEASE_EXPIRY_DELAY
        {
            let peak = task.peak;
            self.propose(Step::End { job: id.clone(), epoch, end: End::Lapsed, peak });
        }
        let keeps_work = matches!(release.cause, Cause::Preempted | Cause::Overfull);
        let in_time = now < released + Self::CHECKPOINT_TIMEOUT;
        let action = if keeps_work && in_time { Action::Checkpoint } else { Action::Stop };
        self.call(id, epoch, slot, action);
        self.set_due(id, now + Self::CALL_RETRY_INTERVAL);
    }
}
