//! Which waiting job goes where.

use super::*;

/// Reserves remembered as blocked for one selector.
const MAX_BLOCKED: usize = 16;

impl Planner {
    /// Searches over all workers in one pass.
    const MAX_SEARCHES: usize = 200;
    /// Waiting jobs looked at in one pass, urgent ones apart.
    const MAX_LOOKS: usize = 1000;
    /// Wait after which room is kept for a job that finds none.
    const STARVATION: Duration = Duration::from_secs(30);
    /// Jobs for which room is kept at once, urgent ones apart.
    const MAX_CLAIMS: usize = 8;
    /// How long room is kept for a job.
    const CLAIM: Duration = Duration::from_secs(120);

    /// Takes back jobs and workers whose wait is over.
    pub(crate) fn take_delayed(&mut self, state: &State, now: Time) {
        while let Some((at, name)) = self.delayed.first().cloned() {
            if at > self.clock(now) {
                return;
            }
            self.delayed.pop_first();
            if self.numbers.contains_key(&name) {
                self.sync_worker(state, &name, now);
            }
            let waiting = |entry: &&Entry| entry.phase == Phase::Waiting;
            if let Some(entry) = state.jobs().get(&name).filter(waiting) {
                let want = Want::new(state, &name, entry);
                self.queue.insert(want.clone());
                self.wants.insert(name, want);
            }
        }
    }

    /// Places jobs for which room was kept.
    pub(crate) fn fill_claims(&mut self, state: &State, now: Time) {
        for (id, claim) in self.claims.clone() {
            let slot = &self.slots[claim.slot];
            let room = slot.free.saturating_sub(slot.held.saturating_sub(claim.reserve));
            if claim.reserve.fits(room) && slot.open {
                self.drop_claim(&id);
                self.place(state, &id, claim.slot, claim.reserve);
            } else if now >= claim.until {
                self.drop_claim(&id);
            }
        }
    }

    /// Places waiting jobs: urgent ones first, the others from where the last pass stopped.
    pub(crate) fn take_queue(&mut self, state: &State, now: Time) {
        let mut searches = 0;
        let urgent = |want: &&Want| want.urgency.0 == Urgency::Urgent;
        let wants: Vec<_> = self.queue.iter().take_while(urgent).cloned().collect();
        for want in wants {
            searches += self.seek(state, &want, now);
        }
        let start = self.cursor.take();
        let from = start.map_or(std::ops::Bound::Unbounded, std::ops::Bound::Excluded);
        let rest = self.queue.range((from, std::ops::Bound::Unbounded));
        let rest = rest.filter(|want| !urgent(want)).take(Self::MAX_LOOKS);
        let rest: Vec<_> = rest.cloned().collect();
        let all = rest.len() < Self::MAX_LOOKS;
        for want in rest {
            searches += self.seek(state, &want, now);
            self.cursor = Some(want);
            if searches >= Self::MAX_SEARCHES {
                return;
            }
        }
        if all {
            self.cursor = None;
        }
    }

    /// Tries to place one job; how many searches that took.
    fn seek(&mut self, state: &State, want: &Want, now: Time) -> usize {
        let id = &want.id;
        if self.proposed.contains_key(id) || self.claims.contains_key(id) {
            return 0;
        }
        let Some(entry) = state.jobs().get(id) else { return 0 };
        let reserve = self.reserve(state, entry);
        let team_held = self.held_by.get(&entry.job.team).copied().unwrap_or_default();
        if state.hold_up(entry, reserve + team_held).is_some() {
            return 0;
        }
        let urgent = want.urgency.0 == Urgency::Urgent;
        if !urgent && self.is_blocked(entry, reserve) {
            return 0;
        }
        if let Some(slot) = self.best(state, entry, reserve) {
            self.place(state, id, slot, reserve);
        } else if urgent {
            self.preempt(state, id, entry, reserve, now);
        } else {
            self.block(entry, reserve);
            self.claim_if_starved(state, id, entry, reserve, now);
        }
        1
    }

    fn place(&mut self, state: &State, id: &Name, slot: usize, reserve: Resources) {
        let Some(entry) = state.jobs().get(id) else { return };
        let target = &mut self.slots[slot];
        target.held += reserve;
        let team = entry.job.team.clone();
        *self.held_by.entry(team.clone()).or_default() += reserve;
        self.proposed.insert(id.clone(), (slot, reserve, team));
        let worker = target.name.clone();
        self.propose(Step::Place { job: id.clone(), after: entry.epoch, worker, reserve });
    }

    /// What to hold for a job: usage seen in its class, or what it declares.
    pub(crate) fn reserve(&self, state: &State, entry: &Entry) -> Resources {
        let job = &entry.job;
        let floor = State::floor(job);
        let seen = state.class(&job.class).and_then(Class::usage);
        let Some(seen) = seen else { return job.size };
        let witness = entry.witness.as_ref().and_then(|name| state.hosts().get(name));
        let most = witness.map_or(job.size, |host| host.worker.size);
        let quota = state.teams().get(&job.team).map_or(most, |team| team.quota);
        let mut reserve = seen.min(most).min(quota).max(floor);
        reserve.accelerators = job.size.accelerators;
        reserve
    }

    /// The open worker that `reserve` fits most closely; one on which the job has not failed first.
    fn best(&mut self, state: &State, entry: &Entry, reserve: Resources) -> Option<usize> {
        let eligible = self.eligible(state, &entry.job.selector);
        let fitting = eligible.iter().copied().filter(|&number| {
            let slot = &self.slots[number];
            slot.open && reserve.fits(slot.room()) && !self.rack_is_full(state, entry, slot)
        });
        let failed = |slot: &Slot| entry.failed_on.contains(&slot.name);
        fitting.min_by_key(|&number| {
            let slot = &self.slots[number];
            (failed(slot), slot.left_over(reserve), number)
        })
    }

    pub(crate) fn rack_is_full(&self, state: &State, entry: &Entry, slot: &Slot) -> bool {
        if entry.job.spread.is_none() {
            return false;
        }
        let host = state.hosts().get(&slot.name);
        host.is_none_or(|host| state.rack_is_full(&entry.job, &host.worker.location))
    }

    /// Workers that `selector` selects.
    pub(crate) fn eligible(&mut self, state: &State, selector: &Option<Selector>) -> Arc<[usize]> {
        if let Some(eligible) = self.eligible.get(selector) {
            return eligible.clone();
        }
        let selected = |host: &Host| {
            selector.as_ref().is_none_or(|selector| selector.matches(&host.worker.labels))
        };
        let numbers = self
            .slots
            .iter()
            .enumerate()
            .filter(|(_, slot)| state.hosts().get(&slot.name).is_some_and(selected));
        let eligible: Arc<[usize]> = numbers.map(|(number, _)| number).collect();
        self.eligible.insert(selector.clone(), eligible.clone());
        eligible
    }

    fn is_blocked(&self, entry: &Entry, reserve: Resources) -> bool {
        let blocked = self.blocked.get(&entry.job.selector);
        blocked.is_some_and(|blocked| blocked.iter().any(|least| least.fits(reserve)))
    }

    fn block(&mut self, entry: &Entry, reserve: Resources) {
        if entry.job.spread.is_some() {
            return;
        }
        let blocked = self.blocked.entry(entry.job.selector.clone()).or_default();
        blocked.retain(|greater| !reserve.fits(*greater));
        if blocked.len() < MAX_BLOCKED {
            blocked.push(reserve);
        }
    }

    /// Keeps the room of the least loaded worker for a job that has waited long.
    fn claim_if_starved(
        &mut self,
        state: &State,
        id: &Name,
        entry: &Entry,
        reserve: Resources,
        now: Time,
    ) {
        let starved = self.clock(now) >= entry.submitted + Self::STARVATION;
        if !starved || self.claims.len() >= Self::MAX_CLAIMS {
            return;
        }
        let eligible = self.eligible(state, &entry.job.selector);
        let able = eligible.iter().copied().filter(|&number| {
            let slot = &self.slots[number];
            slot.open
                && slot.held == Resources::default()
                && reserve.fits(slot.size)
                && !self.rack_is_full(state, entry, slot)
        });
        let lacking = |number: &usize| {
            let lack = reserve.saturating_sub(self.slots[*number].free);
            (lack.accelerators, lack.memory_mb + lack.millicores, *number)
        };
        let Some(slot) = able.min_by_key(lacking) else { return };
        self.claim(id, slot, reserve, now + Self::CLAIM);
    }

    pub(crate) fn claim(&mut self, id: &Name, slot: usize, reserve: Resources, until: Time) {
        self.slots[slot].held += reserve;
        self.claims.insert(id.clone(), Claim { slot, reserve, until });
    }
}
