use super::*;

/// Replicated state of the fleet.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct State {
    pub(crate) config: Arc<Config>,
    revision: Revision,
    author: Option<Name>,
    request: Option<Name>,
    pub(crate) verdicts: RecentVerdicts,
    pub(crate) upstreams: BTreeMap<Name, Upstream>,
    pub(crate) waves: BTreeMap<Name, Wave>,
    pub(crate) journal: Journal,
    history: History,
    pub(crate) now: Time,
}

impl State {
    /// Applies a committed command from the log.
    pub fn apply(&mut self, command: Command) -> Vec<Effect> {
        let mut effects = Vec::new();
        match command {
            Command::Change(change) => self.apply_change(change, &mut effects),
            Command::Announce(announcement) => self.announce(announcement, &mut effects),
            Command::Leave { instance, incarnation } => {
                self.depart(&instance, incarnation, Presence::Leaving, &mut effects);
            }
            Command::Lapse { instance, incarnation } => {
                self.depart(&instance, incarnation, Presence::Lapsed, &mut effects);
            }
            Command::Maintain(order) => self.maintain(order, &mut effects),
            Command::Forget { request, author, instance } => {
                self.forget(request, author, instance, &mut effects);
            }
            Command::Step(step) => self.apply_step(step, &mut effects),
            Command::Wait { wave, wait, at } => self.record_wait(&wave, wait, at),
            Command::Tick { at } => self.advance_time(at),
        }
        effects
    }

    /// The current configuration.
    pub fn config(&self) -> &Arc<Config> {
        &self.config
    }

    /// Revision of the current configuration.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Every upstream that announced itself and was not removed, by instance name.
    pub fn upstreams(&self) -> &BTreeMap<Name, Upstream> {
        &self.upstreams
    }

    /// Waves by name, including ended ones that are still kept.
    pub fn waves(&self) -> &BTreeMap<Name, Wave> {
        &self.waves
    }

    /// The most recent decisions.
    pub fn journal(&self) -> &Journal {
        &self.journal
    }

    /// The most recent configurations.
    pub fn history(&self) -> &History {
        &self.history
    }

    /// Fleet time: the clock for timeouts and schedules, which commands carry into the replicated
    /// state. It advances only while there is a leader, and never goes back.
    pub fn now(&self) -> Time {
        self.now
    }

    pub(crate) fn advance_time(&mut self, at: Time) {
        self.now = self.now.max(at);
    }

    pub(crate) fn record(&mut self, subjects: Vec<Subject>, reason: Reason) {
        self.journal.add(self.now, subjects, reason);
    }

    pub(crate) fn answer(&mut self, request: Name, verdict: Verdict, effects: &mut Vec<Effect>) {
        self.verdicts.insert(request.clone(), verdict.clone());
        effects.push(Effect::Verdict { request, verdict });
    }

    /// Repeats the verdict of a request that was already answered. Returns whether it was.
    pub(crate) fn repeat_verdict(&self, request: &Name, effects: &mut Vec<Effect>) -> bool {
        let Some(verdict) = self.verdicts.get(request) else { return false };
        effects.push(Effect::Verdict { request: request.clone(), verdict: verdict.clone() });
        true
    }

    fn apply_change(&mut self, change: Change, effects: &mut Vec<Effect>) {
        if self.repeat_verdict(&change.request, effects) {
            return;
        }
        if change.base != self.revision {
            let conflict = self.conflict();
            return self.answer(change.request, conflict, effects);
        }
        let overlaps = self.overlaps(&change.config);
        if !overlaps.is_empty() {
            let (author, count) = (change.author, overlaps.len());
            self.record(vec![Subject::Config], Reason::Overlaps { author, overlaps: count });
            return self.answer(change.request, Verdict::Overlap(overlaps), effects);
        }
        self.accept(change, effects);
    }

    fn accept(&mut self, change: Change, effects: &mut Vec<Effect>) {
        let before: Vec<_> = self.upstreams.values().map(|u| self.routed_as(u)).collect();
        let Change { request, author, config, .. } = change;
        self.revision += 1;
        self.author = Some(author.clone());
        self.request = Some(request.clone());
        self.config = Arc::new(config);
        self.add_to_history(&request, &author);
        let revision = self.revision;
        self.record(vec![Subject::Config], Reason::Configured { revision, author });
        effects.push(Effect::Configured(self.config.clone()));
        let names: Vec<_> = self.upstreams.keys().cloned().collect();
        for (name, before) in names.iter().zip(before) {
            self.update_membership(name);
            self.push_routing_change(name, before, effects);
        }
        let warnings = self.warnings();
        self.answer(request, Verdict::Accepted { revision, warnings }, effects);
    }

    fn add_to_history(&mut self, request: &Name, author: &Name) {
        self.history.add(Past {
            revision: self.revision,
            author: author.clone(),
            request: request.clone(),
            at: self.now,
            config: self.config.clone(),
        });
    }

    fn conflict(&self) -> Verdict {
        let nobody = || Name::from("nobody");
        Verdict::Conflict {
            revision: self.revision,
            author: self.author.clone().unwrap_or_else(nobody),
            request: self.request.clone().unwrap_or_else(nobody),
        }
    }

    /// Handles an announcement. One that changes nothing has no effect, nor has a stale one: of an
    /// earlier incarnation, or of one that has left.
    fn announce(&mut self, announcement: Announcement, effects: &mut Vec<Effect>) {
        let name = announcement.instance.clone();
        let known = self.upstreams.get(&name);
        let stale = known.is_some_and(|known| {
            let former = known.announcement.incarnation;
            announcement.incarnation < former
                || announcement.incarnation == former && known.presence == Presence::Leaving
        });
        let unchanged = known.is_some_and(|known| {
            known.announcement == announcement && known.presence == Presence::Serving
        });
        if stale || unchanged {
            return;
        }
        let before = known.and_then(|known| self.routed_as(known));
        self.record_announcement(&announcement);
        let now = self.now;
        let upstream = self.upstreams.entry(name.clone());
        let upstream = upstream.or_insert_with(|| Upstream::new(announcement.clone(), now));
        let restarted = announcement.incarnation > upstream.announcement.incarnation;
        upstream.announcement = announcement;
        upstream.presence = Presence::Serving;
        if restarted {
            self.on_restart(&name);
        }
        self.update_membership(&name);
        effects.push(Effect::Upstream(self.upstreams[&name].clone()));
        self.push_routing_change(&name, before, effects);
    }

    fn record_announcement(&mut self, announcement: &Announcement) {
        let subject = Subject::Instance(announcement.instance.clone());
        self.record(vec![subject], Reason::Announced(announcement.incarnation));
    }

    /// Handles the departure of an incarnation, if it is the latest one and present.
    fn depart(
        &mut self,
        instance: &Name,
        incarnation: u64,
        presence: Presence,
        effects: &mut Vec<Effect>,
    ) {
        let Some(upstream) = self.upstreams.get(instance) else { return };
        let serving = upstream.presence == Presence::Serving;
        if !serving || upstream.announcement.incarnation != incarnation {
            return;
        }
        let before = self.routed_as(upstream);
        self.record(vec![Subject::Instance(instance.clone())], Reason::Departed(presence));
        if let Some(upstream) = self.upstreams.get_mut(instance) {
            upstream.presence = presence;
        }
        self.on_departure(instance);
        effects.push(Effect::Upstream(self.upstreams[instance].clone()));
        self.push_routing_change(instance, before, effects);
    }

    /// Removes an instance that has departed or failed.
    fn forget(&mut self, request: Name, author: Name, instance: Name, effects: &mut Vec<Effect>) {
        if self.repeat_verdict(&request, effects) {
            return;
        }
        let Some(upstream) = self.upstreams.get(&instance) else {
            let refusal = Refusal::UnknownInstance(instance);
            return self.answer(request, Verdict::Refused(refusal), effects);
        };
        if upstream.presence == Presence::Serving && !upstream.failed {
            return self.answer(request, Verdict::Refused(Refusal::Present(instance)), effects);
        }
        self.upstreams.remove(&instance);
        self.record(vec![Subject::Instance(instance.clone())], Reason::Forgotten(author));
        self.skip_in_waves(&instance);
        effects.push(Effect::NotServing(instance.clone()));
        self.answer(request, Verdict::Forgotten(instance), effects);
    }
}
