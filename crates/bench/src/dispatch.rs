//! Dispatch policies against each other and against one central queue without delays, on the same
//! arrivals and simulated time.

use super::*;

/// Daemons that dispatch.
const DAEMONS: usize = 10;

/// Slots that a runner declares.
const SLOTS: u32 = 8;

/// Runners in a rack.
const RUNNERS_PER_RACK: usize = 4;

/// Slowness of runners, against what their operators believe.
const SLOWNESS: RangeInclusive<f64> = 0.5..=2.0;

/// Name of the central queue in the figures.
const IDEAL: &str = "ideal";

/// Requests that may wait for a service.
const QUEUE: u32 = 100_000;

const POLICIES: [route::Policy; 4] = [
    route::Policy::EvenSplit,
    route::Policy::TwoChoices,
    route::Policy::LeastLoaded,
    route::Policy::Broker,
];

/// Runs every policy on the arrivals of each seed.
pub(crate) fn run(seeds: &[u64], delay: Duration) -> eyre::Result<()> {
    let mut tallies = Vec::new();
    for seed in seeds {
        tallies.push(simulate(None, *seed, Duration::ZERO)?);
        for policy in POLICIES {
            tallies.push(simulate(Some(policy), *seed, delay)?);
        }
    }
    for tally in &tallies {
        println!("{}", serde_json::to_string(tally)?);
    }
    print_table(&tallies);
    Ok(())
}

/// Runs one policy, or the central queue.
fn simulate(policy: Option<route::Policy>, seed: u64, delay: Duration) -> eyre::Result<Tally> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let runners = runners(&mut rng);
    let slots: Vec<u32> = (0..SERVICES)
        .map(|number| {
            let own = runners.iter().filter(|it| it.announcement.service == service(number));
            own.map(|it| it.announcement.slots).sum()
        })
        .collect();
    let arrivals = arrival::arrivals(&mut rng, &slots, DAEMONS);
    let count = if policy.is_some() { DAEMONS } else { 1 };
    let daemons = (0..count)
        .map(|number| route::State::new(simulation::name(number), 1, policy.unwrap_or_default()))
        .collect();
    let label = policy.map_or_else(|| IDEAL.to_owned(), |policy| policy.to_string());
    let tally = Tally::new(&label, seed, delay)?;
    let config = Arc::new(config());
    Ok(Simulation::new(daemons, runners, arrivals, delay, tally).run(&config))
}

fn runners(rng: &mut ChaCha8Rng) -> Vec<Runner> {
    let mut runners = Vec::new();
    for number in 0..SERVICES {
        for _ in 0..rng.random_range(8..=12) {
            let index = runners.len();
            let announcement = announcement(index, number);
            runners.push(Runner::new(
                announcement,
                index % DATA_CENTERS,
                rng.random_range(SLOWNESS),
            ));
        }
    }
    runners
}

pub(crate) fn announcement(index: usize, number: usize) -> Announcement {
    let (data_center, rack) = (index % DATA_CENTERS, index / RUNNERS_PER_RACK);
    Announcement {
        instance: format!("runner-{index}").into(),
        service: service(number),
        address: "127.0.0.1:1".into(),
        slots: SLOTS,
        connections: 64,
        incarnation: 1,
        location: Location {
            region: "region".into(),
            data_center: format!("data-center-{data_center}").into(),
            rack: format!("rack-{rack}").into(),
        },
        labels: Labels::default(),
    }
}

pub(crate) fn config() -> Config {
    let kind = |class: &Class| Kind {
        idempotent: class.name != "payout",
        weight: class.weight,
        deadline: class.deadline,
    };
    Config {
        services: (0..SERVICES).map(|it| (service(it), Service { queue: QUEUE })).collect(),
        kinds: CLASSES.iter().map(|class| (class.name.into(), kind(class))).collect(),
        ..Config::default()
    }
}

fn print_table(tallies: &[Tally]) {
    println!(
        "\n| seed | policy | worth in time | of ideal | answered | refused | unknown | p50 ms | p99 ms | p999 ms | slots in use | refused when full |"
    );
    println!("|---|---|---|---|---|---|---|---|---|---|---|---|");
    for tally in tallies {
        let ideal = tallies.iter().find(|it| it.seed == tally.seed && it.policy == IDEAL);
        let share = ideal.map_or(0.0, |ideal| tally.worth as f64 / ideal.worth as f64 * 100.0);
        println!(
            "| {} | {} | {} | {share:.1}% | {} | {} | {} | {:.1} | {:.1} | {:.1} | {:.1}% | {} |",
            tally.seed,
            tally.policy,
            tally.worth,
            tally.answered,
            tally.refused,
            tally.unknown,
            tally.p50_ms,
            tally.p99_ms,
            tally.p999_ms,
            tally.slots_in_use * 100.0,
            tally.overfull,
        );
    }
}
