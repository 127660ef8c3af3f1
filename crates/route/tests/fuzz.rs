//! Dispatchers of several daemons under loss, reordering, crashes, lapsed views and upstreams that
//! come and go, against an oracle: slots never above what was declared, payouts at most once,
//! `not-run` only of what did not run, one final answer for each request, and that its own.

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

/// Cases in CI; `SARDINEVALVE_FUZZ_CASES` sets another number.
const CASES: u32 = 1000;

/// Time after which every request has its final answer.
const END: Duration = Duration::from_secs(5);

/// A step of the test; numbers are taken modulo what there is.
#[derive(Debug, Clone)]
enum Action {
    Payout { daemon: usize, key: u8 },
    Quote { daemon: usize },
    Commit,
    Apply(usize),
    Deliver(usize),
    Lose(usize),
    Pass(u64),
    Reach(usize),
    End(usize, u8),
    Crash(usize),
    Look(usize, bool),
    Join(usize),
    Part(usize),
    Leave(usize),
    Announce(usize),
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
        1 => any::<usize>().prop_map(Action::Lose),
        6 => (0u64..400).prop_map(Action::Pass),
        6 => any::<usize>().prop_map(Action::Reach),
        5 => (any::<usize>(), 0u8..4).prop_map(|(flight, report)| Action::End(flight, report)),
        1 => daemon().prop_map(Action::Crash),
        2 => (daemon(), prop::bool::weighted(0.8)).prop_map(|(it, view)| Action::Look(it, view)),
        2 => daemon().prop_map(Action::Join),
        1 => daemon().prop_map(Action::Part),
        1 => (0..UPSTREAMS).prop_map(Action::Leave),
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

fn act(world: &mut World, number: usize, action: &Action) {
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
        Action::Lose(index) => {
            let index = index % world.messages.len().max(1);
            world.messages.remove(index);
        }
        Action::Pass(millis) => pass(world, Duration::from_millis(millis)),
        Action::Reach(index) if !world.flights.is_empty() => {
            world.reach(index % world.flights.len());
        }
        Action::End(index, report) if !world.flights.is_empty() => {
            let reports = [Report::Answered, Report::Answered, Report::Broken, Report::Late];
            world.end_at(index % world.flights.len(), reports[usize::from(report)]);
        }
        Action::Crash(daemon) => world.crash(daemon),
        Action::Look(daemon, view) => world.look(daemon, view),
        Action::Join(daemon) if world.daemons[daemon].view => world.join(daemon),
        Action::Part(daemon) => part(world, daemon),
        Action::Leave(upstream) => {
            let name = format!("bank-{upstream}");
            world.proposals.push_back(Entry::Gone(name.as_str().into()));
        }
        Action::Announce(upstream) => announce(world, upstream),
        Action::Settle => world.settle(),
        _ => {}
    }
}

/// Has time pass in steps, so that leases and deadlines end in order.
fn pass(world: &mut World, time: Duration) {
    let until = world.now + time;
    while world.now < until {
        let step = Duration::from_millis(10).min(until - world.now);
        world.pass(step);
        world.time_out();
        world.lapse();
    }
}

/// The leader parts a daemon only once its view has lapsed.
fn part(world: &mut World, daemon: usize) {
    world.look(daemon, false);
    let it = &world.daemons[daemon];
    let command = Command::Part { daemon: it.name.clone(), boot: it.boot };
    world.proposals.push_back(Entry::Route(command));
    let view = Event::View(false);
    world.reduce(daemon, view);
}

fn check(actions: &[Action]) {
    let mut world = start();
    for (number, action) in actions.iter().enumerate() {
        act(&mut world, number, action);
        world.lapse();
    }
    pass(&mut world, END);
    for (send, body) in &world.sent {
        let lives = world.daemons[send.0].boot == send.1;
        assert!(!lives || world.answers.contains_key(send), "{body} got no final answer");
        assert!(world.bodies.get(send).is_none_or(|own| own == body), "{body} got another's");
    }
}

#[test]
fn dispatchers_keep_their_promises_under_faults() {
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

/// A late grant for a request that had run on a passed slot handed back the slot of the next one.
#[test]
fn late_grant_does_not_free_a_slot_that_was_passed_on() {
    use Action::*;
    check(&[
        Look(0, true),
        Payout { daemon: 2, key: 0 },
        Quote { daemon: 0 },
        Deliver(0),
        Deliver(0),
        Commit,
        Commit,
        Pass(114),
        Look(1, false),
        End(0, 0),
        Quote { daemon: 0 },
        Deliver(0),
        Pass(306),
        Pass(331),
        Deliver(7_391_241_489_312_349_704),
        Reach(0),
        End(0, 0),
        Deliver(4_653_796_807_266_686_908),
        Lose(9_954_985_140_563_689_950),
        Payout { daemon: 0, key: 1 },
        Settle,
        Reach(7_215_917_511_582_967_563),
        Reach(4_212_923_466_758_953_787),
        End(11_273_130_467_436_047_161, 0),
        Reach(2_993_264_479_946_384_477),
    ]);
}
