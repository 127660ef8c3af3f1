//! The planner on a trace: commands take a step to be applied, calls a step to arrive.

use {
    super::*,
    model::{Name, Resources},
    place::{Action, Call, Command as Placement, Effect, End, Event, Order, Planner, State, Usage},
    workshop::Workshop,
};

/// Time that a checkpoint takes.
const CHECKPOINT: Duration = Duration::from_secs(1);

/// Time between two usage reports of a worker, and their lag.
const REPORT: Duration = Duration::from_secs(5);

/// A trace under the planner.
pub(crate) struct Planned<'a> {
    pub(crate) workshop: Workshop<'a>,
    state: State,
    planner: Planner,
    numbers: BTreeMap<Name, usize>,
    workers: BTreeMap<Name, usize>,
    commands: Vec<Placement>,
    calls: Vec<Call>,
    reports: Vec<(Duration, Usage)>,
    /// Placements that were ended before their work was done.
    pub(crate) moves: u64,
    /// Most jobs held at once.
    pub(crate) live_max: usize,
    /// Time of each pass.
    pub(crate) passes: Vec<Duration>,
    /// Time of everything that the planner did.
    pub(crate) busy: Duration,
}

impl<'a> Planned<'a> {
    /// Runs `trace` under the planner.
    pub(crate) fn run(trace: &'a trace::Trace) -> Self {
        let mut state = State::default();
        state.configure(&trace.teams);
        for (name, worker) in &trace.workers {
            state.apply(Placement::Worker { name: name.clone(), worker: worker.clone() });
        }
        let planner = Planner::new(&state, 1, Duration::ZERO);
        let numbers = trace.tasks.iter().enumerate();
        let workers = trace.workers.iter().enumerate();
        let mut planned = Self {
            workshop: Workshop::new(trace),
            state,
            planner,
            numbers: numbers.map(|(number, task)| (task.id.clone(), number)).collect(),
            workers: workers.map(|(number, (name, _))| (name.clone(), number)).collect(),
            commands: vec![Placement::Lead { term: 1 }],
            calls: Vec::new(),
            reports: Vec::new(),
            moves: 0,
            live_max: 0,
            passes: Vec::new(),
            busy: Duration::ZERO,
        };
        planned.play(trace);
        planned
    }

    fn play(&mut self, trace: &trace::Trace) {
        let (mut next, mut now) = (0, Duration::ZERO);
        while now < trace.length {
            now += workshop::STEP;
            while let Some(task) = trace.tasks.get(next).filter(|task| task.submitted <= now) {
                let (id, job) = (task.id.clone(), task.job.clone());
                self.commands.push(Placement::Submit { id, job });
                next += 1;
            }
            self.apply(now);
            self.live_max = self.live_max.max(self.state.jobs().len());
            self.carry_out(now);
            for (epoch, run, well) in self.workshop.step(now) {
                let end = if well { End::Done } else { End::Failed };
                let job = trace.tasks[run.number].id.clone();
                self.reduce(Event::Ended { job, epoch, end }, now);
            }
            self.report(now);
            self.reduce(Event::Tick, now);
        }
    }

    fn apply(&mut self, now: Duration) {
        for command in std::mem::take(&mut self.commands) {
            let effects = self.state.apply(command);
            let started = Instant::now();
            for effect in &effects {
                self.planner.on_effect(&self.state, now, effect);
            }
            self.busy += started.elapsed();
            let released = |effect: &Effect| match effect {
                Effect::Job(id) => self.state.jobs().get(id)?.placement()?.release,
                _ => None,
            };
            self.moves += effects.iter().filter_map(released).count() as u64;
        }
    }

    fn reduce(&mut self, event: Event, now: Duration) {
        let pass = event == Event::Tick;
        let started = Instant::now();
        let orders = self.planner.reduce(&self.state, now, event);
        let elapsed = started.elapsed();
        self.busy += elapsed;
        if pass {
            self.passes.push(elapsed);
        }
        for order in orders {
            match order {
                Order::Propose(command) => self.commands.push(command),
                Order::Call(call) => self.calls.push(call),
                Order::Renew { .. } => {}
            }
        }
    }

    fn carry_out(&mut self, now: Duration) {
        for call in std::mem::take(&mut self.calls) {
            let (job, epoch) = (call.job.clone(), call.epoch);
            match call.action {
                Action::Start { .. } => {
                    let (number, worker) = (self.numbers[&call.job], self.workers[&call.worker]);
                    self.workshop.start(epoch, number, worker, now);
                    self.reduce(Event::Started { job, epoch }, now);
                }
                Action::Checkpoint => {
                    if let Some(run) = self.workshop.runs.get_mut(&epoch) {
                        run.checkpointed_at.get_or_insert(now + CHECKPOINT);
                    }
                }
                Action::Stop => {
                    if self.workshop.runs.remove(&epoch).is_some() {
                        self.reduce(Event::Ended { job, epoch, end: End::Stopped }, now);
                    }
                }
                Action::Throttle { millicores } => {
                    if let Some(run) = self.workshop.runs.get_mut(&epoch) {
                        run.limit = millicores;
                    }
                }
            }
        }
        self.finish_checkpoints(now);
    }

    fn finish_checkpoints(&mut self, now: Duration) {
        let kept = |run: &workshop::Run| run.checkpointed_at.is_some_and(|at| at <= now);
        let kept: Vec<_> = self.workshop.runs.extract_if(.., |_, run| kept(run)).collect();
        for (epoch, run) in kept {
            let job = self.workshop.trace.tasks[run.number].id.clone();
            self.reduce(Event::Ended { job, epoch, end: End::Checkpointed }, now);
        }
    }

    fn report(&mut self, now: Duration) {
        if (now.as_millis() as u64).is_multiple_of(REPORT.as_millis() as u64) {
            self.measure(now);
        }
        let due: Vec<_> = self.reports.extract_if(.., |(at, _)| *at + REPORT <= now).collect();
        for (_, usage) in due {
            self.reduce(Event::Usage(usage), now);
        }
    }

    fn measure(&mut self, now: Duration) {
        let mut tasks: Vec<BTreeMap<u64, Resources>> =
            vec![BTreeMap::new(); self.workshop.trace.workers.len()];
        for (epoch, run) in &self.workshop.runs {
            tasks[run.worker].insert(*epoch, self.workshop.usage(run));
        }
        for (tasks, (worker, _)) in tasks.into_iter().zip(&self.workshop.trace.workers) {
            let usage = Usage { worker: worker.clone(), age: REPORT, tasks };
            self.reports.push((now, usage));
        }
    }
}
