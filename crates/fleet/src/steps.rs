//! Applies steps: the life cycle of grants.

use super::*;

impl State {
    /// Checks that `upstream` may be disrupted for `purpose` now. Moving an instance that is
    /// already unavailable needs no budget.
    pub fn check_grant(&self, upstream: &Upstream, purpose: &Purpose, tally: &Tally) -> Result {
        let instance = upstream.announcement.instance.clone();
        if upstream.grant.is_some() {
            return Err(Error::Busy { instance });
        }
        match purpose {
            Purpose::Move if !upstream.is_misplaced() => return Err(Error::Phase { instance }),
            Purpose::Move if !self.is_available(upstream) => return Ok(()),
            Purpose::Move => {}
            _ if !self.is_available(upstream) => return Err(Error::Down { instance }),
            Purpose::Maintenance(wave) => self.check_wave(wave, &instance)?,
            Purpose::Loan(pool) => self.check_loan(pool, upstream)?,
        }
        match tally.shortage(&self.config, upstream) {
            Some(shortage) => Err(Error::Shortage(shortage)),
            None => Ok(()),
        }
    }

    fn check_wave(&self, name: &Name, instance: &Name) -> Result {
        let error = Error::Wave { wave: name.clone(), instance: instance.clone() };
        let wave = self.waves.get(name).filter(|wave| wave.standing == Standing::Running);
        let Some(wave) = wave else { return Err(error) };
        let max_concurrent = wave.max_concurrent(&self.config.policy).unwrap_or(usize::MAX);
        let waits = wave.instances.get(instance) == Some(&Progress::Waiting);
        if waits && wave.count(Progress::Granted) < max_concurrent { Ok(()) } else { Err(error) }
    }

    fn check_loan(&self, pool: &Name, upstream: &Upstream) -> Result {
        let spare = |name: &Name| self.config.pools.get(name).map(|pool| pool.spare);
        let home = upstream.tenure.as_ref().and_then(|tenure| spare(&tenure.home));
        if home == Some(true) && spare(pool) == Some(false) && !upstream.is_misplaced() {
            return Ok(());
        }
        let instance = upstream.announcement.instance.clone();
        Err(Error::Pool { pool: pool.clone(), instance })
    }

    pub(crate) fn apply_step(&mut self, step: Step, effects: &mut Vec<Effect>) {
        self.advance_time(step.at);
        let name = step.instance.clone();
        let Some(upstream) = self.upstreams.get(&name) else { return };
        if upstream.epoch != step.epoch {
            return;
        }
        let before = self.routed_as(upstream);
        match step.action {
            Action::Grant(purpose) => self.grant(&name, purpose),
            Action::Drained => self.on_drained(&name),
            Action::Rebooted => self.on_reboot_accepted(&name),
            Action::Release => self.release(&name),
            Action::Expire => self.expire(&name),
            Action::Recall => self.recall(&name),
        }
        self.update_membership(&name);
        self.push_routing_change(&name, before, effects);
    }

    fn grant(&mut self, name: &Name, purpose: Purpose) {
        let tally = Tally::count(self);
        let mut subjects = vec![Subject::Instance(name.clone())];
        if let Purpose::Maintenance(wave) = &purpose {
            subjects.push(Subject::Wave(wave.clone()));
        }
        if let Err(error) = self.check_grant(&self.upstreams[name], &purpose, &tally) {
            return self.record(subjects, Reason::Refused { purpose, error });
        }
        if let Purpose::Maintenance(wave) = &purpose {
            self.set_progress(&wave.clone(), name, Progress::Granted);
        }
        let (now, until) = (self.now, self.now + self.config.policy.drain_timeout);
        let Some(upstream) = self.upstreams.get_mut(name) else { return };
        upstream.epoch += 1;
        let (phase, until) = (Phase::Draining, Some(until));
        upstream.grant = Some(Grant { purpose: purpose.clone(), phase, since: now, until });
        self.record(subjects, Reason::Granted(purpose));
    }

    fn on_drained(&mut self, name: &Name) {
        let Some(grant) = self.upstreams[name].grant.clone().filter(|g| g.phase.is_draining())
        else {
            return;
        };
        match grant.purpose {
            Purpose::Maintenance(wave) => self.start_reboot(&wave, name),
            Purpose::Move => self.leave_pool(name),
            Purpose::Loan(_) if grant.phase == Phase::Returning => self.transfer(name, None),
            Purpose::Loan(pool) => self.transfer(name, Some(pool)),
        }
    }

    /// Starts the reboot of a drained instance, or returns the instance to service if its wave has
    /// stopped meanwhile.
    fn start_reboot(&mut self, wave: &Name, name: &Name) {
        let stopped = |wave: &Wave| wave.standing == Standing::Stopped;
        if self.waves.get(wave).is_some_and(stopped) {
            self.end_grant(name);
            return self.set_progress(wave, name, Progress::Waiting);
        }
        let until = self.now + self.config.policy.return_timeout;
        let Some(upstream) = self.upstreams.get_mut(name) else { return };
        let incarnation = upstream.announcement.incarnation;
        if let Some(grant) = &mut upstream.grant {
            grant.phase = Phase::Rebooting { incarnation, accepted: false };
            grant.until = Some(until);
        }
        let subjects = vec![Subject::Instance(name.clone()), Subject::Wave(wave.clone())];
        self.record(subjects, Reason::Drained);
    }

    /// Ends the tenure of a drained instance, so that it can join another pool.
    fn leave_pool(&mut self, name: &Name) {
        self.end_grant(name);
        let Some(upstream) = self.upstreams.get_mut(name) else { return };
        let Some(tenure) = upstream.tenure.take() else { return };
        let subjects = vec![Subject::Instance(name.clone()), Subject::Pool(tenure.pool.clone())];
        self.record(subjects, Reason::Parted(tenure.pool));
    }

    /// Moves a lent instance into `pool`, or back to its home pool if `pool` is `None` or no
    /// longer exists.
    fn transfer(&mut self, name: &Name, pool: Option<Name>) {
        let pool = pool.filter(|pool| self.config.pools.contains_key(pool));
        let Some(upstream) = self.upstreams.get_mut(name) else { return };
        upstream.epoch += 1;
        let epoch = upstream.epoch;
        let Some(tenure) = &mut upstream.tenure else { return };
        tenure.epoch = epoch;
        let subject = Subject::Instance(name.clone());
        let Some(pool) = pool else {
            tenure.pool = tenure.home.clone();
            let home = tenure.home.clone();
            upstream.grant = None;
            let subjects = vec![subject, Subject::Pool(home.clone())];
            return self.record(subjects, Reason::Joined { pool: home, epoch });
        };
        tenure.pool = pool.clone();
        if let Some(grant) = &mut upstream.grant {
            grant.phase = Phase::Lent;
            grant.until = None;
        }
        self.record(vec![subject, Subject::Pool(pool.clone())], Reason::Lent(pool));
    }

    fn on_reboot_accepted(&mut self, name: &Name) {
        let grant = self.upstreams.get_mut(name).and_then(|upstream| upstream.grant.as_mut());
        let Some(Grant { phase: Phase::Rebooting { accepted, .. }, .. }) = grant else { return };
        if !std::mem::replace(accepted, true) {
            self.record(vec![Subject::Instance(name.clone())], Reason::Rebooted);
        }
    }

    fn release(&mut self, name: &Name) {
        let now = self.now;
        let Some(grant) = self.expired_grant(name).filter(|grant| grant.phase == Phase::Returned)
        else {
            return;
        };
        let Purpose::Maintenance(wave) = grant.purpose else { return };
        self.end_grant(name);
        if let Some(upstream) = self.upstreams.get_mut(name) {
            upstream.maintained = now;
        }
        if let Some(wave) = self.waves.get_mut(&wave) {
            wave.spent += now.saturating_sub(grant.since);
        }
        let subjects = vec![Subject::Instance(name.clone()), Subject::Wave(wave.clone())];
        self.record(subjects, Reason::Released);
        self.set_progress(&wave, name, Progress::Done);
    }

    /// Ends a grant that has timed out. An instance that did not drain in time returns to service;
    /// one that did not come back from its reboot in time counts as failed.
    fn expire(&mut self, name: &Name) {
        let Some(grant) = self.expired_grant(name) else { return };
        let subject = Subject::Instance(name.clone());
        match (grant.phase, grant.purpose) {
            (Phase::Draining, purpose) => {
                self.end_grant(name);
                self.record(vec![subject], Reason::Undrained);
                if let Purpose::Maintenance(wave) = purpose {
                    self.set_progress(&wave, name, Progress::Skipped);
                }
            }
            (Phase::Rebooting { .. }, Purpose::Maintenance(wave)) => {
                self.end_grant(name);
                if let Some(upstream) = self.upstreams.get_mut(name) {
                    upstream.failed = true;
                }
                self.record(vec![subject, Subject::Wave(wave.clone())], Reason::Missing);
                self.set_progress(&wave, name, Progress::Failed);
            }
            _ => {}
        }
    }

    fn recall(&mut self, name: &Name) {
        let Some(upstream) = self.upstreams.get_mut(name) else { return };
        let Some(grant) = upstream.grant.as_mut().filter(|grant| grant.phase == Phase::Lent) else {
            return;
        };
        grant.phase = Phase::Returning;
        let Some(pool) = upstream.tenure.as_ref().map(|tenure| tenure.pool.clone()) else { return };
        let subjects = vec![Subject::Instance(name.clone()), Subject::Pool(pool.clone())];
        self.record(subjects, Reason::Recalled(pool));
    }

    /// The grant of an instance, if its current phase has timed out.
    fn expired_grant(&self, name: &Name) -> Option<Grant> {
        let grant = self.upstreams.get(name)?.grant.clone()?;
        grant.until.is_some_and(|until| until <= self.now).then_some(grant)
    }

    /// Ends the grant of an instance and starts a new epoch.
    pub(crate) fn end_grant(&mut self, name: &Name) {
        let Some(upstream) = self.upstreams.get_mut(name) else { return };
        upstream.grant = None;
        upstream.epoch += 1;
    }

    /// Handles a new incarnation of an instance: it is no longer failed, and its soak time starts
    /// if it was being rebooted.
    pub(crate) fn on_restart(&mut self, name: &Name) {
        let until = self.now + self.config.policy.soak;
        let Some(upstream) = self.upstreams.get_mut(name) else { return };
        upstream.failed = false;
        let incarnation = upstream.announcement.incarnation;
        let Some(grant) = &mut upstream.grant else { return };
        match grant.phase {
            Phase::Rebooting { incarnation: former, .. } if incarnation > former => {}
            Phase::Returned => {}
            _ => return,
        }
        grant.phase = Phase::Returned;
        grant.until = Some(until);
        self.record(vec![Subject::Instance(name.clone())], Reason::Returned);
    }

    /// Handles the departure of an instance: one that departs during its soak time has failed.
    pub(crate) fn on_departure(&mut self, name: &Name) {
        let grant = self.upstreams.get(name).and_then(|upstream| upstream.grant.clone());
        let Some(grant) = grant.filter(|grant| grant.phase == Phase::Returned) else { return };
        let Purpose::Maintenance(wave) = grant.purpose else { return };
        self.end_grant(name);
        let subjects = vec![Subject::Instance(name.clone()), Subject::Wave(wave.clone())];
        self.record(subjects, Reason::LostAgain);
        self.set_progress(&wave, name, Progress::Failed);
    }
}
