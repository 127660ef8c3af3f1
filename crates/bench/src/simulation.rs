use super::*;

/// Dispatchers, upstreams and the network between them, on simulated time.
pub(crate) struct Simulation {
    now: Duration,
    sequence: u64,
    /// Scheduled steps, by time and then by the order in which they were scheduled.
    events: BinaryHeap<Reverse<(Duration, u64, Step)>>,
    daemons: Vec<route::State>,
    /// Sequence number of the latest step of each timer; earlier ones are ignored.
    timers: Map<(usize, route::Timer), u64>,
    /// Sender, receiver and content of the messages in flight.
    messages: Map<u64, (usize, usize, route::Message)>,
    upstreams: Vec<Upstream>,
    /// Index of each upstream, by the name of its instance.
    numbers: Map<Name, usize>,
    /// Upstream of each attempt that has not been reported, by daemon and id.
    attempts: Map<(usize, u64), usize>,
    arrivals: Vec<Arrival>,
    /// One-way delay between data centres; zero disables all delays.
    delay: Duration,
    /// Slots in use on all upstreams.
    busy: u32,
    /// Integral over time of the slots in use.
    used: Duration,
    figures: DispatchFigures,
}

/// A simulated upstream.
#[derive(Debug, Clone)]
pub(crate) struct Upstream {
    pub(crate) announcement: Announcement,
    pub(crate) data_center: usize,
    /// Factor on the run times of an upstream of normal speed.
    pub(crate) slowness: f64,
    /// Slots in use.
    busy: u32,
}

/// A step of the simulation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Step {
    /// A request arrives at its daemon.
    Arrive(usize),
    /// A message arrives.
    Deliver(u64),
    /// A timer of a daemon expires.
    Timer(usize, route::Timer, u64),
    /// An attempt arrives at an upstream.
    Reach { daemon: usize, attempt: u64, request: usize, upstream: usize },
    /// An upstream has completed an attempt.
    End { daemon: usize, attempt: u64, upstream: usize },
    /// The daemon learns the result of an attempt; `report` is an index into [`REPORTS`].
    Report { daemon: usize, attempt: u64, report: u8 },
}

/// One-way delay within a data centre.
const LOCAL_DELAY: Duration = Duration::from_micros(50);

/// Time after the last arrival during which the simulation continues, for requests in flight.
const DRAIN_TIME: Duration = Duration::from_secs(5);

/// Number of data centres over which daemons and upstreams are distributed.
pub(crate) const DATA_CENTERS: usize = 3;

const REPORTS: [route::Report; 3] =
    [route::Report::Answered, route::Report::Refused, route::Report::Late];

impl Upstream {
    pub(crate) fn new(announcement: Announcement, data_center: usize, slowness: f64) -> Self {
        Self { announcement, data_center, slowness, busy: 0 }
    }
}

impl Simulation {
    pub(crate) fn new(
        daemons: Vec<route::State>,
        upstreams: Vec<Upstream>,
        arrivals: Vec<Arrival>,
        delay: Duration,
        figures: DispatchFigures,
    ) -> Self {
        let names = upstreams.iter().enumerate();
        Self {
            now: Duration::ZERO,
            sequence: 0,
            events: BinaryHeap::new(),
            daemons,
            timers: Map::default(),
            messages: Map::default(),
            numbers: names.map(|(i, it)| (it.announcement.instance.clone(), i)).collect(),
            upstreams,
            attempts: Map::default(),
            arrivals,
            delay,
            busy: 0,
            used: Duration::ZERO,
            figures,
        }
    }

    /// Runs the simulation until nothing is scheduled or [`DRAIN_TIME`] is over.
    pub(crate) fn run(mut self, config: &Arc<Config>) -> DispatchFigures {
        self.set_up(config);
        for request in 0..self.arrivals.len() {
            self.schedule(self.arrivals[request].at, Step::Arrive(request));
        }
        while let Some(Reverse((at, sequence, step))) = self.events.pop() {
            self.used += (at - self.now) * self.busy;
            self.now = at;
            self.step(sequence, step);
            if at > arrival::end() + DRAIN_TIME {
                break;
            }
        }
        let slots: u32 = self.upstreams.iter().map(|upstream| upstream.announcement.slots).sum();
        self.figures.slots_in_use =
            self.used.as_secs_f64() / self.now.as_secs_f64() / f64::from(slots);
        self.figures.finish();
        self.figures
    }

    /// Lets all daemons join, and gives them configuration and upstreams.
    fn set_up(&mut self, config: &Arc<Config>) {
        let mut replicated = route::ReplicatedState::default();
        let mut decisions = Vec::new();
        for daemon in 0..self.daemons.len() {
            let command = route::Command::Join { daemon: name(daemon), boot: 1 };
            decisions.extend(replicated.apply(command));
        }
        for daemon in 0..self.daemons.len() {
            self.reduce(daemon, route::Event::View(true));
            self.reduce(daemon, route::Event::Configured(config.clone()));
            for decision in decisions.clone() {
                self.reduce(daemon, route::Event::Decided(decision));
            }
            for upstream in 0..self.upstreams.len() {
                let announcement = self.upstreams[upstream].announcement.clone();
                self.reduce(daemon, route::Event::Serving(announcement));
            }
        }
    }

    fn step(&mut self, sequence: u64, step: Step) {
        match step {
            Step::Arrive(request) => self.arrive(request),
            Step::Deliver(message) => {
                let Some((from, to, message)) = self.messages.remove(&message) else { return };
                self.reduce(to, route::Event::Message { from: name(from), message });
            }
            Step::Timer(daemon, timer, _) => {
                if self.timers.get(&(daemon, timer)) == Some(&sequence) {
                    self.timers.remove(&(daemon, timer));
                    self.reduce(daemon, route::Event::Timer(timer));
                }
            }
            Step::Reach { daemon, attempt, request, upstream } => {
                self.reach(daemon, attempt, request, upstream);
            }
            Step::End { daemon, attempt, upstream } => {
                self.upstreams[upstream].busy -= 1;
                self.busy -= 1;
                let at = self.now + self.delay_to(daemon, self.upstreams[upstream].data_center);
                self.schedule(at, Step::Report { daemon, attempt, report: 0 });
            }
            Step::Report { daemon, attempt, report } => {
                if self.attempts.remove(&(daemon, attempt)).is_some() {
                    let report = REPORTS[usize::from(report)];
                    self.reduce(daemon, route::Event::AttemptEnded { attempt, report });
                }
            }
        }
    }

    fn arrive(&mut self, request: usize) {
        let arrival = &self.arrivals[request];
        let class = CLASSES[arrival.kind];
        let daemon = arrival.daemon % self.daemons.len();
        self.figures.requests += 1;
        self.figures.asked += u64::from(class.weight);
        let arrived = route::Request {
            id: request as u64,
            service: service(arrival.service),
            kind: class.name.into(),
            tenant: "tenant".into(),
            key: None,
            fingerprint: route::Fingerprint::default(),
            timeout: None,
        };
        self.reduce(daemon, route::Event::Arrive(arrived));
    }

    /// Starts an attempt on its upstream, which refuses it if all slots are in use.
    fn reach(&mut self, daemon: usize, attempt: u64, request: usize, upstream: usize) {
        let Upstream { announcement, data_center, slowness, busy } = &self.upstreams[upstream];
        if *busy >= announcement.slots {
            self.figures.overfull += 1;
            let at = self.now + self.delay_to(daemon, *data_center);
            return self.schedule(at, Step::Report { daemon, attempt, report: 1 });
        }
        let run = self.arrivals[request].run.mul_f64(*slowness);
        self.upstreams[upstream].busy += 1;
        self.busy += 1;
        self.schedule(self.now + run, Step::End { daemon, attempt, upstream });
    }

    fn reduce(&mut self, daemon: usize, event: route::Event) {
        let now = self.now;
        for effect in self.daemons[daemon].reduce(now, event) {
            match effect {
                route::Effect::Subscribe { timer, after } => {
                    let step = Step::Timer(daemon, timer, 0);
                    self.schedule(now + after, step);
                    self.timers.insert((daemon, timer), self.sequence);
                }
                route::Effect::Attempt(attempt) => self.attempt(daemon, &attempt),
                route::Effect::Answer { request, outcome } => {
                    let arrival = &self.arrivals[request as usize];
                    let weight = CLASSES[arrival.kind].weight;
                    self.figures.record_outcome(&outcome, weight, now - arrival.at);
                }
                route::Effect::Send { to, message } => self.send(daemon, &to, message),
                _ => {}
            }
        }
    }

    fn attempt(&mut self, daemon: usize, attempt: &route::Attempt) {
        let upstream = self.numbers[&attempt.instance];
        let at = self.now + self.delay_to(daemon, self.upstreams[upstream].data_center);
        self.attempts.insert((daemon, attempt.id), upstream);
        let (id, request) = (attempt.id, attempt.request as usize);
        self.schedule(at, Step::Reach { daemon, attempt: id, request, upstream });
        self.schedule(attempt.deadline, Step::Report { daemon, attempt: id, report: 2 });
    }

    fn send(&mut self, from: usize, to: &Name, message: route::Message) {
        let to = (0..self.daemons.len()).find(|it| name(*it) == *to).unwrap_or_default();
        let at = self.now + self.delay_to(from, to % DATA_CENTERS);
        self.schedule(at, Step::Deliver(self.sequence + 1));
        self.messages.insert(self.sequence, (from, to, message));
    }

    /// Delay between a daemon and a data centre.
    fn delay_to(&self, daemon: usize, data_center: usize) -> Duration {
        match (self.delay.is_zero(), daemon % DATA_CENTERS == data_center) {
            (true, _) => Duration::ZERO,
            (false, true) => LOCAL_DELAY,
            (false, false) => self.delay,
        }
    }

    fn schedule(&mut self, at: Duration, step: Step) {
        self.sequence += 1;
        self.events.push(Reverse((at, self.sequence, step)));
    }
}

/// Name of the daemon with this index.
pub(crate) fn name(daemon: usize) -> Name {
    format!("daemon-{daemon}").into()
}

/// Name of the service with this index.
pub(crate) fn service(service: usize) -> Name {
    format!("service-{service}").into()
}
