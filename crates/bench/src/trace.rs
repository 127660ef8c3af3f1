use {
    super::*,
    model::{Job, Location, Name, Resources, Spread, Team, Urgency, Worker},
    rand::{Rng, SeedableRng},
    rand_chacha::ChaCha8Rng,
};

/// The jobs submitted to a set of workers over time, with their actual usage.
#[derive(Debug)]
pub(crate) struct Trace {
    pub(crate) workers: Vec<(Name, Worker)>,
    pub(crate) teams: BTreeMap<Name, Team>,
    /// Tasks in the order of submission.
    pub(crate) tasks: Vec<Task>,
    pub(crate) length: Duration,
}

/// A job with its actual usage and run time, which may differ from the declared ones.
#[derive(Debug, Clone)]
pub(crate) struct Task {
    pub(crate) id: Name,
    pub(crate) job: Job,
    pub(crate) submitted: Duration,
    pub(crate) usage: Resources,
    /// Run time when it gets all the processor time that it can use.
    pub(crate) work: Duration,
    /// Weight in the share of tasks that are done in time.
    pub(crate) weight: u64,
}

/// The installation for which a trace is generated.
#[derive(Debug, Clone)]
pub(crate) struct Site {
    pub(crate) name: &'static str,
    pub(crate) workers: usize,
    pub(crate) processors: u64,
    pub(crate) memory_gb: u64,
    pub(crate) accelerators: usize,
    pub(crate) pools: usize,
    pub(crate) teams: usize,
    /// Mean processor demand of the jobs by actual usage, relative to the capacity.
    pub(crate) load: f64,
    pub(crate) length: Duration,
}

/// Length of a burst, at about five times the mean demand, in seconds.
const BURST_S: u64 = 8;

/// Length of a cycle in seconds: a burst, then a lull that brings the mean demand to
/// [`Site::load`].
const CYCLE_S: u64 = 40;

/// Workers per rack.
const WORKERS_PER_RACK: usize = 4;

impl Site {
    /// Generates the trace for `seed`.
    pub(crate) fn trace(&self, seed: u64) -> Trace {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let workers: Vec<_> = (0..self.workers).map(|number| self.worker(number)).collect();
        let quota = self.quota();
        let teams = (0..self.teams).map(|n| (format!("team-{n}").into(), quota.clone())).collect();
        let capacity = self.workers as f64 * self.processors as f64;
        let mut tasks = Vec::new();
        for second in 0..self.length.as_secs() {
            let factor = if second % CYCLE_S < BURST_S { 4.8 } else { 0.05 };
            let mut budget = capacity * self.load * factor;
            while budget > 0.0 {
                let task = self.task(tasks.len(), second, &mut rng);
                budget -= task.usage.millicores as f64 / 1000.0 * task.work.as_secs_f64();
                tasks.push(task);
            }
        }
        tasks.sort_by_key(|task| task.submitted);
        Trace { workers, teams, tasks, length: self.length }
    }

    /// Quota of each team: three times an equal share of the capacity.
    fn quota(&self) -> Team {
        let share = |whole: u64| whole * self.workers as u64 * 3 / self.teams as u64;
        Team {
            quota: Resources {
                millicores: share(self.processors * 1000),
                memory_mb: share(self.memory_gb * 1024),
                accelerators: self.accelerators as u64,
            },
        }
    }

    fn worker(&self, number: usize) -> (Name, Worker) {
        let accelerators = self.accelerators / self.workers
            + usize::from(number < self.accelerators % self.workers);
        let size = Resources {
            millicores: self.processors * 1000,
            memory_mb: self.memory_gb * 1024,
            accelerators: accelerators as u64,
        };
        let location = Location {
            region: "region".into(),
            data_center: format!("dc-{}", number % 3).into(),
            rack: format!("rack-{}", number / WORKERS_PER_RACK).into(),
        };
        let labels = format!("pool=pool-{}", number % self.pools).parse().unwrap_or_default();
        (format!("worker-{number}").into(), Worker { size, labels, location })
    }

    /// A random task that is submitted in `second`.
    fn task(&self, number: usize, second: u64, rng: &mut ChaCha8Rng) -> Task {
        let urgent = rng.random_ratio(1, 20);
        let digest = !urgent && rng.random_ratio(2, 5);
        let (urgency, weight, class) = match (urgent, digest) {
            (true, _) => (Urgency::Urgent, 5, "match-urgent"),
            (_, true) => (Urgency::Batch, 1, "digest"),
            _ => (Urgency::Normal, 5, "match"),
        };
        let (work, deadline) = match digest {
            true => (rng.random_range(120..360), 1200),
            false => (rng.random_range(10..40), 90),
        };
        let millicores = rng.random_range(500..4000) * if digest { 2 } else { 1 };
        let usage = Resources {
            millicores,
            memory_mb: millicores * rng.random_range(1..3),
            accelerators: u64::from(self.accelerators > 0 && rng.random_ratio(1, 10)),
        };
        let mut misestimate = || 2f64.powf(rng.random_range(-1.5..2.0));
        let declared = Resources {
            millicores: (usage.millicores as f64 * misestimate()) as u64,
            memory_mb: (usage.memory_mb as f64 * misestimate()) as u64,
            accelerators: usage.accelerators,
        };
        let run_time = Duration::from_secs_f64(work as f64 * misestimate());
        let pool = format!("pool=pool-{}", rng.random_range(0..self.pools));
        let selective = self.pools > 1 && rng.random_ratio(3, 10);
        let group = format!("group-{}", number / 10).into();
        let spread = rng.random_ratio(1, 10).then_some(Spread { group, per_rack: 2 });
        let team = number % self.teams;
        let job = Job {
            team: format!("team-{team}").into(),
            class: format!("{class}-{}", team % 8).into(),
            urgency,
            size: declared,
            run_time,
            deadline: Some(Duration::from_secs(deadline)),
            selector: if selective { pool.parse().ok() } else { None },
            spread,
        };
        Task {
            id: format!("job-{number}").into(),
            job,
            submitted: Duration::from_secs(second)
                + Duration::from_millis(rng.random_range(0..999)),
            usage,
            work: Duration::from_secs(work),
            weight,
        }
    }
}
