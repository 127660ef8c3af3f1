use super::*;

/// What tasks waited for in each pool over time, from `pool` lines.
#[derive(Debug, Default)]
pub(crate) struct PoolCauses {
    by_pool: BTreeMap<String, BTreeMap<UnixMs, ByCause>>,
    /// Pool of each queue.
    pools: BTreeMap<String, String>,
}

impl PoolCauses {
    pub(crate) fn record(&mut self, balance: &PoolBalance) {
        let causes = self.by_pool.entry(balance.pool.clone()).or_default();
        causes.insert(balance.at, balance.waits.clone());
    }

    /// Records which pool a queue uses.
    pub(crate) fn record_queue(&mut self, job: &Job) {
        if let Some(pool) = &job.pool {
            self.pools.insert(job.queue.clone(), pool.clone());
        }
    }

    /// Sum of the shares of each cause in the pool of a job, over a time; empty if the log does not
    /// tell.
    pub(crate) fn between(&self, job: &Job, from: UnixMs, to: UnixMs) -> ByCause {
        let mut sum = ByCause::default();
        let pool = job.pool.as_ref().or_else(|| self.pools.get(&job.queue));
        let Some(causes) = pool.and_then(|pool| self.by_pool.get(pool)) else { return sum };
        let within = causes.range(from..=to.max(from)).map(|(_, causes)| causes);
        // A short time may lie between two lines.
        let before = causes.range(..=from).next_back().filter(|(at, _)| from - **at <= 1000);
        before.map(|(_, causes)| causes).into_iter().chain(within).for_each(|c| sum.add_all(c));
        sum
    }
}
