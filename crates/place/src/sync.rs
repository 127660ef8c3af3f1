//! Keeps the planner's records in step with the replicated state.

use super::*;

impl Planner {
    pub(crate) fn sync_worker(&mut self, state: &State, name: &Name, now: Time) {
        let index = match self.slot_by_name.get(name) {
            Some(index) => *index,
            None => self.add_slot(name, now),
        };
        let clock = self.clock(now);
        let slot = &mut self.slots[index];
        let (former, former_open, former_size) = (slot.free, slot.open, slot.size);
        match state.hosts().get(name) {
            Some(host) => {
                slot.size = host.worker.size;
                slot.free = host.free();
                slot.tasks = host.tasks.len();
                slot.lost = host.lost;
                slot.open = is_open(host, clock);
                let until = match host.health {
                    Health::Quarantined { until, .. } if until > clock => Some(until),
                    _ => None,
                };
                if let Some(until) = until {
                    self.delayed.insert((until, name.clone()));
                }
            }
            None => {
                *slot = Slot::new(name.clone(), now);
            }
        }
        let slot = &self.slots[index];
        if former_size != slot.size {
            self.eligible.clear();
        }
        let grown = !slot.free.fits(former) || slot.open && !former_open;
        if grown {
            self.blocked.clear();
        }
        if !slot.open {
            self.drop_claims(index);
        }
    }

    pub(crate) fn sync_job(&mut self, state: &State, id: &Name, now: Time) {
        self.dequeue(id);
        self.drop_proposal(id);
        match state.jobs().get(id) {
            Some(entry) => match &entry.phase {
                Phase::Placed(placement) => self.sync_task(state, id, placement, now),
                Phase::Waiting => {
                    self.drop_task(id);
                    self.enqueue(state, id, entry);
                }
                Phase::Never => self.drop_task(id),
            },
            None => self.drop_task(id),
        }
        if !self.queue_keys.contains_key(id) {
            self.drop_claim(id);
        }
    }

    pub(crate) fn on_refused(&mut self, state: &State, step: &Step, _: &Refusal, now: Time) {
        match step {
            Step::Place { job, .. } => self.drop_proposal(job),
            Step::Release { job, epoch, .. } => self.undo_release(state, job, *epoch, now),
            _ => {}
        }
    }

    fn add_slot(&mut self, name: &Name, now: Time) -> usize {
        let index = self.slots.len();
        self.slots.push(Slot::new(name.clone(), now));
        self.slot_by_name.insert(name.clone(), index);
        self.eligible.clear();
        index
    }

    fn enqueue(&mut self, state: &State, id: &Name, entry: &Entry) {
        if entry.not_before > state.now() {
            self.delayed.insert((entry.not_before, id.clone()));
            return;
        }
        let key = QueueKey::new(state, id, entry);
        self.queue.insert(key.clone());
        self.queue_keys.insert(id.clone(), key);
    }

    fn dequeue(&mut self, id: &Name) {
        if let Some(key) = self.queue_keys.remove(id) {
            self.queue.remove(&key);
        }
    }

    fn sync_task(&mut self, state: &State, id: &Name, placement: &Placement, now: Time) {
        let Some(&slot) = self.slot_by_name.get(&placement.worker) else { return };
        let known = self.tasks.get(id).is_some_and(|task| task.epoch == placement.epoch);
        if !known {
            self.drop_task(id);
            self.tasks.insert(id.clone(), Task::new(slot, placement.epoch, now));
            self.jobs_by_epoch.insert(placement.epoch, id.clone());
            self.set_due(id, now);
        }
        let cancelled = state.jobs().get(id).is_some_and(|entry| entry.cancelled);
        let Some(task) = self.tasks.get_mut(id) else { return };
        if placement.release.is_some() {
            task.released.get_or_insert(now);
            self.set_due(id, now);
        } else if cancelled && task.released.is_none() {
            self.release(id, Cause::Cancelled, now);
        }
    }

    pub(crate) fn drop_task(&mut self, id: &Name) {
        let Some(task) = self.tasks.remove(id) else { return };
        self.jobs_by_epoch.remove(&task.epoch);
        if let Some(due) = task.due {
            self.due.remove(&(due, id.clone()));
        }
    }

    fn undo_release(&mut self, state: &State, id: &Name, epoch: Epoch, now: Time) {
        let placement = state.jobs().get(id).and_then(Entry::placement);
        if placement.is_some_and(|placement| placement.release.is_some()) {
            return;
        }
        if let Some(task) = self.tasks.get_mut(id).filter(|task| task.epoch == epoch) {
            task.released = None;
            self.set_due(id, now);
        }
    }

    pub(crate) fn drop_proposal(&mut self, id: &Name) {
        let Some((slot, reserve, team)) = self.proposed.remove(id) else { return };
        let slot = &mut self.slots[slot];
        slot.held = slot.held.saturating_sub(reserve);
        if let Some(held) = self.held_by_team.get_mut(&team) {
            *held = held.saturating_sub(reserve);
        }
    }

    pub(crate) fn drop_claim(&mut self, id: &Name) {
        if let Some(claim) = self.claims.remove(id) {
            let slot = &mut self.slots[claim.slot];
            slot.held = slot.held.saturating_sub(claim.reserve);
            self.blocked.clear();
        }
    }

    fn drop_claims(&mut self, index: usize) {
        let claims = self.claims.iter().filter(|(_, claim)| claim.slot == index);
        let ids: Vec<_> = claims.map(|(id, _)| id.clone()).collect();
        for id in ids {
            self.drop_claim(&id);
        }
    }
}

/// Whether a further task may be started on `host`.
fn is_open(host: &Host, now: Time) -> bool {
    let healthy = match host.health.at(now) {
        Health::Fine => true,
        Health::Quarantined { .. } => false,
        Health::Probation { .. } => host.tasks.is_empty(),
    };
    healthy && !host.lost && !host.removed
}
