//! Pool membership of instances, and whether they take new requests.

use super::*;

/// Label that carries the home pool of an instance, for the selectors of budgets and waves.
const POOL: &str = "pool";

impl State {
    /// Whether `upstream` takes new requests. Without any configured pool, every upstream that is
    /// present does.
    pub fn is_serving(&self, upstream: &Upstream) -> bool {
        let placed = upstream.tenure.is_some() || self.config.pools.is_empty();
        let granted = upstream.grant.as_ref().is_none_or(|grant| grant.phase.is_serving());
        upstream.presence == Presence::Serving && !upstream.failed && placed && granted
    }

    /// Whether budgets count `upstream` as available: it serves, and no grant disrupts it.
    pub fn is_available(&self, upstream: &Upstream) -> bool {
        upstream.grant.is_none() && self.is_serving(upstream)
    }

    /// The announcement by which requests are routed to `upstream`, `None` if it takes no new
    /// requests. A lent instance is routed under the service of the pool that borrows it.
    pub fn routed_as(&self, upstream: &Upstream) -> Option<Announcement> {
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

    /// Labels of `upstream` that the selectors of budgets and waves match.
    pub fn labels(&self, upstream: &Upstream) -> Labels {
        let mut labels = effective_labels(&self.config, &upstream.announcement);
        if let Some(tenure) = &upstream.tenure {
            labels.set(POOL.into(), tenure.home.clone());
        }
        labels
    }

    /// Instances that more than one pool of `config` selects.
    pub(crate) fn overlaps(&self, config: &Config) -> Vec<Overlap> {
        let overlap = |upstream: &Upstream| {
            let pools = matching_pools(config, &effective_labels(config, &upstream.announcement));
            let instance = upstream.announcement.instance.clone();
            (pools.len() > 1).then_some(Overlap { instance, pools })
        };
        self.upstreams.values().filter_map(overlap).collect()
    }

    /// Likely mistakes in the current configuration.
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

    /// Matches an instance against pools and budgets again. Starts a tenure if the instance is
    /// present and has neither a tenure nor a grant.
    pub(crate) fn update_membership(&mut self, instance: &Name) {
        let Some(upstream) = self.upstreams.get(instance) else { return };
        let pools =
            matching_pools(&self.config, &effective_labels(&self.config, &upstream.announcement));
        if pools != upstream.pools {
            self.record_pool_match(instance, &pools);
        }
        let Some(upstream) = self.upstreams.get_mut(instance) else { return };
        upstream.pools = pools;
        self.start_tenure(instance);
        self.update_budgets(instance);
    }

    fn record_pool_match(&mut self, instance: &Name, pools: &[Name]) {
        let subject = Subject::Instance(instance.clone());
        if pools.len() > 1 {
            let overlap = Overlap { instance: instance.clone(), pools: pools.to_vec() };
            return self.record(vec![subject], Reason::Overlap(overlap));
        }
        if pools.is_empty() && !self.config.pools.is_empty() {
            self.record(vec![subject], Reason::Unplaced);
        }
    }

    fn start_tenure(&mut self, instance: &Name) {
        let Some(upstream) = self.upstreams.get_mut(instance) else { return };
        let present = upstream.presence == Presence::Serving && !upstream.failed;
        if upstream.tenure.is_some() || upstream.grant.is_some() || !present {
            return;
        }
        let Some(pool) = upstream.selected_pool().cloned() else { return };
        upstream.epoch += 1;
        let epoch = upstream.epoch;
        upstream.tenure = Some(Tenure { pool: pool.clone(), home: pool.clone(), epoch });
        let subjects = vec![Subject::Instance(instance.clone()), Subject::Pool(pool.clone())];
        self.record(subjects, Reason::Joined { pool, epoch });
    }

    /// Updates the list of budgets that select an instance.
    pub(crate) fn update_budgets(&mut self, instance: &Name) {
        let Some(upstream) = self.upstreams.get(instance) else { return };
        let labels = self.labels(upstream);
        let budgets = self.config.budgets.iter();
        let budgets = budgets.filter(|(_, budget)| budget.selector.matches(&labels));
        let budgets = budgets.map(|(name, _)| name.clone()).collect();
        if let Some(upstream) = self.upstreams.get_mut(instance) {
            upstream.budgets = budgets;
        }
    }

    /// The effects that bring a daemon from the state `former` to this one, such as after it
    /// installed a snapshot.
    pub fn effects(&self, former: &Self) -> Vec<Effect> {
        let forgotten = former.upstreams.keys().filter(|name| !self.upstreams.contains_key(*name));
        let forgotten = forgotten.cloned().map(Effect::NotServing);
        let upstreams = self.upstreams.values().cloned().map(Effect::Upstream);
        let routed = self.upstreams.iter().map(|(name, upstream)| match self.routed_as(upstream) {
            Some(announcement) => Effect::Serving(announcement),
            None => Effect::NotServing(name.clone()),
        });
        let configured = Effect::Configured(self.config.clone());
        std::iter::once(configured).chain(forgotten).chain(upstreams).chain(routed).collect()
    }

    /// Adds an effect if the routing of an instance differs from `before`.
    pub(crate) fn push_routing_change(
        &self,
        instance: &Name,
        before: Option<Announcement>,
        effects: &mut Vec<Effect>,
    ) {
        let after = self.upstreams.get(instance).and_then(|upstream| self.routed_as(upstream));
        if after == before {
            return;
        }
        effects.push(match after {
            Some(announcement) => Effect::Serving(announcement),
            None => Effect::NotServing(instance.clone()),
        });
    }
}

/// Labels that pool selectors match. Labels from operators override announced ones, which
/// override those derived from the location and the service.
fn effective_labels(config: &Config, announcement: &Announcement) -> Labels {
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

fn matching_pools(config: &Config, labels: &Labels) -> Vec<Name> {
    let pools = config.pools.iter().filter(|(_, pool)| pool.selector.matches(labels));
    pools.map(|(name, _)| name.clone()).collect()
}
