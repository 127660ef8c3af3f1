use super::*;

/// Requests that wait for a slot of one service, scheduled by weighted fair queueing across
/// tenants, after Demers, Keshav and Shenker, "Analysis and Simulation of a Fair Queueing
/// Algorithm" (1989).
///
/// A tenant's cost is the expected run time of its requests rather than their number. Requests are
/// identified by a sequence number, tenants by the index of their queue.
#[derive(Debug, Default)]
pub(crate) struct Queue {
    /// Sequence number of the last request added.
    sequence: u64,
    /// Requests by sequence number.
    requests: BTreeMap<u64, QueuedRequest>,
    /// Sequence numbers by owner and ticket.
    by_ticket: Map<(OwnerId, Ticket), u64>,
    queues: Vec<TenantQueue>,
    /// Indices into `queues` by tenant.
    by_tenant: Map<Name, usize>,
    /// Tenants with queued requests, as (virtual time, index); the lowest is served next.
    active: BTreeSet<(u64, usize)>,
    /// Sum of the weights of the tenants in `active`.
    active_weight: u64,
    /// Highest virtual time at which a tenant has been served. A tenant that becomes active starts
    /// no lower, so that it gains no credit from its idle time.
    virtual_time: u64,
    /// Requests as (latest start, sequence number).
    latest_starts: BTreeSet<(Time, u64)>,
}

/// Virtual time units for each microsecond of work at weight 1, to limit rounding errors when
/// dividing by weights.
const VIRTUAL_TIME_SCALE: u64 = 1024;

impl Queue {
    pub(crate) fn contains(&self, owner: OwnerId, ticket: Ticket) -> bool {
        self.by_ticket.contains_key(&(owner, ticket))
    }

    /// Adds a request. `weight` is the weight of its tenant; it applies when the tenant has nothing
    /// queued yet.
    pub(crate) fn push(&mut self, request: QueuedRequest, weight: u64) {
        self.sequence += 1;
        let index = self.tenant_queue(&request.tenant, weight);
        self.queues[index].insert(self.sequence, &request);
        if self.queues[index].order.len() == 1 {
            self.queues[index].virtual_time =
                self.queues[index].virtual_time.max(self.virtual_time);
            self.active.insert((self.queues[index].virtual_time, index));
            self.active_weight += self.queues[index].weight;
        }
        self.latest_starts.insert((request.latest_start, self.sequence));
        self.by_ticket.insert((request.owner, request.ticket), self.sequence);
        self.requests.insert(self.sequence, request);
    }

    /// Removes the next request to serve and charges its expected run time to its tenant.
    pub(crate) fn pop(&mut self) -> Option<QueuedRequest> {
        let (virtual_time, index) = *self.active.first()?;
        let (_, _, sequence) = *self.queues[index].order.first()?;
        let request = self.take(sequence)?;
        self.virtual_time = self.virtual_time.max(virtual_time);
        let cost = request.work.max(1) * VIRTUAL_TIME_SCALE / self.queues[index].weight;
        self.charge(index, cost);
        Some(request)
    }

    /// The next request to serve.
    pub(crate) fn peek(&self) -> Option<&QueuedRequest> {
        let (_, index) = self.active.first()?;
        let (_, _, sequence) = self.queues[*index].order.first()?;
        self.requests.get(sequence)
    }

    /// Removes a request whose latest start time has passed, so that it would probably miss its
    /// deadline.
    pub(crate) fn pop_overdue(&mut self, now: Time) -> Option<QueuedRequest> {
        let (latest_start, sequence) = *self.latest_starts.first()?;
        (latest_start < now).then(|| self.take(sequence)).flatten()
    }

    /// Earliest of the latest start times.
    pub(crate) fn next_latest_start(&self) -> Option<Time> {
        self.latest_starts.first().map(|(latest_start, _)| *latest_start)
    }

    /// Removes a request that no longer needs a slot.
    pub(crate) fn withdraw(&mut self, owner: OwnerId, ticket: Ticket) {
        if let Some(sequence) = self.by_ticket.get(&(owner, ticket)) {
            self.take(*sequence);
        }
    }

    /// Expected wait of a further request of `tenant` with `rank`, when `slots` slots serve the
    /// queue.
    pub(crate) fn expected_wait(
        &self,
        tenant: &Name,
        weight: u64,
        rank: u64,
        slots: u32,
    ) -> Duration {
        let queue = self.by_tenant.get(tenant).map(|index| &self.queues[*index]);
        let ahead = queue.map_or(0, |queue| queue.work_ahead(rank));
        let is_active = queue.is_some_and(|queue| !queue.order.is_empty());
        let total = self.active_weight + if is_active { 0 } else { weight };
        drain_time(ahead, weight, total, slots)
    }

    /// Removes requests of `tenant` with a lower rank that can no longer start in time now that one
    /// of `rank` has been queued before them. Looks only at the last request of each rank.
    pub(crate) fn remove_displaced(
        &mut self,
        now: Time,
        tenant: &Name,
        rank: u64,
        slots: u32,
    ) -> Vec<QueuedRequest> {
        let mut displaced = Vec::new();
        let Some(index) = self.by_tenant.get(tenant).copied() else { return displaced };
        let (weight, total) = (self.queues[index].weight, self.active_weight);
        for (sequence, ahead) in self.queues[index].last_of_lower_ranks(rank) {
            let overdue = self.requests.get(&sequence).is_some_and(|request| {
                let before = ahead.saturating_sub(request.work);
                now + drain_time(before, weight, total, slots) > request.latest_start
            });
            if overdue {
                displaced.extend(self.take(sequence));
            }
        }
        displaced
    }

    /// Removes and returns all requests.
    pub(crate) fn drain(&mut self) -> Vec<QueuedRequest> {
        let sequences: Vec<_> = self.requests.keys().copied().collect();
        sequences.into_iter().filter_map(|sequence| self.take(sequence)).collect()
    }

    /// Index of the queue of `tenant`, which is created if needed. A changed weight takes effect
    /// once the queue is empty, since `active_weight` includes the weight of a queue with requests.
    fn tenant_queue(&mut self, tenant: &Name, weight: u64) -> usize {
        if let Some(index) = self.by_tenant.get(tenant) {
            let index = *index;
            if self.queues[index].order.is_empty() {
                self.queues[index].weight = weight.max(1);
            }
            return index;
        }
        self.queues.push(TenantQueue::new(weight.max(1)));
        self.by_tenant.insert(tenant.clone(), self.queues.len() - 1);
        self.queues.len() - 1
    }

    /// Removes a request by its sequence number.
    fn take(&mut self, sequence: u64) -> Option<QueuedRequest> {
        let request = self.requests.remove(&sequence)?;
        let index = *self.by_tenant.get(&request.tenant)?;
        self.queues[index].remove(sequence, &request);
        if self.queues[index].order.is_empty() {
            self.active.remove(&(self.queues[index].virtual_time, index));
            self.active_weight -= self.queues[index].weight;
        }
        self.latest_starts.remove(&(request.latest_start, sequence));
        self.by_ticket.remove(&(request.owner, request.ticket));
        Some(request)
    }

    /// Advances the virtual time of a tenant by `cost`.
    fn charge(&mut self, index: usize, cost: u64) {
        let virtual_time = self.queues[index].virtual_time;
        let was_active = self.active.remove(&(virtual_time, index));
        self.queues[index].virtual_time = virtual_time + cost;
        if was_active {
            self.active.insert((virtual_time + cost, index));
        }
    }
}

/// Time in which the tenant's weighted share of the slots completes `work` microseconds of run
/// time.
fn drain_time(work: u64, weight: u64, total_weight: u64, slots: u32) -> Duration {
    let share = u64::from(slots.max(1)) * weight.max(1);
    Duration::from_micros(work * total_weight.max(1) / share)
}
