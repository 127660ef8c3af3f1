//! Maintenance waves: drains a machine, starts its maintenance and continues with the next one once
//! it is back, within the budget of the wave.

use super::*;

impl Scheduler {
    /// Interval between checks of the maintenance waves.
    const WAVE_CHECK_INTERVAL: Duration = Duration::from_millis(60);
    /// Run time of an attempt after which it may be stopped to drain its machine. Shorter tasks get
    /// the chance to finish by themselves.
    const DRAIN_GRACE: Duration = Duration::from_millis(1500);

    /// Continues every wave that is not complete.
    pub(crate) fn advance_waves(&mut self, now: Time, table: &Table) {
        if now < self.last_wave_check + Self::WAVE_CHECK_INTERVAL {
            return;
        }
        self.last_wave_check = now;
        for instance in self.instances.values_mut() {
            let machine = instance.announcement.as_ref().map(|a| &a.machine);
            // A pending order will end everything that runs on the machine.
            instance.draining = machine.is_some_and(|machine| self.machines.is_ordered(machine));
        }
        if !self.machines.complete {
            return;
        }
        for (id, wave) in table.waves.iter().filter(|(_, wave)| !wave.is_complete()) {
            self.advance_wave(now, table, *id, wave);
        }
    }

    fn advance_wave(&mut self, now: Time, table: &Table, id: WaveId, wave: &Wave) {
        let machines = &self.machines;
        let down = wave.machines.keys().filter(|machine| machines.may_be_in_maintenance(machine));
        let free = (wave.budget as usize).saturating_sub(down.count());
        if free == 0 {
            return;
        }
        let due = wave.machines.iter().filter(|(machine, progress)| {
            **progress == Progress::Due
                && !machines.maintenance_begun.contains(&(id, (*machine).clone()))
                && !machines.away.contains_key(*machine)
                && machines.may_order(now, machine)
        });
        let mut due: Vec<_> = due.map(|(machine, _)| machine.clone()).collect();
        due.sort_by_cached_key(|machine| (self.attempt_count(machine), machine.clone()));
        for machine in due.into_iter().take(free) {
            if self.drain(now, table, &machine) {
                self.queue_order(MachineOrder::Maintain { machine, wave: id });
            }
        }
    }

    /// Number of attempts on a machine, for sorting: machines without an instance come first.
    fn attempt_count(&self, machine: &Name) -> usize {
        self.instance_on(machine).map_or(0, |(_, instance)| 1 + instance.attempts.len())
    }

    /// Drains a machine, stopping at most one attempt per call. Returns whether nothing runs there.
    fn drain(&mut self, now: Time, table: &Table, machine: &Name) -> bool {
        let Some((incarnation, instance)) = self.instance_on(machine) else {
            return self.is_certainly_idle(now, machine);
        };
        let incarnation = incarnation.clone();
        let next = instance.attempts.iter().find(|(task, attempt)| {
            let record = table.jobs.get(&task.job);
            let Some(group) = record.and_then(|record| record.group(**task)) else { return false };
            let must_move = group.continuous || now > attempt.started + Self::DRAIN_GRACE;
            must_move && !attempt.needs_stop() && self.may_stop(table, **task, group)
        });
        let next = next.map(|(task, _)| *task);
        let Some(instance) = self.instances.get_mut(&incarnation) else { return true };
        instance.draining = true;
        if let Some(task) = next {
            instance.request_stop(&task);
        }
        instance.attempts.is_empty()
    }

    /// Whether no attempt can be running on a machine whose instance has not announced itself. An
    /// earlier leader may have started attempts there, which run until every lease it granted has
    /// expired.
    fn is_certainly_idle(&self, now: Time, machine: &Name) -> bool {
        let listed = self.machines.listed.get(machine);
        let Some(name) = listed.and_then(|machine| machine.instance.as_ref()) else { return true };
        let named = self.instances.iter().filter(|(other, _)| other.name == *name);
        now >= Instance::lease_expiry_after(self.leader_since, self.bounds.max_lease)
            && named.map(|(_, instance)| instance).all(|instance| instance.attempts.is_empty())
    }

    /// Whether stopping a task keeps the unavailable tasks of its continuous group within its
    /// limit.
    pub(crate) fn may_stop(&self, table: &Table, task: TaskId, group: &Group) -> bool {
        let Some(budget) = group.max_unavailable.filter(|_| group.continuous) else {
            return true;
        };
        let Some(record) = table.jobs.get(&task.job) else { return true };
        let Some(round) = record.rounds.get(task.round) else { return true };
        let task_states = round.groups[usize::from(task.group)].iter().enumerate();
        let unavailable = task_states.filter(|(index, task_state)| {
            let sibling = TaskId { index: *index as u16, ..task };
            sibling != task && !self.is_available(sibling, task_state)
        });
        unavailable.count() < usize::from(budget)
    }

    fn is_available(&self, task: TaskId, task_state: &TaskState) -> bool {
        let Phase::Claimed(incarnation) = &task_state.phase else { return false };
        let Some(instance) = self.instances.get(incarnation) else { return false };
        let attempt = instance.attempts.get(&task).filter(|a| a.number == task_state.number);
        attempt.is_some_and(|attempt| attempt.is_at_work(instance.last_report))
            && !instance.unresponsive
    }
}
