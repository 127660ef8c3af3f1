use super::*;

/// What waits of one tenant: by rank, and then by deadline.
#[derive(Debug, Clone)]
pub(crate) struct Line {
    pub(crate) weight: u64,
    /// Work done for the tenant, divided by its weight.
    pub(crate) served: u64,
    pub(crate) order: BTreeSet<(Reverse<u64>, Time, u64)>,
    /// Work that waits, in microseconds, by rank.
    pub(crate) work: BTreeMap<Reverse<u64>, u64>,
}

impl Line {
    pub(crate) fn new(weight: u64) -> Self {
        Self { weight, served: 0, order: BTreeSet::new(), work: BTreeMap::new() }
    }

    pub(crate) fn insert(&mut self, sequence: u64, waiting: &Waiting) {
        let rank = Reverse(waiting.rank);
        self.order.insert((rank, waiting.deadline, sequence));
        *self.work.entry(rank).or_default() += waiting.work;
    }

    pub(crate) fn remove(&mut self, sequence: u64, waiting: &Waiting) {
        let rank = Reverse(waiting.rank);
        self.order.remove(&(rank, waiting.deadline, sequence));
        if let Some(work) = self.work.get_mut(&rank) {
            *work -= waiting.work;
            if *work == 0 {
                self.work.remove(&rank);
            }
        }
    }

    /// Work that goes before a further request of `rank`, in microseconds.
    pub(crate) fn ahead(&self, rank: u64) -> u64 {
        self.work.range(..=Reverse(rank)).map(|(_, work)| work).sum()
    }

    /// The last request of each rank below `rank`, with the work up to its end.
    pub(crate) fn tails(&self, rank: u64) -> Vec<(u64, u64)> {
        let mut ahead = self.ahead(rank);
        let mut tails = Vec::new();
        for (class, work) in self.work.range((Excluded(Reverse(rank)), Unbounded)) {
            ahead += work;
            let last = (*class, Time::MAX, u64::MAX);
            if let Some((_, _, sequence)) = self.order.range(..=last).next_back() {
                tails.push((*sequence, ahead));
            }
        }
        tails
    }
}
