//! Waves as operators order them, and as their instances go on.

use super::*;

/// Waves that are not over at once.
const MAX_WAVES: usize = 16;

/// Waves that are kept, ended ones included.
const MAX_KEPT_WAVES: usize = 64;

impl State {
    /// Instances whose maintenance is due, and which no wave is to maintain.
    pub fn due_for_maintenance(&self, now: Time) -> BTreeSet<Name> {
        let period = self.config.policy.period;
        if period.is_zero() {
            return BTreeSet::new();
        }
        let lead = period * 3 / 4;
        let due = self.upstreams.iter().filter(|(_, upstream)| upstream.maintained + lead <= now);
        let free = due.filter(|(name, _)| self.wave_of(name).is_none());
        free.map(|(name, _)| name.clone()).collect()
    }

    /// The wave that is not over and has yet to maintain `instance`.
    pub fn wave_of(&self, instance: &Name) -> Option<&Name> {
        let open = self.waves.iter().filter(|(_, wave)| !wave.standing.ended());
        let has = |wave: &Wave| wave.instances.get(instance).is_some_and(|p| !p.ended());
        open.filter(|(_, wave)| has(wave)).map(|(name, _)| name).next()
    }

    pub(crate) fn maintain(&mut self, order: Order, effects: &mut Vec<Effect>) {
        if self.judged(&order.request, effects) {
            return;
        }
        let (request, wave) = (order.request.clone(), order.wave.clone());
        let verdict = match self.obey(order, effects) {
            Ok(()) => self.standing_of(wave),
            Err(refusal) => Verdict::Refused(refusal),
        };
        self.judge(request, verdict, effects);
    }

    fn standing_of(&self, wave: Name) -> Verdict {
        match self.waves.get(&wave) {
            Some(found) => Verdict::Wave { standing: found.standing, left: found.left(), wave },
            None => Verdict::Refused(Refusal::UnknownWave(wave)),
        }
    }

    fn obey(&mut self, order: Order, effects: &mut Vec<Effect>) -> Result<(), Refusal> {
        let Order { author, wave, edit, .. } = order;
        match edit {
            Edit::Start(selector) => {
                let selected = self.upstreams.iter();
                let selected = selected.filter(|(_, u)| selector.matches(&self.labels(u)));
                let instances = selected.map(|(name, _)| name.clone()).collect();
                self.open(wave, author, instances)
            }
            Edit::Schedule => self.open(wave, author, self.due_for_maintenance(self.now)),
            Edit::Pause => self.set(wave, author, Standing::Paused),
            Edit::Resume => self.set(wave, author, Standing::Running),
            Edit::Cancel => self.cancel(wave, author, effects),
        }
    }

    fn open(&mut self, name: Name, author: Name, instances: BTreeSet<Name>) -> Result<(), Refusal> {
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
        self.note(subjects, Reason::Started { author: author.clone(), instances: instances.len() });
        self.waves.insert(name, Wave::new(author, instances, self.now));
        Ok(())
    }

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

    fn set(&mut self, name: Name, author: Name, standing: Standing) -> Result<(), Refusal> {
        let Some(wave) = self.waves.get_mut(&name) else { return Err(Refusal::UnknownWave(name)) };
        if wave.standing.ended() {
            return Err(Refusal::EndedWave(name));
        }
        if standing == Standing::Running {
            wave.failures = 0;
        }
        wave.standing = standing;
        wave.wait = None;
        self.note(vec![Subject::Wave(name)], Reason::Ordered { standing, author });
        Ok(())
    }

    fn cancel(
        &mut self,
        name: Name,
        author: Name,
        effects: &mut Vec<Effect>,
    ) -> Result<(), Refusal> {
        self.set(name.clone(), author, Standing::Cancelled)?;
        let now = self.now;
        let Some(wave) = self.waves.get_mut(&name) else { return Ok(()) };
        wave.ended = Some(now);
        for progress in wave.instances.values_mut().filter(|p| **p == Progress::Waiting) {
            *progress = Progress::Skipped;
        }
        let granted = wave.instances.iter().filter(|(_, p)| **p == Progress::Granted);
        let drains =
            |instance: &&Name| self.upstreams.get(*instance).is_some_and(Upstream::is_draining);
        let granted = granted.map(|(instance, _)| instance).filter(drains);
        let granted: Vec<_> = granted.cloned().collect();
        for instance in granted {
            self.end(&instance);
            self.settle(&instance);
            self.progress(&name, &instance, Progress::Skipped);
            self.reroute(&instance, None, effects);
        }
        Ok(())
    }

    /// Notes how far a wave is with an instance, and what follows for the wave.
    pub(crate) fn progress(&mut self, name: &Name, instance: &Name, progress: Progress) {
        let policy = &self.config.policy;
        let Some(wave) = self.waves.get_mut(name) else { return };
        wave.instances.insert(instance.clone(), progress);
        wave.failures += u32::from(progress == Progress::Failed);
        let canary = wave.width(policy).is_some();
        let too_many = canary || wave.failures >= policy.max_failures;
        let stops = progress == Progress::Failed && too_many;
        if stops && wave.standing == Standing::Running && wave.left() > 0 {
            wave.standing = Standing::Stopped;
            let failures = wave.failures;
            self.note(vec![Subject::Wave(name.clone())], Reason::Stopped(failures));
        }
        self.finish(name);
    }

    fn finish(&mut self, name: &Name) {
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
        self.note(vec![Subject::Wave(name.clone())], reason);
    }

    /// Leaves an instance out of every wave.
    pub(crate) fn skip(&mut self, instance: &Name) {
        let has = |wave: &Wave| wave.instances.get(instance).is_some_and(|p| !p.ended());
        let waves = self.waves.iter().filter(|(_, wave)| has(wave));
        let waves: Vec<_> = waves.map(|(name, _)| name.clone()).collect();
        for wave in waves {
            self.progress(&wave, instance, Progress::Skipped);
        }
    }

    pub(crate) fn note_wait(&mut self, name: &Name, wait: Wait, at: Time) {
        self.advance(at);
        let Some(wave) = self.waves.get_mut(name) else { return };
        if wave.standing != Standing::Running {
            return;
        }
        wave.wait = Some(wait.clone());
        self.note(vec![Subject::Wave(name.clone())], Reason::Waits(wait));
    }
}
