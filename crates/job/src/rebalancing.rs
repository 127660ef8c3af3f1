//! Moves machines between pools as demand changes.
//!
//! Demand comes in bursts: one queue asks for about five times its mean for some seconds, more than
//! its pool holds, while the others ask for almost nothing. The pool with the burst gets idle
//! machines of the other pools. A machine takes seconds to get there, so a pool asks for what it
//! will lack by then. Machines that have been idle for long go to the spare pool, where they cost
//! nothing.

use super::*;
use scheduler::note;

/// Supply and demand of a pool, in millicores unless noted.
#[derive(Debug, Clone, Default, Display)]
#[display(
    "capacity {capacity}, used {used}, late {late}, backlog {backlog}, arriving {arriving}, idle {}, \
     ready {ready}, continuous {lasting}, instances {instances}",
    idle.len()
)]
pub(crate) struct PoolBalance {
    /// Capacity of its usable instances and of the machines that are moving or returning to it.
    pub(crate) capacity: u64,
    /// Capacity of its usable instances.
    pub(crate) ready: u64,
    /// Number of usable instances.
    pub(crate) instances: u32,
    /// Capacity of the machines that are on their way, times the milliseconds that each has been.
    pub(crate) underway: u64,
    /// Reserved by running tasks of jobs that can still meet their objective.
    pub(crate) used: u64,
    /// Reserved by running tasks of jobs that can no longer meet their objective.
    pub(crate) late: u64,
    /// Work that is ready to start, of jobs that can still meet their objective, in
    /// millicore-milliseconds.
    pub(crate) backlog: u64,
    /// The same of jobs that can no longer meet their objective.
    pub(crate) late_backlog: u64,
    /// The same of jobs that exceed the agreed rate of their organisation. They get idle machines and
    /// no share of a full pool, so that they delay nobody.
    pub(crate) surplus_backlog: u64,
    /// Rate at which work arrives.
    pub(crate) arriving: u64,
    /// Rate at which work is expected to arrive when a machine ordered now starts to work.
    pub(crate) expected: u64,
    /// Reserved by continuous tasks.
    pub(crate) lasting: u64,
    /// Time that a machine takes to get into the pool, in milliseconds.
    pub(crate) move_ms: u64,
    /// Minimum number of machines, so that continuous tasks whose number per instance is limited
    /// can be spread, see [`Round::min_machines`], and late jobs end.
    pub(crate) min_machines: u32,
    /// Lower bound of the capacity that the pool needs: that of `min_machines` machines, or more
    /// while admission decisions leave no instance of the pool for some group.
    pub(crate) min_capacity: u64,
    /// Number of jobs with waiting tasks that must not run beside others.
    pub(crate) suspects: u32,
    /// Number of usable instances with attempts.
    pub(crate) busy: u32,
    /// Idle machines with their capacity, longest idle first.
    pub(crate) idle: Vec<(Name, u64)>,
}

/// Time within which the backlog is to be worked off.
const BACKLOG_HORIZON_MS: u64 = 1200;
/// Time within which idle machines of other pools are to work off the backlog of late jobs.
const LATE_BACKLOG_HORIZON_MS: u64 = 2400;
/// Share of an overloaded pool that late work may take, in thousandths, so that every accepted job
/// ends however long the overload lasts.
const LATE_SHARE_PERMILLE: u64 = 100;
/// Idle time after which a machine may go to a pool that needs it.
const MOVE_IDLE_TIME: Duration = Duration::from_millis(100);
/// Maximum number of machines provided to a pool for tasks whose admission policy denies all of its
/// instances.
const MAX_MACHINES_WHILE_DENIED: u64 = 6;

impl PoolBalance {
    /// Capacity that the pool should have.
    pub(crate) fn need(&self) -> u64 {
        let working = self.used.max(self.expected + self.lasting);
        (working + self.expected_backlog() / BACKLOG_HORIZON_MS).max(self.min_capacity)
    }

    /// Backlog by the time at which a machine that is ordered now starts to work.
    fn expected_backlog(&self) -> u64 {
        let serving = self.ready.saturating_sub(self.late + self.lasting);
        let worked_off = serving * self.move_ms + self.underway;
        let arriving = (self.arriving + self.expected) / 2;
        (self.backlog + arriving * self.move_ms).saturating_sub(worked_off)
    }

    /// Capacity that is not reserved.
    pub(crate) fn free(&self) -> u64 {
        self.ready.saturating_sub(self.used + self.late)
    }

    /// Capacity of the idle machines.
    pub(crate) fn idle_capacity(&self) -> u64 {
        self.idle.iter().map(|(_, size)| size).sum()
    }

    /// Capacity for the work that is ready to start.
    pub(crate) fn waiting(&self) -> u64 {
        self.backlog / BACKLOG_HORIZON_MS
    }

    /// Missing capacity.
    pub(crate) fn shortage(&self) -> u64 {
        self.need().saturating_sub(self.capacity)
    }

    /// Capacity that late work lacks beside work that can be in time.
    fn late_shortage(&self) -> u64 {
        let backlog = self.late_backlog + self.surplus_backlog;
        let late = self.late + backlog / LATE_BACKLOG_HORIZON_MS;
        (self.need().max(self.demand()) + late).saturating_sub(self.capacity)
    }

    /// Capacity for the work that runs or is ready now.
    fn demand(&self) -> u64 {
        self.used + self.waiting()
    }

    /// Whether its usable capacity is too small for the work that can still meet its objective.
    fn is_overloaded(&self) -> bool {
        self.demand() > self.ready
    }

    /// Capacity that late work may still take while the pool is overloaded.
    fn room_for_late_work(&self) -> u64 {
        (self.ready / 1000 * LATE_SHARE_PERMILLE).saturating_sub(self.late)
    }

    /// Whether the pool can give away a machine of this capacity.
    pub(crate) fn can_spare(&self, machine: u64) -> bool {
        self.capacity >= self.need().max(self.demand()) + machine
    }
}

/// Chooses the machines to move, with their new pools. `parked` are the machines in the spare pool;
/// `park` tells whether an idle machine has been idle long enough to go there.
pub(crate) fn plan_moves(
    pools: &mut BTreeMap<Name, PoolBalance>,
    parked: &mut Vec<(Name, u64)>,
    spare: Option<&Name>,
    park: impl Fn(&Name) -> bool,
) -> Vec<(Name, Name)> {
    let mut moves = Vec::new();
    let mut by_shortage: Vec<_> =
        pools.iter().map(|(name, pool)| (pool.shortage(), name.clone())).collect();
    by_shortage.sort_by(|a, b| b.cmp(a));
    for (_, receiver) in by_shortage {
        while pools[&receiver].shortage() > 0 {
            let Some((machine, size)) =
                take_surplus_machine(pools, &receiver).or_else(|| parked.pop())
            else {
                break;
            };
            if let Some(pool) = pools.get_mut(&receiver) {
                pool.capacity += size;
            }
            moves.push((machine, receiver.clone()));
        }
    }
    moves.extend(move_for_late_work(pools));
    let Some(spare) = spare else { return moves };
    for pool in pools.values_mut() {
        while pool.idle.first().is_some_and(|(machine, _)| park(machine)) {
            let (machine, size) = pool.idle.remove(0);
            if pool.can_spare(size) {
                pool.capacity -= size;
                moves.push((machine, spare.clone()));
            }
        }
    }
    moves
}

/// Moves idle machines that no pool needs for work in time to pools with late work. Machines of the
/// spare pool stay there: late work is done with what the pools have.
fn move_for_late_work(pools: &mut BTreeMap<Name, PoolBalance>) -> Vec<(Name, Name)> {
    let mut moves = Vec::new();
    let mut by_shortage: Vec<_> =
        pools.iter().map(|(name, pool)| (pool.late_shortage(), name.clone())).collect();
    by_shortage.sort_by(|a, b| b.cmp(a));
    for (_, receiver) in by_shortage {
        while pools[&receiver].late_shortage() > 0 {
            let Some((machine, size)) = take_surplus_machine(pools, &receiver) else { break };
            if let Some(pool) = pools.get_mut(&receiver) {
                pool.capacity += size;
            }
            moves.push((machine, receiver.clone()));
        }
    }
    moves
}

/// Takes an idle machine from the pool with the largest surplus.
fn take_surplus_machine(
    pools: &mut BTreeMap<Name, PoolBalance>,
    receiver: &Name,
) -> Option<(Name, u64)> {
    let donors = pools.iter_mut().filter(|(name, pool)| {
        *name != receiver && pool.idle.first().is_some_and(|(_, size)| pool.can_spare(*size))
    });
    let (_, donor) = donors.max_by_key(|(_, pool)| pool.capacity - pool.need())?;
    let (machine, size) = donor.idle.remove(0);
    donor.capacity -= size;
    Some((machine, size))
}

impl Scheduler {
    /// Minimum interval between passes of [`Self::rebalance`].
    const REBALANCE_INTERVAL: Duration = Duration::from_millis(100);
    /// For each hundred instances, passes are at least this far apart, since each looks at all of them.
    const REBALANCE_INTERVAL_PER_HUNDRED: Duration = Duration::from_millis(20);

    /// Lag of the leader from which on late work has only its share of every pool. A short task can lose
    /// this much at its start and at its end and still be in time.
    const MAX_LAG: Duration = Duration::from_millis(50);

    /// Interval between log entries about each pool.
    const REPORT_INTERVAL: Duration = Duration::from_millis(1000);

    /// Moves machines between pools to meet demand.
    pub(crate) fn rebalance(
        &mut self,
        now: Time,
        unix: UnixMs,
        table: &Table,
        effects: &mut Vec<Effect>,
    ) {
        let by_size = Self::REBALANCE_INTERVAL_PER_HUNDRED * self.hundreds_of_instances();
        let interval = by_size.max(Self::REBALANCE_INTERVAL);
        if !self.machines.complete || now < self.last_rebalance + interval {
            return;
        }
        let since = std::mem::replace(&mut self.last_rebalance, now);
        for instance in self.instances.values_mut() {
            if !instance.attempts.is_empty() {
                instance.last_busy = now;
            }
        }
        let Some(config) = &table.config else { return };
        self.machines.update_largest();
        self.record_rounds(now, unix, table, since);
        let (mut pools, late) = self.balances(now, unix, table, config);
        self.set_min_capacities(&mut pools);
        let may_order = self.machines.may_send_any(now);
        let held = pools.keys().filter(|pool| self.holds_late_work(pool)).cloned().collect();
        self.waits.update_pools(now, may_order, &held, &pools);
        if now >= self.last_report + Self::REPORT_INTERVAL {
            self.last_report = now;
            effects.extend(pools.iter().map(|(name, pool)| {
                note("pool", name.to_string(), format!("{pool}{}", self.waits.shares(name)))
            }));
        }
        let spare = config.pools.iter().find(|(_, pool)| pool.spare).map(|(name, _)| name.clone());
        let mut parked = self.parked_machines(now, spare.as_ref());
        let park = |machine: &Name| {
            let idle_long =
                |instance: &Instance| now >= instance.last_busy + self.bounds.parking_idle_time;
            self.uses(Mechanism::Parking)
                && self.instance_on(machine).is_some_and(|(_, instance)| idle_long(instance))
        };
        let mut moves = plan_moves(&mut pools, &mut parked, spare.as_ref(), park);
        let rate = self.bounds.machine_orders_per_second;
        moves.truncate(self.order_budget.take(now, rate, moves.len()));
        let is_behind = self.lag > Self::MAX_LAG;
        let overloaded = pools.iter().filter(|(_, pool)| is_behind || pool.is_overloaded());
        self.late_room =
            overloaded.map(|(name, pool)| (name.clone(), pool.room_for_late_work())).collect();
        self.lend_machines(now, table, config, &mut pools, &late, effects);
        for (machine, pool) in moves {
            if let Some((incarnation, _)) = self.instance_on(&machine) {
                let incarnation = incarnation.clone();
                if let Some(instance) = self.instances.get_mut(&incarnation) {
                    instance.draining = true;
                }
            }
            self.queue_order(MachineOrder::Move { machine, pool });
        }
    }

    /// Supply and demand of every pool that a queue uses, except the spare pool, and the jobs that can
    /// no longer meet their objective.
    fn balances(
        &self,
        now: Time,
        unix: UnixMs,
        table: &Table,
        config: &Config,
    ) -> (BTreeMap<Name, PoolBalance>, BTreeSet<JobId>) {
        let used: BTreeSet<_> = config.queues.values().map(|queue| queue.pool.clone()).collect();
        let pools = config.pools.iter().filter(|(name, pool)| !pool.spare && used.contains(*name));
        let mut pools: BTreeMap<Name, PoolBalance> =
            pools.map(|(name, _)| (name.clone(), self.empty_balance())).collect();
        let late = self.add_up_demand(unix, table, config, &mut pools);
        for (name, pool) in &mut pools {
            let arrivals = self.arrivals.get(name).filter(|_| self.uses(Mechanism::ArrivalRate));
            pool.arriving = arrivals.map_or(0, |arrivals| arrivals.rate(now));
            let ahead = Duration::from_millis(pool.move_ms);
            pool.expected = arrivals.map_or(0, |arrivals| arrivals.expected_rate(now, ahead));
        }
        let mut idle = Vec::new();
        for instance in self.instances.values() {
            let Some(announcement) = &instance.announcement else { continue };
            let Some(pool) = pools.get_mut(&announcement.pool) else { continue };
            let size = announcement.capacity.millicores;
            let in_time = instance.attempts.iter().filter(|(task, _)| !late.contains(&task.job));
            let in_time = in_time.map(|(_, attempt)| attempt.reserved.millicores).sum::<u64>();
            pool.used += in_time;
            let lasting = instance.attempts.values().filter(|attempt| attempt.long_lived);
            pool.lasting += lasting.map(|attempt| attempt.reserved.millicores).sum::<u64>();
            pool.late += instance.used.millicores.saturating_sub(in_time);
            if !instance.is_sound(now) {
                continue;
            }
            pool.capacity += size;
            pool.ready += if instance.lending { 0 } else { size };
            pool.instances += 1;
            pool.busy += u32::from(!instance.attempts.is_empty());
            let machine = &announcement.machine;
            let settled = instance.lending || now >= instance.last_busy + MOVE_IDLE_TIME;
            let free = instance.attempts.is_empty() && settled;
            if free
                && self.machines.may_order(now, machine)
                && !self.machines.away.contains_key(machine)
            {
                idle.push((instance.last_busy, announcement.pool.clone(), machine.clone(), size));
            }
        }
        idle.sort();
        for (_, pool, machine, size) in idle {
            if let Some(pool) = pools.get_mut(&pool) {
                pool.idle.push((machine, size));
            }
        }
        for (name, machine) in &self.machines.listed {
            let away = machine.state == MachineState::Moving
                || machine.state == MachineState::Maintained
                || self.machines.away.contains_key(name);
            // Its instance may have announced itself after the machines were listed, and is then
            // counted already.
            let coming = away && !self.is_usable_in(now, name, &machine.pool);
            if let Some(pool) = pools.get_mut(&machine.pool).filter(|_| coming) {
                pool.capacity += machine.capacity.millicores;
                let left_at = self.machines.away.get(name).copied().unwrap_or(now);
                let elapsed = now.saturating_sub(left_at).as_millis() as u64;
                pool.underway += machine.capacity.millicores * elapsed;
            }
        }
        for order in self.machines.orders() {
            let MachineOrder::Move { machine, pool } = order else { continue };
            let size = self.machines.listed.get(machine).map_or(0, |m| m.capacity.millicores);
            if let Some(pool) = pools.get_mut(pool) {
                pool.capacity += size;
            }
        }
        (pools, late)
    }

    /// Balance of a pool without supply and demand.
    fn empty_balance(&self) -> PoolBalance {
        let move_ms = self.machines.move_time().as_millis() as u64;
        PoolBalance { move_ms, ..PoolBalance::default() }
    }

    /// Whether the instance on a machine belongs to `pool` and is usable.
    fn is_usable_in(&self, now: Time, machine: &Name, pool: &Name) -> bool {
        self.instance_on(machine).is_some_and(|(_, instance)| {
            let of_pool = instance.announcement.as_ref().is_some_and(|a| a.pool == *pool);
            of_pool && instance.is_sound(now)
        })
    }

    /// Adds up the work of all jobs that can still meet their objective, and returns the others.
    fn add_up_demand(
        &self,
        unix: UnixMs,
        table: &Table,
        config: &Config,
        pools: &mut BTreeMap<Name, PoolBalance>,
    ) -> BTreeSet<JobId> {
        let mut late = BTreeSet::new();
        let largest = self.machines.largest;
        for due in DueRound::all(table, config, |_| Some(unix)) {
            let DueRound { record, round, queue, .. } = due;
            let Some(pool) = pools.get_mut(&queue.pool) else { continue };
            let is_ready = |(_, group): (_, &Group)| round.dependencies_done(group);
            let waits = record.is_suspect() && due.waiting_groups().any(is_ready);
            pool.suspects += u32::from(waits);
            if record.surplus || !self.can_meet_objective(unix, due) {
                late.insert(due.job);
                let machines = due.waiting_groups().map(|(_, group)| group.machines(largest));
                pool.min_machines = pool.min_machines.max(machines.max().unwrap_or_default());
                let ready = round.ready_work(&record.spec, largest);
                let backlog =
                    if record.surplus { &mut pool.surplus_backlog } else { &mut pool.late_backlog };
                *backlog = backlog.saturating_add(ready);
                continue;
            }
            pool.backlog = pool.backlog.saturating_add(round.ready_work(&record.spec, largest));
            let spare = u32::from(self.uses(Mechanism::SpareInstance));
            let min_machines = round.min_machines(&record.spec).map_or(0, |least| least + spare);
            pool.min_machines = pool.min_machines.max(min_machines);
        }
        late
    }

    /// Records that the work of a round of a job has arrived for its pool.
    pub(crate) fn record_arrival(&mut self, now: Time, table: &Table, record: &JobRecord) {
        let queue = table.config.as_ref().and_then(|config| config.queue(&record.queue));
        let Some(queue) = queue.filter(|_| !record.surplus) else { return };
        let largest = self.machines.largest;
        if record.spec.groups.iter().all(|group| group.reserved().fits(largest)) {
            let arrivals = self.arrivals.entry(queue.pool.clone()).or_default();
            arrivals.record(now, record.spec.work());
        }
    }

    /// Records the rounds of recurring jobs that have become due since the last pass.
    fn record_rounds(&mut self, now: Time, unix: UnixMs, table: &Table, since: Time) {
        let Some(config) = &table.config else { return };
        self.recurring_jobs.retain(|job| table.live.contains(job));
        let recurring = std::mem::take(&mut self.recurring_jobs);
        let newest = Duration::from_millis(unix).saturating_sub(now.saturating_sub(since));
        let is_new = |due: &DueRound| Duration::from_millis(due.at) > newest;
        for due in DueRound::of(&recurring, table, config, |_| Some(unix)).filter(is_new) {
            self.record_arrival(now, table, due.record);
        }
        self.recurring_jobs = recurring;
    }

    /// Sets the minimum capacity of each pool.
    fn set_min_capacities(&self, pools: &mut BTreeMap<Name, PoolBalance>) {
        let sizes = self.machines.listed.values().map(|machine| machine.capacity.millicores);
        let total = sizes.sum::<u64>();
        let machine = total / (self.machines.listed.len() as u64).max(1);
        let late_backlog = pools.values().map(|pool| pool.late_backlog).sum::<u64>();
        for (name, pool) in pools {
            pool.add_room_for_suspects();
            let wanted = pool.late + pool.late_backlog / LATE_BACKLOG_HORIZON_MS;
            let share = u128::from(total / 1000 * LATE_SHARE_PERMILLE)
                * u128::from(pool.late_backlog)
                / u128::from(late_backlog.max(1));
            let for_late_work = wanted.min(share as u64);
            pool.min_capacity = u64::from(pool.min_machines) * machine;
            pool.min_capacity = pool.min_capacity.max(pool.lasting + for_late_work);
            if self.admissions.denies_whole_pool(name) {
                let limit = MAX_MACHINES_WHILE_DENIED * machine;
                pool.min_capacity = pool.min_capacity.max((pool.capacity + machine).min(limit));
            }
        }
    }

    /// Machines in the spare pool that can be moved.
    fn parked_machines(&self, now: Time, spare: Option<&Name>) -> Vec<(Name, u64)> {
        let listed = self.machines.listed.iter().filter(|(name, machine)| {
            Some(&machine.pool) == spare
                && machine.state == MachineState::Up
                && !self.machines.away.contains_key(*name)
                && self.machines.may_order(now, name)
        });
        listed.map(|(name, machine)| (name.clone(), machine.capacity.millicores)).collect()
    }
}
