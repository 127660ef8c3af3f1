//! Which machine serves which pool.
//!
//! Demand comes in turns: one queue asks about five times its mean for some seconds, more than its
//! pool holds, while the others ask almost nothing. The pool whose turn it is borrows from those whose
//! turn is over, and machines that nobody needs wait in the spare pool, where they cost nothing.

use super::*;
use scheduler::note;

/// A pool as lending sees it; amounts are thousandths of a processor.
#[derive(Debug, Clone, Default, Display)]
#[display(
    "capacity {capacity}, used {used}, late {late}, backlog {backlog}, arriving {arriving}, idle {}",
    idle.len()
)]
pub(crate) struct Balance {
    /// What the pool has, with what is on its way there.
    pub(crate) capacity: u64,
    /// What its running tasks take that can be done in time.
    pub(crate) used: u64,
    /// What its running tasks take that come late.
    pub(crate) late: u64,
    /// Work that could start now and still be done in time, in thousandths of a processor times
    /// milliseconds.
    pub(crate) backlog: u64,
    /// Work that has come in within the last [`ONSET_WINDOW`], in the same unit.
    pub(crate) onset: u64,
    /// Work that has come in within the last [`ARRIVAL_WINDOW`], in the same unit.
    pub(crate) arriving: u64,
    /// What the pool keeps free for the beginning of its turn.
    pub(crate) reserve: u64,
    /// Machines that its jobs need so that tasks run apart from each other.
    pub(crate) apart: u32,
    /// What that many machines have.
    pub(crate) least: u64,
    /// Machines on which nothing runs, longest idle first, with what each has.
    pub(crate) idle: Vec<(Name, u64)>,
}

/// Time within which a backlog is to be worked off.
const HORIZON_MS: u64 = 1200;
/// Over which the beginning of a turn is told: long enough for a few jobs.
const ONSET_WINDOW: Duration = Duration::from_millis(700);
/// How many times what is in use must come in to be taken for the beginning of a turn.
const ONSET_FACTOR: u64 = 2;
/// Over which arriving work is measured within a turn: short against it.
const ARRIVAL_WINDOW: Duration = Duration::from_millis(2000);
/// Share of what is used, in percent, that a pool keeps free for what comes next.
const HEADROOM_PERCENT: u64 = 15;
/// What a pool keeps free which may have its turn next, in thousandths of a mean pool.
const RESERVE_PERMILLE: u64 = 200;
/// What a pool keeps free whose turn was a short while ago, in thousandths of a mean pool.
const RESERVE_AFTER_TURN_PERMILLE: u64 = 100;
/// What is in use in a pool when it has its turn, in thousandths of a mean pool.
const TURN_PERMILLE: u64 = 800;
/// How long a turn is taken to be the last one of its pool.
const TURN_MEMORY: Duration = Duration::from_secs(16);
/// How long a machine is idle before it is parked; a move costs as much as it does in this time.
const PARK_AFTER: Duration = Duration::from_millis(1200);
/// How long a machine is idle before it is lent.
const LEND_AFTER: Duration = Duration::from_millis(100);
/// Machines that a pool gets at most for tasks that the policy of their queue has refused all it has.
const MACHINES_WHILE_REFUSED: u64 = 6;
/// Moves under way at once.
const MOVES_AT_ONCE: usize = 24;

impl Balance {
    /// What the pool needs.
    pub(crate) fn need(&self) -> u64 {
        let working = self.used + self.used * HEADROOM_PERCENT / 100;
        let onset = self.onset / ONSET_WINDOW.as_millis() as u64;
        let arriving = self.arriving / ARRIVAL_WINDOW.as_millis() as u64;
        let arriving = if onset > ONSET_FACTOR * self.used { onset } else { arriving };
        let working = working.max(arriving) + self.backlog / HORIZON_MS;
        working.max(self.used + self.reserve).max(self.least)
    }

    /// What the pool lacks.
    pub(crate) fn lacks(&self) -> u64 {
        self.need().saturating_sub(self.capacity)
    }

    /// Whether work that can be done in time finds no room.
    fn is_overrun(&self) -> bool {
        self.used + self.backlog / HORIZON_MS > self.capacity
    }

    fn can_spare(&self, machine: u64) -> bool {
        self.capacity >= self.need() + machine
    }
}

/// Machines to move, and where to. `parked` are those in the spare pool; `park` says whether an idle
/// machine may go there.
pub(crate) fn transfers(
    pools: &mut BTreeMap<Name, Balance>,
    parked: &mut Vec<(Name, u64)>,
    spare: Option<&Name>,
    park: impl Fn(&Name) -> bool,
) -> Vec<(Name, Name)> {
    let mut moves = Vec::new();
    let mut lacking: Vec<_> =
        pools.iter().map(|(name, pool)| (pool.lacks(), name.clone())).collect();
    lacking.sort_by(|a, b| b.cmp(a));
    for (_, borrower) in lacking {
        while pools[&borrower].lacks() > 0 {
            let Some((machine, size)) = lend(pools, &borrower).or_else(|| parked.pop()) else {
                break;
            };
            if let Some(pool) = pools.get_mut(&borrower) {
                pool.capacity += size;
            }
            moves.push((machine, borrower.clone()));
        }
    }
    let Some(spare) = spare else { return moves };
    for pool in pools.values_mut() {
        while let Some(position) = pool.idle.iter().position(|(machine, _)| park(machine)) {
            let (machine, size) = pool.idle.remove(position);
            if pool.can_spare(size) {
                pool.capacity -= size;
                moves.push((machine, spare.clone()));
            }
        }
    }
    moves
}

/// Takes an idle machine from the pool that can spare most.
fn lend(pools: &mut BTreeMap<Name, Balance>, borrower: &Name) -> Option<(Name, u64)> {
    let lenders = pools.iter_mut().filter(|(name, pool)| {
        *name != borrower && pool.idle.first().is_some_and(|(_, size)| pool.can_spare(*size))
    });
    let (_, lender) = lenders.max_by_key(|(_, pool)| pool.capacity - pool.need())?;
    let (machine, size) = lender.idle.remove(0);
    lender.capacity -= size;
    Some((machine, size))
}

impl Scheduler {
    /// Between two looks at the pools.
    const LEND_INTERVAL: Duration = Duration::from_millis(100);

    /// Between two reports of the pools.
    const REPORT_INTERVAL: Duration = Duration::from_millis(1000);

    /// Moves machines between pools where it helps.
    pub(crate) fn lend(
        &mut self,
        now: Time,
        unix: UnixMs,
        table: &Table,
        effects: &mut Vec<Effect>,
    ) {
        if !self.machines.known || now < self.lent + Self::LEND_INTERVAL {
            return;
        }
        self.lent = now;
        for instance in self.instances.values_mut() {
            if !instance.attempts.is_empty() {
                instance.busy = now;
            }
        }
        let Some(config) = &table.config else { return };
        let mut pools = self.balances(now, unix, table, config);
        self.reserve(now, &mut pools);
        if now >= self.reported + Self::REPORT_INTERVAL {
            self.reported = now;
            effects.extend(
                pools.iter().map(|(name, pool)| note("pool", name.to_string(), pool.to_string())),
            );
        }
        let spare = config.pools.iter().find(|(_, pool)| pool.spare).map(|(name, _)| name.clone());
        let mut parked = self.parked(now, spare.as_ref());
        let idle_since: BTreeMap<_, _> = self
            .instances
            .values()
            .filter_map(|instance| {
                Some((instance.announcement.as_ref()?.machine.clone(), instance.busy))
            })
            .collect();
        let park = |machine: &Name| {
            idle_since.get(machine).is_some_and(|since| now >= *since + PARK_AFTER)
        };
        let mut moves = transfers(&mut pools, &mut parked, spare.as_ref(), park);
        moves.truncate(MOVES_AT_ONCE);
        let lacking = pools.iter().filter(|(_, pool)| pool.is_overrun());
        self.lacking = lacking.map(|(name, _)| name.clone()).collect();
        for (machine, pool) in moves {
            if let Some((incarnation, _)) = self.on_machine_named(&machine) {
                let incarnation = incarnation.clone();
                if let Some(instance) = self.instances.get_mut(&incarnation) {
                    instance.evacuating = true;
                }
            }
            self.order_machine(MachineOrder::Move { machine, pool });
        }
    }

    fn balances(
        &self,
        now: Time,
        unix: UnixMs,
        table: &Table,
        config: &Config,
    ) -> BTreeMap<Name, Balance> {
        let used: BTreeSet<_> = config.queues.values().map(|queue| queue.pool.clone()).collect();
        let pools = config.pools.iter().filter(|(name, pool)| !pool.spare && used.contains(*name));
        let mut pools: BTreeMap<Name, Balance> =
            pools.map(|(name, _)| (name.clone(), Balance::default())).collect();
        let late = self.weigh(unix, table, config, &mut pools);
        let mut idle = Vec::new();
        for instance in self.instances.values() {
            let Some(announcement) = &instance.announcement else { continue };
            let Some(pool) = pools.get_mut(&announcement.pool) else { continue };
            let size = announcement.capacity.millicores;
            let in_time = instance.attempts.iter().filter(|(task, _)| !late.contains(&task.job));
            let in_time = in_time.map(|(_, attempt)| attempt.reserved.millicores).sum::<u64>();
            pool.used += in_time;
            pool.late += instance.used.millicores.saturating_sub(in_time);
            if !instance.is_usable(now) {
                continue;
            }
            pool.capacity += size;
            let machine = &announcement.machine;
            let free = instance.attempts.is_empty() && now >= instance.busy + LEND_AFTER;
            if free
                && self.machines.may_order(now, machine)
                && !self.machines.away.contains_key(machine)
            {
                idle.push((instance.busy, announcement.pool.clone(), machine.clone(), size));
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
            // Its instance may have announced itself since the list was read.
            let coming = away && !self.serves(now, name, &machine.pool);
            if let Some(pool) = pools.get_mut(&machine.pool).filter(|_| coming) {
                pool.capacity += machine.capacity.millicores;
            }
        }
        for order in self.machines.orders() {
            let MachineOrder::Move { machine, pool } = order else { continue };
            let size = self.machines.listed.get(machine).map_or(0, |m| m.capacity.millicores);
            if let Some(pool) = pools.get_mut(pool) {
                pool.capacity += size;
            }
        }
        pools
    }

    /// Whether the instance on a machine is of `pool`, and usable.
    fn serves(&self, now: Time, machine: &Name, pool: &Name) -> bool {
        self.on_machine_named(machine).is_some_and(|(_, instance)| {
            let of_pool = instance.announcement.as_ref().is_some_and(|a| a.pool == *pool);
            of_pool && instance.is_usable(now)
        })
    }

    /// Adds up the work of every job that can still be done in time, and gives the others.
    fn weigh(
        &self,
        unix: UnixMs,
        table: &Table,
        config: &Config,
        pools: &mut BTreeMap<Name, Balance>,
    ) -> BTreeSet<JobId> {
        let mut late = BTreeSet::new();
        let sizes = self.machines.listed.values().map(|machine| machine.capacity);
        let largest = sizes.fold(Resources::default(), Resources::max);
        for due in Due::all(table, config, |_| Some(unix)) {
            let Due { record, round, queue, .. } = due;
            let Some(pool) = pools.get_mut(&queue.pool) else { continue };
            if !self.is_in_time(unix, due) {
                late.insert(due.job);
                continue;
            }
            pool.backlog = pool.backlog.saturating_add(round.waiting_work(&record.spec, largest));
            pool.apart = pool.apart.max(round.machines(&record.spec));
            let age = Duration::from_millis(unix.saturating_sub(due.at));
            let fits = record.spec.groups.iter().all(|group| group.reserved().fits(largest));
            let work = if fits { record.spec.work() } else { 0 };
            let within = |window| if age <= window { work } else { 0 };
            pool.onset = pool.onset.saturating_add(within(ONSET_WINDOW));
            pool.arriving = pool.arriving.saturating_add(within(ARRIVAL_WINDOW));
        }
        late
    }

    /// Sets what each pool keeps free: less where its turn was a short while ago.
    fn reserve(&mut self, now: Time, pools: &mut BTreeMap<Name, Balance>) {
        let sizes = self.machines.listed.values().map(|machine| machine.capacity.millicores);
        let all = sizes.sum::<u64>();
        // The spare pool counts as one more.
        let mean = all / (pools.len() as u64 + 1);
        let machine = all / (self.machines.listed.len() as u64).max(1);
        for (name, pool) in pools {
            if pool.used > mean * TURN_PERMILLE / 1000 {
                self.turns.insert(name.clone(), now);
            }
            let turn = self.turns.get(name);
            let recent = turn.is_some_and(|turn| now < *turn + TURN_MEMORY);
            let permille = if recent { RESERVE_AFTER_TURN_PERMILLE } else { RESERVE_PERMILLE };
            pool.reserve = mean * permille / 1000;
            pool.least = u64::from(pool.apart) * machine;
            if self.policy.has_refused(name) {
                let most = MACHINES_WHILE_REFUSED * machine;
                pool.least = pool.least.max((pool.capacity + machine).min(most));
            }
        }
    }

    /// Machines in the spare pool that may be moved.
    fn parked(&self, now: Time, spare: Option<&Name>) -> Vec<(Name, u64)> {
        let listed = self.machines.listed.iter().filter(|(name, machine)| {
            Some(&machine.pool) == spare
                && machine.state == MachineState::Up
                && !self.machines.away.contains_key(*name)
                && self.machines.may_order(now, name)
        });
        listed.map(|(name, machine)| (name.clone(), machine.capacity.millicores)).collect()
    }
}
