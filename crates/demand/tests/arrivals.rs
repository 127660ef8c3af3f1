//! Plays arrivals with and without bursts, and checks how soon and how far the estimate follows.

use {demand::Arrivals, std::time::Duration};

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Jobs of this much work, one every `interval` milliseconds.
fn steady(arrivals: &mut Arrivals, from: u64, to: u64, interval: u64, work: u64) {
    for at in (from..to).step_by(interval as usize) {
        arrivals.record(ms(at), work);
    }
}

#[test]
fn a_steady_rate_is_estimated_well() {
    let mut arrivals = Arrivals::default();
    steady(&mut arrivals, 0, 5000, 25, 1000);
    let rate = arrivals.rate(ms(5000));
    assert!((36..=44).contains(&rate), "estimated {rate} of 40");
}

#[test]
fn a_burst_is_noticed_within_a_few_jobs() {
    let mut arrivals = Arrivals::default();
    steady(&mut arrivals, 0, 10_000, 1000, 1000);
    steady(&mut arrivals, 10_000, 10_300, 25, 1000);
    let rate = arrivals.rate(ms(10_300));
    assert!(rate >= 20, "estimated {rate} of 40 after 300 ms");
}

#[test]
fn the_end_of_a_burst_is_noticed_within_half_a_second() {
    let mut arrivals = Arrivals::default();
    steady(&mut arrivals, 0, 8000, 25, 1000);
    let rate = arrivals.rate(ms(8500));
    assert!(rate <= 4, "estimated {rate} after 500 ms without a job");
}

#[test]
fn a_single_large_job_is_no_burst() {
    let mut arrivals = Arrivals::default();
    steady(&mut arrivals, 0, 10_000, 500, 1000);
    arrivals.record(ms(10_000), 20_000);
    let rate = arrivals.rate(ms(10_050));
    assert!(rate <= 13, "estimated {rate} for one job of 20000 in 2 s");
}

#[test]
fn nothing_is_estimated_from_nothing() {
    assert_eq!(Arrivals::default().rate(ms(1000)), 0);
}

/// Guards against capacity ordered for the present rate while a burst still rises.
#[test]
fn a_rise_is_expected_to_go_on_at_most_twice_as_high() {
    let mut arrivals = Arrivals::default();
    steady(&mut arrivals, 0, 9000, 100, 1000);
    steady(&mut arrivals, 9000, 9500, 25, 1000);
    steady(&mut arrivals, 9500, 10_000, 5, 1000);
    let (rate, expected) =
        (arrivals.rate(ms(10_000)), arrivals.expected_rate(ms(10_000), ms(1700)));
    assert!(expected > rate * 5 / 4, "expected {expected} after {rate}");
    assert!(expected <= rate * 2, "expected {expected} after {rate}");
}

/// Guards against moves for a rise that is chance.
#[test]
fn a_steady_rate_is_expected_to_stay() {
    let mut arrivals = Arrivals::default();
    steady(&mut arrivals, 0, 5000, 25, 1000);
    let (rate, expected) = (arrivals.rate(ms(5000)), arrivals.expected_rate(ms(5000), ms(1700)));
    assert_eq!(expected, rate);
}
