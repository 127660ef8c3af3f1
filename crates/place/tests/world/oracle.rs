use super::*;

impl World {
    /// What must hold at any moment, counted anew from the placements.
    pub fn check(&self) {
        self.check_leases();
        self.check_workers();
        self.check_teams();
        self.check_racks();
    }

    /// No job runs twice under live leases.
    fn check_leases(&self) {
        let mut running = BTreeMap::new();
        for (epoch, run) in &self.platform.runs {
            let other = running.insert(&run.job, epoch);
            assert!(other.is_none(), "`{}` runs as {epoch} and {other:?}", run.job);
        }
    }

    /// No worker holds more than it has, and no job is held below the overcommit rule.
    fn check_workers(&self) {
        let mut held: BTreeMap<&Name, Resources> = BTreeMap::new();
        for (id, entry) in self.state.jobs() {
            let Some(placement) = entry.placement() else { continue };
            *held.entry(&placement.worker).or_default() += placement.reserve;
            let least = State::floor(&entry.job);
            assert!(least.fits(placement.reserve), "`{id}` is held below the overcommit rule");
        }
        for (name, held) in held {
            let size = self.state.hosts()[name].worker.size;
            assert!(held.fits(size), "`{name}` has {size} and holds {held}");
        }
    }

    /// No team holds more than its quota.
    fn check_teams(&self) {
        let mut held: BTreeMap<&Name, Resources> = BTreeMap::new();
        for entry in self.state.jobs().values() {
            let Some(placement) = entry.placement() else { continue };
            *held.entry(&entry.job.team).or_default() += placement.reserve;
        }
        for (team, held) in held {
            let quota = self.state.teams()[team].quota;
            assert!(held.fits(quota), "team `{team}` may hold {quota} and holds {held}");
        }
    }

    /// No rack holds more of a group than the spread allows.
    fn check_racks(&self) {
        let mut held: BTreeMap<(&Name, &Location), u32> = BTreeMap::new();
        for entry in self.state.jobs().values() {
            let (Some(placement), Some(spread)) = (entry.placement(), &entry.job.spread) else {
                continue;
            };
            let location = &self.state.hosts()[&placement.worker].worker.location;
            let count = held.entry((&spread.group, location)).or_default();
            *count += 1;
            assert!(*count <= spread.per_rack, "group `{}` fills its rack", spread.group);
        }
    }

    /// A job that was cancelled gets no further placement.
    pub fn check_cancelled(&self, id: &Name) {
        let Some(entry) = self.state.jobs().get(id).filter(|entry| entry.cancelled) else { return };
        assert!(entry.placement().is_some(), "`{id}` was cancelled and waits");
    }

    /// Every job that was submitted has ended, or can never run; every cancelled one has ended.
    pub fn check_end(&self) {
        for id in &self.submitted {
            let known =
                self.state.jobs().contains_key(id) || self.state.history().outcome(id).is_some();
            assert!(known, "`{id}` was forgotten");
        }
        for id in &self.cancelled {
            assert!(!self.state.jobs().contains_key(id), "`{id}` was cancelled and is held");
        }
        assert!(self.platform.runs.is_empty(), "tasks run on: {:?}", self.platform.runs);
    }
}
