//! What the owner knows of machines, and its orders to the platform about them. One order at a time
//! concerns a machine. It is committed before it is given, since one that had no answer may still be
//! carried out: this owner, or the next, repeats it until it is answered.

use super::*;
use scheduler::note;

/// Machines and the orders about them.
#[derive(Debug, Default)]
pub(crate) struct Machines {
    /// Machines by name, as last listed.
    pub(crate) listed: BTreeMap<Name, Machine>,
    /// Whether a whole list was read since this owner leads.
    pub(crate) known: bool,
    /// When the last list was asked for.
    asked: Option<Time>,
    /// List under way, and when it was asked for.
    listing: Option<(CallId, Time)>,
    /// Orders that are to be committed.
    intents: Vec<MachineOrder>,
    /// Orders in the batch under way.
    committing: Vec<MachineOrder>,
    /// Machines whose orders were answered, to be committed.
    answered: Vec<Name>,
    /// Orders under way, with when each was first given.
    calls: Map<CallId, (MachineOrder, Time)>,
    /// Machines that are away since an order was carried out.
    pub(crate) away: BTreeMap<Name, Time>,
    /// Maintenance that has begun and is to be committed.
    pub(crate) begun: Vec<(WaveId, Name)>,
    /// Orders without an answer, with when each was first given.
    unsure: BTreeMap<Name, (MachineOrder, Time)>,
    /// When a refused machine may be tried again.
    retry_at: BTreeMap<Name, Time>,
}

/// Between two lists of machines.
const LIST_INTERVAL: Duration = Duration::from_millis(1000);
/// How long a list may take.
const LIST_TIMEOUT: Duration = Duration::from_millis(2000);
/// After which a machine that was refused is tried again.
const RETRY: Duration = Duration::from_millis(500);

/// How late the platform may carry out an order.
const LATEST: Duration = Duration::from_secs(13);

impl Machines {
    /// Maintenance that has begun, and that the table does not know yet.
    pub(crate) fn take_begun(&mut self, table: &Table) -> Vec<(WaveId, Name)> {
        let mut begun = std::mem::take(&mut self.begun);
        begun.retain(|(wave, machine)| {
            let progress = table.waves.get(wave).and_then(|wave| wave.machines.get(machine));
            progress == Some(&Progress::Due)
        });
        begun
    }

    /// Whether an order about a machine is under way, or may be.
    pub(crate) fn is_ordered(&self, machine: &Name) -> bool {
        let is_about = |order: &MachineOrder| order.machine() == Some(machine);
        self.unsure.contains_key(machine)
            || self.intents.iter().chain(&self.committing).any(is_about)
            || self.calls.values().any(|(order, _)| is_about(order))
    }

    /// Takes what is to be committed.
    pub(crate) fn commit(&mut self, table: &Table, batch: &mut Batch) {
        batch.maintained = self.take_begun(table);
        batch.orders = std::mem::take(&mut self.intents);
        batch.answered = std::mem::take(&mut self.answered);
        batch.answered.retain(|machine| table.orders.contains_key(machine));
        self.committing = batch.orders.clone();
    }

    /// Whether anything is to be committed soon.
    pub(crate) fn is_urgent(&self) -> bool {
        !self.intents.is_empty()
    }

    /// Takes over the orders that an earlier owner may have given.
    pub(crate) fn recover(&mut self, now: Time, table: &Table) {
        for (machine, order) in &table.orders {
            self.unsure.insert(machine.clone(), (order.clone(), now));
        }
    }

    /// Orders under way.
    pub(crate) fn orders(&self) -> impl Iterator<Item = &MachineOrder> {
        let given = self.calls.values().chain(self.unsure.values()).map(|(order, _)| order);
        given.chain(&self.intents).chain(&self.committing)
    }

    /// Whether an order about a machine may be given now.
    pub(crate) fn may_order(&self, now: Time, machine: &Name) -> bool {
        !self.is_ordered(machine) && self.retry_at.get(machine).is_none_or(|at| now >= *at)
    }

    /// Whether the maintenance of a machine may be under way.
    pub(crate) fn may_be_maintained(&self, machine: &Name) -> bool {
        let listed = self.listed.get(machine).map(|machine| machine.state);
        listed == Some(MachineState::Maintained)
            || self.away.contains_key(machine)
            || self.is_ordered(machine)
    }
}

impl MachineOrder {
    /// Machine that the order is about.
    pub fn machine(&self) -> Option<&Name> {
        match self {
            Self::List { .. } => None,
            Self::Move { machine, .. } | Self::Maintain { machine, .. } => Some(machine),
        }
    }
}

impl Scheduler {
    /// Asks for the list of machines, and repeats orders that had no answer.
    pub(crate) fn look_at_machines(&mut self, now: Time, effects: &mut Vec<Effect>) {
        let expired = |(_, sent): &(CallId, Time)| now > *sent + LIST_TIMEOUT;
        if self.machines.listing.as_ref().is_some_and(expired) {
            self.machines.listing = None;
        }
        let due = self.machines.asked.is_none_or(|asked| now >= asked + LIST_INTERVAL);
        if self.machines.listing.is_none() && due {
            self.machines.asked = Some(now);
            self.list(now, None, effects);
        }
        let (unused, given_up): (Vec<_>, Vec<_>) = self
            .machines
            .unsure
            .iter()
            .filter(|(machine, (_, first))| self.is_empty(machine) || now > *first + LATEST)
            .map(|(machine, _)| machine.clone())
            .partition(|machine| self.is_empty(machine));
        for machine in given_up {
            // Something runs there, and the order is not under way any more.
            self.machines.unsure.remove(&machine);
            self.machines.answered.push(machine);
        }
        let unsure = self.machines.unsure.iter().filter(|(machine, _)| {
            if !unused.contains(machine) {
                return false;
            }
            let calls = &self.machines.calls;
            let calling = calls.values().any(|(order, _)| order.machine() == Some(*machine));
            !calling && self.machines.retry_at.get(*machine).is_none_or(|at| now >= *at)
        });
        let unsure: Vec<_> = unsure.map(|(_, unsure)| unsure.clone()).collect();
        for (order, first) in unsure {
            self.send_order(order, first, effects);
        }
    }

    fn list(&mut self, now: Time, page: Option<String>, effects: &mut Vec<Effect>) {
        let id = self.next_call();
        self.machines.listing = Some((id, now));
        effects.push(Effect::CallPlatform { id, order: MachineOrder::List { page } });
    }

    /// Gives an order once it is committed.
    pub(crate) fn order_machine(&mut self, order: MachineOrder) {
        self.machines.intents.push(order);
    }

    /// Gives the orders that were just committed.
    pub(crate) fn give_orders(&mut self, now: Time, effects: &mut Vec<Effect>) {
        for order in std::mem::take(&mut self.machines.committing) {
            self.send_order(order, now, effects);
        }
    }

    /// Sends an order that was first given at `first`.
    fn send_order(&mut self, order: MachineOrder, first: Time, effects: &mut Vec<Effect>) {
        let id = self.next_call();
        self.machines.calls.insert(id, (order.clone(), first));
        effects.push(Effect::CallPlatform { id, order });
    }

    pub(crate) fn on_machine(
        &mut self,
        now: Time,
        id: CallId,
        result: Result<MachineReply, CallError>,
        effects: &mut Vec<Effect>,
    ) {
        if self.machines.listing.is_some_and(|(listing, _)| listing == id) {
            let sent = self.machines.listing.take().map_or(now, |(_, sent)| sent);
            if let Ok(MachineReply::Listed { machines, next }) = result {
                self.on_listed(now, sent, machines, effects);
                self.machines.known |= next.is_none();
                if next.is_some() {
                    self.list(now, next, effects);
                }
            }
            return;
        }
        let Some((order, first)) = self.machines.calls.remove(&id) else { return };
        let Some(machine) = order.machine().cloned() else { return };
        self.machines.retry_at.insert(machine.clone(), now + RETRY);
        match result {
            Ok(MachineReply::Begun) => self.on_begun(now, order, first, machine, effects),
            Ok(MachineReply::NotOfWave | MachineReply::Unknown) => {
                if let MachineOrder::Maintain { wave, .. } = order {
                    self.machines.begun.push((wave, machine.clone()));
                }
                effects.push(note("machine-unknown", machine.to_string(), format!("{order:?}")));
                self.machines.unsure.remove(&machine);
                self.machines.answered.push(machine);
            }
            Err(failure) => {
                effects.push(note("machine-unsure", machine.to_string(), failure.to_string()));
                self.machines.unsure.entry(machine).or_insert((order, first));
            }
            Ok(refused) => {
                effects.push(note("machine-refused", machine.to_string(), format!("{refused:?}")));
                // An earlier order without an answer may still come through.
                let unsure = self.machines.unsure.get(&machine).map(|(_, first)| *first);
                if unsure.is_none_or(|first| now > first + LATEST) {
                    self.machines.unsure.remove(&machine);
                    self.machines.answered.push(machine);
                }
            }
        }
    }

    fn on_begun(
        &mut self,
        now: Time,
        order: MachineOrder,
        first: Time,
        machine: Name,
        effects: &mut Vec<Effect>,
    ) {
        effects.push(note("machine-ordered", machine.to_string(), format!("{order:?}")));
        if self.machines.unsure.remove(&machine).is_some() {
            // The first order may be carried out once more.
            self.machines.retry_at.insert(machine.clone(), first + LATEST);
        }
        self.machines.answered.push(machine.clone());
        if let Some(incarnation) = self.machine_lives.get(&machine).cloned() {
            self.verify(now, &incarnation);
        }
        self.machines.away.insert(machine.clone(), now);
        match order {
            MachineOrder::Maintain { wave, .. } => self.machines.begun.push((wave, machine)),
            MachineOrder::Move { pool, .. } => {
                if let Some(listed) = self.machines.listed.get_mut(&machine) {
                    listed.pool = pool;
                    listed.state = MachineState::Moving;
                }
            }
            MachineOrder::List { .. } => {}
        }
        self.dirty = true;
    }

    /// Takes away an instance whose machine was ordered away. One on which something runs has come
    /// after the order was first given and carried out; its answer to a renewal will say so.
    fn verify(&mut self, now: Time, incarnation: &Incarnation) {
        let Some(instance) = self.instances.get_mut(incarnation) else { return };
        if instance.attempts.is_empty() {
            self.instances.remove(incarnation);
            return;
        }
        instance.silent = true;
        instance.renewing = false;
        instance.renew_at = now;
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
            let ordered_since = self.machines.away.get(&machine.name).is_some_and(|at| *at > sent);
            if ordered_since || self.machines.is_ordered(&machine.name) {
                continue;
            }
            if machine.state == MachineState::Up {
                self.machines.away.remove(&machine.name);
            }
            if let Some((incarnation, instance)) = self.on_machine_named(&machine.name) {
                let other = machine.instance.as_ref().is_some_and(|i| *i != incarnation.name);
                let down = machine.state != MachineState::Up;
                if (other || down) && instance.heard < sent {
                    let incarnation = incarnation.clone();
                    let why = "the platform lists its machine without it";
                    self.end_life(now, &incarnation, why, effects);
                }
            }
            self.machines.listed.insert(machine.name.clone(), machine);
        }
    }

    /// Whether nothing of ours runs on a machine, as far as this owner knows.
    fn is_empty(&self, machine: &Name) -> bool {
        self.on_machine_named(machine).is_none_or(|(_, instance)| instance.attempts.is_empty())
    }

    /// The instance on a machine, where it is known.
    pub(crate) fn on_machine_named(&self, machine: &Name) -> Option<(&Incarnation, &Instance)> {
        self.instances.get_key_value(self.machine_lives.get(machine)?)
    }
}
