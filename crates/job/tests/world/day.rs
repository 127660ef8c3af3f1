//! A heavy day: queues whose demand comes in turns, one after the other, each in its turn asking about
//! four times its mean. Declared times are far off. Counted is what callers get, and what it costs.

use super::*;

/// What a queue is asked.
#[derive(Debug, Clone, Copy)]
pub struct Demand {
    pub queue: &'static str,
    /// Machines that its pool has in the beginning.
    pub machines: usize,
    /// Jobs a second, on average.
    pub per_second: f64,
    pub groups: f64,
    pub tasks: f64,
    pub millicores: f64,
    pub work_ms: f64,
    /// Spread of the logarithm of the declared time around the true one.
    pub misjudged: f64,
    /// Worth of a mean job that is done in time.
    pub worth: f64,
}

/// A deployment.
#[derive(Debug, Clone)]
pub struct Site {
    pub demands: [Demand; 4],
    pub machine_millicores: u64,
    pub spare_machines: usize,
    /// Price of a second of a machine in a pool, and of a move.
    pub machine_second: f64,
    pub moved: f64,
}

/// A job that was handed in.
#[derive(Debug, Clone)]
pub struct Handed {
    pub id: JobId,
    pub queue: &'static str,
    pub at: u64,
    /// Time within which it is wanted.
    pub objective: u64,
    pub worth: f64,
}

/// A day that was played.
pub struct Day {
    pub world: World,
    pub jobs: Vec<Handed>,
    /// Milliseconds of machines in pools that are not spare.
    pub in_pools: u64,
    pub length: u64,
    site: Site,
}

/// Before the first turn.
const LEAD_MS: u64 = 10_000;
const TURN_MS: u64 = 8_500;
/// After the last turn.
const FINISH_MS: u64 = 14_000;
const STEP_MS: u64 = 20;
/// How many times its mean a queue asks at the height of its turn.
const HEIGHT: f64 = 7.5;
/// What it asks out of its turn.
const CALM: f64 = 0.05;
const LASTING_JOBS: u64 = 3;
/// Share of its worth that a late job earns.
const LATE: f64 = 0.07;
const SPREAD: f64 = 0.5;

impl Site {
    /// Quick jobs and deep ones on machines of 32 processors.
    pub fn small_machines() -> Self {
        let quick = Demand {
            queue: "a",
            machines: 9,
            per_second: 7.05,
            groups: 1.6,
            tasks: 6.0,
            millicores: 2300.0,
            work_ms: 800.0,
            misjudged: 0.5,
            worth: 0.485,
        };
        let deep = Demand {
            queue: "b",
            machines: 9,
            per_second: 0.833,
            groups: 2.0,
            tasks: 8.0,
            millicores: 5000.0,
            work_ms: 2100.0,
            misjudged: 0.9,
            worth: 4.61,
        };
        Self {
            demands: [
                quick,
                deep,
                Demand { queue: "c", machines: 11, per_second: 8.8, ..quick },
                Demand { queue: "d", machines: 12, per_second: 1.02, ..deep },
            ],
            machine_millicores: 32_000,
            spare_machines: 8,
            machine_second: 0.06,
            moved: 0.068,
        }
    }

    /// Quick jobs and wide ones on machines of 64 processors.
    pub fn large_machines() -> Self {
        let quick = Demand {
            queue: "a",
            machines: 9,
            per_second: 7.41,
            groups: 1.6,
            tasks: 6.0,
            millicores: 3500.0,
            work_ms: 1000.0,
            misjudged: 0.5,
            worth: 0.505,
        };
        let wide = Demand {
            queue: "b",
            machines: 9,
            per_second: 1.75,
            groups: 2.0,
            tasks: 8.0,
            millicores: 7700.0,
            work_ms: 1300.0,
            misjudged: 0.9,
            worth: 2.41,
        };
        Self {
            demands: [
                quick,
                wide,
                Demand { queue: "c", machines: 11, per_second: 9.26, ..quick },
                Demand { queue: "d", machines: 12, per_second: 2.14, ..wide },
            ],
            machine_millicores: 64_000,
            spare_machines: 8,
            machine_second: 0.065,
            moved: 0.074,
        }
    }
}

impl Day {
    /// Plays four turns.
    pub fn play(seed: u64, site: Site) -> Self {
        let mut config = config(&site.demands.map(|demand| demand.queue));
        config.queues.values_mut().for_each(|queue| queue.stretch_permille = 1600);
        let mut world = World::new(seed, config);
        for demand in &site.demands {
            for i in 0..demand.machines {
                let name = format!("m-{}{i}", demand.queue);
                world.add_machine(
                    &name,
                    demand.queue,
                    &format!("r{}", i / 4),
                    site.machine_millicores,
                );
            }
        }
        for i in 0..site.spare_machines {
            world.add_machine(&format!("m-s{i}"), "spare", "rs", site.machine_millicores);
        }
        let mut day = Self { world, jobs: Vec::new(), in_pools: 0, length: 0, site };
        day.run(LEAD_MS / 2);
        day.submit_lasting();
        day.run(LEAD_MS / 2);
        for step in 0..4 * TURN_MS / STEP_MS {
            let at = step * STEP_MS;
            for (i, demand) in day.site.demands.into_iter().enumerate() {
                let phase = (at % TURN_MS) as f64 / TURN_MS as f64;
                let height = (std::f64::consts::PI * phase).sin().powi(2) * HEIGHT;
                let share = if at / TURN_MS == i as u64 { height } else { CALM };
                let chance = demand.per_second * share * STEP_MS as f64 / 1000.0;
                if day.world.rng.random_bool(chance.min(1.0)) {
                    day.submit(&demand);
                }
            }
            day.run(STEP_MS);
        }
        day.run(FINISH_MS);
        day
    }

    fn run(&mut self, ms: u64) {
        for _ in 0..ms / STEP_MS {
            self.world.run(STEP_MS);
            let on = self.world.machines.values().filter(|machine| &*machine.pool != "spare");
            self.in_pools += STEP_MS * on.count() as u64;
            self.length += STEP_MS;
        }
    }

    /// A value around `mean` whose logarithm spreads by `spread`.
    fn around(&mut self, mean: f64, spread: f64) -> f64 {
        let rng = &mut self.world.rng;
        let normal = (0..12).map(|_| rng.random_range(-0.5..0.5)).sum::<f64>();
        mean * (normal * spread - spread * spread / 2.0).exp()
    }

    fn submit(&mut self, demand: &Demand) {
        let id = self.jobs.len() as JobId + 1000;
        let groups = self.around(demand.groups, 0.4).round().clamp(1.0, 4.0) as usize;
        let (mut spec, mut chain, mut work) = (chain(&vec![1; groups], 0, 0), 0, 0.0);
        for (i, group) in spec.groups.iter_mut().enumerate() {
            let tasks = self.around(demand.tasks, 0.6).round().clamp(1.0, 24.0);
            let millicores = self.around(demand.millicores, 0.45).min(3.0 * demand.millicores);
            let took = self.around(demand.work_ms, SPREAD).min(2.5 * demand.work_ms);
            let declared = self.around(took, demand.misjudged);
            group.count = tasks as u16;
            group.size =
                Resources { millicores: millicores as u64, memory_mb: 100, accelerators: 0 };
            group.estimate = Duration::from_millis(declared as u64 + 1);
            let group_id = GroupId { job: id, round: 0, group: i as u16 };
            self.world.lengths.insert(group_id, took as u64 + 1);
            chain += took as u64 + 1;
            work += tasks * millicores * took;
        }
        let mean = demand.groups * demand.tasks * demand.millicores * demand.work_ms;
        let worth = demand.worth * (0.3 + 0.7 * work / mean).min(4.0);
        let objective = chain * 1600 / 1000 + 600;
        let (queue, at) = (demand.queue, self.world.now);
        self.jobs.push(Handed { id, queue, at, objective, worth });
        self.world.submit(id, queue, spec);
    }

    fn submit_lasting(&mut self) {
        for (i, demand) in self.site.demands.into_iter().enumerate() {
            for j in 0..LASTING_JOBS {
                let mut spec = chain(&[5], demand.millicores as u64 / 2, 700);
                spec.groups[0].long_running = true;
                spec.groups[0].max_per_instance = Some(2);
                self.world.submit(i as u64 * LASTING_JOBS + j + 1, demand.queue, spec);
            }
        }
    }

    /// Worth of the jobs of `queue` by what they earned against what they could earn.
    pub fn credit(&self, queue: &str) -> f64 {
        let of_queue = self.jobs.iter().filter(|job| job.queue == queue);
        let (mut earned, mut owed) = (0.0, 0.0);
        for job in of_queue {
            owed += job.worth;
            let took = self.world.ended_at.get(&job.id).map(|over| over - job.at);
            earned += match took {
                Some(took) if took <= job.objective => job.worth,
                Some(took) if took <= 3 * job.objective => job.worth * LATE,
                _ => 0.0,
            };
        }
        earned / owed
    }

    fn owed(&self) -> f64 {
        self.jobs.iter().map(|job| job.worth).sum()
    }

    /// Share of the worth over all queues.
    pub fn credit_of_all(&self) -> f64 {
        let queues = self.site.demands.map(|demand| demand.queue);
        let owed = |queue: &str| {
            self.jobs.iter().filter(|job| job.queue == queue).map(|job| job.worth).sum::<f64>()
        };
        queues.iter().map(|queue| self.credit(queue) * owed(queue)).sum::<f64>() / self.owed()
    }

    /// Share of the time that machines would spend in pools if none were ever moved.
    pub fn in_pools(&self) -> f64 {
        let machines: usize = self.site.demands.iter().map(|demand| demand.machines).sum();
        self.in_pools as f64 / (machines as u64 * self.length) as f64
    }

    /// What machines in pools and moves cost, against the worth of all jobs.
    pub fn price(&self) -> f64 {
        let seconds = self.in_pools as f64 / 1000.0 * self.site.machine_second;
        (seconds + self.world.moves as f64 * self.site.moved) / self.owed()
    }

    /// One line that says it all.
    pub fn summary(&self) -> String {
        let queues = self
            .site
            .demands
            .map(|demand| format!("{} {:.3}", demand.queue, self.credit(demand.queue)));
        format!(
            "{}; all {:.3}, in pools {:.3}, moves {}, price {:.3}, net {:.3}",
            queues.join(" "),
            self.credit_of_all(),
            self.in_pools(),
            self.world.moves,
            self.price(),
            self.credit_of_all() - self.price()
        )
    }
}
