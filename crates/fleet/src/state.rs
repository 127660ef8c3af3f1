use super::*;

/// The replicated state of the fleet.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct State {
    pub(crate) config: Arc<Config>,
    revision: Revision,
    author: Option<Name>,
    request: Option<Name>,
    pub(crate) answers: Answers,
    pub(crate) upstreams: BTreeMap<Name, Upstream>,
    pub(crate) waves: BTreeMap<Name, Wave>,
    pub(crate) journal: Journal,
    history: History,
    pub(crate) now: Time,
}

impl State {
    /// Applies a command from the log.
    pub fn apply(&mut self, command: Command) -> Vec<Effect> {
        let mut effects = Vec::new();
        match command {
            Command::Change(change) => self.change(change, &mut effects),
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
            Command::Step(step) => self.step(step, &mut effects),
            Command::Wait { wave, wait, at } => self.note_wait(&wave, wait, at),
            Command::Tick { at } => self.advance(at),
        }
        effects
    }

    /// The present configuration.
    pub fn config(&self) -> &Arc<Config> {
        &self.config
    }

    /// Number of the present configuration.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Every upstream that was ever announced and is not forgotten, by instance.
    pub fn upstreams(&self) -> &BTreeMap<Name, Upstream> {
        &self.upstreams
    }

    /// Waves, ended ones included while they are kept.
    pub fn waves(&self) -> &BTreeMap<Name, Wave> {
        &self.waves
    }

    /// The latest decisions.
    pub fn journal(&self) -> &Journal {
        &self.journal
    }

    /// The latest configurations.
    pub fn history(&self) -> &History {
        &self.history
    }

    /// Fleet time: it stands still while nobody leads, and never goes back.
    pub fn now(&self) -> Time {
        self.now
    }

    pub(crate) fn advance(&mut self, at: Time) {
        self.now = self.now.max(at);
    }

    pub(crate) fn note(&mut self, subjects: Vec<Subject>, reason: Reason) {
        self.journal.add(self.now, subjects, reason);
    }

    pub(crate) fn judge(&mut self, request: Name, verdict: Verdict, effects: &mut Vec<Effect>) {
        self.answers.insert(request.clone(), verdict.clone());
        effects.push(Effect::Verdict { request, verdict });
    }

    /// Whether `request` was judged before; its first verdict is repeated.
    pub(crate) fn judged(&self, request: &Name, effects: &mut Vec<Effect>) -> bool {
        let Some(verdict) = self.answers.get(request) else { return false };
        effects.push(Effect::Verdict { request: request.clone(), verdict: verdict.clone() });
        true
    }

    fn change(&mut self, change: Change, effects: &mut Vec<Effect>) {
        if self.judged(&change.request, effects) {
            return;
        }
        if change.base != self.revision {
            let conflict = self.conflict();
            return self.judge(change.request, conflict, effects);
        }
        let overlaps = self.overlaps(&change.config);
        if !overlaps.is_empty() {
            let (author, count) = (change.author, overlaps.len());
            self.note(vec![Subject::Config], Reason::Overlaps { author, overlaps: count });
            return self.judge(change.request, Verdict::Overlap(overlaps), effects);
        }
        self.accept(change, effects);
    }

    fn accept(&mut self, change: Change, effects: &mut Vec<Effect>) {
        let before: Vec<_> = self.upstreams.values().map(|u| self.routed(u)).collect();
        let Change { request, author, config, .. } = change;
        self.revision += 1;
        self.author = Some(author.clone());
        self.request = Some(request.clone());
        self.config = Arc::new(config);
        self.remember(&request, &author);
        let revision = self.revision;
        self.note(vec![Subject::Config], Reason::Configured { revision, author });
        effects.push(Effect::Configured(self.config.clone()));
        let names: Vec<_> = self.upstreams.keys().cloned().collect();
        for (name, before) in names.iter().zip(before) {
            self.settle(name);
            self.reroute(name, before, effects);
        }
        let warnings = self.warnings();
        self.judge(request, Verdict::Accepted { revision, warnings }, effects);
    }

    fn remember(&mut self, request: &Name, author: &Name) {
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

    fn announce(&mut self, announcement: Announcement, effects: &mut Vec<Effect>) {
        let name = announcement.instance.clone();
        let known = self.upstreams.get(&name);
        let stale = known.is_some_and(|known| {
            let former = known.announcement.incarnation;
            announcement.incarnation < former
                || announcement.incarnation == former && known.presence == Presence::Leaving
        });
        let same = known.is_some_and(|known| {
            known.announcement == announcement && known.presence == Presence::Serving
        });
        if stale || same {
            return;
        }
        let before = known.and_then(|known| self.routed(known));
        self.note_announcement(&announcement);
        let now = self.now;
        let upstream = self.upstreams.entry(name.clone());
        let upstream = upstream.or_insert_with(|| Upstream::new(announcement.clone(), now));
        let restarted = announcement.incarnation > upstream.announcement.incarnation;
        upstream.announcement = announcement;
        upstream.presence = Presence::Serving;
        if restarted {
            self.restarted(&name);
        }
        self.settle(&name);
        effects.push(Effect::Upstream(self.upstreams[&name].clone()));
        self.reroute(&name, before, effects);
    }

    fn note_announcement(&mut self, announcement: &Announcement) {
        let subject = Subject::Instance(announcement.instance.clone());
        self.note(vec![subject], Reason::Announced(announcement.incarnation));
    }

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
        let before = self.routed(upstream);
        self.note(vec![Subject::Instance(instance.clone())], Reason::Departed(presence));
        if let Some(upstream) = self.upstreams.get_mut(instance) {
            upstream.presence = presence;
        }
        self.lost(instance);
        effects.push(Effect::Upstream(self.upstreams[instance].clone()));
        self.reroute(instance, before, effects);
    }

    fn forget(&mut self, request: Name, author: Name, instance: Name, effects: &mut Vec<Effect>) {
        if self.judged(&request, effects) {
            return;
        }
        let Some(upstream) = self.upstreams.get(&instance) else {
            let refusal = Refusal::UnknownInstance(instance);
            return self.judge(request, Verdict::Refused(refusal), effects);
        };
        if upstream.presence == Presence::Serving && !upstream.failed {
            return self.judge(request, Verdict::Refused(Refusal::Present(instance)), effects);
        }
        self.upstreams.remove(&instance);
        self.note(vec![Subject::Instance(instance.clone())], Reason::Forgotten(author));
        self.skip(&instance);
        effects.push(Effect::NotServing(instance.clone()));
        self.judge(request, Verdict::Forgotten(instance), effects);
    }
}
