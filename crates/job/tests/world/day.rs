//! Simulates a day of heavy load: the queues have bursts of demand one after the other, each of
//! about four times the mean of its queue. Estimated run times are far off. Measures the value that
//! callers get and the cost of the machines.

use super::*;

/// Load of a queue.
#[derive(Debug, Clone, Copy)]
pub struct QueueLoad {
    pub queue: &'static str,
    /// Initial number of machines in its pool.
    pub machines: usize,
    /// Mean number of jobs per second.
    pub per_second: f64,
    /// Mean number of groups of a job.
    pub groups: f64,
    /// Mean number of tasks of a group.
    pub tasks: f64,
    /// Mean processor demand of a task.
    pub millicores: f64,
    /// Mean run time of a task.
    pub work_ms: f64,
    /// Standard deviation of the logarithm of the estimated time around that of the actual time.
    pub estimate_spread: f64,
    /// Value of a mean job that finishes within its objective.
    pub value: f64,
}

/// A simulated deployment.
#[derive(Debug, Clone)]
pub struct Deployment {
    pub loads: [QueueLoad; 4],
    pub machine_millicores: u64,
    pub spare_machines: usize,
    /// Cost of a machine in a pool per second.
    pub machine_second_cost: f64,
    /// Cost of moving a machine to another pool.
    pub move_cost: f64,
}

/// A submitted job.
#[derive(Debug, Clone)]
pub struct SubmittedJob {
    pub id: JobId,
    pub queue: &'static str,
    pub at: u64,
    /// Time within which the job should finish.
    pub objective: u64,
    pub value: f64,
}

/// A simulated day.
pub struct Day {
    pub world: World,
    pub jobs: Vec<SubmittedJob>,
    /// Total time of machines in pools other than the spare one, in milliseconds.
    pub pool_machine_ms: u64,
    pub length_ms: u64,
    deployment: Deployment,
}

/// Time before the first burst.
const WARMUP_MS: u64 = 10_000;
const BURST_MS: u64 = 8_500;
/// Time after the last burst.
const COOLDOWN_MS: u64 = 14_000;
const STEP_MS: u64 = 20;
/// Demand at the peak of a burst, as a multiple of the mean.
const BURST_PEAK: f64 = 7.5;
/// Demand outside the burst, as a multiple of the mean.
const OUTSIDE_BURST: f64 = 0.05;
/// Number of jobs per queue that never end.
const CONTINUOUS_JOBS: u64 = 3;
/// Share of its value that a late job earns.
const LATE_SHARE: f64 = 0.07;
/// Standard deviation of the logarithm of the run time of a task.
const RUN_TIME_SPREAD: f64 = 0.5;

impl Deployment {
    /// Short jobs and long ones, on machines with 32 processors.
    pub fn small_machines() -> Self {
        let short = QueueLoad {
            queue: "a",
            machines: 9,
            per_second: 7.05,
            groups: 1.6,
            tasks: 6.0,
            millicores: 2300.0,
            work_ms: 800.0,
            estimate_spread: 0.5,
            value: 0.485,
        };
        let long = QueueLoad {
            queue: "b",
            machines: 9,
            per_second: 0.833,
            groups: 2.0,
            tasks: 8.0,
            millicores: 5000.0,
            work_ms: 2100.0,
            estimate_spread: 0.9,
            value: 4.61,
        };
        Self {
            loads: [
                short,
                long,
                QueueLoad { queue: "c", machines: 11, per_second: 8.8, ..short },
                QueueLoad { queue: "d", machines: 12, per_second: 1.02, ..long },
            ],
            machine_millicores: 32_000,
            spare_machines: 8,
            machine_second_cost: 0.06,
            move_cost: 0.068,
        }
    }

    /// Short jobs and jobs with many large tasks, on machines with 64 processors.
    pub fn large_machines() -> Self {
        let short = QueueLoad {
            queue: "a",
            machines: 9,
            per_second: 7.41,
            groups: 1.6,
            tasks: 6.0,
            millicores: 3500.0,
            work_ms: 1000.0,
            estimate_spread: 0.5,
            value: 0.505,
        };
        let wide = QueueLoad {
            queue: "b",
            machines: 9,
            per_second: 1.75,
            groups: 2.0,
            tasks: 8.0,
            millicores: 7700.0,
            work_ms: 1300.0,
            estimate_spread: 0.9,
            value: 2.41,
        };
        Self {
            loads: [
                short,
                wide,
                QueueLoad { queue: "c", machines: 11, per_second: 9.26, ..short },
                QueueLoad { queue: "d", machines: 12, per_second: 2.14, ..wide },
            ],
            machine_millicores: 64_000,
            spare_machines: 8,
            machine_second_cost: 0.065,
            move_cost: 0.074,
        }
    }
}

impl Day {
    /// Simulates four bursts.
    pub fn run_day(seed: u64, deployment: Deployment) -> Self {
        let mut config = config(&deployment.loads.map(|load| load.queue));
        config.queues.values_mut().for_each(|queue| queue.stretch_permille = 1600);
        let mut world = World::new(seed, config);
        for load in &deployment.loads {
            for i in 0..load.machines {
                let name = format!("m-{}{i}", load.queue);
                world.add_machine(
                    &name,
                    load.queue,
                    &format!("r{}", i / 4),
                    deployment.machine_millicores,
                );
            }
        }
        for i in 0..deployment.spare_machines {
            world.add_machine(&format!("m-s{i}"), "spare", "rs", deployment.machine_millicores);
        }
        let mut day =
            Self { world, jobs: Vec::new(), pool_machine_ms: 0, length_ms: 0, deployment };
        day.run(WARMUP_MS / 2);
        day.submit_continuous();
        day.run(WARMUP_MS / 2);
        for step in 0..4 * BURST_MS / STEP_MS {
            let at = step * STEP_MS;
            for (i, load) in day.deployment.loads.into_iter().enumerate() {
                let phase = (at % BURST_MS) as f64 / BURST_MS as f64;
                let factor = (std::f64::consts::PI * phase).sin().powi(2) * BURST_PEAK;
                let share = if at / BURST_MS == i as u64 { factor } else { OUTSIDE_BURST };
                let chance = load.per_second * share * STEP_MS as f64 / 1000.0;
                if day.world.rng.random_bool(chance.min(1.0)) {
                    day.submit(&load);
                }
            }
            day.run(STEP_MS);
        }
        day.run(COOLDOWN_MS);
        day
    }

    fn run(&mut self, ms: u64) {
        for _ in 0..ms / STEP_MS {
            self.world.run(STEP_MS);
            let in_use = self.world.machines.values().filter(|machine| &*machine.pool != "spare");
            self.pool_machine_ms += STEP_MS * in_use.count() as u64;
            self.length_ms += STEP_MS;
        }
    }

    /// A random value with a log-normal distribution of this mean; `spread` is the standard
    /// deviation of its logarithm. A sum of 12 uniform values approximates the normal distribution.
    fn log_normal(&mut self, mean: f64, spread: f64) -> f64 {
        let rng = &mut self.world.rng;
        let normal = (0..12).map(|_| rng.random_range(-0.5..0.5)).sum::<f64>();
        mean * (normal * spread - spread * spread / 2.0).exp()
    }

    fn submit(&mut self, load: &QueueLoad) {
        let id = self.jobs.len() as JobId + 1000;
        let groups = self.log_normal(load.groups, 0.4).round().clamp(1.0, 4.0) as usize;
        let (mut spec, mut critical_path, mut work) = (chain(&vec![1; groups], 0, 0), 0, 0.0);
        for (i, group) in spec.groups.iter_mut().enumerate() {
            let tasks = self.log_normal(load.tasks, 0.6).round().clamp(1.0, 24.0);
            let millicores = self.log_normal(load.millicores, 0.45).min(3.0 * load.millicores);
            let run_time = self.log_normal(load.work_ms, RUN_TIME_SPREAD).min(2.5 * load.work_ms);
            let estimate = self.log_normal(run_time, load.estimate_spread);
            group.count = tasks as u16;
            group.size =
                Resources { millicores: millicores as u64, memory_mb: 100, accelerators: 0 };
            group.estimate = Duration::from_millis(estimate as u64 + 1);
            let group_id = GroupId { job: id, round: 0, group: i as u16 };
            self.world.run_times.insert(group_id, run_time as u64 + 1);
            critical_path += run_time as u64 + 1;
            work += tasks * millicores * run_time;
        }
        let mean = load.groups * load.tasks * load.millicores * load.work_ms;
        let value = load.value * (0.3 + 0.7 * work / mean).min(4.0);
        let objective = critical_path * 1600 / 1000 + 600;
        let (queue, at) = (load.queue, self.world.now);
        self.jobs.push(SubmittedJob { id, queue, at, objective, value });
        self.world.submit(id, queue, spec);
    }

    fn submit_continuous(&mut self) {
        for (i, load) in self.deployment.loads.into_iter().enumerate() {
            for j in 0..CONTINUOUS_JOBS {
                let mut spec = chain(&[5], load.millicores as u64 / 2, 700);
                spec.groups[0].continuous = true;
                spec.groups[0].max_per_instance = Some(2);
                self.world.submit(i as u64 * CONTINUOUS_JOBS + j + 1, load.queue, spec);
            }
        }
    }

    /// Value earned by the jobs of `queue` as a share of the value of all its jobs.
    pub fn earned_share(&self, queue: &str) -> f64 {
        let of_queue = self.jobs.iter().filter(|job| job.queue == queue);
        let (mut earned, mut total_value) = (0.0, 0.0);
        for job in of_queue {
            total_value += job.value;
            let took = self.world.ended_at.get(&job.id).map(|ended| ended - job.at);
            earned += match took {
                Some(took) if took <= job.objective => job.value,
                Some(took) if took <= 3 * job.objective => job.value * LATE_SHARE,
                _ => 0.0,
            };
        }
        earned / total_value
    }

    fn total_value(&self) -> f64 {
        self.jobs.iter().map(|job| job.value).sum()
    }

    /// Value earned by all jobs as a share of their total value.
    pub fn total_earned_share(&self) -> f64 {
        let queues = self.deployment.loads.map(|load| load.queue);
        let value_of = |queue: &str| {
            self.jobs.iter().filter(|job| job.queue == queue).map(|job| job.value).sum::<f64>()
        };
        queues.iter().map(|queue| self.earned_share(queue) * value_of(queue)).sum::<f64>()
            / self.total_value()
    }

    /// Machine time in pools, relative to leaving every machine in its initial pool.
    pub fn relative_machine_time(&self) -> f64 {
        let machines: usize = self.deployment.loads.iter().map(|load| load.machines).sum();
        self.pool_machine_ms as f64 / (machines as u64 * self.length_ms) as f64
    }

    /// Cost of machines in pools and of moves, relative to the value of all jobs.
    pub fn cost_share(&self) -> f64 {
        let seconds = self.pool_machine_ms as f64 / 1000.0 * self.deployment.machine_second_cost;
        (seconds + self.world.moves as f64 * self.deployment.move_cost) / self.total_value()
    }

    /// The results of the day on one line.
    pub fn summary(&self) -> String {
        let queues = self
            .deployment
            .loads
            .map(|load| format!("{} {:.3}", load.queue, self.earned_share(load.queue)));
        format!(
            "{}; all {:.3}, in pools {:.3}, moves {}, cost {:.3}, net {:.3}",
            queues.join(" "),
            self.total_earned_share(),
            self.relative_machine_time(),
            self.world.moves,
            self.cost_share(),
            self.total_earned_share() - self.cost_share()
        )
    }
}
