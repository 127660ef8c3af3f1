//! A platform in miniature: instances with leases and fences, calls that are lost or carried out
//! late, commits that take a while, owners that follow each other. What must never happen is checked
//! as it happens, from what the instances see.

#![allow(dead_code, reason = "each test file uses a part of the world")]

mod calls;
mod checks;
pub mod day;
mod instance;
mod platform;

pub use instance::{Instance, Run};
use {
    job::*,
    model::{Name, Resources},
    rand::{Rng, SeedableRng},
    rand_chacha::ChaCha8Rng,
    std::{
        cmp::Reverse,
        collections::{BTreeMap, BTreeSet, BinaryHeap},
        time::Duration,
    },
};

/// How often calls go wrong, in thousandths.
#[derive(Debug, Clone, Copy, Default)]
pub struct Trouble {
    pub request_lost: u32,
    pub answer_lost: u32,
    pub carried_out_late: u32,
    /// Answers of the platform.
    pub machine_answer_lost: u32,
}

#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
enum Happening {
    Tick,
    Arrive { call: usize },
    Answer { owner: Epoch, call: usize },
    Commit { owner: Epoch },
    Machine { owner: Epoch, id: CallId },
    MachineAnswer { owner: Epoch, id: CallId },
    Joins { machine: Name },
    Decide { owner: Epoch, id: CallId },
}

#[derive(Debug, Clone)]
struct Sent {
    owner: Epoch,
    id: CallId,
    incarnation: Incarnation,
    /// The life that has received it, where it is to be carried out late.
    life: Option<Incarnation>,
    order: Order,
    answer: Option<Result<Reply, CallError>>,
}

/// Time between a proposal and its commit.
const COMMIT_MS: u64 = 8;
/// Time that a call usually takes one way.
const TRAVEL_MS: u64 = 2;
/// Between two ticks of an owner.
const TICK_MS: u64 = 20;
/// Between two announcements.
const ANNOUNCE_MS: u64 = 1500;
/// Time of the world at 0 in milliseconds since 1970.
const EPOCH_MS: u64 = 1_000_000_000;

pub struct World {
    pub now: u64,
    pub table: Table,
    pub owner: Scheduler,
    pub epoch: Epoch,
    pub instances: BTreeMap<Incarnation, Instance>,
    pub machines: BTreeMap<Name, Machine>,
    pub trouble: Trouble,
    /// Time that a call takes one way from now on.
    pub travel_ms: u64,
    pub rng: ChaCha8Rng,
    /// Every start that an instance has carried out.
    pub starts: Vec<(u64, TaskId, AttemptNumber, Incarnation)>,
    pub moves: usize,
    pub cancelled: BTreeMap<JobId, u64>,
    /// When the owner saw each job end.
    pub ended_at: BTreeMap<JobId, u64>,
    pub notes: Vec<Note>,
    happenings: BinaryHeap<Reverse<(u64, u64, Happening)>>,
    sequence: u64,
    sent: Vec<Sent>,
    batch: Option<Batch>,
    machine_calls: BTreeMap<CallId, MachineOrder>,
    machine_answers: BTreeMap<CallId, Result<MachineReply, CallError>>,
    /// The order carried out last on each machine.
    carried_out: BTreeMap<Name, MachineOrder>,
    queries: BTreeMap<CallId, AdmissionQuery>,
    /// When the policy of queues takes its next question.
    admission_free_at: u64,
    /// Until when each ticket holds.
    tickets: BTreeMap<Name, u64>,
    /// Orders to start that were refused for want of a ticket.
    pub refused_tickets: usize,
    /// How long the tasks of a group really take, where that is not what was declared.
    pub lengths: BTreeMap<GroupId, u64>,
    /// Tasks whose end as done was acknowledged.
    done: BTreeSet<TaskId>,
}

impl World {
    pub fn new(seed: u64, config: Config) -> Self {
        let mut world = Self {
            now: 0,
            table: Table::default(),
            owner: Scheduler::new(Bounds::default()),
            epoch: 1,
            instances: BTreeMap::new(),
            machines: BTreeMap::new(),
            trouble: Trouble::default(),
            travel_ms: TRAVEL_MS,
            rng: ChaCha8Rng::seed_from_u64(seed),
            starts: Vec::new(),
            moves: 0,
            cancelled: BTreeMap::new(),
            ended_at: BTreeMap::new(),
            notes: Vec::new(),
            happenings: BinaryHeap::new(),
            sequence: 0,
            sent: Vec::new(),
            batch: None,
            machine_calls: BTreeMap::new(),
            machine_answers: BTreeMap::new(),
            carried_out: BTreeMap::new(),
            queries: BTreeMap::new(),
            admission_free_at: 0,
            tickets: BTreeMap::new(),
            refused_tickets: 0,
            lengths: BTreeMap::new(),
            done: BTreeSet::new(),
        };
        world.table.apply(Command::Configure(config));
        world.step(Event::Lead { epoch: 1 });
        world.step(Event::MaxQueries(1));
        world.schedule(TICK_MS, Happening::Tick);
        world
    }

    pub fn unix(&self) -> UnixMs {
        EPOCH_MS + self.now
    }

    fn time(&self) -> Duration {
        Duration::from_millis(self.now)
    }

    /// Prints what happens where `JOB_TRACE` is set.
    fn trace(&self, what: impl FnOnce() -> String) {
        if std::env::var_os("JOB_TRACE").is_some() {
            println!("{:>7} owner {} {}", self.now, self.epoch, what());
        }
    }

    fn schedule(&mut self, after: u64, happening: Happening) {
        self.sequence += 1;
        self.happenings.push(Reverse((self.now + after, self.sequence, happening)));
    }

    fn live(&mut self, announcement: Announcement) {
        let incarnation = announcement.incarnation.clone();
        let instance = Instance {
            announcement,
            alive: true,
            cut_until: 0,
            fails: false,
            epoch: 0,
            lease: 0,
            running: BTreeMap::new(),
            ended: Vec::new(),
            sequence: 0,
            acknowledged: 0,
            refused: BTreeMap::new(),
            waiting: None,
        };
        self.instances.insert(incarnation.clone(), instance);
        self.announce(&incarnation);
    }

    pub fn announce(&mut self, incarnation: &Incarnation) {
        let now = self.now;
        let Some(instance) = self.instances.get_mut(incarnation) else { return };
        if !instance.alive || instance.cut_until > now {
            return;
        }
        instance.announcement.sequence += 1;
        instance.announcement.clock = instance.clock(now);
        let announcement = instance.announcement.clone();
        self.step(Event::Announced(announcement));
    }

    /// Ends a life; with `again`, the instance starts anew under its name.
    pub fn crash(&mut self, incarnation: &Incarnation, again: bool) {
        self.trace(|| format!("loses {incarnation}, again: {again}"));
        let Some(instance) = self.instances.get_mut(incarnation) else { return };
        instance.alive = false;
        instance.running.clear();
        let mut announcement = instance.announcement.clone();
        if again {
            announcement.incarnation.born = EPOCH_MS + self.now;
            announcement.sequence = 0;
            if announcement.incarnation != *incarnation {
                self.live(announcement);
            }
        }
    }

    /// Cuts an instance off until a time.
    pub fn cut(&mut self, incarnation: &Incarnation, until: u64) {
        if let Some(instance) = self.instances.get_mut(incarnation) {
            instance.cut_until = until;
        }
    }

    /// Another owner takes over; what the last one had proposed may or may not be committed.
    pub fn take_over(&mut self, commits: bool) {
        self.trace(|| format!("is replaced, batch commits: {commits} {:?}", self.batch));
        if let Some(batch) = self.batch.take().filter(|_| commits) {
            self.note_done(&batch);
            self.table.apply(Command::CommitBatch { at: self.unix(), batch });
        }
        self.epoch += 1;
        self.owner = Scheduler::new(Bounds::default());
        self.machine_calls.clear();
        self.machine_answers.clear();
        self.step(Event::Lead { epoch: self.epoch });
        self.step(Event::MaxQueries(1));
        let lives: Vec<_> = self.instances.keys().cloned().collect();
        for incarnation in lives {
            self.announce(&incarnation);
        }
    }

    pub fn submit(&mut self, id: JobId, queue: &str, spec: Spec) {
        let command = Command::Submit { id, queue: queue.into(), spec, at: self.unix() };
        let outcomes = self.table.apply(command);
        self.step(Event::CommandCommitted(outcomes));
    }

    pub fn cancel(&mut self, id: JobId) {
        let outcomes = self.table.apply(Command::Cancel { id, at: self.unix() });
        self.cancelled.entry(id).or_insert(self.now);
        self.step(Event::CommandCommitted(outcomes));
    }

    pub fn maintain(&mut self, id: WaveId, machines: &[&str], budget: u32) {
        let machines = machines.iter().map(|name| ((*name).into(), Progress::Due)).collect();
        let duration = Duration::from_secs(20);
        let wave = Wave { machines, requested_at: self.unix(), duration, budget };
        let outcomes = self.table.apply(Command::StartWave { id, wave });
        self.step(Event::CommandCommitted(outcomes));
    }

    /// Lets `ms` pass.
    pub fn run(&mut self, ms: u64) {
        let end = self.now + ms;
        while let Some(Reverse((at, _, _))) = self.happenings.peek() {
            if *at > end {
                break;
            }
            let Some(Reverse((at, _, happening))) = self.happenings.pop() else { break };
            self.now = at;
            self.happen(happening);
        }
        self.now = end;
    }

    fn happen(&mut self, happening: Happening) {
        match happening {
            Happening::Tick => self.tick(),
            Happening::Arrive { call } => self.arrive(call),
            Happening::Answer { owner, call } => {
                let Sent { id, answer, .. } = self.sent[call].clone();
                if let Some(result) = answer.filter(|_| owner == self.epoch) {
                    self.sent[call].answer = None;
                    self.step(Event::InstanceAnswered { id, result });
                }
            }
            Happening::Commit { owner } => {
                if owner != self.epoch {
                    return;
                }
                if let Some(batch) = self.batch.take() {
                    self.trace(|| format!("commits {batch:?}"));
                    self.note_done(&batch);
                    let outcomes =
                        self.table.apply(Command::CommitBatch { at: self.unix(), batch });
                    self.step(Event::BatchCommitted(outcomes));
                }
            }
            Happening::Machine { owner, id } => self.on_machine(owner, id),
            Happening::MachineAnswer { owner, id } => {
                let result = self.machine_answers.remove(&id);
                if let Some(result) = result.filter(|_| owner == self.epoch) {
                    self.step(Event::PlatformAnswered { id, result });
                }
            }
            Happening::Joins { machine } => self.join(&machine),
            Happening::Decide { owner, id } => self.decide(owner, id),
        }
    }

    fn tick(&mut self) {
        self.schedule(TICK_MS, Happening::Tick);
        let now = self.now;
        for instance in self.instances.values_mut().filter(|instance| instance.alive) {
            if instance.clock(now) > instance.lease {
                for task in instance.running.keys().copied().collect::<Vec<_>>() {
                    instance.end(task, EndReason::Lapsed);
                }
            }
            let due = instance.running.iter().filter_map(|(task, run)| {
                if run.stopping.is_some_and(|at| at <= now) {
                    return Some((*task, EndReason::Stopped));
                }
                let reason = if instance.fails { EndReason::Failed } else { EndReason::Done };
                run.until.filter(|until| *until <= now).map(|_| (*task, reason))
            });
            for (task, reason) in due.collect::<Vec<_>>() {
                instance.end(task, reason);
            }
        }
        self.answer_renewals();
        if now % ANNOUNCE_MS < TICK_MS {
            for incarnation in self.instances.keys().cloned().collect::<Vec<_>>() {
                self.announce(&incarnation);
            }
        }
        self.step(Event::Tick);
        self.check_runs();
    }

    fn chance(&mut self, permille: u32) -> bool {
        permille > 0 && self.rng.random_range(0..1000) < permille
    }

    pub fn step(&mut self, event: Event) {
        let (now, unix) = (self.time(), self.unix());
        for effect in self.owner.reduce(now, unix, &self.table, event) {
            match effect {
                Effect::Propose(batch) => {
                    assert!(self.batch.is_none(), "one batch at a time");
                    self.batch = Some(batch);
                    self.schedule(COMMIT_MS, Happening::Commit { owner: self.epoch });
                }
                Effect::CallInstance { id, incarnation, order, timeout, .. } => {
                    let call = self.sent.len();
                    let owner = self.epoch;
                    let answer = Some(Err(CallError::Timeout));
                    let to = incarnation.clone();
                    self.sent.push(Sent { owner, id, incarnation: to, life: None, order, answer });
                    let timeout = timeout.as_millis() as u64;
                    self.schedule(timeout, Happening::Answer { owner, call });
                    if self.chance(self.trouble.carried_out_late) {
                        // The life that has received the order carries it out, or nobody does.
                        let Some(life) = self.reached(&incarnation) else { continue };
                        self.sent[call].life = Some(life);
                        self.sent[call].answer = Some(Err(CallError::Timeout));
                        let late = self.rng.random_range(2_000..12_000);
                        self.schedule(late, Happening::Arrive { call });
                    } else if !self.chance(self.trouble.request_lost) {
                        self.schedule(self.travel_ms, Happening::Arrive { call });
                    }
                }
                Effect::CallPlatform { id, order } => {
                    self.machine_calls.insert(id, order);
                    let owner = self.epoch;
                    self.schedule(TRAVEL_MS, Happening::Machine { owner, id });
                }
                Effect::QueryAdmission { id, query } => {
                    let at = self.admission_free_at.max(self.now);
                    let took = ADMISSION.duration(query.instances.len()).as_millis() as u64;
                    self.admission_free_at = at + took;
                    let (after, owner) = (at + took - self.now, self.epoch);
                    self.queries.insert(id, query);
                    self.schedule(after, Happening::Decide { owner, id });
                }
                Effect::Note(note) => self.notes.push(note),
            }
        }
        for (id, record) in &self.table.jobs {
            if record.state.is_terminal() {
                self.ended_at.entry(*id).or_insert(self.now);
            }
        }
    }
}

/// How the policy of queues is asked, where it is.
pub const ADMISSION: AdmissionPolicy = AdmissionPolicy {
    decision: Duration::from_millis(20),
    per_instance: Duration::from_millis(2),
    validity: Duration::from_millis(2500),
};

/// Longest lease that an instance grants.
const MAX_LEASE_MS: u64 = 6000;

/// A configuration with one queue and pool for each name, and a spare pool.
pub fn config(pools: &[&str]) -> Config {
    let queue = |name: &&str| Queue {
        name: (*name).into(),
        host: "host".into(),
        prefix: format!("/{name}/").into(),
        pool: (*name).into(),
        priority: 0,
        max_attempts: 4,
        stretch_permille: 1600,
        slack: Duration::from_millis(600),
        admission: None,
    };
    let pool = |name: &&str| ((*name).into(), Pool { checks_room: true, spare: *name == "spare" });
    Config {
        version: 1,
        text: "".into(),
        queues: pools.iter().map(|name| ((*name).into(), queue(name))).collect(),
        pools: pools.iter().chain(&["spare"]).map(pool).collect(),
        limits: Limits { body_bytes: 1 << 18, idle: Duration::from_secs(15) },
    }
}

/// A job of groups that follow each other, each of so many tasks.
pub fn chain(counts: &[u16], millicores: u64, estimate_ms: u64) -> Spec {
    let group = |(i, count): (usize, &u16)| Group {
        count: *count,
        size: Resources { millicores, memory_mb: 100, accelerators: 0 },
        estimate: Duration::from_millis(estimate_ms),
        after: (i > 0).then(|| i as u16 - 1).into_iter().collect(),
        ..Group::default()
    };
    let groups = counts.iter().enumerate().map(group).collect();
    Spec { payload: "p".into(), groups, recurrence: None }
}
