use super::*;

impl World {
    /// Checks the invariants that must always hold, recomputed from the placements.
    pub fn check(&self) {
        self.check_leases();
        self.check_workers();
        self.check_teams();
        self.check_racks();
    }

    /// No job runs twice under unexpired leases.
    fn check_leases(&self) {
        let mut running = BTreeMap::new();
        for (epoch, run) in &self.platform.runs {
            let other = running.insert(&run.job, epoch);
            assert!(other.is_none(), "`{}` runs as {epoch} and {other:?}", run.job);
        }
    }

    /// No worker has more reserved than its size, and no reservation is below the minimum that the
    /// overcommit rule allows.
    fn check_workers(&self) {
        let mut held: BTreeMap<&Name, Resources> = BTreeMap::new();
        for (id, entry) in self.state.jobs() {
            let Some(placement) = entry.placement() else { continue };
            *held.entry(&placement.worker).or_default() += placement.reserve;
            let least = State::min_reserve(&entry.job);
            assert!(least.fits(placement.reserve), "reserve of `{id}` is below the minimum");
        }
        for (name, held) in held {
            let size = self.state.hosts()[name].worker.size;
            assert!(held.fits(size), "worker `{name}` has {size}, and {held} are reserved");
        }
    }

    /// No team has more reserved than its quota.
    fn check_teams(&self) {
        let mut held: BTreeMap<&Name, Resources> = BTreeMap::new();
        for entry in self.state.jobs().values() {
            let Some(placement) = entry.placement() else { continue };
            *held.entry(&entry.job.team).or_default() += placement.reserve;
        }
        for (team, held) in held {
            let quota = self.state.teams()[team].quota;
            assert!(
                held.fits(quota),
                "team `{team}` has a quota of {quota}, and {held} are reserved"
            );
        }
    }

    /// No rack has more jobs of a group than the spread allows.
    fn check_racks(&self) {
        let mut held: BTreeMap<(&Name, &Location), u32> = BTreeMap::new();
        for entry in self.state.jobs().values() {
            let (Some(placement), Some(spread)) = (entry.placement(), &entry.job.spread) else {
                continue;
            };
            let location = &self.state.hosts()[&placement.worker].worker.location;
            let count = held.entry((&spread.group, location)).or_default();
            *count += 1;
            assert!(*count <= spread.per_rack, "group `{}` exceeds its spread", spread.group);
        }
    }

    /// A cancelled job does not wait to be placed again.
    pub fn check_cancelled(&self, id: &Name) {
        let Some(entry) = self.state.jobs().get(id).filter(|entry| entry.cancelled) else { return };
        assert!(entry.placement().is_some(), "cancelled job `{id}` waits to be placed");
    }

    /// Every submitted job is still known, every cancelled one has ended, and no task is running.
    pub fn check_end(&self) {
        for id in &self.submitted {
            let known =
                self.state.jobs().contains_key(id) || self.state.history().outcome(id).is_some();
            assert!(known, "submitted job `{id}` is unknown");
        }
        for id in &self.cancelled {
            assert!(!self.state.jobs().contains_key(id), "cancelled job `{id}` has not ended");
        }
        assert!(self.platform.runs.is_empty(), "tasks still running: {:?}", self.platform.runs);
    }
}
