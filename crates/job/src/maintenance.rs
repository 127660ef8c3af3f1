//! Maintenance waves: a machine is emptied, its maintenance begins, and the next one follows once it
//! is back, never more at once than the wave allows.

use super::*;

impl Scheduler {
    /// Between two looks at the waves.
    const MAINTAIN_INTERVAL: Duration = Duration::from_millis(60);
    /// Longest wait for the tasks on a machine to end by themselves.
    const EVACUATION: Duration = Duration::from_millis(1500);

    pub(crate) fn maintain(&mut self, now: Time, table: &Table) {
        if now < self.maintained + Self::MAINTAIN_INTERVAL {
            return;
        }
        self.maintained = now;
        for instance in self.instances.values_mut() {
            let machine = instance.announcement.as_ref().map(|a| &a.machine);
            // A machine with an order under way is about to lose everything that runs there.
            instance.evacuating = machine.is_some_and(|machine| self.machines.is_ordered(machine));
        }
        if !self.machines.known {
            return;
        }
        for (id, wave) in table.waves.iter().filter(|(_, wave)| !wave.is_complete()) {
            self.carry_on(now, table, *id, wave);
        }
    }

    fn carry_on(&mut self, now: Time, table: &Table, id: WaveId, wave: &Wave) {
        let machines = &self.machines;
        let down = wave.machines.keys().filter(|machine| machines.may_be_maintained(machine));
        let free = (wave.budget as usize).saturating_sub(down.count());
        let due = wave.machines.iter().filter(|(machine, progress)| {
            **progress == Progress::Due
                && !machines.begun.contains(&(id, (*machine).clone()))
                && !machines.away.contains_key(*machine)
                && machines.may_order(now, machine)
        });
        let mut due: Vec<_> = due.map(|(machine, _)| machine.clone()).collect();
        due.sort_by_key(|machine| (self.load(machine), machine.clone()));
        for machine in due.into_iter().take(free) {
            if self.empty(now, table, &machine) {
                self.order_machine(MachineOrder::Maintain { machine, wave: id });
            }
        }
    }

    /// What runs on a machine; one without an instance comes first.
    fn load(&self, machine: &Name) -> usize {
        self.on_machine_named(machine).map_or(0, |(_, instance)| 1 + instance.attempts.len())
    }

    /// Empties a machine, and says whether nothing runs there.
    fn empty(&mut self, now: Time, table: &Table, machine: &Name) -> bool {
        let Some((incarnation, instance)) = self.on_machine_named(machine) else {
            return self.is_unused(now, machine);
        };
        let incarnation = incarnation.clone();
        let next = instance.attempts.iter().find(|(task, attempt)| {
            let record = table.jobs.get(&task.job);
            let Some(group) = record.and_then(|record| record.group(**task)) else { return false };
            let moves = group.long_running || now > attempt.started + Self::EVACUATION;
            moves && !attempt.stop && self.may_stop(table, **task, group)
        });
        let next = next.map(|(task, _)| *task);
        let Some(instance) = self.instances.get_mut(&incarnation) else { return true };
        instance.evacuating = true;
        if let Some(attempt) = next.and_then(|task| instance.attempts.get_mut(&task)) {
            attempt.stop = true;
        }
        instance.attempts.is_empty()
    }

    /// Whether nothing of ours can run on a machine whose instance has not announced itself here: an
    /// earlier owner may have started something, until every lease that it granted has run out.
    fn is_unused(&self, now: Time, machine: &Name) -> bool {
        let listed = self.machines.listed.get(machine);
        let Some(name) = listed.and_then(|machine| machine.instance.as_ref()) else { return true };
        let busy = |(life, instance): (&Incarnation, &Instance)| {
            life.name == *name && !instance.attempts.is_empty()
        };
        now >= Instance::lapse_after(self.since, self.bounds.max_lease)
            && !self.instances.iter().any(busy)
    }

    /// Whether the budget of a group of lasting tasks allows to take one away.
    pub(crate) fn may_stop(&self, table: &Table, task: TaskId, group: &Group) -> bool {
        let Some(budget) = group.max_unavailable.filter(|_| group.long_running) else {
            return true;
        };
        let Some(record) = table.jobs.get(&task.job) else { return true };
        let Some(round) = record.rounds.get(task.round as usize) else { return true };
        let task_states = round.groups[usize::from(task.group)].iter().enumerate();
        let away = task_states.filter(|(index, task_state)| {
            let sibling = TaskId { index: *index as u16, ..task };
            sibling != task && !self.is_at_work(sibling, task_state)
        });
        away.count() < usize::from(budget)
    }

    fn is_at_work(&self, task: TaskId, task_state: &TaskState) -> bool {
        let Phase::Claimed(incarnation) = &task_state.phase else { return false };
        let Some(instance) = self.instances.get(incarnation) else { return false };
        let attempt = instance.attempts.get(&task).filter(|a| a.number == task_state.number);
        attempt.is_some_and(|a| a.stage == Stage::Running && a.percent >= 100 && !a.stop)
            && !instance.silent
    }
}
