//! Heavy days of two deployments. `JOB_DAYS=N cargo test -p job --test heavy_day -- --nocapture` plays N
//! seeds of each and prints what callers get and what it costs.

mod world;

use world::day::{Day, Site};

/// Seeds of each deployment that CI plays.
const SEEDS: u64 = 2;

fn play(site: &Site) -> Vec<Day> {
    let seeds = std::env::var("JOB_DAYS").ok().and_then(|seeds| seeds.parse().ok());
    let days: Vec<_> =
        (1..=seeds.unwrap_or(SEEDS)).map(|seed| Day::play(seed, site.clone())).collect();
    let mean = |value: fn(&Day) -> f64| days.iter().map(value).sum::<f64>() / days.len() as f64;
    for day in &days {
        println!("{}", day.summary());
    }
    println!(
        "{} cores a machine: credit {:.3}, in pools {:.3}, price {:.3}, net {:.3}",
        site.machine_millicores / 1000,
        mean(Day::credit_of_all),
        mean(Day::in_pools),
        mean(Day::price),
        mean(|day| day.credit_of_all() - day.price())
    );
    days
}

/// Least share of the worth of all jobs that callers get in time.
const LEAST_CREDIT: f64 = 0.85;

/// What the days get on average: the score that both deployments ask for.
const MEAN_CREDIT: f64 = 0.95;

fn check(site: &Site) {
    let days = play(site);
    let mean = days.iter().map(Day::credit_of_all).sum::<f64>() / days.len() as f64;
    assert!(mean >= MEAN_CREDIT, "{mean:.3} of the worth was earned");
    for (seed, day) in days.iter().enumerate() {
        let credit = day.credit_of_all();
        assert!(credit >= LEAST_CREDIT, "seed {}: {}", seed + 1, day.summary());
        assert!(day.world.table.live.len() <= LASTING, "seed {}: jobs are left over", seed + 1);
    }
}

/// Processors that the pools have together, each time that the owner has reported them.
fn reported(day: &Day) -> Vec<u64> {
    let pools = day.world.notes.iter().filter(|note| note.what == "pool");
    let capacity = |why: &str| why.split([' ', ',']).nth(1)?.parse::<u64>().ok();
    let capacities: Vec<_> = pools.filter_map(|note| capacity(&note.why)).collect();
    capacities.chunks(4).map(|report| report.iter().sum()).collect()
}

#[test]
fn no_machine_counts_twice() {
    let day = &play(&Site::small_machines())[0];
    let all = day.world.machines.len() as u64 * Site::small_machines().machine_millicores;
    let most = reported(day).into_iter().max().expect("pools are reported");
    assert!(most <= all, "pools were taken to have {most} thousandths of a processor of {all}");
}

/// Lasting jobs, which never end.
const LASTING: usize = 12;

#[test]
fn most_of_what_a_turn_asks_is_done_in_time_on_small_machines() {
    check(&Site::small_machines());
}

#[test]
fn most_of_what_a_turn_asks_is_done_in_time_on_large_machines() {
    check(&Site::large_machines());
}
