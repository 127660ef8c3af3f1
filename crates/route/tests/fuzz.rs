//! Fuzzes the routing of several daemons with message loss and reordering, crashes, lost views, and
//! upstreams that come and go. Checks these invariants:
//!
//! - No upstream runs more requests at once than it has declared slots.
//! - A payout runs at most once.
//! - `NotRun` is reported only for requests that did not run.
//! - Each request gets exactly one final answer, and never the answer to another request.

mod world;

use {
    proptest::{
        prelude::*,
        test_runner::{Config, RngAlgorithm, TestRng, TestRunner},
    },
    route::{Command, Event, Report},
    std::{env, time::Duration},
    world::{Entry, World, announcement},
};

const DAEMONS: usize = 3;

const UPSTREAMS: usize = 2;

const SLOTS: u32 = 2;

/// Number of cases by default, as in CI; `SARDINEVALVE_FUZZ_CASES` overrides it.
const CASES: u32 = 1000;

/// Time after the last action within which every request must have its final answer: longer than
/// the deadline of 2 s.
const COMPLETION_TIMEOUT: Duration = Duration::from_secs(5);

/// A step of a case. Indices of messages and attempts are taken modulo their current number.
#[derive(Debug, Clone)]
enum Action {
    Payout {
        daemon: usize,
        key: u8,
    },
    Quote {
        daemon: usize,
    },
    Commit,
    Apply(usize),
    Deliver(usize),
    LoseMessage(usize),
    /// Let this many milliseconds pass.
    Advance(u64),
    /// Let an attempt reach its upstream.
    ReachUpstream(usize),
    /// End an attempt with one of the four reports in `perform`.
    End(usize, u8),
    Crash(usize),
    /// Give a daemon a view of the configuration, or take it away.
    SetView(usize, bool),
    /// Propose to add a daemon to the roster.
    Join(usize),
    /// Propose to remove a daemon from the roster.
    Part(usize),
    /// Propose that an upstream accepts no new requests.
    StopServing(usize),
    /// Propose that an upstream accepts requests.
    Announce(usize),
    /// Commit, apply and deliver everything.
    Settle,
}

fn action() -> impl Strategy<Value = Action> {
    let daemon = || 0..DAEMONS;
    prop_oneof![
        6 => (daemon(), 0u8..6).prop_map(|(daemon, key)| Action::Payout { daemon, key }),
        4 => daemon().prop_map(|daemon| Action::Quote { daemon }),
        6 => Just(Action::Commit),
        8 => daemon().prop_map(Action::Apply),
        10 => any::<usize>().prop_map(Action::Deliver),
        1 => any::<usize>().prop_map(Action::LoseMessage),
        6 => (0u64..400).prop_map(Action::Advance),
        6 => any::<usize>().prop_map(Action::ReachUpstream),
        5 => (any::<usize>(), 0u8..4).prop_map(|(sent, report)| Action::End(sent, report)),
        1 => daemon().prop_map(Action::Crash),
        2 => (daemon(), prop::bool::weighted(0.8)).prop_map(|(it, view)| Action::SetView(it, view)),
        2 => daemon().prop_map(Action::Join),
        1 => daemon().prop_map(Action::Part),
        1 => (0..UPSTREAMS).prop_map(Action::StopServing),
        1 => (0..UPSTREAMS).prop_map(Action::Announce),
        2 => Just(Action::Settle),
    ]
}

fn start() -> World {
    let mut world = World::new(DAEMONS);
    world.settle();
    for upstream in 0..UPSTREAMS {
        announce(&mut world, upstream);
    }
    world.settle();
    world
}

fn announce(world: &mut World, upstream: usize) {
    let (name, rack) = (format!("bank-{upstream}"), format!("rack-{upstream}"));
    world.slots.insert(name.as_str().into(), SLOTS);
    world.proposals.push_back(Entry::Serving(announcement(&name, &rack, SLOTS)));
}

fn perform(world: &mut World, number: usize, action: &Action) {
    match *action {
        Action::Payout { daemon, key } => {
            world.pay(daemon, &format!("key-{key}"), &format!("payout {key}"));
        }
        Action::Quote { daemon } => {
            world.send(daemon, "shop", "quote", None, "/", &format!("quote {number}"));
        }
        Action::Commit => {
            world.commit();
        }
        Action::Apply(daemon) => {
            world.apply(daemon);
        }
        Action::Deliver(index) => {
            let index = index % world.messages.len().max(1);
            world.deliver(index);
        }
        Action::LoseMessage(index) => {
            let index = index % world.messages.len().max(1);
            world.messages.remove(index);
        }
        Action::Advance(millis) => advance(world, Duration::from_millis(millis)),
        Action::ReachUpstream(index) if !world.attempts.is_empty() => {
            world.reach_upstream(index % world.attempts.len());
        }
        Action::End(index, report) if !world.attempts.is_empty() => {
            let reports = [Report::Answered, Report::Answered, Report::Broken, Report::Late];
            world.end_at(index % world.attempts.len(), reports[usize::from(report)]);
        }
        Action::Crash(daemon) => world.crash(daemon),
        Action::SetView(daemon, view) => world.set_view(daemon, view),
        Action::Join(daemon) if world.daemons[daemon].view => world.join(daemon),
        Action::Part(daemon) => part(world, daemon),
        Action::StopServing(upstream) => {
            let name = format!("bank-{upstream}");
            world.proposals.push_back(Entry::NotServing(name.as_str().into()));
        }
        Action::Announce(upstream) => announce(world, upstream),
        Action::Settle => world.settle(),
        _ => {}
    }
}

/// Advances the time in small steps, so that leases and deadlines expire in order.
fn advance(world: &mut World, time: Duration) {
    let until = world.now + time;
    while world.now < until {
        let step = Duration::from_millis(10).min(until - world.now);
        world.advance(step);
        world.time_out();
        world.expire_views();
    }
}

/// Removes a daemon from the roster. It loses its view first, since the leader proposes this only
/// once the view has expired.
fn part(world: &mut World, daemon: usize) {
    world.set_view(daemon, false);
    let it = &world.daemons[daemon];
    let command = Command::Part { daemon: it.name.clone(), boot: it.boot };
    world.proposals.push_back(Entry::Route(command));
    let view = Event::View(false);
    world.reduce(daemon, view);
}

fn check(actions: &[Action]) {
    let mut world = start();
    for (number, action) in actions.iter().enumerate() {
        perform(&mut world, number, action);
        world.expire_views();
    }
    advance(&mut world, COMPLETION_TIMEOUT);
    for (send, body) in &world.sent_bodies {
        let is_up = world.daemons[send.0].boot == send.1;
        assert!(!is_up || world.answers.contains_key(send), "{body} got no final answer");
        assert!(
            world.received_bodies.get(send).is_none_or(|own| own == body),
            "{body} got the answer to another request"
        );
    }
}

#[test]
fn invariants_hold_under_faults() {
    let cases = env::var("SARDINEVALVE_FUZZ_CASES").ok().and_then(|cases| cases.parse().ok());
    let config = Config {
        cases: cases.unwrap_or(CASES),
        failure_persistence: None,
        max_shrink_iters: 20_000,
        ..Config::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let strategy = prop::collection::vec(action(), 1..200);
    let result = runner.run(&strategy, |actions| {
        check(&actions);
        Ok(())
    });
    if let Err(error) = result {
        panic!("{error}");
    }
}

/// Guards against a daemon releasing a slot that is in use. A request runs on a slot that was
/// passed on to it, and the slot is then passed on to a second request. If the broker's grant for
/// the first request arrives only now, returning it as unused would free the slot that the second
/// request uses.
#[test]
fn late_grant_does_not_free_a_slot_that_was_passed_on() {
    use Action::*;
    check(&[
        SetView(0, true),
        Payout { daemon: 2, key: 0 },
        Quote { daemon: 0 },
        Deliver(0),
        Deliver(0),
        Commit,
        Commit,
        Advance(114),
        SetView(1, false),
        End(0, 0),
        Quote { daemon: 0 },
        Deliver(0),
        Advance(306),
        Advance(331),
        Deliver(7_391_241_489_312_349_704),
        ReachUpstream(0),
        End(0, 0),
        Deliver(4_653_796_807_266_686_908),
        LoseMessage(9_954_985_140_563_689_950),
        Payout { daemon: 0, key: 1 },
        Settle,
        ReachUpstream(7_215_917_511_582_967_563),
        ReachUpstream(4_212_923_466_758_953_787),
        End(11_273_130_467_436_047_161, 0),
        ReachUpstream(2_993_264_479_946_384_477),
    ]);
}
