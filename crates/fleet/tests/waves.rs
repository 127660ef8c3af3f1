//! Maintenance waves and the availability budgets that limit them.

mod common;

use {
    common::World,
    fleet::{Action, Command, Edit, Effect, Phase, Planner, Progress, Purpose, Standing, Subject},
    std::time::Duration,
};

const CONFIG: &str = "\
[pool quotes]
selector = service=quotes
[budget quotes]
selector = pool=quotes
max-unavailable = 3
reserve = 1
[policy]
canary = 1
soak-ms = 1000
drain-timeout-ms = 60000
return-timeout-ms = 60000
";

fn world(count: usize) -> World {
    let mut world = World::default();
    world.add("quotes", count);
    world.configure(CONFIG);
    world
}

fn start(world: &mut World) -> String {
    world.order("w", Edit::Start("pool=quotes".parse().expect("selector is valid"))).to_string()
}

fn wave(world: &World) -> &fleet::Wave {
    &world.state.waves()["w"]
}

fn explain(world: &World) -> String {
    world.explain(&Subject::Wave("w".into()))
}

fn granted(world: &World) -> usize {
    world.state.upstreams().values().filter(|upstream| upstream.grant.is_some()).count()
}

#[test]
fn wave_maintains_every_instance_with_its_canary_first() {
    let mut world = world(5);
    assert_eq!(start(&mut world), "wave `w` is running, 5 instances to go");
    world.plan();
    assert_eq!(granted(&world), 1);
    world.run(40, |_| true);
    assert_eq!(wave(&world).standing, Standing::Finished);
    assert!(world.state.upstreams().values().all(|u| u.announcement.incarnation == 2));
}

#[test]
fn budget_holds_whoever_proposes() {
    let mut world = world(5);
    start(&mut world);
    world.lapse("quotes-4");
    let purpose = || Action::Grant(Purpose::Maintenance("w".into()));
    world.step("quotes-0", purpose());
    world.advance_grants(|_| true);
    world.advance_grants(|_| true);
    world.now += Duration::from_secs(2);
    world.step("quotes-0", Action::Release);
    assert_eq!(wave(&world).count(Progress::Done), 1);
    for instance in ["quotes-1", "quotes-2", "quotes-3"] {
        world.step(instance, purpose());
    }
    assert_eq!(granted(&world), 1);
    insta::assert_snapshot!(explain(&world).lines().last().unwrap(), @"2 s: not disrupted for maintenance in wave `w`: budget `quotes` allows 3 of 5 unavailable, 1 of them held in reserve: 1 down, 1 granted");
}

#[test]
fn reserve_is_kept_and_refusal_names_the_numbers() {
    let mut world = world(5);
    start(&mut world);
    world.lapse("quotes-3");
    world.lapse("quotes-4");
    world.plan();
    assert_eq!(granted(&world), 0);
    let wait = &Planner::waits(&world.state)["w"];
    insta::assert_snapshot!(wait.to_string(), @"waits with `quotes-0`: budget `quotes` allows 3 of 5 unavailable, 1 of them held in reserve: 2 down, 0 granted");
}

#[test]
fn failed_canary_stops_the_wave() {
    let mut world = world(5);
    start(&mut world);
    world.run(20, |_| false);
    assert_eq!(wave(&world).standing, Standing::Stopped);
    insta::assert_snapshot!(explain(&world), @r"
    0 s: started by `ada` over 5 instances
    0 s: granted maintenance in wave `w`: every budget stays intact
    0 s: drained, to be rebooted
    5 s: waits for its canary `quotes-0`
    60 s: did not come back from its reboot in time: counts as down
    60 s: stopped by itself: 1 returned instances failed
    ");
}

#[test]
fn departure_during_soak_time_counts_as_failure() {
    let mut world = world(5);
    start(&mut world);
    world.plan();
    world.advance_grants(|_| true);
    world.advance_grants(|_| true);
    let returned =
        |u: &&fleet::Upstream| u.grant.as_ref().is_some_and(|g| g.phase == Phase::Returned);
    let canary = world.state.upstreams().values().find(returned).unwrap();
    let canary = canary.announcement.instance.clone();
    world.lapse(&canary);
    assert_eq!(wave(&world).instances[&canary], Progress::Failed);
    assert_eq!(wave(&world).standing, Standing::Stopped);
    world.order("w", Edit::Resume);
    world.run(40, |_| true);
    assert_eq!(wave(&world).count(Progress::Done), 4);
    assert_eq!(wave(&world).standing, Standing::Finished);
}

#[test]
fn instance_that_never_comes_back_counts_as_down() {
    let mut world = world(5);
    start(&mut world);
    world.run(8, |name| name != "quotes-2");
    world.run(40, |name| name != "quotes-2");
    assert_eq!(wave(&world).instances["quotes-2"], Progress::Failed);
    assert!(!world.state.is_available(&world.state.upstreams()["quotes-2"]));
}

#[test]
fn new_leader_neither_repeats_a_reboot_nor_forgets_an_instance() {
    let mut world = world(5);
    start(&mut world);
    world.plan();
    world.advance_grants(|_| true);
    world.advance_grants(|_| false);
    let rebooting = world.state.clone();
    let plan = Planner::plan(&rebooting, world.now);
    assert!(!plan.iter().any(|command| matches!(command, Command::Step(_))));
    assert_eq!(granted(&world), 1);
    let accepted = |u: &fleet::Upstream| {
        u.grant.as_ref().is_some_and(|g| matches!(g.phase, Phase::Rebooting { accepted: true, .. }))
    };
    assert_eq!(rebooting.upstreams().values().filter(|u| accepted(u)).count(), 1);
}

#[test]
fn instance_that_does_not_drain_is_never_rebooted() {
    let mut world = world(2);
    start(&mut world);
    world.plan();
    world.now += Duration::from_secs(61);
    world.plan();
    assert_eq!(wave(&world).count(Progress::Skipped), 1);
    assert!(
        world.state.upstreams().values().all(|u| world.state.is_serving(u) || u.grant.is_some())
    );
}

#[test]
fn pause_stops_grants_until_resume() {
    let mut world = world(3);
    start(&mut world);
    world.order("w", Edit::Pause);
    world.run(5, |_| true);
    assert_eq!(wave(&world).count(Progress::Waiting), 3);
    world.order("w", Edit::Resume);
    world.run(30, |_| true);
    assert_eq!(wave(&world).standing, Standing::Finished);
}

#[test]
fn cancel_gives_draining_instances_back() {
    let mut world = world(3);
    start(&mut world);
    world.plan();
    let effects = world.apply(Command::Maintain(fleet::Order {
        request: "cancel".into(),
        author: "ada".into(),
        wave: "w".into(),
        edit: Edit::Cancel,
    }));
    assert!(effects.iter().any(|effect| matches!(effect, Effect::Serving(_))));
    assert_eq!(wave(&world).count(Progress::Skipped), 3);
}

#[test]
fn drained_instances_of_a_stopped_wave_are_not_rebooted() {
    let mut world = world(6);
    world.configure(&format!("{CONFIG}max-failures = 1\n"));
    start(&mut world);
    world.run(3, |_| true);
    world.plan();
    let draining = world.state.upstreams().values().filter(|upstream| upstream.is_draining());
    let draining: Vec<_> = draining.map(|u| u.announcement.instance.clone()).collect();
    let [first, second] = draining.as_slice() else { panic!("{draining:?}") };
    world.step(first, Action::Drained);
    world.announce(first, "quotes", 2);
    world.lapse(first);
    assert_eq!(wave(&world).standing, Standing::Stopped);
    world.step(second, Action::Drained);
    assert_eq!(wave(&world).instances[second], Progress::Waiting);
    assert!(world.state.is_available(&world.state.upstreams()[second]));
}

#[test]
fn schedule_maintains_every_instance_once_in_its_period() {
    let mut world = World::default();
    world.add("quotes", 10);
    world.configure(&format!("{CONFIG}period-ms = 4000000\n"));
    world.run(900, |_| true);
    assert!(world.now > Duration::from_secs(4000));
    assert!(world.state.upstreams().values().all(|u| u.announcement.incarnation >= 2));
}

#[test]
fn forgotten_instance_is_skipped() {
    let mut world = world(3);
    start(&mut world);
    world.lapse("quotes-1");
    world.run(20, |_| true);
    assert_eq!(
        wave(&world).wait.clone().unwrap().to_string(),
        "waits for `quotes-1`, which is down"
    );
    let (request, author) = ("f".into(), "ada".into());
    world.apply(Command::Forget { request, author, instance: "quotes-1".into() });
    assert_eq!(wave(&world).standing, Standing::Finished);
}

#[test]
fn wave_is_not_starved_by_later_ones() {
    let mut world = world(6);
    world.configure(&CONFIG.replace("reserve = 1", "reserve = 2"));
    world.order("z", Edit::Start("instance=quotes-5".parse().unwrap()));
    world.now += Duration::from_secs(1);
    world.apply(Command::Tick { at: world.now });
    world.order("a", Edit::Start("instance!=quotes-5".parse().unwrap()));
    world.plan();
    assert!(world.state.upstreams()["quotes-5"].grant.is_some());
    assert_eq!(granted(&world), 1);
    assert!(Planner::waits(&world.state).contains_key("a"));
}
