//! Chooses the daemons that carry the leader's orders to instances. Talking HTTP to an instance costs
//! several times what deciding about it does, and one processor leads while all others are idle. A
//! carrier only transports: it sends an order as it is, with the lease and the epoch that the leader
//! set, and returns what the instance answers. It keeps nothing, so its loss costs the answers on
//! their way, and the leader treats those as it treats an instance that does not answer.
//!
//! Small fleets need no carriers. Otherwise each data centre has a few, in proportion to its
//! instances and to the orders of the last seconds, since a carrier's link is slow. Rendezvous
//! hashing assigns the instances, so that a change of one carrier moves only its own.

use {
    super::*,
    std::{
        collections::{BinaryHeap, binary_heap::PeekMut},
        net::IpAddr,
    },
    twox_hash::XxHash64,
};

/// Daemons that may carry orders, and the orders in flight through them.
#[derive(Debug, Default)]
pub(crate) struct Carriers {
    /// A daemon on each other machine, by the address of the machine.
    daemons: BTreeMap<IpAddr, Daemon>,
    /// The carriers in use, by data centre.
    chosen: BTreeMap<Name, Vec<Name>>,
    open: Map<job::CallId, OpenOrder>,
    /// When each order is given up, the next one first; also of orders that have been returned.
    deadlines: BinaryHeap<Reverse<(Time, job::CallId)>>,
    /// Number of orders opened since the carriers were chosen.
    opened: usize,
    /// When the carriers were chosen.
    chosen_at: Time,
    /// Orders a second, as a peak that decays.
    peak_rate: f64,
    /// When this daemon first chose carriers since it became leader.
    leads_since: Option<Time>,
    /// Carriers that are not used until the given time, since they reached no instance.
    suspended: BTreeMap<Name, Time>,
    /// Instances that each carrier failed to reach since it last reached one.
    failures: BTreeMap<Name, BTreeSet<Name>>,
}

#[derive(Debug)]
struct Daemon {
    name: Name,
    data_center: Name,
    heard: Time,
}

/// An order that a carrier has not returned.
#[derive(Debug)]
struct OpenOrder {
    carrier: Name,
    instance: Name,
}

impl Carriers {
    /// Up to this many instances, the leader sends all orders itself.
    const MAX_DIRECT_INSTANCES: usize = 96;
    /// Instances for each carrier, if they get few orders.
    const INSTANCES_PER_CARRIER: usize = 48;
    /// Orders a second for each carrier. An order and its answer take about 1 KB of its link of
    /// 250 KB/s.
    const ORDERS_PER_CARRIER: f64 = 100.0;
    /// For each thousand orders a second, orders and results are held for this long.
    const HOLD_PER_THOUSAND_ORDERS: Duration = Duration::from_millis(6);
    /// A task is held twice, at its start and at its end, and short ones must still be in time.
    pub(crate) const MAX_ORDER_HOLD: Duration = Duration::from_millis(24);
    /// The rate of orders that carriers are chosen for falls to half in this time after a peak.
    const RATE_HALF_LIFE: Duration = Duration::from_secs(4);
    /// A daemon that was not heard from for this long is not chosen.
    const LIVENESS_TIMEOUT: Duration = Duration::from_millis(1400);
    /// The same for a new leader, which daemons asked only now and then until they learn of it.
    const LIVENESS_TIMEOUT_AT_START: Duration = Duration::from_secs(15);
    /// For how long a leader is new.
    const START: Duration = Duration::from_millis(1500);
    /// Time that an order may take to the carrier and back, beyond the timeout of the order.
    const TRANSPORT_TIME: Duration = Duration::from_millis(350);
    /// A carrier that failed to reach this many different instances in a row is suspended.
    const MAX_FAILURES: usize = 4;
    /// At most one of this many daemons is suspended.
    const MAX_SUSPENDED_DIVISOR: usize = 6;
    const SUSPENSION: Duration = Duration::from_secs(4);

    /// Number of daemons from which on each should ask for the leader less often.
    const LARGE_FLEET: usize = 60;

    /// Whether many daemons ask this one for the leader.
    pub(crate) fn is_large_fleet(&self) -> bool {
        self.daemons.len() >= Self::LARGE_FLEET
    }

    /// Records that a daemon was heard from.
    pub(crate) fn heard_from(&mut self, now: Time, daemon: &Name, data_center: &Name) {
        let Ok(address) = daemon.parse::<SocketAddr>() else { return };
        let (name, data_center) = (daemon.clone(), data_center.clone());
        self.daemons.insert(address.ip(), Daemon { name, data_center, heard: now });
    }

    /// Chooses the carriers anew. `instances` are counted by data centre; the machines of `members`
    /// are left to agreement. Returns the number of carriers if it has changed.
    pub(crate) fn choose(
        &mut self,
        now: Time,
        instances: &BTreeMap<Name, usize>,
        members: &BTreeSet<IpAddr>,
    ) -> Option<usize> {
        let since = *self.leads_since.get_or_insert(now);
        let timeout = if now < since + Self::START {
            Self::LIVENESS_TIMEOUT_AT_START
        } else {
            Self::LIVENESS_TIMEOUT
        };
        self.daemons.retain(|_, daemon| now < daemon.heard + timeout);
        self.suspended.retain(|_, until| now < *until);
        self.measure_rate(now);
        let total = instances.values().sum::<usize>().max(1);
        let by_rate = (self.peak_rate / Self::ORDERS_PER_CARRIER).ceil() as usize;
        let by_instances = total.div_ceil(Self::INSTANCES_PER_CARRIER);
        let wanted = by_rate.max(by_instances);
        let mut chosen = BTreeMap::<Name, Vec<Name>>::new();
        if instances.values().sum::<usize>() > Self::MAX_DIRECT_INSTANCES {
            for (address, daemon) in &self.daemons {
                if !members.contains(address) && !self.suspended.contains_key(&daemon.name) {
                    let carriers = chosen.entry(daemon.data_center.clone()).or_default();
                    carriers.push(daemon.name.clone());
                }
            }
        }
        for (data_center, carriers) in &mut chosen {
            let count = instances.get(data_center).copied().unwrap_or_default();
            carriers.sort_by_cached_key(|carrier| hash(carrier, 0));
            carriers.truncate((wanted * count).div_ceil(total).max(1));
        }
        let count = |chosen: &BTreeMap<Name, Vec<Name>>| chosen.values().map(Vec::len).sum();
        let (before, after): (usize, usize) = (count(&self.chosen), count(&chosen));
        self.chosen = chosen;
        (before != after).then_some(after)
    }

    /// Updates the rate of orders.
    fn measure_rate(&mut self, now: Time) {
        let elapsed = now.saturating_sub(self.chosen_at).as_secs_f64();
        if elapsed > 0.0 {
            let rate = self.opened as f64 / elapsed;
            let decay = (-elapsed / Self::RATE_HALF_LIFE.as_secs_f64()).exp2();
            self.peak_rate = rate.max(self.peak_rate * decay);
        }
        self.opened = 0;
        self.chosen_at = now;
    }

    /// How long orders and their results are held, so that those of one carrier share frames. The
    /// orders are spread over more carriers the more there are, so that a fixed time would leave a
    /// frame for nearly each of them.
    pub(crate) fn order_hold(&self) -> Duration {
        let hold = Self::HOLD_PER_THOUSAND_ORDERS.mul_f64(self.peak_rate / 1000.0);
        hold.clamp(Outbox::ORDER_HOLD, Self::MAX_ORDER_HOLD)
    }

    /// The carrier for an instance; `None` if the leader sends its orders itself.
    pub(crate) fn carrier_of(&self, instance: &Name, data_center: &Name) -> Option<&Name> {
        let seed = hash(instance, 0);
        let near = self.chosen.get(data_center);
        let carriers = near.into_iter().flatten();
        let best = |carrier: &&Name| hash(carrier, seed);
        carriers.max_by_key(best).or_else(|| self.chosen.values().flatten().max_by_key(best))
    }

    /// Records an order that is sent through a carrier.
    pub(crate) fn open(
        &mut self,
        now: Time,
        id: job::CallId,
        carrier: Name,
        instance: Name,
        timeout: Duration,
    ) {
        self.opened += 1;
        let until = now + timeout + Self::TRANSPORT_TIME;
        self.deadlines.push(Reverse((until, id)));
        self.open.insert(id, OpenOrder { carrier, instance });
    }

    /// Records the result of an order. Returns whether it was still open, and the carrier if it is
    /// suspended from now on.
    pub(crate) fn finish(
        &mut self,
        now: Time,
        id: job::CallId,
        answered: bool,
    ) -> (bool, Option<Name>) {
        let Some(OpenOrder { carrier, instance, .. }) = self.open.remove(&id) else {
            return (false, None);
        };
        if answered {
            self.failures.remove(&carrier);
            return (true, None);
        }
        let failures = self.failures.entry(carrier.clone()).or_default();
        failures.insert(instance);
        // If many fail, it is not they: fewer carriers would only be slower.
        let many = self.suspended.len() >= self.daemons.len() / Self::MAX_SUSPENDED_DIVISOR;
        if failures.len() < Self::MAX_FAILURES || many {
            return (true, None);
        }
        self.failures.remove(&carrier);
        self.suspended.insert(carrier.clone(), now + Self::SUSPENSION);
        for carriers in self.chosen.values_mut() {
            carriers.retain(|other| *other != carrier);
        }
        (true, Some(carrier))
    }

    /// Takes the orders whose deadline has passed; those that no carrier returned are expired.
    pub(crate) fn expired(&mut self, now: Time) -> Vec<job::CallId> {
        let mut expired = Vec::new();
        while let Some(next) = self.deadlines.peek_mut().filter(|next| next.0.0 <= now) {
            let Reverse((_, id)) = PeekMut::pop(next);
            if self.open.contains_key(&id) {
                expired.push(id);
            }
        }
        expired
    }

    /// Drops everything in flight, when this daemon no longer leads.
    pub(crate) fn resign(&mut self) {
        self.leads_since = None;
        self.open.clear();
        self.deadlines.clear();
        self.chosen.clear();
        self.failures.clear();
    }
}

fn hash(name: &Name, seed: u64) -> u64 {
    XxHash64::oneshot(seed, name.as_bytes())
}
