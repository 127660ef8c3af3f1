//! Which pool an instance is in, and whether it takes new work.

use super::*;

/// Label with the pool of an instance, for budgets and waves.
const POOL: &str = "pool";

impl State {
    /// Whether `upstream` takes new work.
    pub fn is_serving(&self, upstream: &Upstream) -> bool {
        let placed = upstream.tenure.is_some() || self.config.pools.is_empty();
        let granted = upstream.grant.as_ref().is_none_or(|grant| grant.phase.is_serving());
        upstream.presence == Presence::Serving && !upstream.failed && placed && granted
    }

    /// Whether budgets count `upstream` as available.
    pub fn is_available(&self, upstream: &Upstream) -> bool {
        upstream.grant.is_none() && self.is_serving(upstream)
    }

    /// What `upstream` announces to callers' requests, `None` where it takes no new work.
    pub fn routed(&self, upstream: &Upstream) -> Option<Announcement> {
        if !self.is_serving(upstream) {
            return None;
        }
        let mut announcement = upstream.announcement.clone();
        let lent = upstream.tenure.as_ref().filter(|tenure| tenure.is_lent());
        let pool = lent.and_then(|tenure| self.config.pools.get(&tenure.pool));
        if let Some(service) = pool.and_then(|pool| pool.service.clone()) {
            announcement.service = service;
        }
        Some(announcement)
    }

    /// Labels of `upstream` as budgets and waves see them.
    pub fn labels(&self, upstream: &Upstream) -> Labels {
        let mut labels = effective(&self.config, &upstream.announcement);
        if let Some(tenure) = &upstream.tenure {
            labels.set(POOL.into(), tenure.home.clone());
        }
        labels
    }

    /// Instances that `config` would put into several pools.
    pub(crate) fn overlaps(&self, config: &Config) -> Vec<Overlap> {
        let overlap = |upstream: &Upstream| {
            let pools = matching(config, &effective(config, &upstream.announcement));
            let instance = upstream.announcement.instance.clone();
            (pools.len() > 1).then_some(Overlap { instance, pools })
        };
        self.upstreams.values().filter_map(overlap).collect()
    }

    /// What the author of the present configuration may not have meant.
    pub(crate) fn warnings(&self) -> Vec<Warning> {
        let pools =
            self.config.pools.keys().filter(|name| {
                !self.upstreams.values().any(|upstream| upstream.pools.contains(name))
            });
        let mut warnings: Vec<_> = pools.cloned().map(Warning::EmptyPool).collect();
        let tally = Tally::count(self);
        for (name, budget) in &self.config.budgets {
            let outage = tally.get(name);
            if outage.selected == 0 {
                warnings.push(Warning::EmptyBudget(name.clone()));
            } else if outage.disruption_limit(budget) == 0 {
                warnings.push(Warning::ClosedBudget(name.clone()));
            }
        }
        let unplaced = self.upstreams.iter().filter(|(_, upstream)| upstream.pools.is_empty());
        if !self.config.pools.is_empty() {
            warnings.extend(unplaced.map(|(name, _)| Warning::Unplaced(name.clone())));
        }
        warnings
    }

    /// Matches an instance against pools and budgets, and starts a tenure where none is held.
    pub(crate) fn settle(&mut self, instance: &Name) {
        let Some(upstream) = self.upstreams.get(instance) else { return };
        let pools = matching(&self.config, &effective(&self.config, &upstream.announcement));
        if pools != upstream.pools {
            self.note_pools(instance, &pools);
        }
        let Some(upstream) = self.upstreams.get_mut(instance) else { return };
        upstream.pools = pools;
        self.join(instance);
        self.count(instance);
    }

    fn note_pools(&mut self, instance: &Name, pools: &[Name]) {
        let subject = Subject::Instance(instance.clone());
        if pools.len() > 1 {
            let overlap = Overlap { instance: instance.clone(), pools: pools.to_vec() };
            return self.note(vec![subject], Reason::Overlap(overlap));
        }
        if pools.is_empty() && !self.config.pools.is_empty() {
            self.note(vec![subject], Reason::Unplaced);
        }
    }

    fn join(&mut self, instance: &Name) {
        let Some(upstream) = self.upstreams.get_mut(instance) else { return };
        let up = upstream.presence == Presence::Serving && !upstream.failed;
        if upstream.tenure.is_some() || upstream.grant.is_some() || !up {
            return;
        }
        let Some(pool) = upstream.wanted().cloned() else { return };
        upstream.epoch += 1;
        let epoch = upstream.epoch;
        upstream.tenure = Some(Tenure { pool: pool.clone(), home: pool.clone(), epoch });
        let subjects = vec![Subject::Instance(instance.clone()), Subject::Pool(pool.clone())];
        self.note(subjects, Reason::Joined { pool, epoch });
    }

    /// Finds the budgets that count an instance.
    pub(crate) fn count(&mut self, instance: &Name) {
        let Some(upstream) = self.upstreams.get(instance) else { return };
        let labels = self.labels(upstream);
        let budgets = self.config.budgets.iter();
        let budgets = budgets.filter(|(_, budget)| budget.selector.matches(&labels));
        let budgets = budgets.map(|(name, _)| name.clone()).collect();
        if let Some(upstream) = self.upstreams.get_mut(instance) {
            upstream.budgets = budgets;
        }
    }

    /// Everything that follows from the state as a whole, for a daemon that had `former` before.
    pub fn effects(&self, former: &Self) -> Vec<Effect> {
        let forgotten = former.upstreams.keys().filter(|name| !self.upstreams.contains_key(*name));
        let forgotten = forgotten.cloned().map(Effect::NotServing);
        let upstreams = self.upstreams.values().cloned().map(Effect::Upstream);
        let routed = self.upstreams.iter().map(|(name, upstream)| match self.routed(upstream) {
            Some(announcement) => Effect::Serving(announcement),
            None => Effect::NotServing(name.clone()),
        });
        let configured = Effect::Configured(self.config.clone());
        std::iter::once(configured).chain(forgotten).chain(upstreams).chain(routed).collect()
    }

    /// Says whether an instance takes new work, where that is another than `before`.
    pub(crate) fn reroute(
        &self,
        instance: &Name,
        before: Option<Announcement>,
        effects: &mut Vec<Effect>,
    ) {
        let after = self.upstreams.get(instance).and_then(|upstream| self.routed(upstream));
        if after == before {
            return;
        }
        effects.push(match after {
            Some(announcement) => Effect::Serving(announcement),
            None => Effect::NotServing(instance.clone()),
        });
    }
}

/// Labels by which pools select an instance: its place and service, under the labels that it
/// announces, under those that operators give it.
fn effective(config: &Config, announcement: &Announcement) -> Labels {
    let mut labels = Labels::default();
    labels.set("instance".into(), announcement.instance.clone());
    labels.set("service".into(), announcement.service.clone());
    labels.set("region".into(), announcement.location.region.clone());
    labels.set("data-center".into(), announcement.location.data_center.clone());
    labels.set("rack".into(), announcement.location.rack.clone());
    labels.merge(&announcement.labels);
    if let Some(instance) = config.instances.get(&announcement.instance) {
        labels.merge(&instance.labels);
    }
    labels
}

fn matching(config: &Config, labels: &Labels) -> Vec<Name> {
    let pools = config.pools.iter().filter(|(_, pool)| pool.selector.matches(labels));
    pools.map(|(name, _)| name.clone()).collect()
}
