//! Which machine serves which pool.
//!
//! Demand comes in turns: one queue asks about five times its mean for some seconds, more than its
//! pool holds, while the others ask almost nothing. The pool whose turn it is borrows from those whose
//! turn is over, and machines that nobody needs wait in the spare pool, where they cost nothing.

use super::*;

/// A pool as lending sees it; amounts are thousandths of a processor.
#[derive(Debug, Clone, Default)]
pub(crate) struct Balance {
    /// What the pool has, with what is on its way there.
    pub(crate) capacity: u64,
    /// What its running tasks take.
    pub(crate) used: u64,
    /// Work that could start now and still be done in time, in thousandths of a processor times
    /// milliseconds.
    pub(crate) backlog: u64,
    /// Machines on which nothing runs, longest idle first, with what each has.
    pub(crate) idle: Vec<(Name, u64)>,
}

/// Time within which a backlog is to be worked off.
const HORIZON_MS: u64 = 1200;
/// Share of what is used, in percent, that a pool keeps free for what comes next.
const HEADROOM_PERCENT: u64 = 15;
/// What every pool keeps free for the beginning of its turn, about three machines.
const RESERVE_MILLICORES: u64 = 190_000;
/// How long a machine is idle before it is parked; a move costs as much as it does in this time.
const PARK_AFTER: Duration = Duration::from_millis(1200);
/// How long a machine is idle before it is lent.
const LEND_AFTER: Duration = Duration::from_millis(150);
/// Moves under way at once.
const MOVES_AT_ONCE: usize = 16;

impl Balance {
    /// What the pool needs.
    pub(crate) fn need(&self) -> u64 {
        let working = self.used + self.used * HEADROOM_PERCENT / 100;
        (working + self.backlog / HORIZON_MS).max(self.used + RESERVE_MILLICORES)
    }

    fn lacks(&self) -> u64 {
        self.need().saturating_sub(self.capacity)
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

impl Owner {
    /// Between two looks at the pools.
    const LEND_INTERVAL: Duration = Duration::from_millis(100);

    /// Moves machines between pools where it helps.
    pub(crate) fn lend(&mut self, now: Time, unix: Unix, table: &Table, effects: &mut Vec<Effect>) {
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
        for (machine, pool) in moves {
            if let Some((incarnation, _)) = self.on_machine_named(&machine) {
                let incarnation = incarnation.clone();
                if let Some(instance) = self.instances.get_mut(&incarnation) {
                    instance.emptying = true;
                }
            }
            self.order_machine(MachineOrder::Move { machine, pool }, effects);
        }
    }

    fn balances(
        &self,
        now: Time,
        unix: Unix,
        table: &Table,
        config: &Config,
    ) -> BTreeMap<Name, Balance> {
        let used: std::collections::BTreeSet<_> =
            config.queues.iter().map(|queue| queue.pool.clone()).collect();
        let pools = config.pools.iter().filter(|(name, pool)| !pool.spare && used.contains(*name));
        let mut pools: BTreeMap<Name, Balance> =
            pools.map(|(name, _)| (name.clone(), Balance::default())).collect();
        let mut idle = Vec::new();
        for instance in self.instances.values() {
            let Some(announcement) = &instance.announcement else { continue };
            let Some(pool) = pools.get_mut(&announcement.pool) else { continue };
            let size = announcement.capacity.millicores;
            pool.used += instance.used.millicores;
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
            let coming = machine.state == MachineState::Moving
                || machine.state == MachineState::Maintained
                || self.machines.away.contains_key(name);
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
        for demand in self.demands(unix, table, config) {
            if let Some(pool) = pools.get_mut(&demand.queue.pool) {
                pool.backlog += demand.backlog();
            }
        }
        pools
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
