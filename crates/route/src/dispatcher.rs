use super::*;

/// Dispatch of one service at this daemon.
#[derive(Debug)]
pub(crate) struct Dispatcher {
    pub(crate) service: Name,
    pub(crate) pool: Pool,
    /// Who grants the slots; `None` until the roster says.
    pub(crate) broker: Option<Name>,
    /// Term of the broker.
    pub(crate) term: u64,
    /// Whether this daemon grants the slots.
    pub(crate) mine: bool,
    /// Grants of lower terms are not used.
    pub(crate) fence: u64,
    /// Requests of this daemon that wait.
    pub(crate) waiting: BTreeSet<RequestId>,
    /// Thousandths of retries that may be made.
    pub(crate) retries: u32,
    /// Daemons that have not said what they hold since the term began.
    pub(crate) missing: BTreeSet<Name>,
    /// Upstreams known when the term began.
    pub(crate) known: usize,
    /// When nothing that a former broker granted can be in use.
    pub(crate) rebuilt: Time,
    /// When the pool is looked at next.
    pub(crate) wakes: Option<Time>,
}

impl Dispatcher {
    /// Retries for each request, in thousandths.
    const RETRIES_PER_REQUEST: u32 = 100;
    /// Retries that may be saved up, in thousandths.
    const MAX_RETRIES: u32 = 20_000;
    /// One retry.
    const RETRY: u32 = 1000;

    pub(crate) fn new(service: Name, pool: Pool) -> Self {
        Self {
            service,
            pool,
            broker: None,
            term: 0,
            mine: false,
            fence: 0,
            waiting: BTreeSet::new(),
            retries: Self::MAX_RETRIES,
            missing: BTreeSet::new(),
            known: 0,
            rebuilt: Time::ZERO,
            wakes: None,
        }
    }

    /// Goes over to the term of `shard`.
    pub(crate) fn take_term(&mut self, shard: &Shard, own: &Name, boot: u64) {
        self.term = shard.term;
        self.fence = self.fence.max(shard.term);
        self.broker = Some(shard.broker.clone());
        self.mine = shard.broker == *own && shard.boot == boot;
        self.missing.clear();
        self.pool.drain();
        self.pool.forget_grants();
    }

    /// Earns a share of a retry.
    pub(crate) fn earn_retry(&mut self) {
        self.retries = (self.retries + Self::RETRIES_PER_REQUEST).min(Self::MAX_RETRIES);
    }

    /// Spends a retry, where there is one.
    pub(crate) fn spend_retry(&mut self) -> bool {
        let enough = self.retries >= Self::RETRY;
        if enough {
            self.retries -= Self::RETRY;
        }
        enough
    }
}
