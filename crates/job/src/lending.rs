//! Chooses busy machines that go to another pool as soon as their tasks have ended.
//!
//! The load is a burst that starts while the pools of earlier bursts are full of late work. None of
//! their machines becomes idle, since every free place is filled at once, although their pools do
//! not need them for work that can still be in time. A chosen machine gets no new tasks, so it
//! becomes idle within the run time of a task. Late tasks that save a checkpoint when they are
//! stopped need not be waited for.

use super::*;
use rebalancing::PoolBalance;

/// A busy machine that could go to another pool.
#[derive(Debug, Clone)]
pub(crate) struct BusyMachine {
    pub(crate) machine: Name,
    pub(crate) pool: Name,
    /// Its capacity, in millicores.
    pub(crate) size: u64,
    /// Estimated time until its tasks have ended.
    pub(crate) free_after: Duration,
}

/// A machine is lent only if its tasks end within this multiple of the time of a move: by the time
/// that it could work, the burst would be over.
const MAX_WAIT_IN_MOVES: u32 = 2;
/// A late task is stopped only if it would run for longer than this. A stop and the restart from the
/// checkpoint take about as long.
const MIN_REMAINING_TO_PREEMPT: Duration = Duration::from_millis(500);

/// Chooses the machines to lend, those that become free first. `pools` are the balances after the
/// moves of idle machines. A pool lends only what it does not need for work that can be in time.
pub(crate) fn choose(
    pools: &mut BTreeMap<Name, PoolBalance>,
    mut busy: Vec<BusyMachine>,
) -> Vec<Name> {
    busy.sort_by(|a, b| (b.free_after, &b.machine).cmp(&(a.free_after, &a.machine)));
    let mut shortages: Vec<_> =
        pools.iter().map(|(name, pool)| (pool.shortage(), name.clone())).collect();
    shortages.sort_by(|a, b| b.cmp(a));
    let mut lent = Vec::new();
    for (_, receiver) in shortages {
        let mut next = busy.len();
        while pools[&receiver].shortage() > 0 && next > 0 {
            next -= 1;
            let BusyMachine { pool, size, .. } = &busy[next];
            if *pool == receiver || !pools.get(pool).is_some_and(|pool| pool.can_spare(*size)) {
                continue;
            }
            let BusyMachine { machine, pool, size, .. } = busy.remove(next);
            for (name, change) in [(&pool, -(size as i64)), (&receiver, size as i64)] {
                if let Some(pool) = pools.get_mut(name) {
                    pool.capacity = pool.capacity.saturating_add_signed(change);
                }
            }
            lent.push(machine);
        }
    }
    lent
}

impl Scheduler {
    /// Lends busy machines to pools that lack capacity, and takes back those that are no longer
    /// wanted. `late` are the jobs that can no longer meet their objective.
    pub(crate) fn lend_machines(
        &mut self,
        now: Time,
        table: &Table,
        config: &Config,
        pools: &mut BTreeMap<Name, PoolBalance>,
        late: &BTreeSet<JobId>,
        effects: &mut Vec<Effect>,
    ) {
        let is_short = pools.values().any(|pool| pool.shortage() > 0);
        let lent = if is_short && self.uses(Mechanism::Lending) {
            choose(pools, self.busy_machines(now, table, config, pools))
        } else {
            Vec::new()
        };
        let lent: BTreeSet<_> = lent.into_iter().collect();
        let mut to_stop = Vec::new();
        let mut changed = 0;
        for (incarnation, instance) in &mut self.instances {
            let Some(announcement) = &instance.announcement else { continue };
            let lending = lent.contains(&announcement.machine);
            changed += usize::from(lending && !instance.lending);
            instance.lending = lending;
            if lending {
                to_stop.push(incarnation.clone());
            }
        }
        if changed > 0 {
            let why = format!("{changed} more machines go to other pools once their tasks end");
            effects.push(scheduler::note("machines-lent", lent.len().to_string(), why));
        }
        if self.uses(Mechanism::Preemption) {
            for incarnation in to_stop {
                self.preempt_late_tasks(now, table, config, &incarnation, late, effects);
            }
        }
    }

    /// Machines of pools that can spare capacity, on which nothing runs for long.
    fn busy_machines(
        &self,
        now: Time,
        table: &Table,
        config: &Config,
        pools: &BTreeMap<Name, PoolBalance>,
    ) -> Vec<BusyMachine> {
        let max_wait = self.machines.move_time() * MAX_WAIT_IN_MOVES;
        let busy = self.instances.values().filter_map(|instance| {
            let announcement = instance.announcement.as_ref()?;
            let size = announcement.capacity.millicores;
            let spares = pools.get(&announcement.pool).is_some_and(|pool| pool.can_spare(size));
            let is_busy = !instance.attempts.is_empty() && instance.long_lived == 0;
            let movable = instance.is_sound(now)
                && self.machines.may_order(now, &announcement.machine)
                && !self.machines.away.contains_key(&announcement.machine);
            if !spares || !is_busy || !movable {
                return None;
            }
            let remaining = instance.attempts.iter().map(|(task, attempt)| {
                self.remaining_time(now, table, config, *task, attempt).unwrap_or_default()
            });
            let free_after = remaining.max().unwrap_or_default();
            let (machine, pool) = (announcement.machine.clone(), announcement.pool.clone());
            (free_after <= max_wait).then_some(BusyMachine { machine, pool, size, free_after })
        });
        busy.collect()
    }

    /// Estimated time until an attempt ends.
    pub(crate) fn remaining_time(
        &self,
        now: Time,
        table: &Table,
        config: &Config,
        task: TaskId,
        attempt: &Attempt,
    ) -> Option<Duration> {
        let record = table.jobs.get(&task.job)?;
        let queue = config.queue(&record.queue)?;
        let expected = self.durations.estimate(&queue.name, task.group_id(), record.group(task)?);
        let elapsed = now.saturating_sub(attempt.started);
        Some(expected.saturating_sub(elapsed).max(elapsed / 8))
    }

    /// Stops the late tasks of a lent machine that save a checkpoint when they are stopped. A task
    /// that has been resumed from a checkpoint is not stopped again.
    fn preempt_late_tasks(
        &mut self,
        now: Time,
        table: &Table,
        config: &Config,
        incarnation: &Incarnation,
        late: &BTreeSet<JobId>,
        effects: &mut Vec<Effect>,
    ) {
        let Some(instance) = self.instances.get(incarnation) else { return };
        let stopped = instance.attempts.iter().filter(|(task, attempt)| {
            let group = table.jobs.get(&task.job).and_then(|record| record.group(**task));
            let saves = group.is_some_and(|group| group.has_checkpoints && !group.gang);
            let remaining = self.remaining_time(now, table, config, **task, attempt);
            saves
                && late.contains(&task.job)
                && attempt.full_run
                && attempt.stage == Stage::Running
                && !attempt.needs_stop()
                && remaining.is_some_and(|remaining| remaining > MIN_REMAINING_TO_PREEMPT)
        });
        let stopped: Vec<_> = stopped.map(|(task, attempt)| (*task, attempt.number)).collect();
        for (task, number) in stopped {
            if let Some(instance) = self.instances.get_mut(incarnation) {
                instance.request_stop(&task);
            }
            self.touched.insert(incarnation.clone());
            let why = "late, and its machine goes to another pool".to_string();
            effects.push(scheduler::note("task-preempted", format!("{task} {number}"), why));
        }
    }
}
