use super::*;

/// Slots of one service's upstreams, and who waits for them.
#[derive(Debug)]
pub(crate) struct Pool {
    policy: Policy,
    config: Arc<Config>,
    rng: ChaCha8Rng,
    upstreams: Vec<Upstream>,
    names: Map<Name, usize>,
    /// Upstreams with a free slot, by what is in flight there.
    free: BTreeSet<(u32, usize)>,
    resting: BTreeSet<(Time, usize)>,
    ejected: u32,
    /// Upstreams that take new work.
    serving: u32,
    /// Slots of those.
    capacity: u32,
    queue: Queue,
    estimates: Map<Name, Estimate>,
    busy: BTreeMap<(Owner, Ticket), Busy>,
    leases: BTreeSet<(Time, Owner, Ticket)>,
    held: Map<(usize, Owner), u32>,
    /// Daemons that may hold slots.
    owners: u32,
    /// Tenant under which those queue that are not configured.
    others: Name,
}

/// Added to the deadline of a request, for the drift between two clocks.
pub(crate) const LEASE_MARGIN: Duration = Duration::from_millis(100);

/// Added to the deadline of a request for the tenure of its slot.
pub(crate) const TENURE: Duration = Duration::from_secs(2);

/// Failures in a row after which an upstream is ejected.
const MAX_FAILURES: u32 = 5;

/// First rest of an ejected upstream; it doubles with each ejection in a row.
const EJECTION: Duration = Duration::from_secs(2);

/// Ejections after which the rest no longer doubles.
const MAX_DOUBLINGS: u32 = 5;

/// Share of a pool that ejection may take, in percent.
const MAX_EJECTED_PERCENT: u32 = 30;

/// Rest of an upstream that refused because it was full.
const FULL_REST: Duration = Duration::from_millis(10);

/// Longest time for which the slot of a late attempt is taken to be in use.
const MAX_HOLD: Duration = Duration::from_secs(5);

/// Free upstreams looked at for one that suits a request.
const MAX_LOOKS: usize = 16;

/// Requests passed over because no upstream suits them.
const MAX_PASSED: usize = 8;

/// Scale of ranks, so that slow kinds differ.
const RANK_SCALE: u64 = 1 << 24;

impl Pool {
    pub(crate) fn new(policy: Policy, config: Arc<Config>, seed: u64) -> Self {
        Self {
            policy,
            config,
            rng: ChaCha8Rng::seed_from_u64(seed),
            upstreams: Vec::new(),
            names: Map::default(),
            free: BTreeSet::new(),
            resting: BTreeSet::new(),
            ejected: 0,
            serving: 0,
            capacity: 0,
            queue: Queue::default(),
            estimates: Map::default(),
            busy: BTreeMap::new(),
            leases: BTreeSet::new(),
            held: Map::default(),
            owners: 1,
            others: Name::from(""),
        }
    }

    pub(crate) fn configure(&mut self, config: Arc<Config>) {
        self.config = config;
    }

    pub(crate) fn set_owners(&mut self, owners: u32) {
        self.owners = owners;
    }

    /// Adds or replaces an upstream, `slots` of which are this pool's to grant.
    pub(crate) fn serve(&mut self, announcement: Announcement, slots: u32) {
        let known = self.names.get(&announcement.instance).copied();
        let index = known.unwrap_or(self.upstreams.len());
        if known.is_none() {
            self.names.insert(announcement.instance.clone(), index);
            self.upstreams.push(Upstream::new(announcement, slots));
        } else {
            let restarted =
                self.upstreams[index].announcement.incarnation != announcement.incarnation;
            if restarted {
                self.forgive(index);
            }
            let upstream = &mut self.upstreams[index];
            upstream.announcement = announcement;
            upstream.slots = slots;
            upstream.serving = true;
        }
        self.reindex(index);
        self.count();
    }

    pub(crate) fn gone(&mut self, instance: &Name) {
        let Some(index) = self.names.get(instance).copied() else { return };
        self.upstreams[index].serving = false;
        self.reindex(index);
        self.count();
    }

    pub(crate) fn upstream(&self, index: usize) -> &Upstream {
        &self.upstreams[index]
    }

    pub(crate) fn upstreams(&self) -> impl Iterator<Item = &Upstream> {
        self.upstreams.iter()
    }

    pub(crate) fn find(&self, instance: &Name) -> Option<&Upstream> {
        self.names.get(instance).map(|index| &self.upstreams[*index])
    }

    /// Slots that are granted.
    pub(crate) fn granted(&self) -> usize {
        self.busy.len()
    }

    /// Upstream of the slot that `ticket` holds.
    pub(crate) fn holding(&self, owner: Owner, ticket: Ticket) -> Option<&Upstream> {
        self.busy.get(&(owner, ticket)).map(|busy| &self.upstreams[busy.upstream])
    }

    /// Queues a request, or says why it would wait in vain.
    pub(crate) fn offer(&mut self, now: Time, owner: Owner, want: Want) -> Result<(), Refusal> {
        if self.queue.contains(owner, want.ticket) {
            return Ok(());
        }
        let (waiting, weight) = self.waiting(now, owner, want);
        let wait = self.queue.wait(&waiting.tenant, weight, waiting.rank, self.capacity);
        if now + wait > waiting.last_chance {
            let retry_after = (now + wait).saturating_sub(waiting.last_chance);
            return Err(Refusal { reason: Reason::Overloaded, retry_after });
        }
        self.queue.push(waiting, weight);
        Ok(())
    }

    /// Takes requests that now wait in vain, after one of `tenant` and `kind` was queued.
    pub(crate) fn displaced(&mut self, now: Time, tenant: &Name, kind: &Name) -> Vec<Waiting> {
        let (tenant, _) = self.tenant(tenant);
        self.queue.displaced(now, &tenant, self.value(kind).1, self.capacity)
    }

    /// Takes a request whose last chance has passed.
    pub(crate) fn hopeless(&mut self, now: Time) -> Option<Waiting> {
        self.queue.pop_hopeless(now)
    }

    /// When a caller refused now should come back: once what waits is done.
    pub(crate) fn backlog(&self, tenant: &Name) -> Duration {
        let (tenant, weight) = self.tenant(tenant);
        self.queue.wait(&tenant, weight, 0, self.capacity)
    }

    pub(crate) fn withdraw(&mut self, owner: Owner, ticket: Ticket) {
        self.queue.withdraw(owner, ticket);
    }

    /// Takes everything that waits.
    pub(crate) fn drain(&mut self) -> Vec<Waiting> {
        self.queue.drain()
    }

    /// Grants a slot to the request whose turn it is.
    pub(crate) fn grant(&mut self, now: Time) -> Option<(Waiting, usize)> {
        let mut passed = Vec::new();
        let mut granted = None;
        while granted.is_none() && !self.free.is_empty() && passed.len() < MAX_PASSED {
            let Some(waiting) = self.queue.pop() else { break };
            match self.choose(&waiting) {
                Some(index) => granted = Some((waiting, index)),
                None => passed.push(waiting),
            }
        }
        for waiting in passed {
            let (_, weight) = self.tenant(&waiting.tenant);
            self.queue.push(waiting, weight);
        }
        let (waiting, index) = granted?;
        let until = waiting.deadline.max(now) + self.tenure() + LEASE_MARGIN;
        self.occupy(index, waiting.owner, waiting.ticket, waiting.kind.clone(), until);
        Some((waiting, index))
    }

    /// Time by which slots may be passed on among the requests of the daemon that holds them.
    pub(crate) fn tenure(&self) -> Duration {
        if self.policy == Policy::Broker { TENURE } else { Duration::ZERO }
    }

    /// Lines a request up behind those of this daemon, for slots that are passed on.
    pub(crate) fn line_up(&mut self, now: Time, want: Want) {
        if !self.queue.contains(Owners::SELF, want.ticket) {
            let (waiting, weight) = self.waiting(now, Owners::SELF, want);
            self.queue.push(waiting, weight);
        }
    }

    /// The request of this daemon to which a slot after one of `kind` is passed on.
    pub(crate) fn successor(&mut self, now: Time, kind: &Name) -> Option<Ticket> {
        while self.queue.pop_hopeless(now).is_some() {}
        let waiting = self.queue.peek()?;
        let suits = waiting.kind == *kind || waiting.rank >= self.value(kind).1;
        suits.then_some(waiting.ticket)
    }

    /// Follows a slot that was passed on.
    pub(crate) fn pass(
        &mut self,
        now: Time,
        owner: Owner,
        from: Ticket,
        to: Ticket,
        kind: Name,
        took: Duration,
    ) {
        let Some(Busy { upstream, until, .. }) = self.busy.get(&(owner, from)).cloned() else {
            return;
        };
        self.release(now, owner, from, Report::Answered, took);
        if let Some(other) = self.vacate(owner, to) {
            self.reindex(other.upstream);
        }
        self.queue.withdraw(owner, to);
        self.occupy(upstream, owner, to, kind, until);
    }

    /// Marks a slot as granted.
    pub(crate) fn occupy(
        &mut self,
        index: usize,
        owner: Owner,
        ticket: Ticket,
        kind: Name,
        until: Time,
    ) {
        self.busy.insert((owner, ticket), Busy { upstream: index, kind, until });
        self.leases.insert((until, owner, ticket));
        *self.held.entry((index, owner)).or_default() += 1;
        self.upstreams[index].in_flight += 1;
        self.reindex(index);
    }

    /// Marks a slot as granted by a former broker.
    pub(crate) fn restore(&mut self, owner: Owner, held: &Held, until: Time) {
        let Some(index) = self.names.get(&held.instance).copied() else { return };
        if !self.busy.contains_key(&(owner, held.ticket)) {
            self.occupy(index, owner, held.ticket, held.kind.clone(), until);
        }
    }

    /// Frees a slot after an attempt.
    pub(crate) fn release(
        &mut self,
        now: Time,
        owner: Owner,
        ticket: Ticket,
        report: Report,
        took: Duration,
    ) {
        let Some(busy) = self.busy.get(&(owner, ticket)) else { return };
        let index = busy.upstream;
        if let Some(hold) = self.hold(index, report, took) {
            return self.extend(owner, ticket, now + hold);
        }
        let Some(busy) = self.vacate(owner, ticket) else { return };
        match report {
            Report::Answered => {
                self.estimates.entry(busy.kind).or_default().add(took);
                self.forgive(index);
            }
            Report::Refused => self.rest(index, now + FULL_REST),
            Report::Broken | Report::NotSent => self.blame(now, index),
            Report::Late | Report::Unused => {}
        }
        self.reindex(index);
    }

    /// Learns from an attempt whose slot another daemon grants.
    pub(crate) fn learn(&mut self, kind: &Name, report: Report, took: Duration) {
        if report == Report::Answered {
            self.estimates.entry(kind.clone()).or_default().add(took);
        }
    }

    /// Frees slots whose lease has run out, and ends rests that are over.
    pub(crate) fn wake(&mut self, now: Time) {
        while let Some((until, owner, ticket)) = self.leases.first().copied()
            && until <= now
        {
            let index = self.vacate(owner, ticket).map(|busy| busy.upstream);
            self.leases.remove(&(until, owner, ticket));
            index.into_iter().for_each(|index| self.reindex(index));
        }
        while let Some((until, index)) = self.resting.first().copied()
            && until <= now
        {
            self.end_rest(index);
            self.reindex(index);
        }
    }

    /// When [`Self::wake`] or [`Self::hopeless`] next has something to do.
    pub(crate) fn next_wake(&self) -> Option<Time> {
        let lease = self.leases.first().map(|(until, ..)| *until);
        let rest = self.resting.first().map(|(until, _)| *until);
        [self.queue.next_chance(), lease, rest].into_iter().flatten().min()
    }

    /// Forgets every slot that is granted.
    pub(crate) fn forget_grants(&mut self) {
        self.busy.clear();
        self.leases.clear();
        self.held.clear();
        for index in 0..self.upstreams.len() {
            self.upstreams[index].in_flight = 0;
            self.reindex(index);
        }
    }

    /// Sets aside what `missing` daemons may hold of the upstreams numbered below `known`.
    pub(crate) fn reserve(&mut self, missing: u32, known: usize) {
        for index in 0..known.min(self.upstreams.len()) {
            let slots = self.upstreams[index].slots;
            self.upstreams[index].reserved = (missing * self.share(slots)).min(slots);
            self.reindex(index);
        }
        self.count();
    }

    /// How long the slot of an attempt that ended may still be in use at its upstream.
    fn hold(&mut self, index: usize, report: Report, took: Duration) -> Option<Duration> {
        match report {
            Report::Late => Some(took.min(MAX_HOLD)),
            Report::Refused if !self.policy.overcommits() => {
                let upstream = &mut self.upstreams[index];
                upstream.refusals += 1;
                Some(FULL_REST * (1 << upstream.refusals.min(MAX_DOUBLINGS)))
            }
            _ => None,
        }
    }

    /// Keeps a slot busy until another time.
    fn extend(&mut self, owner: Owner, ticket: Ticket, until: Time) {
        let Some(busy) = self.busy.get_mut(&(owner, ticket)) else { return };
        self.leases.remove(&(busy.until, owner, ticket));
        busy.until = until;
        self.leases.insert((until, owner, ticket));
    }

    /// A want as it queues, with the weight of its tenant.
    fn waiting(&self, now: Time, owner: Owner, want: Want) -> (Waiting, u64) {
        let quantile = self.estimates.get(&want.kind).map_or(Duration::ZERO, Estimate::quantile);
        let (work, rank) = self.value(&want.kind);
        let (tenant, weight) = self.tenant(&want.tenant);
        let deadline = now + want.left;
        let waiting = Waiting {
            owner,
            ticket: want.ticket,
            kind: want.kind,
            tenant,
            deadline,
            avoid: want.avoid,
            work,
            rank,
            last_chance: deadline.saturating_sub(quantile.min(want.left / 2)),
        };
        (waiting, weight)
    }

    /// Expected run time of a kind, in microseconds, and its rank.
    fn value(&self, kind: &Name) -> (u64, u64) {
        let work = self.estimates.get(kind).map_or(1, |it| it.mean().as_micros().max(1) as u64);
        let worth = self.config.kinds.get(kind).map_or(1, |kind| u64::from(kind.weight));
        (work, rank(worth, work))
    }

    fn vacate(&mut self, owner: Owner, ticket: Ticket) -> Option<Busy> {
        let busy = self.busy.remove(&(owner, ticket))?;
        self.leases.remove(&(busy.until, owner, ticket));
        let key = (busy.upstream, owner);
        if let Some(held) = self.held.get_mut(&key) {
            *held -= 1;
            if *held == 0 {
                self.held.remove(&key);
            }
        }
        self.upstreams[busy.upstream].in_flight -= 1;
        Some(busy)
    }

    fn choose(&mut self, waiting: &Waiting) -> Option<usize> {
        if self.policy == Policy::TwoChoices {
            return self.better_of_two();
        }
        let mut best: Option<(u8, usize)> = None;
        for (_, index) in self.free.iter().take(MAX_LOOKS) {
            let upstream = &self.upstreams[*index];
            let held = self.held.get(&(*index, waiting.owner)).copied().unwrap_or_default();
            if held >= self.share(upstream.slots) {
                continue;
            }
            let avoid = waiting.avoid.as_ref();
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

    fn better_of_two(&mut self) -> Option<usize> {
        let free: Vec<_> = self.free.iter().copied().collect();
        let pick = |rng: &mut ChaCha8Rng| free[rng.random_range(0..free.len())];
        let (first, second) = (pick(&mut self.rng), pick(&mut self.rng));
        Some(first.min(second).1)
    }

    /// Slots of an upstream that one daemon may hold at once, so that a lost one leaves the rest.
    fn share(&self, slots: u32) -> u32 {
        if self.policy != Policy::Broker || self.owners <= 1 {
            return slots;
        }
        slots.div_ceil(2)
    }

    /// Tenant and weight under which a request is queued; tenants that are not configured share.
    fn tenant(&self, tenant: &Name) -> (Name, u64) {
        match self.config.tenants.get_key_value(tenant) {
            Some((name, tenant)) => (name.clone(), u64::from(tenant.weight.max(1))),
            None => (self.others.clone(), 1),
        }
    }

    fn blame(&mut self, now: Time, index: usize) {
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
        self.rest(index, now + EJECTION * (1 << doublings));
    }

    fn forgive(&mut self, index: usize) {
        self.end_rest(index);
        self.upstreams[index].failures = 0;
        self.upstreams[index].refusals = 0;
        self.upstreams[index].ejections = 0;
    }

    fn rest(&mut self, index: usize, until: Time) {
        if let Some(former) = self.upstreams[index].rest.replace(until) {
            self.resting.remove(&(former, index));
        }
        self.resting.insert((until, index));
        self.reindex(index);
    }

    fn end_rest(&mut self, index: usize) {
        let Some(until) = self.upstreams[index].rest.take() else { return };
        self.resting.remove(&(until, index));
        if std::mem::take(&mut self.upstreams[index].ejected) {
            self.ejected -= 1;
        }
    }

    fn reindex(&mut self, index: usize) {
        let upstream = &mut self.upstreams[index];
        if let Some(former) = upstream.indexed.take() {
            self.free.remove(&(former, index));
        }
        if upstream.is_free() {
            upstream.indexed = Some(upstream.in_flight);
            self.free.insert((upstream.in_flight, index));
        }
    }

    fn count(&mut self) {
        let serving = self.upstreams.iter().filter(|upstream| upstream.serving);
        self.serving = serving.clone().count() as u32;
        self.capacity =
            serving.map(|upstream| upstream.slots.saturating_sub(upstream.reserved)).sum();
    }
}

/// Rank of requests with a worth and an expected run time, in steps of at most a quarter.
fn rank(worth: u64, work: u64) -> u64 {
    Estimate::bucket(worth * RANK_SCALE / work) as u64
}
