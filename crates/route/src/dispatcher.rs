use super::*;

/// State of this daemon for one service: the slots of its upstreams, its broker, and the requests
/// of this daemon that wait for a slot.
#[derive(Debug)]
pub(crate) struct Dispatcher {
    pub(crate) service: Name,
    pub(crate) pool: Pool,
    /// Daemon that grants the slots; `None` while the roster names none or this daemon is not in
    /// it.
    pub(crate) broker: Option<Name>,
    /// Term of the broker.
    pub(crate) term: u64,
    /// Whether this daemon grants the slots.
    pub(crate) is_broker: bool,
    /// Highest term of a broker that this daemon has adopted or has reported its slots to. Grants
    /// of lower terms are ignored.
    pub(crate) fence: u64,
    /// Requests of this daemon that wait for a slot.
    pub(crate) waiting: BTreeSet<RequestId>,
    /// Retry budget, in thousandths of a retry.
    pub(crate) retry_budget: u32,
    /// Daemons that have not reported the slots that they hold since the term began.
    pub(crate) unreported: BTreeSet<Name>,
    /// Number of upstreams known when the term began. Only these can have slots granted by an
    /// earlier broker, since the log orders announcements and changes of the roster.
    pub(crate) known_upstreams: usize,
    /// Time from which no slot granted by an earlier broker can be in use; the recovery then ends.
    pub(crate) recovery_end: Time,
    /// Earliest time for which [`Timer::Pool`] is set; `None` after it has fired.
    pub(crate) next_wake: Option<Time>,
}

impl Dispatcher {
    /// Retry budget earned by each request, in thousandths of a retry: one retry for 10 requests.
    const BUDGET_PER_REQUEST: u32 = 100;
    /// Largest retry budget, in thousandths of a retry.
    const MAX_BUDGET: u32 = 20_000;
    /// Cost of one retry, in thousandths.
    const RETRY_COST: u32 = 1000;

    pub(crate) fn new(service: Name, pool: Pool) -> Self {
        Self {
            service,
            pool,
            broker: None,
            term: 0,
            is_broker: false,
            fence: 0,
            waiting: BTreeSet::new(),
            retry_budget: Self::MAX_BUDGET,
            unreported: BTreeSet::new(),
            known_upstreams: 0,
            recovery_end: Time::ZERO,
            next_wake: None,
        }
    }

    /// Starts the term of `shard`, and drops the queue and the grants of the previous one.
    pub(crate) fn start_term(&mut self, shard: &Shard, own: &Name, boot: u64) {
        self.term = shard.term;
        self.fence = self.fence.max(shard.term);
        self.broker = Some(shard.broker.clone());
        self.is_broker = shard.broker == *own && shard.boot == boot;
        self.unreported.clear();
        self.pool.drain();
        self.pool.clear_grants();
    }

    /// Credits the retry budget with one request.
    pub(crate) fn earn_retry(&mut self) {
        self.retry_budget = (self.retry_budget + Self::BUDGET_PER_REQUEST).min(Self::MAX_BUDGET);
    }

    /// Takes a retry from the budget; false if the budget does not allow one.
    pub(crate) fn spend_retry(&mut self) -> bool {
        let enough = self.retry_budget >= Self::RETRY_COST;
        if enough {
            self.retry_budget -= Self::RETRY_COST;
        }
        enough
    }
}
