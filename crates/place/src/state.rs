use super::*;

/// Replicated state of jobs and workers.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct State {
    pub(crate) now: Time,
    term: Term,
    epoch: Epoch,
    pub(crate) teams: BTreeMap<Name, Team>,
    pub(crate) hosts: BTreeMap<Name, Host>,
    pub(crate) jobs: BTreeMap<Name, Entry>,
    /// Jobs in [`Phase::Never`].
    infeasible: BTreeSet<Name>,
    /// Resources reserved, by team.
    pub(crate) used: BTreeMap<Name, Resources>,
    /// Number of placed jobs, by spread group and rack.
    pub(crate) groups: BTreeMap<(Name, Location), u32>,
    classes: BTreeMap<Name, Class>,
    pub(crate) history: History,
    pub(crate) tombstones: Tombstones,
}

impl State {
    /// Maximum number of jobs that have not ended.
    pub const MAX_JOBS: usize = 20_000;
    /// Maximum number of job classes for which usage is recorded.
    pub const MAX_CLASSES: usize = 2_000;

    /// Applies a committed command from the log.
    pub fn apply(&mut self, command: Command) -> Vec<Effect> {
        match command {
            Command::Submit { id, job } => self.submit(id, job),
            Command::Cancel { id } => self.cancel(id),
            Command::Worker { name, worker } => self.update_worker(name, worker),
            Command::Remove { name } => self.remove_worker(name),
            Command::Lead { term } => self.lead(term),
            Command::Plan(plan) => self.apply_plan(plan),
        }
    }

    /// Applies the quotas of a new configuration.
    pub fn configure(&mut self, teams: &BTreeMap<Name, Team>) -> Vec<Effect> {
        if *teams == self.teams {
            return Vec::new();
        }
        self.teams = teams.clone();
        let ids = self.unplaced_jobs(|_| true);
        let mut effects = vec![Effect::Quotas];
        self.recheck_feasibility(ids, &mut effects);
        effects
    }

    /// Replicated time, which advances with plans.
    pub fn now(&self) -> Time {
        self.now
    }

    /// Term of the leader whose plans are accepted.
    pub fn term(&self) -> Term {
        self.term
    }

    /// Jobs that have not ended, by id.
    pub fn jobs(&self) -> &BTreeMap<Name, Entry> {
        &self.jobs
    }

    /// Workers by name.
    pub fn hosts(&self) -> &BTreeMap<Name, Host> {
        &self.hosts
    }

    /// Teams by name.
    pub fn teams(&self) -> &BTreeMap<Name, Team> {
        &self.teams
    }

    /// Resources reserved for the jobs of `team`.
    pub fn used(&self, team: &Name) -> Resources {
        self.used.get(team).copied().unwrap_or_default()
    }

    /// Usage recorded for `class`.
    pub fn class(&self, class: &Name) -> Option<&Class> {
        self.classes.get(class)
    }

    /// Jobs that have ended.
    pub fn history(&self) -> &History {
        &self.history
    }

    fn submit(&mut self, id: Name, job: Job) -> Vec<Effect> {
        let verdict = match self.existing(&id) {
            Some((former, _)) if **former != job => Verdict::Taken,
            Some((_, verdict)) => verdict.clone(),
            None => return self.accept(id, job),
        };
        vec![Effect::Verdict { job: id, verdict }]
    }

    /// The job that was submitted with this id before, and the verdict that it got.
    fn existing(&self, id: &Name) -> Option<(&Arc<Job>, &Verdict)> {
        let entry = self.jobs.get(id).map(|entry| (&entry.job, &entry.verdict));
        entry.or_else(|| self.history.get(id).map(|past| (&past.job, &past.verdict)))
    }

    fn accept(&mut self, id: Name, job: Job) -> Vec<Effect> {
        if self.tombstones.contains(&id) {
            let verdict = Verdict::Cancelled;
            let past = history::Past {
                job: Arc::new(job),
                verdict: verdict.clone(),
                outcome: Outcome::Cancelled,
            };
            self.history.insert(id.clone(), past);
            return vec![Effect::Verdict { job: id, verdict }];
        }
        if self.jobs.len() >= Self::MAX_JOBS {
            return vec![Effect::Verdict { job: id, verdict: Verdict::Full }];
        }
        let (verdict, phase, feasible_worker) = match self.feasible(&job) {
            Ok(feasible_worker) => (Verdict::Accepted, Phase::Waiting, Some(feasible_worker)),
            Err(lacks) => (Verdict::Never { lacks }, Phase::Never, None),
        };
        if phase == Phase::Never {
            self.infeasible.insert(id.clone());
        }
        let entry = Entry {
            job: Arc::new(job),
            verdict: verdict.clone(),
            submitted: self.now,
            phase,
            epoch: 0,
            cancelled: false,
            failed_on: BTreeSet::new(),
            not_before: Time::ZERO,
            feasible_worker,
        };
        self.jobs.insert(id.clone(), entry);
        vec![Effect::Verdict { job: id.clone(), verdict }, Effect::Job(id)]
    }

    fn cancel(&mut self, id: Name) -> Vec<Effect> {
        let cancelled = Effect::Cancelled { job: id.clone() };
        let Some(entry) = self.jobs.get_mut(&id) else {
            if self.history.get(&id).is_none() {
                self.tombstones.insert(id);
            }
            return vec![cancelled];
        };
        if entry.cancelled {
            return vec![cancelled];
        }
        entry.cancelled = true;
        if entry.placement().is_none() {
            self.finish(&id, Outcome::Cancelled);
        }
        vec![cancelled, Effect::Job(id)]
    }

    fn finish(&mut self, id: &Name, outcome: Outcome) {
        let Some(entry) = self.jobs.remove(id) else { return };
        self.infeasible.remove(id);
        let past = history::Past { job: entry.job, verdict: entry.verdict, outcome };
        self.history.insert(id.clone(), past);
    }

    /// Adds a worker or updates its description. A worker with tasks cannot change its location, as
    /// its jobs are counted by group and rack.
    fn update_worker(&mut self, name: Name, worker: Worker) -> Vec<Effect> {
        let known = self.hosts.get_mut(&name);
        match known {
            Some(host) if !host.removed && *host.worker == worker => return Vec::new(),
            Some(host) if host.tasks.is_empty() || host.worker.location == worker.location => {
                host.worker = Arc::new(worker);
                host.removed = false;
            }
            Some(_) => return Vec::new(),
            None => {
                self.hosts.insert(name.clone(), Host::new(worker));
            }
        }
        let mut ids = self.unplaced_jobs(|entry| entry.feasible_worker.as_ref() == Some(&name));
        ids.extend(self.infeasible.iter().cloned());
        let mut effects = vec![Effect::Worker(name)];
        self.recheck_feasibility(ids, &mut effects);
        effects
    }

    fn remove_worker(&mut self, name: Name) -> Vec<Effect> {
        let Some(host) = self.hosts.get_mut(&name) else { return Vec::new() };
        if host.removed {
            return Vec::new();
        }
        host.removed = true;
        let ids = self.unplaced_jobs(|entry| entry.feasible_worker.as_ref() == Some(&name));
        let mut effects = vec![Effect::Worker(name.clone())];
        self.recheck_feasibility(ids, &mut effects);
        self.drop_if_empty(&name);
        effects
    }

    /// Drops the record of a removed worker that has no tasks left.
    fn drop_if_empty(&mut self, name: &Name) {
        let empty = |host: &Host| host.removed && host.tasks.is_empty();
        if self.hosts.get(name).is_some_and(empty) {
            self.hosts.remove(name);
        }
    }

    fn unplaced_jobs(&self, select: impl Fn(&Entry) -> bool) -> Vec<Name> {
        let unplaced = |entry: &Entry| entry.placement().is_none() && select(entry);
        let ids = self.jobs.iter().filter(|(_, entry)| unplaced(entry));
        ids.map(|(id, _)| id.clone()).collect()
    }

    /// Checks again whether jobs that are not placed could ever run.
    fn recheck_feasibility(&mut self, ids: Vec<Name>, effects: &mut Vec<Effect>) {
        for id in ids {
            let Some(entry) = self.jobs.get(&id) else { continue };
            let feasible_worker = self.find_feasible_worker(entry);
            let phase = if feasible_worker.is_some() { Phase::Waiting } else { Phase::Never };
            let changed = entry.phase != phase;
            let Some(entry) = self.jobs.get_mut(&id) else { continue };
            entry.feasible_worker = feasible_worker;
            entry.phase = phase;
            if !changed {
                continue;
            }
            match entry.phase {
                Phase::Never => self.infeasible.insert(id.clone()),
                _ => self.infeasible.remove(&id),
            };
            effects.push(Effect::Job(id));
        }
    }

    fn lead(&mut self, term: Term) -> Vec<Effect> {
        if term <= self.term {
            return Vec::new();
        }
        self.term = term;
        vec![Effect::Lead(term)]
    }

    fn apply_plan(&mut self, plan: Plan) -> Vec<Effect> {
        let mut effects = Vec::new();
        if plan.term != self.term {
            let refused = |step| Effect::Refused { step, refusal: Refusal::Term };
            return plan.steps.into_iter().map(refused).collect();
        }
        self.now = self.now.max(plan.at);
        for step in plan.steps {
            if let Err(refusal) = self.apply_step(&step, &mut effects) {
                effects.push(Effect::Refused { step, refusal });
            }
        }
        effects
    }

    fn apply_step(&mut self, step: &Step, effects: &mut Vec<Effect>) -> Result<(), Refusal> {
        match step {
            Step::Place { job, after, worker, reserve } => {
                self.check_place(job, *after, worker, *reserve)?;
                self.place(job, worker, *reserve, effects);
            }
            Step::Resize { job, epoch, reserve } => {
                self.check_resize(job, *epoch, *reserve)?;
                self.resize(job, *reserve, effects);
            }
            Step::Release { job, epoch, cause } => {
                self.check_release(job, *epoch, *cause)?;
                self.release(job, *cause, effects);
            }
            Step::End { job, epoch, end, peak } => {
                self.check_end(job, *epoch, *end)?;
                self.end(job, *end, *peak, effects);
            }
            Step::Lose { worker } => self.mark_lost(worker, effects)?,
            Step::Find { worker } => {
                self.hosts.get_mut(worker).ok_or(Refusal::Worker)?.lost = false;
                effects.push(Effect::Worker(worker.clone()));
            }
        }
        Ok(())
    }

    fn place(&mut self, id: &Name, worker: &Name, reserve: Resources, effects: &mut Vec<Effect>) {
        self.epoch += 1;
        let (epoch, now) = (self.epoch, self.now);
        let Some(entry) = self.jobs.get_mut(id) else { return };
        let worker = worker.clone();
        entry.epoch = epoch;
        entry.phase =
            Phase::Placed(Placement { worker, epoch, reserve, since: now, release: None });
        self.add_reservation(id);
        self.push_changes(id, effects);
    }

    fn resize(&mut self, id: &Name, reserve: Resources, effects: &mut Vec<Effect>) {
        self.remove_reservation(id);
        if let Some(Entry { phase: Phase::Placed(placement), .. }) = self.jobs.get_mut(id) {
            placement.reserve = reserve;
        }
        self.add_reservation(id);
        self.push_changes(id, effects);
    }

    fn release(&mut self, id: &Name, cause: Cause, effects: &mut Vec<Effect>) {
        let at = self.now;
        let Some(Entry { phase: Phase::Placed(placement), .. }) = self.jobs.get_mut(id) else {
            return;
        };
        placement.release = Some(Release { cause, at });
        let worker = placement.worker.clone();
        if cause == Cause::Unconfirmed {
            self.count_worker_failure(&worker, id, effects);
        }
        self.push_changes(id, effects);
    }

    fn end(&mut self, id: &Name, end: End, peak: Option<Resources>, effects: &mut Vec<Effect>) {
        // Done first, as the effects name the worker of the placement, which is removed below.
        self.push_changes(id, effects);
        self.remove_reservation(id);
        let Some(entry) = self.jobs.get_mut(id) else { return };
        let Phase::Placed(placement) = std::mem::replace(&mut entry.phase, Phase::Waiting) else {
            return;
        };
        let (job, cancelled) = (entry.job.clone(), entry.cancelled);
        let run_time = self.now.saturating_sub(placement.since);
        self.record_class(&job.class, peak, (end == End::Done).then_some(run_time));
        match end {
            End::Done => {
                if let Some(host) = self.hosts.get_mut(&placement.worker) {
                    host.record_success();
                }
                self.finish(id, Outcome::Done);
            }
            End::Failed if !cancelled => self.record_failure(id, &placement.worker, effects),
            _ => {}
        }
        if cancelled {
            self.finish(id, Outcome::Cancelled);
        }
        self.drop_if_empty(&placement.worker);
        self.recheck_feasibility(vec![id.clone()], effects);
    }

    fn record_class(&mut self, class: &Name, peak: Option<Resources>, run_time: Option<Duration>) {
        if self.classes.len() >= Self::MAX_CLASSES && !self.classes.contains_key(class) {
            return;
        }
        let class = self.classes.entry(class.clone()).or_default();
        if let Some(peak) = peak {
            class.record_peak(peak);
        }
        if let Some(run_time) = run_time {
            class.record_run_time(run_time);
        }
    }

    fn record_failure(&mut self, id: &Name, worker: &Name, effects: &mut Vec<Effect>) {
        let now = self.now;
        if let Some(entry) = self.jobs.get_mut(id) {
            entry.record_failure(now, worker);
        }
        self.count_worker_failure(worker, id, effects);
    }

    /// Counts a failure against a worker. If it is quarantined for it, the failures on it no longer
    /// count against the jobs.
    fn count_worker_failure(&mut self, worker: &Name, id: &Name, effects: &mut Vec<Effect>) {
        let now = self.now;
        let Some(host) = self.hosts.get_mut(worker) else { return };
        if !host.record_failure(now, id) {
            return;
        }
        for id in std::mem::take(&mut host.failures) {
            if let Some(entry) = self.jobs.get_mut(&id) {
                entry.remove_failure(worker);
                effects.push(Effect::Job(id));
            }
        }
    }

    fn mark_lost(&mut self, worker: &Name, effects: &mut Vec<Effect>) -> Result<(), Refusal> {
        let host = self.hosts.get_mut(worker).ok_or(Refusal::Worker)?;
        host.lost = true;
        effects.push(Effect::Worker(worker.clone()));
        for id in host.tasks.clone() {
            let placement = self.jobs.get(&id).and_then(Entry::placement);
            if placement.is_some_and(|placement| placement.release.is_none()) {
                self.release(&id, Cause::Lost, effects);
            }
        }
        Ok(())
    }

    /// Adds the placement of a job to the totals of its worker, team and group.
    fn add_reservation(&mut self, id: &Name) {
        let Some(entry) = self.jobs.get(id) else { return };
        let Some(placement) = entry.placement() else { return };
        let Some(host) = self.hosts.get_mut(&placement.worker) else { return };
        host.reserved += placement.reserve;
        host.tasks.insert(id.clone());
        *self.used.entry(entry.job.team.clone()).or_default() += placement.reserve;
        if let Some(spread) = &entry.job.spread {
            let rack = (spread.group.clone(), host.worker.location.clone());
            *self.groups.entry(rack).or_default() += 1;
        }
    }

    fn remove_reservation(&mut self, id: &Name) {
        let Some(entry) = self.jobs.get(id) else { return };
        let Some(placement) = entry.placement() else { return };
        let Some(host) = self.hosts.get_mut(&placement.worker) else { return };
        host.reserved = host.reserved.saturating_sub(placement.reserve);
        host.tasks.remove(id);
        if let Some(used) = self.used.get_mut(&entry.job.team) {
            *used = used.saturating_sub(placement.reserve);
            if *used == Resources::default() {
                self.used.remove(&entry.job.team);
            }
        }
        let Some(spread) = &entry.job.spread else { return };
        let rack = (spread.group.clone(), host.worker.location.clone());
        if let Some(count) = self.groups.get_mut(&rack) {
            *count -= 1;
            if *count == 0 {
                self.groups.remove(&rack);
            }
        }
    }

    /// Adds effects for a job and the worker that it is placed on.
    fn push_changes(&self, id: &Name, effects: &mut Vec<Effect>) {
        let placement = self.jobs.get(id).and_then(Entry::placement);
        if let Some(placement) = placement {
            effects.push(Effect::Worker(placement.worker.clone()));
        }
        effects.push(Effect::Job(id.clone()));
    }
}
