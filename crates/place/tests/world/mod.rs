//! Simulation of jobs, a leader, a log and a platform, with messages between them delayed,
//! duplicated or lost. The oracle checks the invariants after each tick.

mod oracle;
mod platform;
mod step;

pub use step::Step;
use {
    model::{Job, Location, Name, Resources, Spread, Team, Time, Urgency, Worker},
    place::{Action, Call, Command, Effect, End, Event, Order, Phase, Planner, State, Usage},
    platform::Platform,
    rand::{Rng, SeedableRng},
    rand_chacha::ChaCha8Rng,
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
};

/// Number of workers, two to a rack.
pub const WORKERS: u8 = 8;

/// Number of different job ids that steps use.
pub const JOBS: u8 = 40;

/// Time between two usage reports of a worker.
const REPORT_INTERVAL: Duration = Duration::from_secs(2);

/// Age of the measurement in a usage report.
const REPORT_AGE: Duration = Duration::from_secs(3);

/// Time within which every job must end once no more faults are injected.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(3 * 3600);

/// The simulated system.
pub struct World {
    pub now: Time,
    pub state: State,
    planner: Planner,
    platform: Platform,
    rng: ChaCha8Rng,
    /// Commands on their way to the log, with the time at which they are committed.
    log: Vec<(Time, Command)>,
    /// Events from the platform on their way to the leader, with the time at which they arrive.
    answers: Vec<(Time, Event)>,
    /// Probability in percent that a call, answer or command is lost, and likewise duplicated.
    loss: u32,
    /// Maximum delay of a message.
    delay: Duration,
    pub submitted: BTreeSet<Name>,
    pub cancelled: BTreeSet<Name>,
    last_report: Time,
}

impl World {
    pub fn new(seed: u64) -> Self {
        let mut state = State::default();
        let team = |processors, memory_gb| Team { quota: size(processors, memory_gb) };
        let teams = [("a".into(), team(30, 60)), ("b".into(), team(16, 24))];
        state.configure(&BTreeMap::from(teams));
        for number in 0..WORKERS {
            state.apply(Command::Worker { name: worker_name(number), worker: worker(number) });
        }
        let planner = Planner::new(&state, 1, Time::ZERO);
        Self {
            now: Time::ZERO,
            planner,
            platform: Platform::default(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            log: vec![(Time::ZERO, Command::Lead { term: 1 })],
            answers: Vec::new(),
            loss: 0,
            delay: Duration::ZERO,
            submitted: BTreeSet::new(),
            cancelled: BTreeSet::new(),
            last_report: Time::ZERO,
            state,
        }
    }

    /// Executes one step.
    pub fn step(&mut self, step: &Step) {
        match step {
            Step::Submit { job, kind } => self.submit(*job, *kind),
            Step::Cancel { from, count } => self.cancel(*from, *count),
            Step::Wait { ticks } => self.wait(*ticks),
            Step::LoseRack { rack } => self.platform.lose(rack_workers(*rack)),
            Step::Restore => self.platform.restore(),
            Step::BreakWorker { worker } => self.platform.break_worker(worker_name(*worker)),
            Step::ChangeLeader => self.change_leader(),
            Step::Network { loss, delay_ms } => {
                self.loss = u32::from(*loss);
                self.delay = Duration::from_millis(u64::from(*delay_ms));
            }
            Step::Finish { nth, success } => self.platform.finish(*nth, *success),
        }
    }

    /// Removes all faults, and runs until every job has ended or can never run.
    pub fn settle(&mut self) {
        self.loss = 0;
        self.delay = Duration::ZERO;
        self.platform.restore();
        self.platform.repair_workers();
        let end = self.now + SETTLE_TIMEOUT;
        while self.now < end && self.is_busy() {
            for nth in 0..JOBS {
                self.platform.finish(nth, true);
            }
            self.wait(10);
        }
        assert!(!self.is_busy(), "jobs neither ended nor can never run: {:?}", self.unfinished());
    }

    fn is_busy(&self) -> bool {
        !self.log.is_empty() || !self.unfinished().is_empty()
    }

    fn unfinished(&self) -> Vec<(Name, place::Standing)> {
        let unfinished = self.state.jobs().iter().filter(|(_, entry)| entry.phase != Phase::Never);
        unfinished.map(|(id, _)| (id.clone(), self.state.explain(id))).collect()
    }

    fn submit(&mut self, number: u8, kind: u8) {
        let id = job_name(number);
        self.submitted.insert(id.clone());
        self.send_command(Command::Submit { id, job: job(kind) }, true);
    }

    fn cancel(&mut self, from: u8, count: u8) {
        for number in from..from.saturating_add(count).min(JOBS) {
            self.cancelled.insert(job_name(number));
            self.send_command(Command::Cancel { id: job_name(number) }, true);
        }
    }

    fn change_leader(&mut self) {
        let term = self.state.term() + 1;
        self.planner = Planner::new(&self.state, term, self.now);
        self.send_command(Command::Lead { term }, true);
    }

    fn wait(&mut self, ticks: u8) {
        for _ in 0..ticks {
            self.now += Planner::TICK;
            self.platform.expire_leases(self.now);
            self.deliver();
            self.report();
            self.reduce(Event::Tick);
            self.check();
        }
    }

    fn reduce(&mut self, event: Event) {
        for order in self.planner.reduce(&self.state, self.now, event) {
            match order {
                Order::Propose(command) => self.send_command(command, false),
                Order::Call(call) => self.send_call(call),
                Order::Renew { worker, epochs } => {
                    if !self.roll_loss() {
                        self.platform.renew(&worker, &epochs, self.now);
                    }
                }
            }
        }
    }

    fn deliver(&mut self) {
        let now = self.now;
        let commands: Vec<_> = self.log.extract_if(.., |(at, _)| *at <= now).collect();
        for (_, command) in commands {
            self.apply(command);
        }
        for (sent, call) in self.platform.arrived(now) {
            if now <= sent + place::CALL_VALIDITY
                && let Some(answer) = self.platform.carry_out(&call, now)
            {
                self.send_answer(answer);
            }
        }
        for answer in self.platform.take_events() {
            self.send_answer(answer);
        }
        let answers: Vec<_> = self.answers.extract_if(.., |(at, _)| *at <= now).collect();
        for (_, answer) in answers {
            self.reduce(answer);
        }
    }

    fn apply(&mut self, command: Command) {
        for effect in self.state.apply(command) {
            if let Effect::Job(id) = &effect {
                self.check_cancelled(id);
            }
            self.planner.on_effect(&self.state, self.now, &effect);
        }
    }

    fn report(&mut self) {
        if self.now < self.last_report + REPORT_INTERVAL {
            return;
        }
        self.last_report = self.now;
        for number in 0..WORKERS {
            if let Some(usage) = self.platform.usage(&worker_name(number), REPORT_AGE, self.now) {
                self.send_answer(Event::Usage(usage));
            }
        }
    }

    /// Sends a command to the log, possibly twice. Commands that a daemon repeats until they are
    /// applied are never lost. A loss of others is simulated by a further delay of 20 times the
    /// maximum.
    fn send_command(&mut self, command: Command, repeated: bool) {
        let copies = if self.rng.random_ratio(self.loss, 100) { 2 } else { 1 };
        let lost = !repeated && self.delay > Duration::ZERO && self.roll_loss();
        for _ in 0..if lost { 1 } else { copies } {
            let at = self.arrival_time() + if lost { self.delay * 20 } else { Duration::ZERO };
            self.log.push((at, command.clone()));
        }
    }

    fn send_call(&mut self, call: Call) {
        for _ in 0..self.roll_copies() {
            let at = self.arrival_time();
            self.platform.send(at, self.now, call.clone());
        }
    }

    fn send_answer(&mut self, answer: Event) {
        for _ in 0..self.roll_copies() {
            let at = self.arrival_time();
            self.answers.push((at, answer.clone()));
        }
    }

    fn roll_copies(&mut self) -> usize {
        match (self.roll_loss(), self.roll_loss()) {
            (true, _) => 0,
            (_, true) => 2,
            _ => 1,
        }
    }

    fn roll_loss(&mut self) -> bool {
        self.rng.random_ratio(self.loss, 100)
    }

    fn arrival_time(&mut self) -> Time {
        self.now + self.rng.random_range(Duration::ZERO..=self.delay)
    }
}

pub fn size(processors: u64, memory_gb: u64) -> Resources {
    Resources { millicores: processors * 1000, memory_mb: memory_gb * 1024, accelerators: 0 }
}

pub fn worker_name(number: u8) -> Name {
    format!("w{}", number % WORKERS).into()
}

fn job_name(number: u8) -> Name {
    format!("j{}", number % JOBS).into()
}

fn rack_workers(rack: u8) -> Vec<Name> {
    let first = rack % (WORKERS / 2) * 2;
    vec![worker_name(first), worker_name(first + 1)]
}

fn worker(number: u8) -> Worker {
    let rack = format!("r{}", number / 2).into();
    let location = Location { region: "x".into(), data_center: "x-a".into(), rack };
    let labels = if number < 4 { "disk=ssd" } else { "disk=hdd" };
    let mut size = size(8, 16);
    size.accelerators = u64::from(number.is_multiple_of(4));
    Worker { size, labels: labels.parse().expect("labels"), location }
}

/// A job whose properties derive from `kind`. Some can never run.
fn job(kind: u8) -> Job {
    let bits = |shift: u8, mask: u8| u64::from(kind >> shift & mask);
    let urgency = match kind % 5 {
        0 => Urgency::Urgent,
        1 | 2 => Urgency::Normal,
        _ => Urgency::Batch,
    };
    let mut size = size(1 + bits(0, 7) * 3 / 2, 2 + bits(3, 7) * 2);
    size.accelerators = u64::from(kind.is_multiple_of(11));
    let spread = Spread { group: "g".into(), per_rack: 1 };
    Job {
        team: if kind.is_multiple_of(2) { "a" } else { "b" }.into(),
        class: format!("c{}", kind % 3).into(),
        urgency,
        size,
        run_time: Duration::from_secs(60),
        deadline: None,
        selector: (kind.is_multiple_of(7)).then(|| "disk=ssd".parse().expect("selector")),
        spread: (kind.is_multiple_of(6)).then_some(spread),
    }
}
