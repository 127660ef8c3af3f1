//! Places waiting jobs on workers.

use super::*;

/// Maximum number of blocked reserves kept for one selector.
const MAX_BLOCKED: usize = 16;

impl Planner {
    /// Searches for a worker in one pass, after which the pass stops. Urgent jobs are always tried.
    const MAX_SEARCHES_PER_PASS: usize = 200;
    /// Waiting jobs considered in one pass, not counting urgent ones.
    const MAX_JOBS_PER_PASS: usize = 1000;
    /// Time since submission after which room is kept for a job that finds none.
    const STARVATION_AGE: Duration = Duration::from_secs(30);
    /// Number of claims from which no more starved jobs get one. Urgent jobs are not limited.
    const MAX_CLAIMS: usize = 8;
    /// How long room is kept for a starved job.
    const CLAIM_DURATION: Duration = Duration::from_secs(120);

    /// Queues jobs whose back-off has ended, and updates workers whose quarantine has ended.
    pub(crate) fn requeue_delayed(&mut self, state: &State, now: Time) {
        while let Some((at, name)) = self.delayed.first().cloned() {
            if at > self.clock(now) {
                return;
            }
            self.delayed.pop_first();
            if self.slot_by_name.contains_key(&name) {
                self.sync_worker(state, &name, now);
            }
            let waiting = |entry: &&Entry| entry.phase == Phase::Waiting;
            if let Some(entry) = state.jobs().get(&name).filter(waiting) {
                let key = QueueKey::new(state, &name, entry);
                self.queue.insert(key.clone());
                self.queue_keys.insert(name, key);
            }
        }
    }

    /// Places jobs whose claimed room is free now, and drops claims that have expired.
    pub(crate) fn place_claimed(&mut self, state: &State, now: Time) {
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

    /// Places waiting jobs: urgent ones first, then the others from where the last pass stopped.
    pub(crate) fn place_queued(&mut self, state: &State, now: Time) {
        let mut searches = 0;
        let urgent = |key: &&QueueKey| key.urgency.0 == Urgency::Urgent;
        let urgent_keys: Vec<_> = self.queue.iter().take_while(urgent).cloned().collect();
        for key in urgent_keys {
            searches += self.try_place(state, &key, now);
        }
        let start = self.cursor.take();
        let from = start.map_or(std::ops::Bound::Unbounded, std::ops::Bound::Excluded);
        let rest = self.queue.range((from, std::ops::Bound::Unbounded));
        let rest = rest.filter(|key| !urgent(key)).take(Self::MAX_JOBS_PER_PASS);
        let rest: Vec<_> = rest.cloned().collect();
        let reached_end = rest.len() < Self::MAX_JOBS_PER_PASS;
        for key in rest {
            searches += self.try_place(state, &key, now);
            self.cursor = Some(key);
            if searches >= Self::MAX_SEARCHES_PER_PASS {
                return;
            }
        }
        if reached_end {
            self.cursor = None;
        }
    }

    /// Tries to place one job. Returns the number of searches over workers that this took.
    fn try_place(&mut self, state: &State, key: &QueueKey, now: Time) -> usize {
        let id = &key.id;
        if self.proposed.contains_key(id) || self.claims.contains_key(id) {
            return 0;
        }
        let Some(entry) = state.jobs().get(id) else { return 0 };
        let reserve = self.reserve(state, entry);
        let team_held = self.held_by_team.get(&entry.job.team).copied().unwrap_or_default();
        if state.job_obstacle(entry, reserve + team_held).is_some() {
            return 0;
        }
        let urgent = key.urgency.0 == Urgency::Urgent;
        if !urgent && self.is_blocked(entry, reserve) {
            return 0;
        }
        if let Some(slot) = self.best_slot(state, entry, reserve) {
            self.place(state, id, slot, reserve);
        } else if urgent {
            self.preempt(state, id, entry, reserve, now);
        } else {
            self.mark_blocked(entry, reserve);
            self.claim_if_starved(state, id, entry, reserve, now);
        }
        1
    }

    fn place(&mut self, state: &State, id: &Name, slot: usize, reserve: Resources) {
        let Some(entry) = state.jobs().get(id) else { return };
        let target = &mut self.slots[slot];
        target.held += reserve;
        let team = entry.job.team.clone();
        *self.held_by_team.entry(team.clone()).or_default() += reserve;
        self.proposed.insert(id.clone(), (slot, reserve, team));
        let worker = target.name.clone();
        self.propose(Step::Place { job: id.clone(), after: entry.epoch, worker, reserve });
    }

    /// Resources to reserve for a job: the usage estimated for its class, within the limits of a
    /// feasible worker, the team's quota and overcommit, or its declared size if there is no
    /// estimate.
    pub(crate) fn reserve(&self, state: &State, entry: &Entry) -> Resources {
        let job = &entry.job;
        let min_reserve = State::min_reserve(job);
        let estimate = state.class(&job.class).and_then(Class::usage);
        let Some(estimate) = estimate else { return job.size };
        let feasible_worker =
            entry.feasible_worker.as_ref().and_then(|name| state.hosts().get(name));
        let limit = feasible_worker.map_or(job.size, |host| host.worker.size);
        let quota = state.teams().get(&job.team).map_or(limit, |team| team.quota);
        let mut reserve = estimate.min(limit).min(quota).max(min_reserve);
        reserve.accelerators = job.size.accelerators;
        reserve
    }

    /// The open worker with the least left over after `reserve` (best fit), preferring workers on
    /// which the job has not failed.
    fn best_slot(&mut self, state: &State, entry: &Entry, reserve: Resources) -> Option<usize> {
        let eligible = self.eligible(state, &entry.job.selector);
        let fitting = eligible.iter().copied().filter(|&index| {
            let slot = &self.slots[index];
            slot.open && reserve.fits(slot.room()) && !self.rack_is_full(state, entry, slot)
        });
        let failed = |slot: &Slot| entry.failed_on.contains(&slot.name);
        fitting.min_by_key(|&index| {
            let slot = &self.slots[index];
            (failed(slot), slot.fit_score(reserve), index)
        })
    }

    pub(crate) fn rack_is_full(&self, state: &State, entry: &Entry, slot: &Slot) -> bool {
        if entry.job.spread.is_none() {
            return false;
        }
        let host = state.hosts().get(&slot.name);
        host.is_none_or(|host| state.rack_is_full(&entry.job, &host.worker.location))
    }

    /// Slots of the workers that `selector` matches; all of them without a selector.
    pub(crate) fn eligible(&mut self, state: &State, selector: &Option<Selector>) -> Arc<[usize]> {
        if let Some(eligible) = self.eligible.get(selector) {
            return eligible.clone();
        }
        let selected = |host: &Host| {
            selector.as_ref().is_none_or(|selector| selector.matches(&host.worker.labels))
        };
        let matching = self
            .slots
            .iter()
            .enumerate()
            .filter(|(_, slot)| state.hosts().get(&slot.name).is_some_and(selected));
        let eligible: Arc<[usize]> = matching.map(|(index, _)| index).collect();
        self.eligible.insert(selector.clone(), eligible.clone());
        eligible
    }

    /// Whether a reserve that is no larger already found no room, so that a search is pointless.
    fn is_blocked(&self, entry: &Entry, reserve: Resources) -> bool {
        let blocked = self.blocked.get(&entry.job.selector);
        blocked.is_some_and(|blocked| blocked.iter().any(|least| least.fits(reserve)))
    }

    /// Remembers that `reserve` found no room. A job with a spread proves nothing about other jobs,
    /// as its spread may be what kept it out.
    fn mark_blocked(&mut self, entry: &Entry, reserve: Resources) {
        if entry.job.spread.is_some() {
            return;
        }
        let blocked = self.blocked.entry(entry.job.selector.clone()).or_default();
        blocked.retain(|greater| !reserve.fits(*greater));
        if blocked.len() < MAX_BLOCKED {
            blocked.push(reserve);
        }
    }

    /// Claims the worker that lacks the least room for a job that has waited too long.
    fn claim_if_starved(
        &mut self,
        state: &State,
        id: &Name,
        entry: &Entry,
        reserve: Resources,
        now: Time,
    ) {
        let starved = self.clock(now) >= entry.submitted + Self::STARVATION_AGE;
        if !starved || self.claims.len() >= Self::MAX_CLAIMS {
            return;
        }
        let eligible = self.eligible(state, &entry.job.selector);
        let candidates = eligible.iter().copied().filter(|&index| {
            let slot = &self.slots[index];
            slot.open
                && slot.held == Resources::default()
                && reserve.fits(slot.size)
                && !self.rack_is_full(state, entry, slot)
        });
        let shortfall = |index: &usize| {
            let missing = reserve.saturating_sub(self.slots[*index].free);
            (missing.accelerators, missing.memory_mb + missing.millicores, *index)
        };
        let Some(slot) = candidates.min_by_key(shortfall) else { return };
        self.claim(id, slot, reserve, now + Self::CLAIM_DURATION);
    }

    pub(crate) fn claim(&mut self, id: &Name, slot: usize, reserve: Resources, until: Time) {
        self.slots[slot].held += reserve;
        self.claims.insert(id.clone(), Claim { slot, reserve, until });
    }
}
