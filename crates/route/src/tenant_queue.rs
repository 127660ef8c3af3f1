use super::*;

/// Queued requests of one tenant, ordered by rank, highest first, and then by deadline.
#[derive(Debug, Clone)]
pub(crate) struct TenantQueue {
    pub(crate) weight: u64,
    /// Expected run time of the requests served so far, scaled and divided by the weight; raised to
    /// the virtual time of the [`Queue`] when the first request is queued.
    pub(crate) virtual_time: u64,
    /// Requests as (rank, deadline, sequence number).
    pub(crate) order: BTreeSet<(Reverse<u64>, Time, u64)>,
    /// Expected run time of the queued requests by rank, in microseconds.
    pub(crate) work: BTreeMap<Reverse<u64>, u64>,
}

impl TenantQueue {
    pub(crate) fn new(weight: u64) -> Self {
        Self { weight, virtual_time: 0, order: BTreeSet::new(), work: BTreeMap::new() }
    }

    pub(crate) fn insert(&mut self, sequence: u64, request: &QueuedRequest) {
        let rank = Reverse(request.rank);
        self.order.insert((rank, request.deadline, sequence));
        *self.work.entry(rank).or_default() += request.work;
    }

    pub(crate) fn remove(&mut self, sequence: u64, request: &QueuedRequest) {
        let rank = Reverse(request.rank);
        self.order.remove(&(rank, request.deadline, sequence));
        if let Some(work) = self.work.get_mut(&rank) {
            *work -= request.work;
            if *work == 0 {
                self.work.remove(&rank);
            }
        }
    }

    /// Expected run time of the requests served before a further one of `rank`, in microseconds.
    pub(crate) fn work_ahead(&self, rank: u64) -> u64 {
        self.work.range(..=Reverse(rank)).map(|(_, work)| work).sum()
    }

    /// Sequence number of the last request of each rank below `rank`, with the expected run time up
    /// to its end, in microseconds.
    pub(crate) fn last_of_lower_ranks(&self, rank: u64) -> Vec<(u64, u64)> {
        let mut ahead = self.work_ahead(rank);
        let mut last = Vec::new();
        for (class, work) in self.work.range((Excluded(Reverse(rank)), Unbounded)) {
            ahead += work;
            let bound = (*class, Time::MAX, u64::MAX);
            if let Some((_, _, sequence)) = self.order.range(..=bound).next_back() {
                last.push((*sequence, ahead));
            }
        }
        last
    }
}
