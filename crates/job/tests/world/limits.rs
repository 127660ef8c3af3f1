//! Checks of the limits of organisations: what instances run for an organisation, and what the
//! leader counts for it.

use super::*;

impl World {
    /// Sets the limit of an organisation by a new configuration.
    pub fn set_limit(&mut self, name: &str, millicores: u64) {
        let mut config = self.table.config.clone().expect("the world has a configuration");
        let organisation = config.organisations.get_mut(name).expect("the organisation exists");
        organisation.limit.millicores = millicores;
        self.configure(config);
    }

    /// Puts a configuration in force as the next version.
    pub fn configure(&mut self, mut config: Config) {
        config.version += 1;
        self.organisations.push(config.organisations.clone());
        let outcomes = self.table.apply(Command::Configure(config));
        self.step(Event::CommandCommitted(outcomes));
    }

    /// What the instances run for an organisation.
    pub fn runs_for(&self, name: Option<&str>) -> Resources {
        let alive = self.instances.values().filter(|instance| instance.alive);
        let runs = alive.flat_map(|instance| instance.running.values());
        let own = runs.filter(|run| run.organisation.as_deref() == name);
        sum(own.map(|run| run.size))
    }

    /// Checks that a start keeps its organisation within its limit (R7), or that it is the only
    /// task of the organisation (R10). This is stricter than the limit of R12, 1.1 times the limit
    /// and one task. The limit is the highest one in force since the claim was proposed.
    pub(super) fn check_limit(&self, task: TaskId, number: AttemptNumber, group: &Group) {
        let Some(name) = self.table.jobs[&task.job].organisation.clone() else { return };
        let in_force = self.organisations[self.claimed_under[&(task, number)]..].iter();
        let limits = in_force.map(|organisations| organisations.get(&name));
        let limits = limits.map(|found| found.map_or(NO_LIMIT, limit_of));
        let limit = limits.fold(Resources::default(), Resources::max);
        let running = self.runs_for(Some(&name));
        let usage = sum([running, group.size].into_iter());
        assert!(
            usage.fits(limit) || running == Resources::default(),
            "{task} starts for `{name}` beside {running}, with a limit of {limit}"
        );
    }

    /// Checks that the leader counts exactly what is claimed: the claims being committed, and those
    /// without a committed end. The tasks of a gang that is done may run on; these count as well.
    pub(super) fn check_usage(&self) {
        let Some(config) = self.table.config.as_ref() else { return };
        if config.organisations.is_empty() {
            return;
        }
        let mut claimed = BTreeMap::<Option<Name>, Resources>::new();
        let mut gangs = BTreeSet::new();
        let size = |task: &TaskId| self.table.jobs.get(&task.job)?.group(*task).map(|g| g.size);
        let proposed = self.batch.iter().flat_map(|batch| &batch.claims).map(|claim| claim.task);
        for task in self.claimed_tasks().into_iter().chain(proposed) {
            let name = self.table.jobs[&task.job].organisation.clone();
            *claimed.entry(name).or_default() += size(&task).expect("the task has a size");
        }
        for (job, record) in &self.table.jobs {
            if self.specs[job].groups.iter().any(|group| group.gang) {
                gangs.insert(record.organisation.clone());
            }
        }
        let names = config.organisations.keys().cloned().map(Some).chain([None]);
        for name in names {
            let counted = self.scheduler.at_work(name.as_ref());
            let claimed = claimed.get(&name).copied().unwrap_or_default();
            let exact = counted == claimed;
            assert!(
                exact || gangs.contains(&name) && claimed.fits(counted),
                "{} epoch {}: {counted} counted for {name:?}, and {claimed} claimed",
                self.now,
                self.epoch
            );
        }
    }

    /// Tasks with an attempt without a committed end.
    fn claimed_tasks(&self) -> Vec<TaskId> {
        let mut tasks = Vec::new();
        for job in &self.table.live {
            let record = &self.table.jobs[job];
            for round in 0..record.spec.rounds() {
                for (group, declared) in (0..).zip(&record.spec.groups) {
                    tasks.extend((0..declared.count).map(|index| TaskId {
                        job: *job,
                        round,
                        group,
                        index,
                    }));
                }
            }
        }
        tasks.retain(|task| {
            let state = self.table.jobs[&task.job].task_state(*task);
            state.is_some_and(|state| matches!(state.phase, Phase::Claimed(_)))
        });
        tasks
    }
}

const NO_LIMIT: Resources =
    Resources { millicores: u64::MAX, memory_mb: u64::MAX, accelerators: u64::MAX };

fn limit_of(organisation: &Organisation) -> Resources {
    let amount = |limit: u64| if limit == 0 { u64::MAX } else { limit };
    Resources {
        millicores: amount(organisation.limit.millicores),
        memory_mb: amount(organisation.limit.memory_mb),
        accelerators: amount(organisation.limit.accelerators),
    }
}

fn sum(sizes: impl Iterator<Item = Resources>) -> Resources {
    sizes.fold(Resources::default(), |mut sum, size| {
        sum += size;
        sum
    })
}
