use super::*;

/// A scheduled event of the simulation.
#[derive(Debug)]
pub(super) enum SimEvent {
    Start(Name),
    /// Delivers an event to a host; `Synced` is dropped if the host has restarted since `boot`.
    Deliver {
        host: Name,
        boot: u64,
        event: Event,
    },
    /// A timer expires, unless `token` is not that of its latest subscription.
    Timer {
        host: Name,
        timer: Timer,
        token: u64,
    },
    /// The queued records of a host become durable.
    Sync {
        host: Name,
        boot: u64,
    },
    /// A random fault is injected.
    Fault,
    /// Every leader proposes a command.
    Propose,
    /// The operator changes a member.
    Operate,
}

/// The simulated cluster: all members and the network between them.
pub struct World {
    pub now: Time,
    pub hosts: BTreeMap<Name, Host>,
    pub oracle: Oracle,
    /// Pairs of a sender and a receiver between which all messages are lost.
    pub(super) blocked_links: BTreeSet<(Name, Name)>,
    pub(super) rng: ChaCha8Rng,
    /// Initial role of every member.
    members: BTreeMap<Name, Role>,
    /// Scheduled events by time, and in the order of scheduling within the same time.
    pending_events: BTreeMap<(Time, u64), SimEvent>,
    /// Number of events scheduled so far.
    event_count: u64,
    pub(super) faults_enabled: bool,
}

impl World {
    /// Clock rates in thousandths, within the drift that the leases allow.
    const CLOCK_RATES: std::ops::RangeInclusive<u32> = 976..=1024;

    pub fn new(seed: u64, voters: usize, observers: usize) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let role = |i| if i < voters { Role::Voter } else { Role::Observer };
        let members: BTreeMap<_, _> =
            (0..voters + observers).map(|i| (Name::from(format!("d{i}")), role(i))).collect();
        let mut host = |name: &Name| {
            let (clock_rate, disk) = (rng.random_range(Self::CLOCK_RATES), rng.random());
            Host::new(name, members.clone(), clock_rate, disk)
        };
        let hosts = members.keys().cloned().zip(members.keys().map(&mut host)).collect();
        let mut world = Self {
            now: Time::ZERO,
            hosts,
            oracle: Oracle::default(),
            blocked_links: BTreeSet::new(),
            rng,
            members,
            pending_events: BTreeMap::new(),
            event_count: 0,
            faults_enabled: true,
        };
        for name in world.members.keys().cloned().collect::<Vec<_>>() {
            world.schedule(Duration::ZERO, SimEvent::Start(name));
        }
        world.schedule(Duration::ZERO, SimEvent::Fault);
        world.schedule(Duration::ZERO, SimEvent::Propose);
        world.schedule(Duration::ZERO, SimEvent::Operate);
        world
    }

    /// Advances the simulation by `duration`.
    pub fn run(&mut self, duration: Duration) {
        let end = self.now + duration;
        while let Some(first) =
            self.pending_events.first_entry().filter(|first| first.key().0 <= end)
        {
            let ((at, _), event) = first.remove_entry();
            self.now = at;
            self.dispatch(event);
            self.oracle.check(self.now, &self.hosts);
        }
        self.now = end;
    }

    /// Stops injecting faults and heals the network; crashed members still restart at their
    /// scheduled time.
    pub fn stop_faults(&mut self) {
        self.faults_enabled = false;
        self.blocked_links.clear();
    }

    /// The leader, if exactly one member leads.
    pub fn leader(&self) -> Option<&Host> {
        let mut leaders = self.hosts.values().filter(|host| host.up && host.state.is_leader());
        leaders.next().filter(|_| leaders.next().is_none())
    }

    pub(super) fn host(&mut self, name: &Name) -> &mut Host {
        self.hosts.get_mut(name).expect("the host exists")
    }

    /// A random delay of less than `millis` ms.
    pub(super) fn random_delay(&mut self, millis: u64) -> Duration {
        Duration::from_micros(self.rng.random_range(0..millis * 1000))
    }

    pub(super) fn schedule(&mut self, delay: Duration, event: SimEvent) {
        self.event_count += 1;
        self.pending_events.insert((self.now + delay, self.event_count), event);
    }

    fn dispatch(&mut self, event: SimEvent) {
        match event {
            SimEvent::Start(name) => self.start(&name),
            SimEvent::Deliver { host, boot, event } => self.deliver(host, boot, event),
            SimEvent::Timer { host, timer, token } => self.expire(host, timer, token),
            SimEvent::Sync { host, boot } => self.sync(&host, boot),
            SimEvent::Fault => self.inject_fault(),
            SimEvent::Propose => self.propose(),
            SimEvent::Operate => self.run_operator(),
        }
    }

    fn start(&mut self, name: &Name) {
        let (now, members, seed) = (self.now, self.members.clone(), self.rng.random());
        self.host(name).start(now, members, seed);
        self.step(name, Event::Start);
    }

    fn deliver(&mut self, name: Name, boot: u64, event: Event) {
        let host = &self.hosts[&name];
        if !host.up || matches!(event, Event::Synced { .. }) && host.boot != boot {
            return;
        }
        if let Some(wait) = self.remaining_freeze(&name) {
            return self.schedule(wait, SimEvent::Deliver { host: name, boot, event });
        }
        self.step(&name, event);
    }

    fn expire(&mut self, name: Name, timer: Timer, token: u64) {
        if self.hosts[&name].timers.get(&timer) != Some(&token) {
            return;
        }
        if let Some(wait) = self.remaining_freeze(&name) {
            return self.schedule(wait, SimEvent::Timer { host: name, timer, token });
        }
        self.host(&name).timers.remove(&timer);
        self.step(&name, Event::Timer(timer));
    }

    /// Time until a frozen host continues; `None` if it is not frozen.
    fn remaining_freeze(&self, name: &Name) -> Option<Duration> {
        self.hosts[name].frozen_until.checked_sub(self.now).filter(|wait| !wait.is_zero())
    }

    fn sync(&mut self, name: &Name, boot: u64) {
        let host = self.host(name);
        if !host.up || host.boot != boot {
            return;
        }
        let (sends, event) = host.sync();
        for (to, message) in sends {
            self.send(name, to, message);
        }
        if let Some(event) = event {
            self.deliver(name.clone(), boot, event);
        }
    }

    fn inject_fault(&mut self) {
        if self.faults_enabled {
            let fault = fault::Fault::random(&mut self.rng);
            self.inject(fault);
            let delay = self.random_delay(1500);
            self.schedule(delay, SimEvent::Fault);
        }
    }

    fn propose(&mut self) {
        let is_leader = |host: &Host| host.up && host.state.is_leader();
        let leaders = self.hosts.iter().filter(|(_, host)| is_leader(host));
        for name in leaders.map(|(name, _)| name.clone()).collect::<Vec<_>>() {
            if self.remaining_freeze(&name).is_none() {
                let command = self.rng.random::<[u8; 8]>().to_vec();
                self.step(&name, Event::Propose(command));
            }
        }
        let delay = self.random_delay(300);
        self.schedule(delay, SimEvent::Propose);
    }

    pub(super) fn step(&mut self, name: &Name, event: Event) {
        let now = self.now;
        let host = self.hosts.get_mut(name).expect("the host exists");
        for effect in host.state.reduce(host.clock(now), event) {
            self.handle_effect(name, effect);
        }
    }

    fn handle_effect(&mut self, name: &Name, effect: Effect) {
        match effect {
            Effect::Persist(_) => self.persist(name, effect),
            Effect::Send { to, message } => {
                if self.hosts[name].has_unsynced_records() {
                    self.host(name).queue.push_back(Effect::Send { to, message });
                } else {
                    self.send(name, to, message);
                }
            }
            Effect::Apply { index, entry } => {
                let host = self.hosts.get_mut(name).expect("the host exists");
                self.oracle.apply(self.now, host, index, entry);
            }
            Effect::Snapshot { index } => {
                assert_eq!(index, self.hosts[name].applied);
                let state = self.hosts[name].encode();
                self.step(name, Event::Snapshot { index, state });
            }
            Effect::Install(snapshot) => {
                let host = self.hosts.get_mut(name).expect("the host exists");
                self.oracle.install(host, snapshot);
            }
            Effect::Subscribe { timer, after } => self.subscribe(name, timer, after),
            Effect::Leader(_) | Effect::Changed(_) => {}
        }
    }

    fn persist(&mut self, name: &Name, effect: Effect) {
        let boot = self.hosts[name].boot;
        if !self.hosts[name].has_unsynced_records() {
            let slow_disk = self.faults_enabled && self.rng.random_bool(0.02);
            let delay = self.random_delay(if slow_disk { 500 } else { 8 });
            self.schedule(delay, SimEvent::Sync { host: name.clone(), boot });
        }
        self.host(name).queue.push_back(effect);
    }

    fn subscribe(&mut self, name: &Name, timer: Timer, delay: Duration) {
        let delay = self.hosts[name].true_duration(delay);
        self.schedule(
            delay,
            SimEvent::Timer { host: name.clone(), timer, token: self.event_count + 1 },
        );
        let token = self.event_count;
        self.host(name).timers.insert(timer, token);
    }

    fn send(&mut self, from: &Name, to: Name, message: Message) {
        let lost = self.faults_enabled && self.rng.random_bool(0.05);
        if lost || self.blocked_links.contains(&(from.clone(), to.clone())) {
            return;
        }
        let copies = if self.faults_enabled && self.rng.random_bool(0.05) { 2 } else { 1 };
        for _ in 0..copies {
            let delayed = self.faults_enabled && self.rng.random_bool(0.05);
            let delay = self.random_delay(if delayed { 4000 } else { 5 });
            let event = Event::Message { from: from.clone(), message: message.clone() };
            self.schedule(delay, SimEvent::Deliver { host: to.clone(), boot: 0, event });
        }
    }
}
