//! Compares the dispatch policies with each other and with a central queue without delays, for the
//! same arrivals and on simulated time.

use super::*;

/// Number of daemons that dispatch.
const DAEMONS: usize = 10;

/// Slots that an upstream declares.
const SLOTS: u32 = 8;

/// Upstreams in a rack.
const UPSTREAMS_PER_RACK: usize = 4;

/// Factors by which upstreams are slower than their operators assume.
const SLOWNESS: RangeInclusive<f64> = 0.5..=2.0;

/// Name of the central queue in the column of policies.
const IDEAL: &str = "ideal";

/// Requests that may be queued for a service.
const QUEUE_LIMIT: u32 = 100_000;

const POLICIES: [route::Policy; 4] = [
    route::Policy::EvenSplit,
    route::Policy::TwoChoices,
    route::Policy::LeastLoaded,
    route::Policy::Broker,
];

/// Runs the central queue and every policy on the arrivals of each seed.
pub(crate) fn run(seeds: &[u64], delay: Duration) -> eyre::Result<()> {
    let mut all = Vec::new();
    for seed in seeds {
        all.push(simulate(None, *seed, Duration::ZERO)?);
        for policy in POLICIES {
            all.push(simulate(Some(policy), *seed, delay)?);
        }
    }
    for figures in &all {
        println!("{}", serde_json::to_string(figures)?);
    }
    print_table(&all);
    Ok(())
}

/// Runs one policy, or the central queue for `None`: a single daemon that has no delays.
fn simulate(
    policy: Option<route::Policy>,
    seed: u64,
    delay: Duration,
) -> eyre::Result<DispatchFigures> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let upstreams = upstreams(&mut rng);
    let slots: Vec<u32> = (0..SERVICES)
        .map(|number| {
            let own = upstreams.iter().filter(|it| it.announcement.service == service(number));
            own.map(|it| it.announcement.slots).sum()
        })
        .collect();
    let arrivals = arrival::arrivals(&mut rng, &slots, DAEMONS);
    let count = if policy.is_some() { DAEMONS } else { 1 };
    let daemons = (0..count)
        .map(|number| route::State::new(simulation::name(number), 1, policy.unwrap_or_default()))
        .collect();
    let label = policy.map_or_else(|| IDEAL.to_owned(), |policy| policy.to_string());
    let figures = DispatchFigures::new(&label, seed, delay)?;
    let config = Arc::new(config());
    Ok(Simulation::new(daemons, upstreams, arrivals, delay, figures).run(&config))
}

/// 8 to 12 upstreams for each service, of random speed.
fn upstreams(rng: &mut ChaCha8Rng) -> Vec<Upstream> {
    let mut upstreams = Vec::new();
    for number in 0..SERVICES {
        for _ in 0..rng.random_range(8..=12) {
            let index = upstreams.len();
            let announcement = announcement(index, number);
            upstreams.push(Upstream::new(
                announcement,
                index % DATA_CENTERS,
                rng.random_range(SLOWNESS),
            ));
        }
    }
    upstreams
}

/// Announcement of the upstream `index`, which serves the service `number`.
pub(crate) fn announcement(index: usize, number: usize) -> Announcement {
    let (data_center, rack) = (index % DATA_CENTERS, index / UPSTREAMS_PER_RACK);
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

/// Configuration with all services and kinds of requests.
pub(crate) fn config() -> Config {
    let kind = |class: &Class| Kind {
        idempotent: class.name != "payout",
        weight: class.weight,
        deadline: class.deadline,
    };
    Config {
        services: (0..SERVICES).map(|it| (service(it), Service { queue: QUEUE_LIMIT })).collect(),
        kinds: CLASSES.iter().map(|class| (class.name.into(), kind(class))).collect(),
        ..Config::default()
    }
}

fn print_table(all: &[DispatchFigures]) {
    println!(
        "\n| seed | policy | worth in time | of ideal | answered | refused | unknown | p50 ms | p99 ms | p999 ms | slots in use | refused when full |"
    );
    println!("|---|---|---|---|---|---|---|---|---|---|---|---|");
    for figures in all {
        let ideal = all.iter().find(|it| it.seed == figures.seed && it.policy == IDEAL);
        let share = ideal.map_or(0.0, |ideal| figures.worth as f64 / ideal.worth as f64 * 100.0);
        println!(
            "| {} | {} | {} | {share:.1}% | {} | {} | {} | {:.1} | {:.1} | {:.1} | {:.1}% | {} |",
            figures.seed,
            figures.policy,
            figures.worth,
            figures.answered,
            figures.refused,
            figures.unknown,
            figures.p50_ms,
            figures.p99_ms,
            figures.p999_ms,
            figures.slots_in_use * 100.0,
            figures.overfull,
        );
    }
}
