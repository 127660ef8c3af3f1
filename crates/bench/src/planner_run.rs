//! Runs the placement planner on a trace. Commands are applied, and calls to workers arrive, one
//! simulation step after the planner issues them.

use {
    super::*,
    model::{Name, Resources},
    place::{Action, Call, Command as Placement, Effect, End, Event, Order, Planner, State, Usage},
    worker_simulation::WorkerSimulation,
};

/// Duration of a checkpoint.
const CHECKPOINT: Duration = Duration::from_secs(1);

/// Time between two usage reports of a worker, and also the delay until a report arrives.
const REPORT_INTERVAL: Duration = Duration::from_secs(5);

/// The state of a run.
pub(crate) struct PlannerRun<'a> {
    pub(crate) simulation: WorkerSimulation<'a>,
    state: State,
    planner: Planner,
    /// Index of each job in the trace.
    numbers: BTreeMap<Name, usize>,
    /// Index of each worker in the trace.
    workers: BTreeMap<Name, usize>,
    /// Commands to apply in the next step.
    commands: Vec<Placement>,
    /// Calls to workers to carry out in the next step.
    calls: Vec<Call>,
    /// Usage reports that have not arrived, with the time of their measurement.
    reports: Vec<(Duration, Usage)>,
    /// Number of placements that the planner released before their job was done.
    pub(crate) moves: u64,
    /// Largest number of jobs in the state of the planner at once.
    pub(crate) live_max: usize,
    /// Processing time of each planning pass.
    pub(crate) passes: Vec<Duration>,
    /// Total processing time of the planner.
    pub(crate) busy: Duration,
}

impl<'a> PlannerRun<'a> {
    /// Runs `trace` to its end with the planner.
    pub(crate) fn run(trace: &'a trace::Trace) -> Self {
        let mut state = State::default();
        state.configure(&trace.teams);
        for (name, worker) in &trace.workers {
            state.apply(Placement::Worker { name: name.clone(), worker: worker.clone() });
        }
        let planner = Planner::new(&state, 1, Duration::ZERO);
        let numbers = trace.tasks.iter().enumerate();
        let workers = trace.workers.iter().enumerate();
        let mut run = Self {
            simulation: WorkerSimulation::new(trace),
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
        run.simulate(trace);
        run
    }

    fn simulate(&mut self, trace: &trace::Trace) {
        let (mut next, mut now) = (0, Duration::ZERO);
        while now < trace.length {
            now += worker_simulation::STEP;
            while let Some(task) = trace.tasks.get(next).filter(|task| task.submitted <= now) {
                let (id, job) = (task.id.clone(), task.job.clone());
                self.commands.push(Placement::Submit { id, job });
                next += 1;
            }
            self.apply(now);
            self.live_max = self.live_max.max(self.state.jobs().len());
            self.carry_out(now);
            for (epoch, run, succeeded) in self.simulation.step(now) {
                let end = if succeeded { End::Done } else { End::Failed };
                let job = trace.tasks[run.number].id.clone();
                self.reduce(Event::Ended { job, epoch, end }, now);
            }
            self.report(now);
            self.reduce(Event::Tick, now);
        }
    }

    /// Applies the pending commands, and tells the planner of their effects.
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

    /// Carries out the pending calls to workers.
    fn carry_out(&mut self, now: Duration) {
        for call in std::mem::take(&mut self.calls) {
            let (job, epoch) = (call.job.clone(), call.epoch);
            match call.action {
                Action::Start { .. } => {
                    let (number, worker) = (self.numbers[&call.job], self.workers[&call.worker]);
                    self.simulation.start(epoch, number, worker, now);
                    self.reduce(Event::Started { job, epoch }, now);
                }
                Action::Checkpoint => {
                    if let Some(run) = self.simulation.runs.get_mut(&epoch) {
                        run.checkpointed_at.get_or_insert(now + CHECKPOINT);
                    }
                }
                Action::Stop => {
                    if self.simulation.runs.remove(&epoch).is_some() {
                        self.reduce(Event::Ended { job, epoch, end: End::Stopped }, now);
                    }
                }
                Action::Throttle { millicores } => {
                    if let Some(run) = self.simulation.runs.get_mut(&epoch) {
                        run.limit = millicores;
                    }
                }
            }
        }
        self.finish_checkpoints(now);
    }

    fn finish_checkpoints(&mut self, now: Duration) {
        let finished =
            |run: &worker_simulation::Run| run.checkpointed_at.is_some_and(|at| at <= now);
        let finished: Vec<_> =
            self.simulation.runs.extract_if(.., |_, run| finished(run)).collect();
        for (epoch, run) in finished {
            let job = self.simulation.trace.tasks[run.number].id.clone();
            self.reduce(Event::Ended { job, epoch, end: End::Checkpointed }, now);
        }
    }

    /// Measures usage at every report interval, and delivers the reports that are due.
    fn report(&mut self, now: Duration) {
        if (now.as_millis() as u64).is_multiple_of(REPORT_INTERVAL.as_millis() as u64) {
            self.measure(now);
        }
        let due: Vec<_> =
            self.reports.extract_if(.., |(at, _)| *at + REPORT_INTERVAL <= now).collect();
        for (_, usage) in due {
            self.reduce(Event::Usage(usage), now);
        }
    }

    fn measure(&mut self, now: Duration) {
        let mut tasks: Vec<BTreeMap<u64, Resources>> =
            vec![BTreeMap::new(); self.simulation.trace.workers.len()];
        for (epoch, run) in &self.simulation.runs {
            tasks[run.worker].insert(*epoch, self.simulation.usage(run));
        }
        for (tasks, (worker, _)) in tasks.into_iter().zip(&self.simulation.trace.workers) {
            let usage = Usage { worker: worker.clone(), age: REPORT_INTERVAL, tasks };
            self.reports.push((now, usage));
        }
    }
}
