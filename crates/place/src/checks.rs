//! Checks of the placement steps that a leader proposes against the replicated state, made when a
//! step is applied.

use super::*;

impl State {
    /// Maximum ratio of the size that a job declares to the CPU and memory reserved for it.
    /// Accelerators are always reserved as declared.
    pub const MAX_OVERCOMMIT: u64 = 4;

    /// Minimum resources to reserve for `job`.
    pub fn min_reserve(job: &Job) -> Resources {
        Resources {
            millicores: job.size.millicores / Self::MAX_OVERCOMMIT,
            memory_mb: job.size.memory_mb / Self::MAX_OVERCOMMIT,
            accelerators: job.size.accelerators,
        }
    }

    /// Why the job of `entry` cannot be placed on `host` with `reserve`, `None` if it can.
    pub fn worker_obstacle(&self, entry: &Entry, host: &Host, reserve: Resources) -> Option<Wait> {
        let job = &entry.job;
        if !job.selector.as_ref().is_none_or(|s| s.matches(&host.worker.labels)) {
            return Some(Wait::Labels);
        }
        if !reserve.fits(host.free()) {
            return Some(Wait::Room);
        }
        let busy = !host.tasks.is_empty();
        match host.health.at(self.now) {
            _ if host.lost || host.removed => return Some(Wait::Health),
            Health::Quarantined { .. } => return Some(Wait::Health),
            Health::Probation { .. } if busy => return Some(Wait::Health),
            _ => {}
        }
        let full = self.rack_is_full(job, &host.worker.location);
        full.then_some(Wait::Spread)
    }

    /// Why the job of `entry` cannot be placed on any worker with `reserve`, because of its
    /// back-off or its team's quota. `None` if neither applies.
    pub fn job_obstacle(&self, entry: &Entry, reserve: Resources) -> Option<Wait> {
        if entry.not_before > self.now {
            let workers = entry.failed_on.len();
            return Some(Wait::BackOff { until: entry.not_before, workers });
        }
        let team = &entry.job.team;
        let quota = self.teams.get(team).map(|team| team.quota).unwrap_or_default();
        let within = (self.used(team) + reserve).fits(quota);
        (!within).then(|| Wait::Quota { team: team.clone() })
    }

    /// Whether the rack of `location` has as many jobs of the group of `job` as its spread allows.
    pub fn rack_is_full(&self, job: &Job, location: &Location) -> bool {
        job.spread.as_ref().is_some_and(|spread| {
            let rack = (spread.group.clone(), location.clone());
            self.groups.get(&rack).copied().unwrap_or(0) >= spread.per_rack
        })
    }

    pub(crate) fn check_place(
        &self,
        id: &Name,
        after: Epoch,
        worker: &Name,
        reserve: Resources,
    ) -> Result<(), Refusal> {
        let entry = self.jobs.get(id).ok_or(Refusal::Job)?;
        if entry.epoch != after || entry.phase != Phase::Waiting {
            return Err(Refusal::Epoch);
        }
        let host = self.hosts.get(worker).ok_or(Refusal::Worker)?;
        Self::check_reserve(&entry.job, reserve)?;
        let wait = self
            .job_obstacle(entry, reserve)
            .or_else(|| self.worker_obstacle(entry, host, reserve));
        wait.map_or(Ok(()), |wait| Err(Refusal::Wait(wait)))
    }

    pub(crate) fn check_resize(
        &self,
        id: &Name,
        epoch: Epoch,
        reserve: Resources,
    ) -> Result<(), Refusal> {
        let (entry, placement) = self.current_placement(id, epoch)?;
        let host = self.hosts.get(&placement.worker).ok_or(Refusal::Worker)?;
        Self::check_reserve(&entry.job, reserve)?;
        let growth = reserve.saturating_sub(placement.reserve);
        if !growth.fits(host.free()) {
            return Err(Refusal::Wait(Wait::Room));
        }
        let team = &entry.job.team;
        let quota = self.teams.get(team).map(|team| team.quota).unwrap_or_default();
        let grows = growth != Resources::default();
        if grows && !(self.used(team) + growth).fits(quota) {
            return Err(Refusal::Wait(Wait::Quota { team: team.clone() }));
        }
        Ok(())
    }

    pub(crate) fn check_release(
        &self,
        id: &Name,
        epoch: Epoch,
        cause: Cause,
    ) -> Result<(), Refusal> {
        let (entry, placement) = self.current_placement(id, epoch)?;
        if placement.release.is_some() {
            return Err(Refusal::Released);
        }
        let urgent = entry.job.urgency == Urgency::Urgent;
        match cause {
            Cause::Cancelled if !entry.cancelled => Err(Refusal::Cause),
            Cause::Preempted if urgent => Err(Refusal::Cause),
            _ => Ok(()),
        }
    }

    pub(crate) fn check_end(&self, id: &Name, epoch: Epoch, end: End) -> Result<(), Refusal> {
        let (_, placement) = self.current_placement(id, epoch)?;
        let lease_expired =
            placement.release.is_some_and(|release| release.is_lease_expired(self.now));
        if end == End::Lapsed && !lease_expired {
            return Err(Refusal::Lease);
        }
        Ok(())
    }

    fn check_reserve(job: &Job, reserve: Resources) -> Result<(), Refusal> {
        let min_reserve = Self::min_reserve(job);
        let enough = min_reserve.fits(reserve) && reserve.accelerators == min_reserve.accelerators;
        if enough { Ok(()) } else { Err(Refusal::Reserve) }
    }

    fn current_placement(&self, id: &Name, epoch: Epoch) -> Result<(&Entry, &Placement), Refusal> {
        let entry = self.jobs.get(id).ok_or(Refusal::Job)?;
        let placement = entry.placement().filter(|placement| placement.epoch == epoch);
        Ok((entry, placement.ok_or(Refusal::Epoch)?))
    }
}
