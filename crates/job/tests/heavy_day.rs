//! Simulates days of heavy load for two deployments. `JOB_DAYS=N cargo test -p job --test heavy_day
//! -- --nocapture` runs N seeds of each and prints the value earned and the cost.

mod world;

use world::day::{Day, Deployment};

/// Number of seeds per deployment that CI runs.
const SEEDS: u64 = 2;

fn run_day(deployment: &Deployment) -> Vec<Day> {
    let seeds = std::env::var("JOB_DAYS").ok().and_then(|seeds| seeds.parse().ok());
    let days: Vec<_> =
        (1..=seeds.unwrap_or(SEEDS)).map(|seed| Day::run_day(seed, deployment.clone())).collect();
    let mean = |value: fn(&Day) -> f64| days.iter().map(value).sum::<f64>() / days.len() as f64;
    for day in &days {
        println!("{}", day.summary());
    }
    println!(
        "{} cores per machine: earned {:.3}, in pools {:.3}, cost {:.3}, net {:.3}",
        deployment.machine_millicores / 1000,
        mean(Day::total_earned_share),
        mean(Day::relative_machine_time),
        mean(Day::cost_share),
        mean(|day| day.total_earned_share() - day.cost_share())
    );
    days
}

/// Minimum share of the value that is earned on each day.
const MIN_EARNED_SHARE: f64 = 0.85;

/// Minimum mean of this share over all days; both deployments require this score.
const MIN_MEAN_EARNED_SHARE: f64 = 0.95;

fn check_deployment(deployment: &Deployment) {
    let days = run_day(deployment);
    let mean = days.iter().map(Day::total_earned_share).sum::<f64>() / days.len() as f64;
    assert!(mean >= MIN_MEAN_EARNED_SHARE, "{mean:.3} of the value was earned");
    for (seed, day) in days.iter().enumerate() {
        let earned_share = day.total_earned_share();
        assert!(earned_share >= MIN_EARNED_SHARE, "seed {}: {}", seed + 1, day.summary());
        assert!(
            day.world.table.live.len() <= CONTINUOUS_JOBS,
            "seed {}: jobs are left over",
            seed + 1
        );
    }
}

/// Total capacity of the pools, in millicores, at each time that the scheduler logged it.
fn logged_capacities(day: &Day) -> Vec<u64> {
    let pools = day.world.notes.iter().filter(|note| note.what == "pool");
    let capacity = |why: &str| why.split([' ', ',']).nth(1)?.parse::<u64>().ok();
    let capacities: Vec<_> = pools.filter_map(|note| capacity(&note.why)).collect();
    capacities.chunks(4).map(|report| report.iter().sum()).collect()
}

#[test]
fn no_machine_is_counted_twice() {
    let day = &run_day(&Deployment::small_machines())[0];
    let all = day.world.machines.len() as u64 * Deployment::small_machines().machine_millicores;
    let max_counted = logged_capacities(day).into_iter().max().expect("pool balances are logged");
    assert!(max_counted <= all, "pools were counted with {max_counted} of {all} millicores");
}

/// Number of continuous jobs, which never end.
const CONTINUOUS_JOBS: usize = 12;

#[test]
fn most_value_of_a_burst_is_earned_on_small_machines() {
    check_deployment(&Deployment::small_machines());
}

#[test]
fn most_value_of_a_burst_is_earned_on_large_machines() {
    check_deployment(&Deployment::large_machines());
}
