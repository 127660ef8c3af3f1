//! Machines as listed by the platform, and the orders sent to the platform about them. There is at
//! most one order per machine at a time. It is committed before it is sent, because an order that
//! was not answered may still be carried out: this leader, or the next one, repeats it until it is
//! answered.

use super::*;
use scheduler::note;

/// When each machine was last the subject of an order or of an answer to one, by the order in which
/// this daemon applied them; recorded on every member. The platform wants orders of two leaders
/// about a machine to be some time apart, and a leader sends its last one about a machine before the
/// answer is committed, or while the order is still open in the table.
#[derive(Debug, Default)]
pub(crate) struct OrderHistory {
    last: BTreeMap<Name, Time>,
    /// When the takeover of another daemon ended the leadership of each former leader.
    succeeded: BTreeMap<Name, Time>,
    /// Orders applied before this time are not in `last`.
    known_since: Time,
}

impl OrderHistory {
    fn record(&mut self, now: Time, batch: &Batch) {
        let ordered = batch.orders.iter().filter_map(MachineOrder::machine);
        for machine in ordered.chain(&batch.answered) {
            self.last.insert(machine.clone(), now);
        }
    }

    fn record_takeover(&mut self, now: Time, leaders: &[Leader], leader: &Leader) {
        for former in leaders {
            self.succeeded.entry(former.name.clone()).or_insert(now);
        }
        self.succeeded.remove(&leader.name);
    }

    /// Whether a former leader may have sent an order within the last `turn`.
    fn may_have_ordered(&self, now: Time, leader: &Leader, turn: Duration) -> bool {
        self.succeeded.get(&leader.name).is_none_or(|at| now < *at + turn)
    }
}

/// State of the machines and of the orders about them.
#[derive(Debug, Default)]
pub(crate) struct Machines {
    /// Machines by name, as last listed.
    pub(crate) listed: BTreeMap<Name, Machine>,
    /// Largest capacity of a machine, in each resource.
    pub(crate) largest: Resources,
    /// Whether a complete list has been read since this daemon became leader.
    pub(crate) complete: bool,
    /// When the last list was requested.
    list_requested_at: Option<Time>,
    /// From when on a list is wanted soon, since it may show the end of an instance.
    list_wanted_from: Option<Time>,
    /// List request in flight and when it was sent.
    list_in_flight: Option<(CallId, Time)>,
    /// Orders to commit in the next batch.
    uncommitted: Vec<MachineOrder>,
    /// Orders in the batch being committed.
    committing: Vec<MachineOrder>,
    /// Machines whose orders were answered, to commit in the next batch.
    answered: Vec<Name>,
    /// Orders in flight and when each was first sent.
    in_flight: Map<CallId, (MachineOrder, Time)>,
    /// Machines of the orders in `uncommitted`, `committing` and `in_flight`.
    pending: Set<Name>,
    /// Machines that are leaving or have left for a move or for maintenance and have not been
    /// listed as up again, with the time at which the platform accepted the order.
    pub(crate) away: BTreeMap<Name, Time>,
    /// Maintenance that has begun, to commit in the next batch.
    pub(crate) maintenance_begun: Vec<(WaveId, Name)>,
    /// Orders that failed without a definite answer and when each was first sent.
    unconfirmed: BTreeMap<Name, (MachineOrder, Time)>,
    /// Earliest time of the next order about a machine; set after each answer.
    retry_at: BTreeMap<Name, Time>,
    /// Whether the takeover of this leader is committed.
    recorded: bool,
    handover: Handover,
    /// Moving average of the time from an accepted order to the first announcement of the next
    /// instance on the machine; `None` before the first one.
    mean_move_time: Option<Duration>,
}

/// The wait between the last orders of former leaders and the first ones of this leader. It ends
/// early once each former leader that may have ordered lately is known to have restarted: a run of a
/// process that has ended sends nothing any more.
#[derive(Debug, Default)]
struct Handover {
    /// Former leaders that may have sent orders lately and are not known to have restarted.
    former: BTreeSet<Leader>,
    /// Earliest time of the first order about a machine that was ordered lately.
    first_order_at: BTreeMap<Name, Time>,
    /// Earliest time of the first order about any machine.
    any_order_at: Time,
}

impl Handover {
    /// Whether an order about a machine need not wait any more.
    fn is_over(&self, now: Time, machine: &Name) -> bool {
        self.former.is_empty()
            || now >= self.any_order_at
                && self.first_order_at.get(machine).is_none_or(|at| now >= *at)
    }
}

/// Interval between machine lists.
const LIST_INTERVAL: Duration = Duration::from_millis(1000);
/// The same after connections to an instance broke, which the list may explain.
const URGENT_LIST_INTERVAL: Duration = Duration::from_millis(250);
/// How much older than its request a list may be. No machine is back from a move or from maintenance
/// within this time.
pub(crate) const MAX_LIST_AGE: Duration = Duration::from_millis(1000);
const LIST_TIMEOUT: Duration = Duration::from_millis(2000);
/// Delay before a machine whose order was answered gets another one.
const ORDER_RETRY_DELAY: Duration = Duration::from_millis(500);

/// Assumed time of a move before one has been seen.
const DEFAULT_MOVE_TIME: Duration = Duration::from_millis(2000);
/// Weight of the latest move in the average time of a move, as a divisor.
const MOVE_TIME_WEIGHT_DIVISOR: u32 = 16;

/// Longest time after which the platform may still carry out an order that it has not answered.
const MAX_ORDER_DELAY: Duration = Duration::from_secs(13);

impl Machines {
    /// Takes the maintenance that has begun and is not recorded in the table yet.
    pub(crate) fn take_maintenance_begun(&mut self, table: &Table) -> Vec<(WaveId, Name)> {
        let mut maintenance_begun = std::mem::take(&mut self.maintenance_begun);
        maintenance_begun.retain(|(wave, machine)| {
            let progress = table.waves.get(wave).and_then(|wave| wave.machines.get(machine));
            progress == Some(&Progress::Due)
        });
        maintenance_begun
    }

    /// Whether the platform's list is known and does not show an instance in operation.
    pub(crate) fn is_unlisted(&self, instance: &Name) -> bool {
        let shows = |machine: &Machine| {
            machine.state == MachineState::Up && machine.instance.as_ref() == Some(instance)
        };
        self.complete && !self.listed.values().any(shows)
    }

    /// Updates `largest` from the listed machines.
    pub(crate) fn update_largest(&mut self) {
        let sizes = self.listed.values().map(|machine| machine.capacity);
        self.largest = sizes.fold(Resources::default(), Resources::max);
    }

    /// Expected time that a machine takes to get into another pool.
    pub(crate) fn move_time(&self) -> Duration {
        self.mean_move_time.unwrap_or(DEFAULT_MOVE_TIME)
    }

    /// Records that a new instance has announced itself on a machine.
    pub(crate) fn record_return(&mut self, now: Time, machine: &Name) {
        let Some(since) = self.away.get(machine).filter(|_| !self.is_ordered(machine)) else {
            return;
        };
        let took = now.saturating_sub(*since);
        let mean = self.mean_move_time.unwrap_or(took);
        self.mean_move_time =
            Some((mean * (MOVE_TIME_WEIGHT_DIVISOR - 1) + took) / MOVE_TIME_WEIGHT_DIVISOR);
    }

    /// Requests the next list soon after `from`, since it may show the end of an instance.
    pub(crate) fn expect_crash(&mut self, from: Time) {
        self.list_wanted_from.get_or_insert(from);
    }

    /// Whether an order about a machine is pending or may still be carried out.
    pub(crate) fn is_ordered(&self, machine: &Name) -> bool {
        self.pending.contains(machine) || self.unconfirmed.contains_key(machine)
    }

    /// Moves everything that waits to be committed into the batch.
    pub(crate) fn commit(&mut self, table: &Table, batch: &mut Batch) {
        batch.maintained = self.take_maintenance_begun(table);
        batch.orders = std::mem::take(&mut self.uncommitted);
        batch.answered = std::mem::take(&mut self.answered);
        batch.answered.retain(|machine| table.orders.contains_key(machine));
        self.committing = batch.orders.clone();
    }

    /// Whether a batch should be proposed without waiting for the next planning pass.
    pub(crate) fn has_new_orders(&self) -> bool {
        !self.uncommitted.is_empty()
    }

    /// Adopts the orders that an earlier leader may have sent, and leaves it `turn` before the first
    /// order about a machine that it may have just ordered.
    pub(crate) fn recover(
        &mut self,
        now: Time,
        table: &Table,
        leader: &Leader,
        history: &OrderHistory,
        turn: Duration,
    ) {
        let former = table.leaders.iter().filter(|former| {
            former.name != leader.name && history.may_have_ordered(now, former, turn)
        });
        self.handover.former = former.cloned().collect();
        self.handover.any_order_at = history.known_since + turn;
        let first_order_at = &mut self.handover.first_order_at;
        for (machine, order) in &table.orders {
            self.unconfirmed.insert(machine.clone(), (order.clone(), now));
            first_order_at.insert(machine.clone(), now + turn);
        }
        for (machine, at) in history.last.iter().filter(|(_, at)| now < **at + turn) {
            first_order_at.entry(machine.clone()).or_insert(*at + turn);
        }
        // A list may still show them as they were before the order.
        let just_ordered = history.last.iter().filter(|(_, at)| now < **at + MAX_LIST_AGE);
        self.away.extend(just_ordered.map(|(machine, at)| (machine.clone(), *at)));
    }

    /// Whether an order about a machine may be sent now.
    fn may_send(&self, now: Time, machine: &Name) -> bool {
        self.recorded
            && self.handover.is_over(now, machine)
            && self.retry_at.get(machine).is_none_or(|at| now >= *at)
    }

    /// Whether orders about any machine may be sent now.
    pub(crate) fn may_send_any(&self, now: Time) -> bool {
        let Handover { former, any_order_at, .. } = &self.handover;
        self.recorded && (former.is_empty() || now >= *any_order_at)
    }

    /// Every order that is pending or may still be carried out.
    pub(crate) fn orders(&self) -> impl Iterator<Item = &MachineOrder> {
        let sent = self.in_flight.values().chain(self.unconfirmed.values()).map(|(order, _)| order);
        sent.chain(&self.uncommitted).chain(&self.committing)
    }

    /// Whether a new order about a machine may be created now.
    pub(crate) fn may_order(&self, now: Time, machine: &Name) -> bool {
        !self.is_ordered(machine) && self.may_send(now, machine)
    }

    /// Whether a machine may be down for maintenance, or about to be.
    pub(crate) fn may_be_in_maintenance(&self, machine: &Name) -> bool {
        let listed = self.listed.get(machine).map(|machine| machine.state);
        listed == Some(MachineState::Maintained)
            || self.away.contains_key(machine)
            || self.is_ordered(machine)
    }
}

impl MachineOrder {
    /// The machine that the order is about; `None` for a list.
    pub fn machine(&self) -> Option<&Name> {
        match self {
            Self::List { .. } => None,
            Self::Move { machine, .. } | Self::Maintain { machine, .. } => Some(machine),
        }
    }
}

impl Scheduler {
    /// Records the machine orders of a committed batch; called on every member.
    pub fn record_batch(&mut self, now: Time, batch: &Batch) {
        self.order_history.record(now, batch);
    }

    /// Records that the table was replaced by a snapshot, which does not show the latest orders.
    pub fn record_snapshot(&mut self, now: Time) {
        self.order_history.known_since = now;
        self.order_history.succeeded.clear();
    }

    /// Records a committed takeover; called on every member, with the leaders recorded before.
    pub fn record_takeover(&mut self, now: Time, leaders: &[Leader], leader: &Leader) {
        self.order_history.record_takeover(now, leaders, leader);
    }

    /// Former leaders that may have sent orders lately and are not known to have restarted.
    pub fn former_leaders(&self) -> &BTreeSet<Leader> {
        &self.machines.handover.former
    }

    pub(crate) fn on_former_leader_ended(&mut self, former: &Leader, effects: &mut Vec<Effect>) {
        if self.machines.handover.former.remove(former) {
            let why = match self.machines.handover.former.len() {
                0 => "has restarted; orders about machines need not wait".into(),
                others => format!("has restarted; {others} other former leaders have not"),
            };
            effects.push(note("former-leader-ended", former.to_string(), why));
        }
    }

    pub(crate) fn on_taken_over(&mut self) {
        self.machines.recorded = true;
    }

    /// Requests the list of machines when it is due, and repeats orders that were not answered.
    pub(crate) fn check_machines(&mut self, now: Time, effects: &mut Vec<Effect>) {
        let expired = |(_, sent): &(CallId, Time)| now > *sent + LIST_TIMEOUT;
        if self.machines.list_in_flight.as_ref().is_some_and(expired) {
            self.machines.list_in_flight = None;
        }
        let is_urgent = self.machines.list_wanted_from.is_some_and(|from| now >= from);
        let interval = if is_urgent { URGENT_LIST_INTERVAL } else { LIST_INTERVAL };
        let due = self
            .machines
            .list_requested_at
            .is_none_or(|list_requested_at| now >= list_requested_at + interval);
        if self.machines.list_in_flight.is_none() && due {
            self.machines.list_requested_at = Some(now);
            self.machines.list_wanted_from = None;
            self.request_list(now, None, effects);
        }
        let (idle, given_up): (Vec<_>, Vec<_>) = self
            .machines
            .unconfirmed
            .iter()
            .filter(|(machine, (_, first))| self.is_idle(machine) || now > *first + MAX_ORDER_DELAY)
            .map(|(machine, _)| machine.clone())
            .partition(|machine| self.is_idle(machine));
        for machine in given_up {
            // Attempts run there, and the platform will not carry out the order any more.
            self.machines.unconfirmed.remove(&machine);
            self.machines.answered.push(machine);
        }
        let unconfirmed = self.machines.unconfirmed.iter().filter(|(machine, _)| {
            if !idle.contains(machine) {
                return false;
            }
            !self.machines.pending.contains(*machine) && self.machines.may_send(now, machine)
        });
        let unconfirmed: Vec<_> = unconfirmed.map(|(_, unconfirmed)| unconfirmed.clone()).collect();
        for (order, first) in unconfirmed {
            self.send_order(order, first, effects);
        }
    }

    fn request_list(&mut self, now: Time, page: Option<String>, effects: &mut Vec<Effect>) {
        let id = self.next_call_id();
        self.machines.list_in_flight = Some((id, now));
        effects.push(Effect::CallPlatform { id, order: MachineOrder::List { page } });
    }

    /// Queues an order; it is sent once it has been committed.
    pub(crate) fn queue_order(&mut self, order: MachineOrder) {
        self.machines.pending.extend(order.machine().cloned());
        self.machines.uncommitted.push(order);
    }

    /// Sends the orders that have just been committed.
    pub(crate) fn send_committed_orders(&mut self, now: Time, effects: &mut Vec<Effect>) {
        for order in std::mem::take(&mut self.machines.committing) {
            self.send_order(order, now, effects);
        }
    }

    /// Sends an order that was first sent at `first`.
    fn send_order(&mut self, order: MachineOrder, first: Time, effects: &mut Vec<Effect>) {
        let id = self.next_call_id();
        self.machines.pending.extend(order.machine().cloned());
        self.machines.in_flight.insert(id, (order.clone(), first));
        effects.push(Effect::CallPlatform { id, order });
    }

    /// Handles the answer to a list request or to an order, or its failure.
    pub(crate) fn on_platform_answered(
        &mut self,
        now: Time,
        id: CallId,
        result: Result<MachineReply, CallError>,
        effects: &mut Vec<Effect>,
    ) {
        if self.machines.list_in_flight.is_some_and(|(list_in_flight, _)| list_in_flight == id) {
            self.machines.list_in_flight = None;
            if let Ok(MachineReply::Listed { machines, next }) = result {
                // The platform may answer every page from its state at the first request.
                let sent = self.machines.list_requested_at.unwrap_or(now);
                self.on_listed(now, sent, machines, effects);
                self.machines.complete |= next.is_none();
                if next.is_some() {
                    self.request_list(now, next, effects);
                }
            }
            return;
        }
        let Some((order, first)) = self.machines.in_flight.remove(&id) else { return };
        let Some(machine) = order.machine().cloned() else { return };
        self.machines.pending.remove(&machine);
        self.machines.retry_at.insert(machine.clone(), now + ORDER_RETRY_DELAY);
        match result {
            Ok(MachineReply::Begun) => self.on_order_accepted(now, order, first, machine, effects),
            Ok(MachineReply::NotOfWave | MachineReply::Unknown) => {
                if let MachineOrder::Maintain { wave, .. } = order {
                    self.machines.maintenance_begun.push((wave, machine.clone()));
                }
                effects.push(note("machine-unknown", machine.to_string(), format!("{order:?}")));
                self.machines.unconfirmed.remove(&machine);
                self.machines.answered.push(machine);
            }
            Err(failure) => {
                effects.push(note("machine-unsure", machine.to_string(), failure.to_string()));
                self.machines.unconfirmed.entry(machine).or_insert((order, first));
            }
            Ok(refused) => {
                effects.push(note("machine-refused", machine.to_string(), format!("{refused:?}")));
                // An earlier request that was not answered may still be carried out.
                let unconfirmed = self.machines.unconfirmed.get(&machine).map(|(_, first)| *first);
                if unconfirmed.is_none_or(|first| now > first + MAX_ORDER_DELAY) {
                    self.machines.unconfirmed.remove(&machine);
                    self.machines.answered.push(machine);
                }
            }
        }
    }

    fn on_order_accepted(
        &mut self,
        now: Time,
        order: MachineOrder,
        first: Time,
        machine: Name,
        effects: &mut Vec<Effect>,
    ) {
        effects.push(note("machine-ordered", machine.to_string(), format!("{order:?}")));
        if self.machines.unconfirmed.remove(&machine).is_some() {
            // The earlier request may still be carried out after this one.
            self.machines.retry_at.insert(machine.clone(), first + MAX_ORDER_DELAY);
        }
        self.machines.answered.push(machine.clone());
        if let Some(incarnation) = self.latest_on_machine.get(&machine).cloned() {
            self.remove_or_verify(now, &incarnation);
        }
        self.machines.away.insert(machine.clone(), now);
        match order {
            MachineOrder::Maintain { wave, .. } => {
                self.machines.maintenance_begun.push((wave, machine))
            }
            MachineOrder::Move { pool, .. } => {
                if let Some(listed) = self.machines.listed.get_mut(&machine) {
                    listed.pool = pool;
                    listed.state = MachineState::Moving;
                }
            }
            MachineOrder::List { .. } => {}
        }
        self.needs_planning = true;
    }

    /// Removes the instance of a machine that an order took away. If attempts run there, the
    /// instance may have started after the order was carried out, so a renewal is sent to find out.
    fn remove_or_verify(&mut self, now: Time, incarnation: &Incarnation) {
        let Some(instance) = self.instances.get_mut(incarnation) else { return };
        if instance.attempts.is_empty() {
            self.instances.remove(incarnation);
            return;
        }
        instance.unresponsive = true;
        instance.request_report(now);
    }

    /// Handles a page of a list of machines that was requested at `sent`.
    fn on_listed(
        &mut self,
        now: Time,
        sent: Time,
        machines: Vec<Machine>,
        effects: &mut Vec<Effect>,
    ) {
        let (mut ended, mut doubtful) = (Vec::new(), Vec::new());
        for machine in machines {
            let away = self.machines.away.get(&machine.name);
            let ordered_since = away.is_some_and(|at| *at + MAX_LIST_AGE > sent);
            if ordered_since || self.machines.is_ordered(&machine.name) {
                continue;
            }
            if machine.state == MachineState::Up {
                self.machines.away.remove(&machine.name);
            }
            if let Some((incarnation, instance)) = self.instance_on(&machine.name) {
                let other = machine.instance.as_ref().is_some_and(|i| *i != incarnation.name);
                let down = machine.state != MachineState::Up;
                if (other || down) && instance.last_heard < sent {
                    let departure = match machine.state {
                        MachineState::Up => Departure::OtherListed,
                        state => Departure::MachineListed(state),
                    };
                    let is_conclusive = instance.is_list_conclusive(sent);
                    let shown = if is_conclusive { &mut ended } else { &mut doubtful };
                    shown.push((incarnation.clone(), departure));
                }
            }
            self.machines.listed.insert(machine.name.clone(), machine);
        }
        self.ask_doubtful(now, &doubtful);
        if ended.is_empty() {
            return;
        }
        let shown = ended.iter().chain(&doubtful);
        let crashed = shown.filter(|(_, departure)| !departure.is_planned(false));
        let crashed: Vec<_> = crashed.map(|(incarnation, _)| incarnation.clone()).collect();
        let lost_racks = self.lost_racks(now, &crashed);
        for (incarnation, departure) in ended {
            let instance = self.instances.get(&incarnation);
            let rack = instance.and_then(|instance| instance.announcement.as_ref()?.rack());
            let rack_lost = rack.is_some_and(|rack| lost_racks.contains(rack));
            let departure = if rack_lost { Departure::RackLost } else { departure };
            self.end_incarnation(now, &incarnation, departure, effects);
        }
    }

    /// Requests reports of the instances that a list shows as ended and that have been heard lately, and
    /// the next list soon.
    fn ask_doubtful(&mut self, now: Time, doubtful: &[(Incarnation, Departure)]) {
        for (incarnation, _) in doubtful {
            let Some(instance) = self.instances.get_mut(incarnation) else { continue };
            if !instance.attempts.is_empty() {
                self.machines.expect_crash(now + Instance::UNANSWERED_BEFORE_LIST);
            }
            // Until it answers, it gets no tasks, and its machine is not ordered away.
            if !instance.unresponsive {
                instance.unresponsive = true;
                instance.request_report(now);
                self.touched.insert(incarnation.clone());
            }
        }
    }

    /// Whether no attempt is known to run on a machine.
    fn is_idle(&self, machine: &Name) -> bool {
        self.instance_on(machine).is_none_or(|(_, instance)| instance.attempts.is_empty())
    }

    /// The instance on a machine, if known.
    pub(crate) fn instance_on(&self, machine: &Name) -> Option<(&Incarnation, &Instance)> {
        let latest = self.latest_on_machine.get(machine)?;
        self.instances.get_key_value(latest).map(|(latest, instance)| (latest, &**instance))
    }
}
