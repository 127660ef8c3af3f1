//! Compares the maintenance planner with batches of a fixed size, in process and on the same trace.

use {
    super::*,
    ::fleet::{Action, Command as Order, Edit, Phase, Planner, Progress, State, Step, Tally},
    model::{Announcement, Labels, Location, Name},
    rand::{Rng, SeedableRng},
    rand_chacha::ChaCha8Rng,
};

/// A fleet to maintain, by the installation whose size it has.
#[derive(Debug, Clone, Copy)]
pub(crate) enum Size {
    /// 50 instances of 5 services in 3 data centres, with few slots to spare: at most 10% of a data
    /// centre down at once
    Okafor,
    /// 50 instances of 5 services in 3 data centres, with quick waves: at most 20% of a data centre
    /// down at once
    Dalagrant,
    /// 660 instances of 80 pools in 5 data centres
    Planned,
}

/// Arguments of the experiment.
#[derive(Debug, Clone, Args)]
pub(crate) struct Waves {
    /// Seed of the trace
    #[arg(long, default_value_t = 1)]
    seed: u64,
}

/// How instances are selected for maintenance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Policy {
    /// The planner decides.
    Planner,
    /// A batch of this size starts once all instances of the previous one are back.
    Batches(usize),
}

/// Result of one wave.
#[derive(Debug, Serialize)]
struct Figures {
    fleet: String,
    policy: String,
    seed: u64,
    seconds: u64,
    bound_seconds: u64,
    over_bound_percent: f64,
    done: usize,
    refused: usize,
    pass_p99_us: u64,
    pass_max_us: u64,
}

/// Time between two passes of the planner.
const PASS_INTERVAL: Duration = Duration::from_secs(1);

/// Number of passes after which the simulation of a wave is aborted.
const MAX_PASSES: u32 = 200_000;

/// Time that an instance takes to drain, in seconds.
const DRAIN_S: std::ops::Range<u64> = 2..8;
/// Time that an instance takes to reboot, in seconds.
const REBOOT_S: std::ops::Range<u64> = 60..120;

/// A fleet under maintenance, on simulated time.
struct SimulatedFleet {
    state: State,
    now: Duration,
    /// Time to drain and time to reboot of each instance.
    times: BTreeMap<Name, (Duration, Duration)>,
    /// When the present phase of each instance began, and whether it is the reboot.
    phase_began: BTreeMap<Name, (bool, Duration)>,
    /// Grants that the state refused, since a budget did not allow them.
    refused: usize,
}

pub(crate) fn run(settings: &Waves) -> eyre::Result<()> {
    println!("| fleet | policy | wave | bound | over | refused | pass p99 | pass max |");
    println!("|---|---|---|---|---|---|---|---|");
    for size in [Size::Okafor, Size::Dalagrant, Size::Planned] {
        for policy in [Policy::Planner, Policy::Batches(size.batch())] {
            let figures = simulate(size, policy, settings.seed)?;
            println!(
                "| {} | {} | {} s | {} s | {:.1}% | {} | {} us | {} us |",
                figures.fleet,
                figures.policy,
                figures.seconds,
                figures.bound_seconds,
                figures.over_bound_percent,
                figures.refused,
                figures.pass_p99_us,
                figures.pass_max_us,
            );
            eprintln!("{}", serde_json::to_string(&figures)?);
        }
    }
    Ok(())
}

impl Size {
    /// Numbers of instances, pools and data centres.
    fn numbers(self) -> (usize, usize, usize) {
        match self {
            Self::Okafor | Self::Dalagrant => (50, 5, 3),
            Self::Planned => (660, 80, 5),
        }
    }

    /// Largest batch that every budget of the fleet allows, whichever instances are in it.
    fn batch(self) -> usize {
        match self {
            Self::Okafor => 1,
            Self::Dalagrant | Self::Planned => 2,
        }
    }

    fn config(self) -> String {
        let (_, pools, data_centers) = self.numbers();
        let share = if matches!(self, Self::Okafor) { "10%" } else { "20%" };
        let mut text = String::from("[policy]\nsoak-ms = 10000\nmax-failures = 100\n");
        for pool in 0..pools {
            text += &format!("[pool p{pool}]\nselector = pool-label=p{pool}\n");
            text += &format!("[budget p{pool}]\nselector = pool=p{pool}\nmax-unavailable = ");
            text += if matches!(self, Self::Planned) { "2\nreserve = 1\n" } else { "2\n" };
        }
        for number in 0..data_centers {
            text += &format!("[budget dc-{number}]\nselector = data-center=dc-{number}\n");
            text += &format!("max-unavailable = {share}\n");
        }
        text
    }
}

impl SimulatedFleet {
    fn new(size: Size, seed: u64) -> eyre::Result<Self> {
        let (instances, pools, data_centers) = size.numbers();
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut state = State::default();
        let mut times = BTreeMap::new();
        for number in 0..instances {
            let announcement = announcement(number, pools, data_centers);
            let seconds = |range| Duration::from_secs(range);
            let drain = seconds(rng.random_range(DRAIN_S));
            let reboot = seconds(rng.random_range(REBOOT_S));
            times.insert(announcement.instance.clone(), (drain, reboot));
            state.apply(Order::Announce(announcement));
        }
        let config = settings::config("waves", &size.config())?;
        let (request, author) = ("config".into(), "bench".into());
        state.apply(Order::Change(::fleet::Change { request, author, base: 0, config }));
        let now = Duration::ZERO;
        Ok(Self { state, now, times, phase_began: BTreeMap::new(), refused: 0 })
    }

    fn step(&mut self, instance: &Name, action: Action) {
        let Some(upstream) = self.state.upstreams().get(instance) else { return };
        let step = Step { instance: instance.clone(), epoch: upstream.epoch, action, at: self.now };
        self.state.apply(Order::Step(step));
    }

    /// Reports the instances whose time to drain or reboot is over.
    fn advance_instances(&mut self) {
        let names: Vec<_> = self.times.keys().cloned().collect();
        for name in names {
            let upstream = &self.state.upstreams()[&name];
            let phase = upstream.grant.as_ref().map(|grant| grant.phase.clone());
            let (drain, reboot) = self.times[&name];
            match phase {
                Some(Phase::Draining) if self.phase_over(&name, false, drain) => {
                    self.step(&name, Action::Drained);
                }
                Some(Phase::Rebooting { .. }) if self.phase_over(&name, true, reboot) => {
                    let mut announcement = announcement_of(&self.state, &name);
                    announcement.incarnation += 1;
                    self.state.apply(Order::Announce(announcement));
                }
                _ => {}
            }
        }
    }

    /// Whether the present phase of an instance, the reboot or the drain, has lasted for `time`.
    fn phase_over(&mut self, name: &Name, reboots: bool, time: Duration) -> bool {
        let began = self.phase_began.entry(name.clone()).or_insert((reboots, self.now));
        if began.0 != reboots {
            *began = (reboots, self.now);
        }
        self.now >= began.1 + time
    }

    /// Lower bound of the duration of a wave, in whatever order: for each budget, the total
    /// maintenance time of its instances divided by the number that may be down at once.
    fn lower_bound(&self) -> Duration {
        let soak = self.state.config().policy.soak;
        let work = |name: &Name| self.times[name].0 + self.times[name].1 + soak;
        let tally = Tally::count(&self.state);
        let bounds = self.state.config().budgets.iter().map(|(name, budget)| {
            let selected = self.state.upstreams().iter();
            let selected = selected.filter(|(_, upstream)| upstream.budgets.contains(name));
            let total: Duration = selected.map(|(instance, _)| work(instance)).sum();
            total / tally.get(name).disruption_limit(budget).max(1)
        });
        let longest = self.times.keys().map(work).max().unwrap_or_default();
        bounds.max().unwrap_or_default().max(longest)
    }

    /// Starts the next batch once all instances of the previous one are back.
    fn start_batch(&mut self, size: usize) {
        let wave = &self.state.waves()["w"];
        if wave.count(Progress::Granted) > 0 {
            return;
        }
        let waiting = wave.instances.iter().filter(|(_, p)| **p == Progress::Waiting);
        let batch: Vec<_> = waiting.take(size).map(|(name, _)| name.clone()).collect();
        for name in batch {
            self.step(&name, Action::Grant(::fleet::Purpose::Maintenance("w".into())));
            let granted = self.state.upstreams()[&name].grant.is_some();
            self.refused += usize::from(!granted);
        }
    }
}

fn simulate(size: Size, policy: Policy, seed: u64) -> eyre::Result<Figures> {
    let mut simulated = SimulatedFleet::new(size, seed)?;
    let bound = simulated.lower_bound();
    let selector = "instance".parse()?;
    let (request, author) = ("wave".into(), "bench".into());
    let edit = Edit::Start(selector);
    simulated.state.apply(Order::Maintain(::fleet::Order {
        request,
        author,
        wave: "w".into(),
        edit,
    }));
    let mut passes = hdrhistogram::Histogram::<u64>::new(3)?;
    for _ in 0..MAX_PASSES {
        if simulated.state.waves()["w"].standing.ended() {
            break;
        }
        simulated.state.apply(Order::Tick { at: simulated.now });
        let started = Instant::now();
        let plan = Planner::plan(&simulated.state, simulated.now);
        passes.record(started.elapsed().as_micros() as u64)?;
        let grants = policy == Policy::Planner;
        for command in plan.into_iter().filter(|command| grants || !is_grant(command)) {
            simulated.state.apply(command);
        }
        if let Policy::Batches(size) = policy {
            simulated.start_batch(size);
        }
        simulated.advance_instances();
        simulated.now += PASS_INTERVAL;
    }
    let wave = &simulated.state.waves()["w"];
    let seconds = wave.ended.unwrap_or(simulated.now).saturating_sub(wave.started).as_secs();
    Ok(Figures {
        fleet: format!("{size:?}").to_lowercase(),
        policy: match policy {
            Policy::Planner => "planner".into(),
            Policy::Batches(size) => format!("batches of {size}"),
        },
        seed,
        seconds,
        bound_seconds: bound.as_secs(),
        over_bound_percent: 100.0 * (seconds as f64 / bound.as_secs_f64() - 1.0),
        done: wave.count(Progress::Done),
        refused: simulated.refused,
        pass_p99_us: passes.value_at_quantile(0.99),
        pass_max_us: passes.max(),
    })
}

fn is_grant(command: &Order) -> bool {
    matches!(command, Order::Step(Step { action: Action::Grant(_), .. }))
}

fn announcement_of(state: &State, name: &Name) -> Announcement {
    state.upstreams()[name].announcement.clone()
}

fn announcement(number: usize, pools: usize, data_centers: usize) -> Announcement {
    let mut labels = Labels::default();
    labels.set("pool-label".into(), format!("p{}", number % pools).into());
    let rack = number / 4;
    Announcement {
        instance: format!("i-{number:03}").into(),
        service: format!("s{}", number % pools).into(),
        address: "127.0.0.1:1".into(),
        slots: 8,
        connections: 64,
        incarnation: 1,
        location: Location {
            region: "r".into(),
            data_center: format!("dc-{}", rack % data_centers).into(),
            rack: format!("rack-{rack}").into(),
        },
        labels,
    }
}
