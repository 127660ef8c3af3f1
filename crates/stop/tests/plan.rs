//! Phases and deadlines of a stop.

use {
    model::Time,
    std::time::Duration,
    stop::{Limits, Phase, Plan},
};

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Time of the signal.
const ASKED_AT: Time = Time::from_secs(100);

fn plan(grace: Option<Duration>) -> Plan {
    Plan::new(ASKED_AT, Limits { serving: ms(2600), draining: ms(100), grace })
}

#[test]
fn callers_are_served_until_the_balancer_has_redirected_them() {
    let plan = plan(Some(ms(6000)));
    let phases = [0, 2599, 2600, 5699, 5700].map(|at| plan.phase(ASKED_AT + ms(at)));
    use Phase::{Draining, Over, Serving};
    assert_eq!(phases, [Serving, Serving, Draining, Draining, Over]);
}

#[test]
fn the_process_stays_while_a_request_is_unanswered() {
    let plan = plan(Some(ms(6000)));
    let may_end = |at, unanswered| plan.may_end(ASKED_AT + ms(at), unanswered);
    assert!(!may_end(2599, 0), "connections are still taken");
    assert!(!may_end(2699, 0), "requests may be on their way");
    assert!(may_end(2700, 0));
    assert!(!may_end(5699, 1));
    assert!(may_end(5700, 1), "the platform is about to kill the process");
}

#[test]
fn a_process_that_is_not_killed_waits_for_every_answer() {
    let plan = plan(None);
    assert_eq!((plan.call_deadline(), plan.end()), (None, None));
    assert!(!plan.may_end(ASKED_AT + ms(3_600_000), 1));
    assert!(plan.may_end(ASKED_AT + ms(2700), 0));
    assert_eq!(plan.bound(ms(1_000_000)), ms(1_000_000));
}

#[test]
fn calls_end_before_the_process_and_the_process_before_it_is_killed() {
    for grace in (0..60_000).step_by(50).map(ms) {
        let plan = plan(Some(grace));
        let deadline = plan.call_deadline().expect("the process is killed");
        let end = plan.end().expect("the process is killed");
        assert!(ASKED_AT <= plan.drains_at() && plan.drains_at() <= deadline, "{grace:?}");
        assert!(deadline <= end && end <= ASKED_AT + grace, "{grace:?}");
        assert!(grace.is_zero() || deadline < end && end < ASKED_AT + grace, "{grace:?}");
        assert_eq!(plan.bound(end), deadline, "{grace:?}");
        assert_eq!(plan.bound(ASKED_AT), ASKED_AT.min(deadline), "{grace:?}");
    }
}
