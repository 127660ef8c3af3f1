//! The simulated platform: it moves and maintains machines, and makes admission decisions.

use super::*;

impl World {
    /// Adds a machine. Its instance starts unless the machine is in the spare pool.
    pub fn add_machine(&mut self, name: &str, pool: &str, rack: &str, millicores: u64) {
        let capacity = Resources { millicores, memory_mb: 128_000, accelerators: 0 };
        let machine = Machine {
            name: name.into(),
            pool: pool.into(),
            state: MachineState::Moving,
            capacity,
            labels: vec!["a".into(), rack.into()],
            instance: None,
        };
        self.machines.insert(name.into(), machine);
        self.join(&name.into());
    }

    /// Puts a machine into operation, and starts its instance unless it is in the spare pool.
    pub(super) fn join(&mut self, machine: &Name) {
        let pools = &self.table.config.as_ref().expect("the world has a configuration").pools;
        let machine = self.machines.get_mut(machine).expect("the machine is in the world");
        machine.state = MachineState::Up;
        if pools.get(&machine.pool).is_some_and(|pool| pool.spare) {
            return;
        }
        let name: Name = format!("i-{}-{}", machine.name, self.sequence).into();
        machine.instance = Some(name.clone());
        let announcement = Announcement {
            incarnation: Incarnation { name, born: EPOCH_MS + self.now },
            machine: machine.name.clone(),
            pool: machine.pool.clone(),
            address: "10.0.0.1:80".into(),
            data_center: "dc".into(),
            capacity: machine.capacity,
            labels: machine.labels.clone().into(),
            condition: Condition::Ready,
            remaining: None,
            clock: 0,
            sequence: 0,
        };
        let incarnation = announcement.incarnation.clone();
        self.start_instance(announcement);
        self.announce(&incarnation);
    }

    /// Carries out an order about a machine, unless it is busy, and schedules the answer.
    pub(super) fn carry_out_machine_order(&mut self, epoch: Epoch, id: CallId) {
        let Some((order, sent)) = self.platform_calls.remove(&(epoch, id)) else { return };
        self.trace(|| format!("platform receives {order:?} of epoch {epoch}"));
        let (machine, pool, absence_ms) = match order.clone() {
            MachineOrder::List { .. } if self.list_unavailable => return,
            MachineOrder::List { page: None } if self.page_delay_ms > 0 => {
                self.list = self.listed_machines();
                let result = Ok(MachineReply::Listed { machines: vec![], next: Some("1".into()) });
                self.platform_answers.insert(id, result);
                return self.schedule(self.page_delay_ms, SimEvent::PlatformAnswer { epoch, id });
            }
            MachineOrder::List { page } => {
                let machines = match page {
                    Some(_) => self.list.clone(),
                    None => self.listed_machines(),
                };
                let result = Ok(MachineReply::Listed { machines, next: None });
                if epoch == self.epoch {
                    self.step(Event::PlatformAnswered { id, result });
                }
                return;
            }
            MachineOrder::Move { machine, pool } => (machine, Some(pool), 1500),
            MachineOrder::Maintain { machine, .. } => (machine, None, 2000),
        };
        if self.last_ordered.get(&machine).is_some_and(|(earlier, _)| *earlier > epoch) {
            // The platform rejects the order of an earlier leader.
            return;
        }
        if let Some((earlier, at)) = self.last_ordered.insert(machine.clone(), (epoch, sent)) {
            let turn = Bounds::default().order_turn.as_millis() as u64;
            assert!(
                earlier == epoch || sent >= at + turn || self.restarted.contains(&earlier),
                "leaders {earlier} and {epoch} order {machine} within {} ms",
                sent - at
            );
        }
        let listed = self.machines.get_mut(&machine).expect("the machine is in the world");
        let maintained = pool.is_none();
        let result = if self.last_carried_out.get(&machine) == Some(&order) {
            Ok(MachineReply::Begun)
        } else if listed.state == MachineState::Up {
            self.moves += usize::from(pool.is_some());
            self.last_carried_out.insert(machine.clone(), order);
            listed.state = if maintained { MachineState::Maintained } else { MachineState::Moving };
            listed.pool = pool.unwrap_or(listed.pool.clone());
            listed.instance = None;
            self.check_wave_budget(&machine);
            for instance in self.instances.values_mut() {
                if instance.announcement.machine == machine && instance.alive {
                    self.check_machine_is_empty(&machine);
                    break;
                }
            }
            for instance in self.instances.values_mut() {
                if instance.announcement.machine == machine {
                    instance.alive = false;
                    instance.running.clear();
                }
            }
            self.schedule(absence_ms, SimEvent::MachineJoins { machine });
            Ok(MachineReply::Begun)
        } else {
            Ok(MachineReply::Busy)
        };
        let lost = self.chance(self.faults.platform_answer_lost);
        let result = if lost { Err(CallError::Timeout) } else { result };
        self.schedule(if lost { 1500 } else { 0 }, SimEvent::PlatformAnswer { epoch, id });
        self.platform_answers.insert(id, result);
    }

    /// The machines as the platform lists them now.
    fn listed_machines(&self) -> Vec<Machine> {
        let earlier = self.earlier_machines.range(..=self.now.saturating_sub(self.list_lag_ms));
        match earlier.last().filter(|_| self.list_lag_ms > 0) {
            Some((_, machines)) => machines.clone(),
            None => self.machines.values().cloned().collect(),
        }
    }

    /// Checks that the wave for which a machine is maintained has no more machines down than it may.
    fn check_wave_budget(&self, machine: &Name) {
        let Some(MachineOrder::Maintain { wave, .. }) = self.last_carried_out.get(machine) else {
            return;
        };
        let down = self.machines.values().filter(|machine| {
            let order = self.last_carried_out.get(&machine.name);
            machine.state == MachineState::Maintained
                && matches!(order, Some(MachineOrder::Maintain { wave: other, .. }) if other == wave)
        });
        let budget = self.table.waves[wave].budget as usize;
        assert!(down.count() <= budget, "wave {wave} exceeds its budget");
    }

    /// Checks that an order about a machine ends no running tasks.
    pub(super) fn check_machine_is_empty(&self, machine: &Name) {
        let running =
            self.instances.values().filter(|instance| instance.announcement.machine == *machine);
        let running: usize = running.map(|instance| instance.running.len()).sum();
        assert_eq!(running, 0, "{machine} was taken away while tasks were running");
    }

    /// Admission policy: allows about two of three instances.
    pub fn allows(name: &Name) -> bool {
        name.bytes().map(u64::from).sum::<u64>() % 3 > 0
    }

    /// Answers an admission query.
    pub(super) fn decide(&mut self, epoch: Epoch, id: CallId) {
        let Some(query) = self.queries.remove(&id).filter(|_| epoch == self.epoch) else {
            return;
        };
        if self.chance(self.faults.answer_lost) {
            return self.step(Event::AdmissionAnswered { id, result: Err(CallError::Timeout) });
        }
        let until = self.now + ADMISSION.validity.as_millis() as u64;
        let mut permits = Vec::new();
        for name in query.instances.iter().filter(|name| Self::allows(name)) {
            let ticket: Name = format!("{}/{name}", query.group_id).into();
            self.tickets.insert(ticket.clone(), until);
            permits.push((name.clone(), ticket));
        }
        self.step(Event::AdmissionAnswered { id, result: Ok(permits) });
    }

    /// Whether a start request carries a valid ticket, if its queue requires one.
    pub(super) fn has_permit(
        &self,
        incarnation: &Incarnation,
        task: TaskId,
        ticket: &Option<Name>,
    ) -> bool {
        let config = self.table.config.as_ref().expect("the world has a configuration");
        let queue = config.queue(&self.table.jobs[&task.job].queue).expect("a queue");
        let wanted: Name = format!("{}/{}", task.group_id(), incarnation.name).into();
        let holds = |ticket: &Name| {
            *ticket == wanted && self.tickets.get(ticket).is_some_and(|until| self.now < *until)
        };
        queue.admission.is_none() || ticket.as_ref().is_some_and(holds)
    }
}
