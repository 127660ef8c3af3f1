//! Starts and changes waves, and tracks the progress of their instances.

use super::*;

/// Maximum number of waves that have not ended.
const MAX_WAVES: usize = 16;

/// Maximum number of waves kept, including ended ones.
const MAX_KEPT_WAVES: usize = 64;

impl State {
    /// Instances whose periodic maintenance is due, except those that a wave still has to maintain.
    /// Maintenance is due after three quarters of the period, which leaves a quarter for the wave.
    pub fn due_for_maintenance(&self, now: Time) -> BTreeSet<Name> {
        let period = self.config.policy.period;
        if period.is_zero() {
            return BTreeSet::new();
        }
        let due_after = period * 3 / 4;
        let due =
            self.upstreams.iter().filter(|(_, upstream)| upstream.maintained + due_after <= now);
        let unassigned = due.filter(|(name, _)| self.wave_of(name).is_none());
        unassigned.map(|(name, _)| name.clone()).collect()
    }

    /// The wave that still has to maintain `instance`; there is at most one.
    pub fn wave_of(&self, instance: &Name) -> Option<&Name> {
        let open = self.waves.iter().filter(|(_, wave)| !wave.standing.ended());
        let awaits = |wave: &Wave| wave.instances.get(instance).is_some_and(|p| !p.ended());
        open.filter(|(_, wave)| awaits(wave)).map(|(name, _)| name).next()
    }

    pub(crate) fn maintain(&mut self, order: Order, effects: &mut Vec<Effect>) {
        if self.repeat_verdict(&order.request, effects) {
            return;
        }
        let (request, wave) = (order.request.clone(), order.wave.clone());
        let verdict = match self.execute(order, effects) {
            Ok(()) => self.wave_verdict(wave),
            Err(refusal) => Verdict::Refused(refusal),
        };
        self.answer(request, verdict, effects);
    }

    fn wave_verdict(&self, wave: Name) -> Verdict {
        match self.waves.get(&wave) {
            Some(found) => Verdict::Wave { standing: found.standing, left: found.left(), wave },
            None => Verdict::Refused(Refusal::UnknownWave(wave)),
        }
    }

    fn execute(&mut self, order: Order, effects: &mut Vec<Effect>) -> Result<(), Refusal> {
        let Order { author, wave, edit, .. } = order;
        match edit {
            Edit::Start(selector) => {
                let selected = self.upstreams.iter();
                let selected = selected.filter(|(_, u)| selector.matches(&self.labels(u)));
                let instances = selected.map(|(name, _)| name.clone()).collect();
                self.start_wave(wave, author, instances)
            }
            Edit::Schedule => self.start_wave(wave, author, self.due_for_maintenance(self.now)),
            Edit::Pause => self.set_standing(wave, author, Standing::Paused),
            Edit::Resume => self.set_standing(wave, author, Standing::Running),
            Edit::Cancel => self.cancel(wave, author, effects),
        }
    }

    fn start_wave(
        &mut self,
        name: Name,
        author: Name,
        instances: BTreeSet<Name>,
    ) -> Result<(), Refusal> {
        if self.waves.contains_key(&name) {
            return Err(Refusal::KnownWave(name));
        }
        if instances.is_empty() {
            return Err(Refusal::EmptyWave(name));
        }
        if let Some(other) = instances.iter().find_map(|instance| self.wave_of(instance)) {
            return Err(Refusal::SharedWave(other.clone()));
        }
        let open = self.waves.values().filter(|wave| !wave.standing.ended()).count();
        if open >= MAX_WAVES {
            return Err(Refusal::TooManyWaves(open));
        }
        self.drop_oldest_wave();
        let subjects = vec![Subject::Wave(name.clone())];
        self.record(
            subjects,
            Reason::Started { author: author.clone(), instances: instances.len() },
        );
        self.waves.insert(name, Wave::new(author, instances, self.now));
        Ok(())
    }

    /// Drops the wave that ended first if [`MAX_KEPT_WAVES`] are kept. Waves with unfinished
    /// instances stay.
    fn drop_oldest_wave(&mut self) {
        if self.waves.len() < MAX_KEPT_WAVES {
            return;
        }
        let ended = self.waves.iter().filter(|(_, wave)| wave.ended.is_some() && wave.left() == 0);
        let oldest = ended.min_by_key(|(_, wave)| wave.ended).map(|(name, _)| name.clone());
        if let Some(oldest) = oldest {
            self.waves.remove(&oldest);
        }
    }

    fn set_standing(
        &mut self,
        name: Name,
        author: Name,
        standing: Standing,
    ) -> Result<(), Refusal> {
        let Some(wave) = self.waves.get_mut(&name) else { return Err(Refusal::UnknownWave(name)) };
        if wave.standing.ended() {
            return Err(Refusal::EndedWave(name));
        }
        if standing == Standing::Running {
            wave.failures = 0;
        }
        wave.standing = standing;
        wave.wait = None;
        self.record(vec![Subject::Wave(name)], Reason::Ordered { standing, author });
        Ok(())
    }

    /// Cancels a wave: skips its waiting instances, and returns its draining ones to service.
    fn cancel(
        &mut self,
        name: Name,
        author: Name,
        effects: &mut Vec<Effect>,
    ) -> Result<(), Refusal> {
        self.set_standing(name.clone(), author, Standing::Cancelled)?;
        let now = self.now;
        let Some(wave) = self.waves.get_mut(&name) else { return Ok(()) };
        wave.ended = Some(now);
        for progress in wave.instances.values_mut().filter(|p| **p == Progress::Waiting) {
            *progress = Progress::Skipped;
        }
        let granted = wave.instances.iter().filter(|(_, p)| **p == Progress::Granted);
        let draining =
            |instance: &&Name| self.upstreams.get(*instance).is_some_and(Upstream::is_draining);
        let granted = granted.map(|(instance, _)| instance).filter(draining);
        let granted: Vec<_> = granted.cloned().collect();
        for instance in granted {
            self.end_grant(&instance);
            self.update_membership(&instance);
            self.set_progress(&name, &instance, Progress::Skipped);
            self.push_routing_change(&instance, None, effects);
        }
        Ok(())
    }

    /// Records the progress of an instance. A failure stops the wave while its canaries are not
    /// done, and later once `max_failures` is reached. The wave finishes with its last instance.
    pub(crate) fn set_progress(&mut self, name: &Name, instance: &Name, progress: Progress) {
        let policy = &self.config.policy;
        let Some(wave) = self.waves.get_mut(name) else { return };
        wave.instances.insert(instance.clone(), progress);
        wave.failures += u32::from(progress == Progress::Failed);
        let canary = wave.max_concurrent(policy).is_some();
        let too_many = canary || wave.failures >= policy.max_failures;
        let stops = progress == Progress::Failed && too_many;
        if stops && wave.standing == Standing::Running && wave.left() > 0 {
            wave.standing = Standing::Stopped;
            let failures = wave.failures;
            self.record(vec![Subject::Wave(name.clone())], Reason::Stopped(failures));
        }
        self.finish_if_done(name);
    }

    fn finish_if_done(&mut self, name: &Name) {
        let now = self.now;
        let Some(wave) = self.waves.get_mut(name) else { return };
        if wave.left() > 0 || wave.standing.ended() {
            return;
        }
        wave.standing = Standing::Finished;
        wave.ended = Some(now);
        wave.wait = None;
        let reason = Reason::Finished {
            done: wave.count(Progress::Done),
            failed: wave.count(Progress::Failed),
            skipped: wave.count(Progress::Skipped),
        };
        self.record(vec![Subject::Wave(name.clone())], reason);
    }

    /// Skips an instance in every wave that still has to maintain it.
    pub(crate) fn skip_in_waves(&mut self, instance: &Name) {
        let awaits = |wave: &Wave| wave.instances.get(instance).is_some_and(|p| !p.ended());
        let waves = self.waves.iter().filter(|(_, wave)| awaits(wave));
        let waves: Vec<_> = waves.map(|(name, _)| name.clone()).collect();
        for wave in waves {
            self.set_progress(&wave, instance, Progress::Skipped);
        }
    }

    pub(crate) fn record_wait(&mut self, name: &Name, wait: Wait, at: Time) {
        self.advance_time(at);
        let Some(wave) = self.waves.get_mut(name) else { return };
        if wave.standing != Standing::Running {
            return;
        }
        wave.wait = Some(wait.clone());
        self.record(vec![Subject::Wave(name.clone())], Reason::Waits(wait));
    }
}
