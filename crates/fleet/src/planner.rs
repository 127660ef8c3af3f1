use super::*;

/// Computes the commands that the leader proposes next. It keeps nothing between plans: everything
/// is computed from the replicated state, so a new leader continues where the previous one stopped.
#[derive(Debug, Clone, Default)]
pub struct Planner {
    commands: Vec<Command>,
    now: Time,
    tally: Tally,
    waits: BTreeMap<Name, Wait>,
}

impl Planner {
    /// Author of waves that the maintenance schedule starts.
    pub const SCHEDULE: &'static str = "schedule";

    /// Commands to propose for `state` at fleet time `now`.
    pub fn plan(state: &State, now: Time) -> Vec<Command> {
        let mut planner = Self::compute(state, now);
        planner.start_scheduled_wave(state);
        planner.commands
    }

    /// What each running wave waits for, by wave. Waves that wait for nothing are left out.
    pub fn waits(state: &State) -> BTreeMap<Name, Wait> {
        Self::compute(state, state.now()).waits
    }

    fn compute(state: &State, now: Time) -> Self {
        let tally = Tally::count(state);
        let mut planner = Self { now, tally, ..Self::default() };
        planner.end_phases(state);
        planner.move_misplaced(state);
        let running = state.waves().iter();
        let running = running.filter(|(_, wave)| wave.standing == Standing::Running);
        let mut running: Vec<_> = running.collect();
        running.sort_by_key(|(_, wave)| wave.started);
        for (name, wave) in running {
            planner.advance_wave(state, name, wave);
        }
        planner
    }

    fn propose(&mut self, upstream: &Upstream, action: Action) {
        self.commands.push(Command::Step(Step {
            instance: upstream.announcement.instance.clone(),
            epoch: upstream.epoch,
            action,
            at: self.now,
        }));
    }

    /// Proposes steps for grants whose phase is over: a release after the soak time, an expiry
    /// after a timeout, and a recall of a loan that is no longer valid or whose instance a wave
    /// awaits.
    fn end_phases(&mut self, state: &State) {
        for upstream in state.upstreams().values() {
            let Some(grant) = &upstream.grant else { continue };
            let due = grant.until.is_some_and(|until| until <= self.now);
            match grant.phase {
                Phase::Returned if due => self.propose(upstream, Action::Release),
                Phase::Draining | Phase::Rebooting { .. } if due => {
                    self.propose(upstream, Action::Expire);
                }
                Phase::Lent
                    if is_loan_invalid(state, upstream) || is_awaited_by_wave(state, upstream) =>
                {
                    self.propose(upstream, Action::Recall);
                }
                _ => {}
            }
        }
    }

    /// Grants a move to every instance that its home pool no longer selects, as budgets allow.
    fn move_misplaced(&mut self, state: &State) {
        for upstream in state.upstreams().values().filter(|upstream| upstream.is_misplaced()) {
            self.grant(state, upstream, Purpose::Move).ok();
        }
    }

    fn grant(&mut self, state: &State, upstream: &Upstream, purpose: Purpose) -> Result {
        state.check_grant(upstream, &purpose, &self.tally)?;
        if state.is_available(upstream) {
            self.tally.grant(upstream);
        }
        self.propose(upstream, Action::Grant(purpose));
        Ok(())
    }

    fn advance_wave(&mut self, state: &State, name: &Name, wave: &Wave) {
        let Some(wait) = self.grant_waiting(state, name, wave) else { return };
        let recorded = wave.wait.as_ref().is_some_and(|former| former.same_cause(&wait));
        self.waits.insert(name.clone(), wait.clone());
        if !recorded {
            self.commands.push(Command::Wait { wave: name.clone(), wait, at: self.now });
        }
    }

    /// Grants as many instances of a wave as budgets allow, and returns what the rest waits for.
    fn grant_waiting(&mut self, state: &State, name: &Name, wave: &Wave) -> Option<Wait> {
        let granted = wave.instances.iter().filter(|(_, p)| **p == Progress::Granted);
        let first_granted = granted.clone().next().map(|(instance, _)| instance.clone());
        let canary = wave.max_concurrent(&state.config().policy);
        let mut remaining = canary.unwrap_or(usize::MAX).saturating_sub(granted.count());
        let mut wait = None;
        for upstream in self.waiting_in_order(state, wave) {
            if remaining == 0 {
                return wait.or(first_granted.map(Wait::Canary));
            }
            let instance = upstream.announcement.instance.clone();
            match self.grant(state, upstream, Purpose::Maintenance(name.clone())) {
                Ok(()) => remaining -= 1,
                Err(Error::Shortage(shortage)) => {
                    wait = wait.or(Some(Wait::Budget { instance, shortage }));
                }
                Err(Error::Busy { .. }) => wait = wait.or(Some(Wait::Granted(instance))),
                Err(_) => wait = wait.or(Some(Wait::Down(instance))),
            }
        }
        wait.or(first_granted.map(Wait::Granted))
    }

    /// Waiting instances of a wave in the order in which to grant them: available ones first, then
    /// those whose budget takes the most rounds, then those in racks with the fewest disruptions.
    fn waiting_in_order<'a>(&self, state: &'a State, wave: &Wave) -> Vec<&'a Upstream> {
        let waiting = wave.instances.iter().filter(|(_, p)| **p == Progress::Waiting);
        let waiting = waiting.filter_map(|(instance, _)| state.upstreams().get(instance));
        let mut waiting: Vec<_> = waiting.collect();
        let rounds = self.rounds_by_budget(state, &waiting);
        let mut racks = disrupted_racks(state);
        let key = |upstream: &Upstream| {
            let rounds = upstream.budgets.iter().filter_map(|budget| rounds.get(budget)).max();
            std::cmp::Reverse(rounds.copied().unwrap_or(0))
        };
        waiting.sort_by_cached_key(|upstream| {
            let rack = racks.entry(&upstream.announcement.location).or_default();
            *rack += 1;
            (!state.is_available(upstream), key(upstream), *rack)
        });
        waiting
    }

    /// Rounds of grants that each budget needs for its waiting instances, in thousandths.
    fn rounds_by_budget(&self, state: &State, waiting: &[&Upstream]) -> BTreeMap<Name, u64> {
        let mut counts = BTreeMap::<&Name, u64>::new();
        for budget in waiting.iter().flat_map(|upstream| &upstream.budgets) {
            *counts.entry(budget).or_default() += 1;
        }
        let rounds = counts.into_iter().filter_map(|(name, count)| {
            let budget = state.config().budgets.get(name)?;
            let limit = u64::from(self.tally.get(name).disruption_limit(budget).max(1));
            Some((name.clone(), count * 1000 / limit))
        });
        rounds.collect()
    }

    fn start_scheduled_wave(&mut self, state: &State) {
        let due = state.due_for_maintenance(self.now);
        if due.is_empty() {
            return;
        }
        let name = Name::from(format!("{}-{}", Self::SCHEDULE, self.now.as_secs()));
        self.commands.push(Command::Tick { at: self.now });
        self.commands.push(Command::Maintain(Order {
            request: name.clone(),
            author: Self::SCHEDULE.into(),
            wave: name,
            edit: Edit::Schedule,
        }));
    }
}

/// Number of instances with a grant, by rack.
fn disrupted_racks(state: &State) -> BTreeMap<&model::Location, u32> {
    let mut racks = BTreeMap::new();
    for upstream in state.upstreams().values().filter(|upstream| upstream.grant.is_some()) {
        *racks.entry(&upstream.announcement.location).or_default() += 1;
    }
    racks
}

/// Whether the configuration no longer allows the loan of an instance.
fn is_loan_invalid(state: &State, upstream: &Upstream) -> bool {
    let Some(tenure) = &upstream.tenure else { return false };
    let pools = &state.config().pools;
    upstream.is_misplaced()
        || pools.get(&tenure.pool).is_none_or(|pool| pool.spare)
        || pools.get(&tenure.home).is_none_or(|pool| !pool.spare)
}

/// Whether a running wave has yet to maintain the instance.
fn is_awaited_by_wave(state: &State, upstream: &Upstream) -> bool {
    let wave = state.wave_of(&upstream.announcement.instance);
    let wave = wave.and_then(|wave| state.waves().get(wave));
    wave.is_some_and(|wave| wave.standing == Standing::Running)
}
