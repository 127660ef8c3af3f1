use super::*;

/// The replicated state of the fleet.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct State {
    config: Arc<Config>,
    revision: Revision,
    author: Option<Name>,
    request: Option<Name>,
    answers: Answers,
    upstreams: BTreeMap<Name, Upstream>,
}

impl State {
    /// Applies a command from the log.
    pub fn apply(&mut self, command: Command) -> Vec<Effect> {
        match command {
            Command::Change(change) => self.change(change),
            Command::Announce(announcement) => self.announce(announcement),
            Command::Leave { instance, incarnation } => {
                self.depart(&instance, incarnation, Presence::Leaving)
            }
            Command::Lapse { instance, incarnation } => {
                self.depart(&instance, incarnation, Presence::Lapsed)
            }
        }
    }

    /// The present configuration.
    pub fn config(&self) -> &Arc<Config> {
        &self.config
    }

    /// Number of the present configuration.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Every upstream that was ever announced, by instance.
    pub fn upstreams(&self) -> &BTreeMap<Name, Upstream> {
        &self.upstreams
    }

    fn change(&mut self, change: Change) -> Vec<Effect> {
        let request = change.request.clone();
        if let Some(verdict) = self.answers.get(&request) {
            return vec![Effect::Verdict { request, verdict: verdict.clone() }];
        }
        if change.base != self.revision {
            return vec![self.judge(request, self.conflict())];
        }
        self.revision += 1;
        self.author = Some(change.author);
        self.request = Some(change.request);
        self.config = Arc::new(change.config);
        let accepted = Verdict::Accepted { revision: self.revision };
        vec![Effect::Configured(self.config.clone()), self.judge(request, accepted)]
    }

    fn conflict(&self) -> Verdict {
        let nobody = || Name::from("nobody");
        Verdict::Conflict {
            revision: self.revision,
            author: self.author.clone().unwrap_or_else(nobody),
            request: self.request.clone().unwrap_or_else(nobody),
        }
    }

    fn judge(&mut self, request: Name, verdict: Verdict) -> Effect {
        self.answers.insert(request.clone(), verdict.clone());
        Effect::Verdict { request, verdict }
    }

    fn announce(&mut self, announcement: Announcement) -> Vec<Effect> {
        let known = self.upstreams.get(&announcement.instance);
        let stale = known.is_some_and(|known| {
            let former = known.announcement.incarnation;
            announcement.incarnation < former
                || announcement.incarnation == former && known.presence == Presence::Leaving
        });
        if stale {
            return Vec::new();
        }
        let upstream = Upstream { announcement, presence: Presence::Serving };
        if known == Some(&upstream) {
            return Vec::new();
        }
        self.upstreams.insert(upstream.announcement.instance.clone(), upstream.clone());
        vec![Effect::Upstream(upstream)]
    }

    fn depart(&mut self, instance: &Name, incarnation: u64, presence: Presence) -> Vec<Effect> {
        let Some(upstream) = self.upstreams.get_mut(instance) else { return Vec::new() };
        let serving = upstream.presence == Presence::Serving;
        if !serving || upstream.announcement.incarnation != incarnation {
            return Vec::new();
        }
        upstream.presence = presence;
        vec![Effect::Upstream(upstream.clone())]
    }
}
