use super::*;

/// Dispatchers, upstreams and the network between them, on simulated time.
pub(crate) struct Simulation {
    now: Duration,
    sequence: u64,
    agenda: BinaryHeap<Reverse<(Duration, u64, Step)>>,
    daemons: Vec<route::State>,
    timers: Map<(usize, route::Timer), u64>,
    messages: Map<u64, (usize, usize, route::Message)>,
    runners: Vec<Runner>,
    numbers: Map<Name, usize>,
    attempts: Map<(usize, u64), usize>,
    arrivals: Vec<Arrival>,
    delay: Duration,
    busy: u32,
    /// Slots in use, summed over time.
    used: Duration,
    tally: Tally,
}

/// A simulated upstream.
#[derive(Debug, Clone)]
pub(crate) struct Runner {
    pub(crate) announcement: Announcement,
    pub(crate) data_center: usize,
    /// Run time against that of common speed.
    pub(crate) slowness: f64,
    busy: u32,
}

/// Something that happens at a time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Step {
    Arrive(usize),
    Deliver(u64),
    Timer(usize, route::Timer, u64),
    Reach { daemon: usize, attempt: u64, request: usize, runner: usize },
    End { daemon: usize, attempt: u64, runner: usize },
    Report { daemon: usize, attempt: u64, report: u8 },
}

/// Delay within a data centre, one way.
const LOCAL_DELAY: Duration = Duration::from_micros(50);

/// Time after the last arrival in which requests may still be answered.
const DRAIN: Duration = Duration::from_secs(5);

pub(crate) const DATA_CENTERS: usize = 3;

const REPORTS: [route::Report; 3] =
    [route::Report::Answered, route::Report::Refused, route::Report::Late];

impl Runner {
    pub(crate) fn new(announcement: Announcement, data_center: usize, slowness: f64) -> Self {
        Self { announcement, data_center, slowness, busy: 0 }
    }
}

impl Simulation {
    pub(crate) fn new(
        daemons: Vec<route::State>,
        runners: Vec<Runner>,
        arrivals: Vec<Arrival>,
        delay: Duration,
        tally: Tally,
    ) -> Self {
        let names = runners.iter().enumerate();
        Self {
            now: Duration::ZERO,
            sequence: 0,
            agenda: BinaryHeap::new(),
            daemons,
            timers: Map::default(),
            messages: Map::default(),
            numbers: names.map(|(i, it)| (it.announcement.instance.clone(), i)).collect(),
            runners,
            attempts: Map::default(),
            arrivals,
            delay,
            busy: 0,
            used: Duration::ZERO,
            tally,
        }
    }

    /// Runs to the end.
    pub(crate) fn run(mut self, config: &Arc<Config>) -> Tally {
        self.begin(config);
        for request in 0..self.arrivals.len() {
            self.plan(self.arrivals[request].at, Step::Arrive(request));
        }
        while let Some(Reverse((at, sequence, step))) = self.agenda.pop() {
            self.used += (at - self.now) * self.busy;
            self.now = at;
            self.step(sequence, step);
            if at > arrival::end() + DRAIN {
                break;
            }
        }
        let slots: u32 = self.runners.iter().map(|runner| runner.announcement.slots).sum();
        self.tally.slots_in_use =
            self.used.as_secs_f64() / self.now.as_secs_f64() / f64::from(slots);
        self.tally.finish();
        self.tally
    }

    fn begin(&mut self, config: &Arc<Config>) {
        let mut ledger = route::ReplicatedState::default();
        let mut decisions = Vec::new();
        for daemon in 0..self.daemons.len() {
            let command = route::Command::Join { daemon: name(daemon), boot: 1 };
            decisions.extend(ledger.apply(command));
        }
        for daemon in 0..self.daemons.len() {
            self.reduce(daemon, route::Event::View(true));
            self.reduce(daemon, route::Event::Configured(config.clone()));
            for decision in decisions.clone() {
                self.reduce(daemon, route::Event::Decided(decision));
            }
            for runner in 0..self.runners.len() {
                let announcement = self.runners[runner].announcement.clone();
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
            Step::Reach { daemon, attempt, request, runner } => {
                self.reach(daemon, attempt, request, runner);
            }
            Step::End { daemon, attempt, runner } => {
                self.runners[runner].busy -= 1;
                self.busy -= 1;
                let at = self.now + self.between(daemon, self.runners[runner].data_center);
                self.plan(at, Step::Report { daemon, attempt, report: 0 });
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
        self.tally.requests += 1;
        self.tally.asked += u64::from(class.weight);
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

    fn reach(&mut self, daemon: usize, attempt: u64, request: usize, runner: usize) {
        let Runner { announcement, data_center, slowness, busy } = &self.runners[runner];
        if *busy >= announcement.slots {
            self.tally.overfull += 1;
            let at = self.now + self.between(daemon, *data_center);
            return self.plan(at, Step::Report { daemon, attempt, report: 1 });
        }
        let run = self.arrivals[request].run.mul_f64(*slowness);
        self.runners[runner].busy += 1;
        self.busy += 1;
        self.plan(self.now + run, Step::End { daemon, attempt, runner });
    }

    fn reduce(&mut self, daemon: usize, event: route::Event) {
        let now = self.now;
        for effect in self.daemons[daemon].reduce(now, event) {
            match effect {
                route::Effect::Subscribe { timer, after } => {
                    let step = Step::Timer(daemon, timer, 0);
                    self.plan(now + after, step);
                    self.timers.insert((daemon, timer), self.sequence);
                }
                route::Effect::Attempt(attempt) => self.attempt(daemon, &attempt),
                route::Effect::Answer { request, outcome } => {
                    let arrival = &self.arrivals[request as usize];
                    let weight = CLASSES[arrival.kind].weight;
                    self.tally.answer(&outcome, weight, now - arrival.at);
                }
                route::Effect::Send { to, message } => self.send(daemon, &to, message),
                _ => {}
            }
        }
    }

    fn attempt(&mut self, daemon: usize, attempt: &route::Attempt) {
        let runner = self.numbers[&attempt.instance];
        let at = self.now + self.between(daemon, self.runners[runner].data_center);
        self.attempts.insert((daemon, attempt.id), runner);
        let (id, request) = (attempt.id, attempt.request as usize);
        self.plan(at, Step::Reach { daemon, attempt: id, request, runner });
        self.plan(attempt.deadline, Step::Report { daemon, attempt: id, report: 2 });
    }

    fn send(&mut self, from: usize, to: &Name, message: route::Message) {
        let to = (0..self.daemons.len()).find(|it| name(*it) == *to).unwrap_or_default();
        let at = self.now + self.between(from, to % DATA_CENTERS);
        self.plan(at, Step::Deliver(self.sequence + 1));
        self.messages.insert(self.sequence, (from, to, message));
    }

    fn between(&self, daemon: usize, data_center: usize) -> Duration {
        match (self.delay.is_zero(), daemon % DATA_CENTERS == data_center) {
            (true, _) => Duration::ZERO,
            (false, true) => LOCAL_DELAY,
            (false, false) => self.delay,
        }
    }

    fn plan(&mut self, at: Duration, step: Step) {
        self.sequence += 1;
        self.agenda.push(Reverse((at, self.sequence, step)));
    }
}

/// Name of a daemon.
pub(crate) fn name(daemon: usize) -> Name {
    format!("daemon-{daemon}").into()
}

/// Name of a service.
pub(crate) fn service(service: usize) -> Name {
    format!("service-{service}").into()
}
