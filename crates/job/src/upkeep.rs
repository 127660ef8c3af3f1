//! Maintenance waves: a machine is emptied, its maintenance begins, and the next one follows once it
//! is back, never more at once than the wave allows.

use super::*;
use {machines::MachineCall, owner::note};

impl Owner {
    /// Between two lists of machines while a wave runs.
    const LIST_INTERVAL: Duration = Duration::from_millis(1000);
    /// How long a call to the platform may take.
    const MACHINE_TIMEOUT: Duration = Duration::from_millis(2000);
    /// After which a machine that was refused is tried again.
    const MACHINE_RETRY: Duration = Duration::from_millis(500);
    /// Longest wait for the tasks on a machine to end by themselves.
    const EMPTYING: Duration = Duration::from_millis(1500);

    pub(crate) fn maintain(&mut self, now: Time, table: &Table, effects: &mut Vec<Effect>) {
        if !self.leads() {
            return;
        }
        let open: Vec<_> = table.waves.iter().filter(|(_, wave)| !wave.is_complete()).collect();
        for instance in self.instances.values_mut() {
            instance.emptying = false;
        }
        if open.is_empty() && self.machines.away.is_empty() {
            return;
        }
        self.list(now, effects);
        if !self.machines.known {
            return;
        }
        for (id, wave) in open {
            self.carry_on(now, table, *id, wave, effects);
        }
    }

    fn list(&mut self, now: Time, effects: &mut Vec<Effect>) {
        let expired = |(_, sent): &(CallId, Time)| now > *sent + Self::MACHINE_TIMEOUT;
        if self.machines.listing.as_ref().is_some_and(expired) {
            self.machines.listing = None;
        }
        let due = self.machines.asked.is_none_or(|asked| now >= asked + Self::LIST_INTERVAL);
        if self.machines.listing.is_none() && due {
            let id = self.next_call();
            self.machines.asked = Some(now);
            self.machines.listing = Some((id, now));
            effects.push(Effect::Machine { id, order: MachineOrder::List { page: None } });
        }
    }

    fn carry_on(
        &mut self,
        now: Time,
        table: &Table,
        id: WaveId,
        wave: &Wave,
        effects: &mut Vec<Effect>,
    ) {
        let down = wave.machines.keys().filter(|machine| self.may_be_down(machine)).count();
        let mut free = (wave.budget as usize).saturating_sub(down);
        let begun = &self.machines.begun;
        let due = wave.machines.iter().filter(|(name, progress)| {
            **progress == Progress::Due
                && !begun.contains(&(id, (*name).clone()))
                && !self.machines.calls.values().any(|call| call.machine == **name)
                && self.machines.retry_at.get(*name).is_none_or(|at| now >= *at)
        });
        let mut due: Vec<_> = due.map(|(name, _)| name.clone()).collect();
        due.sort_by_key(|name| (self.load(name), name.clone()));
        for machine in due {
            let counted = self.machines.unsure.contains(&machine);
            if free == 0 && !counted {
                continue;
            }
            free -= usize::from(!counted);
            if self.empty(now, table, &machine) {
                let call = self.next_call();
                self.machines
                    .calls
                    .insert(call, MachineCall { machine: machine.clone(), wave: id });
                let order = MachineOrder::Maintain { machine, wave: id };
                effects.push(Effect::Machine { id: call, order });
            }
        }
    }

    /// Whether the maintenance of a machine may be under way.
    fn may_be_down(&self, machine: &Name) -> bool {
        let listed = self.machines.listed.get(machine).map(|machine| machine.state);
        listed == Some(MachineState::Maintained)
            || self.machines.away.contains_key(machine)
            || self.machines.unsure.contains(machine)
            || self.machines.calls.values().any(|call| call.machine == *machine)
    }

    /// What runs on a machine, spare machines first.
    fn load(&self, machine: &Name) -> usize {
        self.on_machine_named(machine).map_or(0, |(_, instance)| 1 + instance.attempts.len())
    }

    fn on_machine_named(&self, machine: &Name) -> Option<(&Incarnation, &Instance)> {
        let there = |instance: &Instance| {
            instance.announcement.as_ref().is_some_and(|a| a.machine == *machine)
        };
        self.instances.iter().rev().find(|(_, instance)| there(instance))
    }

    /// Empties a machine, and says whether nothing that matters runs there.
    fn empty(&mut self, now: Time, table: &Table, machine: &Name) -> bool {
        let Some((incarnation, _)) = self.on_machine_named(machine) else { return true };
        let incarnation = incarnation.clone();
        let mut stops = Vec::new();
        if let Some(instance) = self.instances.get(&incarnation) {
            for (task, attempt) in &instance.attempts {
                let Some(group) = table.jobs.get(&task.job).and_then(|e| e.group(*task)) else {
                    continue;
                };
                let moves = group.lasting || now > attempt.started + Self::EMPTYING;
                if moves && !attempt.stop && self.may_stop(table, *task, group) {
                    stops.push(*task);
                }
            }
        }
        let Some(instance) = self.instances.get_mut(&incarnation) else { return true };
        instance.emptying = true;
        for task in stops {
            if let Some(attempt) = instance.attempts.get_mut(&task) {
                attempt.stop = true;
                break;
            }
        }
        instance.attempts.is_empty()
    }

    /// Whether the budget of a group of lasting tasks allows to take one away.
    pub(crate) fn may_stop(&self, table: &Table, task: Task, group: &Group) -> bool {
        let Some(budget) = group.budget.filter(|_| group.lasting) else { return true };
        let Some(entry) = table.jobs.get(&task.job) else { return true };
        let Some(round) = entry.rounds.get(task.round as usize) else { return true };
        let slots = round.groups[usize::from(task.group)].iter().enumerate();
        let away = slots.filter(|(index, slot)| {
            let sibling = Task { index: *index as u16, ..task };
            sibling != task && !self.is_at_work(sibling, slot)
        });
        away.count() < usize::from(budget)
    }

    fn is_at_work(&self, task: Task, slot: &Slot) -> bool {
        let Phase::Claimed(incarnation) = &slot.phase else { return false };
        let Some(instance) = self.instances.get(incarnation) else { return false };
        let attempt = instance.attempts.get(&task).filter(|a| a.number == slot.number);
        attempt.is_some_and(|a| a.stage == Stage::Running && a.percent >= 100 && !a.stop)
            && !instance.silent
    }

    pub(crate) fn on_machine(
        &mut self,
        now: Time,
        id: CallId,
        result: Result<MachineReply, Failure>,
        effects: &mut Vec<Effect>,
    ) {
        if self.machines.listing.is_some_and(|(listing, _)| listing == id) {
            let sent = self.machines.listing.take().map_or(now, |(_, sent)| sent);
            if let Ok(MachineReply::Listed { machines, next }) = result {
                self.on_listed(now, sent, machines, effects);
                self.machines.known |= next.is_none();
                if next.is_some() {
                    let id = self.next_call();
                    self.machines.listing = Some((id, now));
                    let order = MachineOrder::List { page: next };
                    effects.push(Effect::Machine { id, order });
                }
            }
            return;
        }
        let Some(MachineCall { machine, wave }) = self.machines.calls.remove(&id) else { return };
        if result.is_ok() {
            self.machines.unsure.remove(&machine);
        } else {
            self.machines.unsure.insert(machine.clone());
        }
        match result {
            Ok(MachineReply::Begun) => self.begin(now, wave, machine, effects),
            Ok(MachineReply::Unknown | MachineReply::NotOfWave) => {
                effects.push(note("machine-not-of-wave", machine.to_string(), wave.to_string()));
                self.machines.begun.push((wave, machine));
            }
            refused => {
                let why = format!("{refused:?}");
                effects.push(note("maintenance-refused", machine.to_string(), why));
                self.machines.retry_at.insert(machine, now + Self::MACHINE_RETRY);
            }
        }
    }

    fn begin(&mut self, now: Time, wave: WaveId, machine: Name, effects: &mut Vec<Effect>) {
        effects.push(note("maintenance-begun", machine.to_string(), format!("wave {wave}")));
        if let Some((incarnation, _)) = self.on_machine_named(&machine) {
            let incarnation = incarnation.clone();
            self.bury(now, &incarnation, "its machine is maintained", effects);
        }
        self.machines.away.insert(machine.clone(), now);
        self.machines.begun.push((wave, machine));
        self.dirty = true;
    }

    /// Takes a list of machines that was asked for at `sent`.
    fn on_listed(
        &mut self,
        now: Time,
        sent: Time,
        machines: Vec<Machine>,
        effects: &mut Vec<Effect>,
    ) {
        for machine in machines {
            let back = machine.state == MachineState::Up;
            let long = |since: &Time| sent > *since + self.bounds.maintenance / 2;
            if back && self.machines.away.get(&machine.name).is_some_and(long) {
                self.machines.away.remove(&machine.name);
            }
            if let Some((incarnation, instance)) = self.on_machine_named(&machine.name) {
                let other = machine.instance.as_ref().is_some_and(|i| *i != incarnation.name);
                let down = machine.state != MachineState::Up;
                if (other || down) && instance.heard < sent {
                    let incarnation = incarnation.clone();
                    let why = "the platform lists its machine without it";
                    self.bury(now, &incarnation, why, effects);
                }
            }
            self.machines.listed.insert(machine.name.clone(), machine);
        }
    }
}
