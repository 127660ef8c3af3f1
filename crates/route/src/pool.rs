use super::*;

/// Slots of the upstreams of one service, and the queue of requests for them. Upstreams are
/// identified by their index.
#[derive(Debug)]
pub(crate) struct Pool {
    policy: Policy,
    config: Arc<Config>,
    rng: ChaCha8Rng,
    upstreams: Vec<Upstream>,
    /// Indices into `upstreams` by instance.
    indices: Map<Name, usize>,
    /// Upstreams with a free slot, as (slots in use, index); the least loaded comes first.
    free: BTreeSet<(u32, usize)>,
    /// Paused upstreams, as (end of the pause, index).
    paused: BTreeSet<(Time, usize)>,
    /// Number of ejected upstreams.
    ejected: u32,
    /// Number of upstreams that accept new requests.
    serving: u32,
    /// Slots of the serving upstreams that are not reserved.
    capacity: u32,
    queue: Queue,
    /// Run times by kind.
    estimates: Map<Name, Estimate>,
    /// Granted slots by owner and ticket.
    granted: BTreeMap<(OwnerId, Ticket), GrantedSlot>,
    /// Granted slots by the end of their lease.
    leases: BTreeSet<(Time, OwnerId, Ticket)>,
    /// Number of slots of each upstream that each owner holds.
    held_slots: Map<(usize, OwnerId), u32>,
    /// Number of daemons that may hold slots.
    daemons: u32,
    /// Queue name shared by all tenants that are not in the configuration.
    unconfigured: Name,
}

/// Added to the lease of a slot, for the drift between the clocks of two daemons.
pub(crate) const CLOCK_DRIFT_MARGIN: Duration = Duration::from_millis(100);

/// Time after the deadline of a request for which the daemon that holds its slot may pass the slot
/// on to other requests without asking the broker.
pub(crate) const REUSE_WINDOW: Duration = Duration::from_secs(2);

/// Consecutive failures after which an upstream is ejected.
const MAX_FAILURES: u32 = 5;

/// Pause after the first ejection of an upstream; doubles with each consecutive ejection.
const BASE_EJECTION_TIME: Duration = Duration::from_secs(2);

/// Maximum number of doublings of [`BASE_EJECTION_TIME`], and of [`REFUSED_PAUSE`] as the base of
/// the time for which a refused slot stays granted.
const MAX_DOUBLINGS: u32 = 5;

/// Largest percentage of the serving upstreams that may be ejected at a time.
const MAX_EJECTED_PERCENT: u32 = 30;

/// Under an overcommitting policy, the pause of an upstream that refused a request because it was
/// full. Under the other policies, half of the time for which the slot stays granted after a first
/// refusal; that time doubles with each consecutive refusal.
const REFUSED_PAUSE: Duration = Duration::from_millis(10);

/// Longest time for which the slot of an attempt that timed out is regarded as still in use.
const MAX_LATE_HOLD: Duration = Duration::from_secs(5);

/// Number of free upstreams considered for a request.
const MAX_CANDIDATES: usize = 16;

/// Number of requests without a suitable upstream that may be skipped to grant a slot to a later
/// one.
const MAX_SKIPPED: usize = 8;

/// Factor by which the weight per microsecond of run time is scaled before it is rounded to a rank,
/// so that slow kinds of different weight get different ranks.
const RANK_SCALE: u64 = 1 << 24;

impl Pool {
    pub(crate) fn new(policy: Policy, config: Arc<Config>, seed: u64) -> Self {
        Self {
            policy,
            config,
            rng: ChaCha8Rng::seed_from_u64(seed),
            upstreams: Vec::new(),
            indices: Map::default(),
            free: BTreeSet::new(),
            paused: BTreeSet::new(),
            ejected: 0,
            serving: 0,
            capacity: 0,
            queue: Queue::default(),
            estimates: Map::default(),
            granted: BTreeMap::new(),
            leases: BTreeSet::new(),
            held_slots: Map::default(),
            daemons: 1,
            unconfigured: Name::from(""),
        }
    }

    pub(crate) fn configure(&mut self, config: Arc<Config>) {
        self.config = config;
    }

    pub(crate) fn set_daemons(&mut self, daemons: u32) {
        self.daemons = daemons;
    }

    /// Adds or updates an upstream, of which this pool may grant `slots` slots. A restarted
    /// instance starts with a clean health record.
    pub(crate) fn set_upstream(&mut self, announcement: Announcement, slots: u32) {
        let known = self.indices.get(&announcement.instance).copied();
        let index = known.unwrap_or(self.upstreams.len());
        if known.is_none() {
            self.indices.insert(announcement.instance.clone(), index);
            self.upstreams.push(Upstream::new(announcement, slots));
        } else {
            let restarted =
                self.upstreams[index].announcement.incarnation != announcement.incarnation;
            if restarted {
                self.reset_health(index);
            }
            let upstream = &mut self.upstreams[index];
            upstream.announcement = announcement;
            upstream.slots = slots;
            upstream.serving = true;
        }
        self.update_free(index);
        self.update_totals();
    }

    /// Grants no further slots of an instance.
    pub(crate) fn set_not_serving(&mut self, instance: &Name) {
        let Some(index) = self.indices.get(instance).copied() else { return };
        self.upstreams[index].serving = false;
        self.update_free(index);
        self.update_totals();
    }

    pub(crate) fn upstream(&self, index: usize) -> &Upstream {
        &self.upstreams[index]
    }

    pub(crate) fn upstreams(&self) -> impl Iterator<Item = &Upstream> {
        self.upstreams.iter()
    }

    pub(crate) fn find(&self, instance: &Name) -> Option<&Upstream> {
        self.indices.get(instance).map(|index| &self.upstreams[*index])
    }

    /// Number of granted slots.
    pub(crate) fn granted(&self) -> usize {
        self.granted.len()
    }

    /// Upstream of the slot that was granted for `ticket`.
    pub(crate) fn upstream_of(&self, owner: OwnerId, ticket: Ticket) -> Option<&Upstream> {
        self.granted.get(&(owner, ticket)).map(|grant| &self.upstreams[grant.upstream])
    }

    /// Queues a request, or refuses it if its expected wait is too long to meet its deadline.
    pub(crate) fn enqueue(&mut self, now: Time, owner: OwnerId, want: Want) -> Result<(), Refusal> {
        if self.queue.contains(owner, want.ticket) {
            return Ok(());
        }
        let (request, weight) = self.queued_request(now, owner, want);
        let wait = self.queue.expected_wait(&request.tenant, weight, request.rank, self.capacity);
        if now + wait > request.latest_start {
            let retry_after = (now + wait).saturating_sub(request.latest_start);
            return Err(Refusal { reason: Reason::Overloaded, retry_after });
        }
        self.queue.push(request, weight);
        Ok(())
    }

    /// Removes requests that can no longer start in time after one of `tenant` and `kind` was
    /// queued.
    pub(crate) fn remove_displaced(
        &mut self,
        now: Time,
        tenant: &Name,
        kind: &Name,
    ) -> Vec<QueuedRequest> {
        let (tenant, _) = self.queue_tenant(tenant);
        self.queue.remove_displaced(now, &tenant, self.cost_and_rank(kind).1, self.capacity)
    }

    /// Removes a request whose latest start time has passed.
    pub(crate) fn pop_overdue(&mut self, now: Time) -> Option<QueuedRequest> {
        self.queue.pop_overdue(now)
    }

    /// Delay after which a caller that is refused now should retry: the time to complete the
    /// requests that its tenant has queued.
    pub(crate) fn backlog_wait(&self, tenant: &Name) -> Duration {
        let (tenant, weight) = self.queue_tenant(tenant);
        self.queue.expected_wait(&tenant, weight, 0, self.capacity)
    }

    /// Removes a request that no longer needs a slot from the queue.
    pub(crate) fn withdraw(&mut self, owner: OwnerId, ticket: Ticket) {
        self.queue.withdraw(owner, ticket);
    }

    /// Removes and returns all queued requests.
    pub(crate) fn drain(&mut self) -> Vec<QueuedRequest> {
        self.queue.drain()
    }

    /// Grants a slot to the next request in the queue that has a suitable upstream. Returns the
    /// request and the index of the upstream.
    pub(crate) fn grant(&mut self, now: Time) -> Option<(QueuedRequest, usize)> {
        let mut skipped = Vec::new();
        let mut granted = None;
        while granted.is_none() && !self.free.is_empty() && skipped.len() < MAX_SKIPPED {
            let Some(request) = self.queue.pop() else { break };
            match self.choose_upstream(&request) {
                Some(index) => granted = Some((request, index)),
                None => skipped.push(request),
            }
        }
        for request in skipped {
            let (_, weight) = self.queue_tenant(&request.tenant);
            self.queue.push(request, weight);
        }
        let (request, index) = granted?;
        let until = request.deadline.max(now) + self.reuse_window() + CLOCK_DRIFT_MARGIN;
        self.add_grant(index, request.owner, request.ticket, request.kind.clone(), until);
        Some((request, index))
    }

    /// Time added to the lease of a slot because its holder may pass it on.
    pub(crate) fn reuse_window(&self) -> Duration {
        if self.policy == Policy::Broker { REUSE_WINDOW } else { Duration::ZERO }
    }

    /// Queues a request of this daemon for slots that this daemon passes on. Used where another
    /// daemon is the broker.
    pub(crate) fn enqueue_local(&mut self, now: Time, want: Want) {
        if !self.queue.contains(OwnerTable::SELF, want.ticket) {
            let (request, weight) = self.queued_request(now, OwnerTable::SELF, want);
            self.queue.push(request, weight);
        }
    }

    /// The next request of this daemon, to which a slot can be passed on after a request of `kind`.
    /// `None` if it is of another kind with a lower rank; the slot then goes back to the broker.
    pub(crate) fn next_local(&mut self, now: Time, kind: &Name) -> Option<Ticket> {
        while self.queue.pop_overdue(now).is_some() {}
        let request = self.queue.peek()?;
        let suits = request.kind == *kind || request.rank >= self.cost_and_rank(kind).1;
        suits.then_some(request.ticket)
    }

    /// Records that a daemon has passed the slot of `from` on to `to`. The lease stays the same.
    pub(crate) fn transfer(
        &mut self,
        now: Time,
        owner: OwnerId,
        from: Ticket,
        to: Ticket,
        kind: Name,
        took: Duration,
    ) {
        let Some(GrantedSlot { upstream, until, .. }) = self.granted.get(&(owner, from)).cloned()
        else {
            return;
        };
        self.release(now, owner, from, Report::Answered, took);
        if let Some(other) = self.remove_grant(owner, to) {
            self.update_free(other.upstream);
        }
        self.queue.withdraw(owner, to);
        self.add_grant(upstream, owner, to, kind, until);
    }

    /// Records a granted slot, whose lease ends at `until`.
    pub(crate) fn add_grant(
        &mut self,
        index: usize,
        owner: OwnerId,
        ticket: Ticket,
        kind: Name,
        until: Time,
    ) {
        self.granted.insert((owner, ticket), GrantedSlot { upstream: index, kind, until });
        self.leases.insert((until, owner, ticket));
        *self.held_slots.entry((index, owner)).or_default() += 1;
        self.upstreams[index].in_flight += 1;
        self.update_free(index);
    }

    /// Records a slot that was granted by an earlier broker, unless it is recorded already.
    pub(crate) fn restore(&mut self, owner: OwnerId, held: &Held, until: Time) {
        let Some(index) = self.indices.get(&held.instance).copied() else { return };
        if !self.granted.contains_key(&(owner, held.ticket)) {
            self.add_grant(index, owner, held.ticket, held.kind.clone(), until);
        }
    }

    /// Frees the slot of an ended attempt and updates the health of its upstream. If the upstream
    /// may still be using the slot, only sets the end of its lease, as [`Self::hold_time`] says.
    pub(crate) fn release(
        &mut self,
        now: Time,
        owner: OwnerId,
        ticket: Ticket,
        report: Report,
        took: Duration,
    ) {
        let Some(grant) = self.granted.get(&(owner, ticket)) else { return };
        let index = grant.upstream;
        if let Some(hold) = self.hold_time(index, report, took) {
            return self.set_lease_end(owner, ticket, now + hold);
        }
        let Some(grant) = self.remove_grant(owner, ticket) else { return };
        match report {
            Report::Answered => {
                self.estimates.entry(grant.kind).or_default().add(took);
                self.reset_health(index);
            }
            Report::Refused => self.pause(index, now + REFUSED_PAUSE),
            Report::Broken | Report::NotSent => self.record_failure(now, index),
            Report::Late | Report::Unused => {}
        }
        self.update_free(index);
    }

    /// Records the run time of an attempt whose slot another daemon grants.
    pub(crate) fn record_run_time(&mut self, kind: &Name, report: Report, took: Duration) {
        if report == Report::Answered {
            self.estimates.entry(kind.clone()).or_default().add(took);
        }
    }

    /// Frees slots whose lease has expired and ends pauses that are over.
    pub(crate) fn process_due(&mut self, now: Time) {
        while let Some((until, owner, ticket)) = self.leases.first().copied()
            && until <= now
        {
            let index = self.remove_grant(owner, ticket).map(|grant| grant.upstream);
            self.leases.remove(&(until, owner, ticket));
            index.into_iter().for_each(|index| self.update_free(index));
        }
        while let Some((until, index)) = self.paused.first().copied()
            && until <= now
        {
            self.end_pause(index);
            self.update_free(index);
        }
    }

    /// Time at which [`Self::process_due`] or [`Self::pop_overdue`] next has something to do.
    pub(crate) fn next_due(&self) -> Option<Time> {
        let lease = self.leases.first().map(|(until, ..)| *until);
        let pause = self.paused.first().map(|(until, _)| *until);
        [self.queue.next_latest_start(), lease, pause].into_iter().flatten().min()
    }

    /// Drops the record of all granted slots.
    pub(crate) fn clear_grants(&mut self) {
        self.granted.clear();
        self.leases.clear();
        self.held_slots.clear();
        for index in 0..self.upstreams.len() {
            self.upstreams[index].in_flight = 0;
            self.update_free(index);
        }
    }

    /// Reserves the slots that `daemons` daemons may hold of the first `upstreams` upstreams.
    pub(crate) fn reserve(&mut self, daemons: u32, upstreams: usize) {
        for index in 0..upstreams.min(self.upstreams.len()) {
            let slots = self.upstreams[index].slots;
            self.upstreams[index].reserved = (daemons * self.max_per_daemon(slots)).min(slots);
            self.update_free(index);
        }
        self.update_totals();
    }

    /// Time for which the slot of an ended attempt may still be in use at its upstream; `None` if
    /// it can be freed at once.
    ///
    /// A request that timed out is assumed to run on for as long as it has run. A refusal by an
    /// upstream that is not overcommitted means that the upstream still uses a slot that the pool
    /// regards as free, so the refused slot stays granted for a while.
    fn hold_time(&mut self, index: usize, report: Report, took: Duration) -> Option<Duration> {
        match report {
            Report::Late => Some(took.min(MAX_LATE_HOLD)),
            Report::Refused if !self.policy.overcommits() => {
                let upstream = &mut self.upstreams[index];
                upstream.refusals += 1;
                Some(REFUSED_PAUSE * (1 << upstream.refusals.min(MAX_DOUBLINGS)))
            }
            _ => None,
        }
    }

    /// Changes the end of the lease of a slot.
    fn set_lease_end(&mut self, owner: OwnerId, ticket: Ticket, until: Time) {
        let Some(grant) = self.granted.get_mut(&(owner, ticket)) else { return };
        self.leases.remove(&(grant.until, owner, ticket));
        grant.until = until;
        self.leases.insert((until, owner, ticket));
    }

    /// The queue entry of a request, and the weight of its tenant.
    fn queued_request(&self, now: Time, owner: OwnerId, want: Want) -> (QueuedRequest, u64) {
        let quantile = self.estimates.get(&want.kind).map_or(Duration::ZERO, Estimate::quantile);
        let (work, rank) = self.cost_and_rank(&want.kind);
        let (tenant, weight) = self.queue_tenant(&want.tenant);
        let deadline = now + want.left;
        let request = QueuedRequest {
            owner,
            ticket: want.ticket,
            kind: want.kind,
            tenant,
            deadline,
            avoid: want.avoid,
            work,
            rank,
            latest_start: deadline.saturating_sub(quantile.min(want.left / 2)),
        };
        (request, weight)
    }

    /// Expected run time of a kind in microseconds, and its rank.
    fn cost_and_rank(&self, kind: &Name) -> (u64, u64) {
        let work = self.estimates.get(kind).map_or(1, |it| it.mean().as_micros().max(1) as u64);
        let weight = self.config.kinds.get(kind).map_or(1, |kind| u64::from(kind.weight));
        (work, rank(weight, work))
    }

    /// Removes the record of a granted slot.
    fn remove_grant(&mut self, owner: OwnerId, ticket: Ticket) -> Option<GrantedSlot> {
        let grant = self.granted.remove(&(owner, ticket))?;
        self.leases.remove(&(grant.until, owner, ticket));
        let key = (grant.upstream, owner);
        if let Some(held) = self.held_slots.get_mut(&key) {
            *held -= 1;
            if *held == 0 {
                self.held_slots.remove(&key);
            }
        }
        self.upstreams[grant.upstream].in_flight -= 1;
        Some(grant)
    }

    /// Chooses a free upstream for a request: the one that shares the fewest failure domains with
    /// the last failed attempt, and the least loaded among equals. Skips upstreams of which the
    /// owner already holds its maximum number of slots.
    fn choose_upstream(&mut self, request: &QueuedRequest) -> Option<usize> {
        if self.policy == Policy::TwoChoices {
            return self.less_loaded_of_two();
        }
        let mut best: Option<(u8, usize)> = None;
        for (_, index) in self.free.iter().take(MAX_CANDIDATES) {
            let upstream = &self.upstreams[*index];
            let held = self.held_slots.get(&(*index, request.owner)).copied().unwrap_or_default();
            if held >= self.max_per_daemon(upstream.slots) {
                continue;
            }
            let avoid = request.avoid.as_ref();
            let shared = avoid.map_or(0, |avoid| avoid.shared(&upstream.announcement));
            if shared == 0 {
                return Some(*index);
            }
            if best.is_none_or(|(least, _)| shared < least) {
                best = Some((shared, *index));
            }
        }
        best.map(|(_, index)| index)
    }

    /// The less loaded of two upstreams drawn at random from the free ones.
    fn less_loaded_of_two(&mut self) -> Option<usize> {
        let free: Vec<_> = self.free.iter().copied().collect();
        let pick = |rng: &mut ChaCha8Rng| free[rng.random_range(0..free.len())];
        let (first, second) = (pick(&mut self.rng), pick(&mut self.rng));
        Some(first.min(second).1)
    }

    /// Maximum number of slots of an upstream that one daemon may hold, so that the loss of a
    /// daemon leaves the other slots usable.
    fn max_per_daemon(&self, slots: u32) -> u32 {
        if self.policy != Policy::Broker || self.daemons <= 1 {
            return slots;
        }
        slots.div_ceil(2)
    }

    /// Tenant and weight under which a request is queued. Tenants that are not in the configuration
    /// share one queue.
    fn queue_tenant(&self, tenant: &Name) -> (Name, u64) {
        match self.config.tenants.get_key_value(tenant) {
            Some((name, tenant)) => (name.clone(), u64::from(tenant.weight.max(1))),
            None => (self.unconfigured.clone(), 1),
        }
    }

    /// Counts a failure and ejects the upstream after [`MAX_FAILURES`] consecutive ones, unless too
    /// many upstreams are ejected already. An upstream that was ejected before and has not
    /// succeeded since is ejected at its first failure.
    fn record_failure(&mut self, now: Time, index: usize) {
        self.upstreams[index].failures += 1;
        let on_probation = self.upstreams[index].ejections > 0;
        if self.upstreams[index].failures < MAX_FAILURES && !on_probation {
            return;
        }
        if (self.ejected + 1) * 100 > self.serving * MAX_EJECTED_PERCENT {
            return;
        }
        let doublings = self.upstreams[index].ejections.min(MAX_DOUBLINGS);
        self.upstreams[index].ejections += 1;
        self.upstreams[index].ejected = true;
        self.ejected += 1;
        self.pause(index, now + BASE_EJECTION_TIME * (1 << doublings));
    }

    /// Clears the failures of an upstream and ends its pause.
    fn reset_health(&mut self, index: usize) {
        self.end_pause(index);
        self.upstreams[index].failures = 0;
        self.upstreams[index].refusals = 0;
        self.upstreams[index].ejections = 0;
    }

    /// Grants no slots of an upstream until the given time.
    fn pause(&mut self, index: usize, until: Time) {
        if let Some(former) = self.upstreams[index].paused_until.replace(until) {
            self.paused.remove(&(former, index));
        }
        self.paused.insert((until, index));
        self.update_free(index);
    }

    fn end_pause(&mut self, index: usize) {
        let Some(until) = self.upstreams[index].paused_until.take() else { return };
        self.paused.remove(&(until, index));
        if std::mem::take(&mut self.upstreams[index].ejected) {
            self.ejected -= 1;
        }
    }

    /// Updates the entry of an upstream in `free`.
    fn update_free(&mut self, index: usize) {
        let upstream = &mut self.upstreams[index];
        if let Some(former) = upstream.free_key.take() {
            self.free.remove(&(former, index));
        }
        if upstream.is_free() {
            upstream.free_key = Some(upstream.in_flight);
            self.free.insert((upstream.in_flight, index));
        }
    }

    /// Recalculates `serving` and `capacity`.
    fn update_totals(&mut self) {
        let serving = self.upstreams.iter().filter(|upstream| upstream.serving);
        self.serving = serving.clone().count() as u32;
        self.capacity =
            serving.map(|upstream| upstream.slots.saturating_sub(upstream.reserved)).sum();
    }
}

/// Rank of a kind: its weight divided by its expected run time in microseconds, on a logarithmic
/// scale with steps of at most 25%.
fn rank(weight: u64, work: u64) -> u64 {
    Estimate::bucket(weight * RANK_SCALE / work) as u64
}
