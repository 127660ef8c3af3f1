//! Grants from their first step to the last.

use super::*;

impl State {
    /// Whether `purpose` may disrupt `upstream` now.
    pub fn permit(&self, upstream: &Upstream, purpose: &Purpose, tally: &Tally) -> Result {
        let instance = upstream.announcement.instance.clone();
        if upstream.grant.is_some() {
            return Err(Error::Busy { instance });
        }
        match purpose {
            Purpose::Move if !upstream.misplaced() => return Err(Error::Phase { instance }),
            Purpose::Move if !self.is_available(upstream) => return Ok(()),
            Purpose::Move => {}
            _ if !self.is_available(upstream) => return Err(Error::Down { instance }),
            Purpose::Maintenance(wave) => self.permit_wave(wave, &instance)?,
            Purpose::Loan(pool) => self.permit_loan(pool, upstream)?,
        }
        match tally.shortage(&self.config, upstream) {
            Some(shortage) => Err(Error::Shortage(shortage)),
            None => Ok(()),
        }
    }

    fn permit_wave(&self, name: &Name, instance: &Name) -> Result {
        let error = Error::Wave { wave: name.clone(), instance: instance.clone() };
        let wave = self.waves.get(name).filter(|wave| wave.standing == Standing::Running);
        let Some(wave) = wave else { return Err(error) };
        let width = wave.width(&self.config.policy).unwrap_or(usize::MAX);
        let waits = wave.instances.get(instance) == Some(&Progress::Waiting);
        if waits && wave.count(Progress::Granted) < width { Ok(()) } else { Err(error) }
    }

    fn permit_loan(&self, pool: &Name, upstream: &Upstream) -> Result {
        let spare = |name: &Name| self.config.pools.get(name).map(|pool| pool.spare);
        let home = upstream.tenure.as_ref().and_then(|tenure| spare(&tenure.home));
        if home == Some(true) && spare(pool) == Some(false) && !upstream.misplaced() {
            return Ok(());
        }
        let instance = upstream.announcement.instance.clone();
        Err(Error::Pool { pool: pool.clone(), instance })
    }

    pub(crate) fn step(&mut self, step: Step, effects: &mut Vec<Effect>) {
        self.advance(step.at);
        let name = step.instance.clone();
        let Some(upstream) = self.upstreams.get(&name) else { return };
        if upstream.epoch != step.epoch {
            return;
        }
        let before = self.routed(upstream);
        match step.action {
            Action::Grant(purpose) => self.grant(&name, purpose),
            Action::Drained => self.drained(&name),
            Action::Rebooted => self.rebooted(&name),
            Action::Release => self.release(&name),
            Action::Expire => self.expire(&name),
            Action::Recall => self.recall(&name),
        }
        self.settle(&name);
        self.reroute(&name, before, effects);
    }

    fn grant(&mut self, name: &Name, purpose: Purpose) {
        let tally = Tally::count(self);
        let mut subjects = vec![Subject::Instance(name.clone())];
        if let Purpose::Maintenance(wave) = &purpose {
            subjects.push(Subject::Wave(wave.clone()));
        }
        if let Err(error) = self.permit(&self.upstreams[name], &purpose, &tally) {
            return self.note(subjects, Reason::Refused { purpose, error });
        }
        if let Purpose::Maintenance(wave) = &purpose {
            self.progress(&wave.clone(), name, Progress::Granted);
        }
        let (now, until) = (self.now, self.now + self.config.policy.drain_timeout);
        let Some(upstream) = self.upstreams.get_mut(name) else { return };
        upstream.epoch += 1;
        let (phase, until) = (Phase::Draining, Some(until));
        upstream.grant = Some(Grant { purpose: purpose.clone(), phase, since: now, until });
        self.note(subjects, Reason::Granted(purpose));
    }

    fn drained(&mut self, name: &Name) {
        let Some(grant) = self.upstreams[name].grant.clone().filter(|g| g.phase.is_draining())
        else {
            return;
        };
        match grant.purpose {
            Purpose::Maintenance(wave) => self.drained_for(&wave, name),
            Purpose::Move => self.part(name),
            Purpose::Loan(_) if grant.phase == Phase::Returning => self.transfer(name, None),
            Purpose::Loan(pool) => self.transfer(name, Some(pool)),
        }
    }

    fn drained_for(&mut self, wave: &Name, name: &Name) {
        let stopped = |wave: &Wave| wave.standing == Standing::Stopped;
        if self.waves.get(wave).is_some_and(stopped) {
            self.end(name);
            return self.progress(wave, name, Progress::Waiting);
        }
        let until = self.now + self.config.policy.return_timeout;
        let Some(upstream) = self.upstreams.get_mut(name) else { return };
        let incarnation = upstream.announcement.incarnation;
        if let Some(grant) = &mut upstream.grant {
            grant.phase = Phase::Rebooting { incarnation, accepted: false };
            grant.until = Some(until);
        }
        let subjects = vec![Subject::Instance(name.clone()), Subject::Wave(wave.clone())];
        self.note(subjects, Reason::Drained);
    }

    fn part(&mut self, name: &Name) {
        self.end(name);
        let Some(upstream) = self.upstreams.get_mut(name) else { return };
        let Some(tenure) = upstream.tenure.take() else { return };
        let subjects = vec![Subject::Instance(name.clone()), Subject::Pool(tenure.pool.clone())];
        self.note(subjects, Reason::Parted(tenure.pool));
    }

    /// Starts the tenure of an instance in `pool`, or at home.
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
            return self.note(subjects, Reason::Joined { pool: home, epoch });
        };
        tenure.pool = pool.clone();
        if let Some(grant) = &mut upstream.grant {
            grant.phase = Phase::Lent;
            grant.until = None;
        }
        self.note(vec![subject, Subject::Pool(pool.clone())], Reason::Lent(pool));
    }

    fn rebooted(&mut self, name: &Name) {
        let grant = self.upstreams.get_mut(name).and_then(|upstream| upstream.grant.as_mut());
        let Some(Grant { phase: Phase::Rebooting { accepted, .. }, .. }) = grant else { return };
        if !std::mem::replace(accepted, true) {
            self.note(vec![Subject::Instance(name.clone())], Reason::Rebooted);
        }
    }

    fn release(&mut self, name: &Name) {
        let now = self.now;
        let Some(grant) = self.due(name).filter(|grant| grant.phase == Phase::Returned) else {
            return;
        };
        let Purpose::Maintenance(wave) = grant.purpose else { return };
        self.end(name);
        if let Some(upstream) = self.upstreams.get_mut(name) {
            upstream.maintained = now;
        }
        if let Some(wave) = self.waves.get_mut(&wave) {
            wave.spent += now.saturating_sub(grant.since);
        }
        let subjects = vec![Subject::Instance(name.clone()), Subject::Wave(wave.clone())];
        self.note(subjects, Reason::Released);
        self.progress(&wave, name, Progress::Done);
    }

    fn expire(&mut self, name: &Name) {
        let Some(grant) = self.due(name) else { return };
        let subject = Subject::Instance(name.clone());
        match (grant.phase, grant.purpose) {
            (Phase::Draining, purpose) => {
                self.end(name);
                self.note(vec![subject], Reason::Undrained);
                if let Purpose::Maintenance(wave) = purpose {
                    self.progress(&wave, name, Progress::Skipped);
                }
            }
            (Phase::Rebooting { .. }, Purpose::Maintenance(wave)) => {
                self.end(name);
                if let Some(upstream) = self.upstreams.get_mut(name) {
                    upstream.failed = true;
                }
                self.note(vec![subject, Subject::Wave(wave.clone())], Reason::Missing);
                self.progress(&wave, name, Progress::Failed);
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
        self.note(subjects, Reason::Recalled(pool));
    }

    /// The grant of an instance, if its phase has ended by itself.
    fn due(&self, name: &Name) -> Option<Grant> {
        let grant = self.upstreams.get(name)?.grant.clone()?;
        grant.until.is_some_and(|until| until <= self.now).then_some(grant)
    }

    /// Ends the grant of an instance.
    pub(crate) fn end(&mut self, name: &Name) {
        let Some(upstream) = self.upstreams.get_mut(name) else { return };
        upstream.grant = None;
        upstream.epoch += 1;
    }

    /// Notes that an instance has started anew.
    pub(crate) fn restarted(&mut self, name: &Name) {
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
        self.note(vec![Subject::Instance(name.clone())], Reason::Returned);
    }

    /// Notes that an instance takes no new work; one that has just returned has failed.
    pub(crate) fn lost(&mut self, name: &Name) {
        let grant = self.upstreams.get(name).and_then(|upstream| upstream.grant.clone());
        let Some(grant) = grant.filter(|grant| grant.phase == Phase::Returned) else { return };
        let Purpose::Maintenance(wave) = grant.purpose else { return };
        self.end(name);
        let subjects = vec![Subject::Instance(name.clone()), Subject::Wave(wave.clone())];
        self.note(subjects, Reason::LostAgain);
        self.progress(&wave, name, Progress::Failed);
    }
}
