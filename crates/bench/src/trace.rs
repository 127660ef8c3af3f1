use {
    super::*,
    model::{Job, Location, Name, Resources, Spread, Team, Urgency, Worker},
    rand::{Rng, SeedableRng},
    rand_chacha::ChaCha8Rng,
};

/// Jobs over time on given workers, with what the jobs truly use.
#[derive(Debug)]
pub(crate) struct Trace {
    pub(crate) workers: Vec<(Name, Worker)>,
    pub(crate) teams: BTreeMap<Name, Team>,
    /// In the order of their submission.
    pub(crate) tasks: Vec<Task>,
    pub(crate) length: Duration,
}

/// A job with its truth.
#[derive(Debug, Clone)]
pub(crate) struct Task {
    pub(crate) id: Name,
    pub(crate) job: Job,
    pub(crate) submitted: Duration,
    pub(crate) usage: Resources,
    /// Time that it takes with all the processors that it uses.
    pub(crate) work: Duration,
    pub(crate) weight: u64,
}

/// What a trace is made for.
#[derive(Debug, Clone)]
pub(crate) struct Site {
    pub(crate) name: &'static str,
    pub(crate) workers: usize,
    pub(crate) processors: u64,
    pub(crate) memory_gb: u64,
    pub(crate) accelerators: usize,
    pub(crate) pools: usize,
    pub(crate) teams: usize,
    /// Processors that jobs truly ask for in the mean, against those there are.
    pub(crate) load: f64,
    pub(crate) length: Duration,
}

/// Length of a burst at five times the mean.
const BURST_S: u64 = 8;

/// Length of a cycle: one burst, then a low that brings the mean about.
const CYCLE_S: u64 = 40;

/// Workers in a rack.
const RACK: usize = 4;

impl Site {
    /// The trace of `seed`.
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

    /// Three times the share of a team.
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
            rack: format!("rack-{}", number / RACK).into(),
        };
        let labels = format!("pool=pool-{}", number % self.pools).parse().unwrap_or_default();
        (format!("worker-{number}").into(), Worker { size, labels, location })
    }

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
        let mut factor = || 2f64.powf(rng.random_range(-1.5..2.0));
        let declared = Resources {
            millicores: (usage.millicores as f64 * factor()) as u64,
            memory_mb: (usage.memory_mb as f64 * factor()) as u64,
            accelerators: usage.accelerators,
        };
        let run_time = Duration::from_secs_f64(work as f64 * factor());
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
