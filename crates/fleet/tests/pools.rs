//! An instance belongs to at most one pool at a time.

mod common;

use {
    common::{World, announcement},
    fleet::{Action, Command, Effect, Phase, Subject, Verdict},
    model::Labels,
};

const CONFIG: &str =
    "[pool quotes]\nselector = service=quotes\n[pool spare]\nselector = tier=spare\n";

#[test]
fn change_that_gives_two_pools_is_refused_with_every_instance() {
    let mut world = World::default();
    world.add("quotes", 2);
    world.configure(CONFIG);
    let refused = world
        .configure("[pool quotes]\nselector = service=quotes\n[pool all]\nselector = region=r\n");
    insta::assert_snapshot!(refused.to_string(), @r"
    refused: an instance can only be in one pool
    instance `quotes-0` would be in pools `all`, `quotes`
    instance `quotes-1` would be in pools `all`, `quotes`
    ");
    assert_eq!(world.state.revision(), 1);
}

#[test]
fn announcement_that_matches_two_pools_is_kept_out_and_reported() {
    let mut world = World::default();
    world.configure(CONFIG);
    let mut both = announcement("quotes-0", "quotes", 1);
    both.labels = "tier=spare".parse::<Labels>().unwrap();
    let effects = world.apply(Command::Announce(both));
    assert!(!effects.iter().any(|effect| matches!(effect, Effect::Serving(_))));
    assert_eq!(world.pools(), [("quotes-0".into(), None)]);
    insta::assert_snapshot!(world.explain(&Subject::Instance("quotes-0".into())), @r"
    0 s: announced itself with incarnation 1
    0 s: kept out: instance `quotes-0` would be in pools `quotes`, `spare`
    ");
}

#[test]
fn labels_of_operators_win_over_announced_ones() {
    let mut world = World::default();
    let mut spare = announcement("billing-0", "billing", 1);
    spare.labels = "tier=spare".parse().unwrap();
    world.apply(Command::Announce(spare));
    world.configure(&format!("{CONFIG}[instance billing-0]\nlabels = tier=none\n"));
    assert_eq!(world.pools(), [("billing-0".into(), None)]);
}

#[test]
fn next_tenure_starts_only_after_the_former_is_drained() {
    let mut world = World::default();
    world.add("quotes", 1);
    world.configure(CONFIG);
    let moved = "[instance quotes-0]\nlabels = tier=spare, service=none\n";
    world.configure(&format!("{CONFIG}{moved}"));
    assert_eq!(world.pools(), [("quotes-0".into(), Some("quotes".into()))]);
    world.plan();
    let upstream = &world.state.upstreams()["quotes-0"];
    assert!(!world.state.is_serving(upstream));
    let former = upstream.tenure.clone().unwrap();
    let effects = world.step("quotes-0", Action::Drained);
    assert!(matches!(effects.last(), Some(Effect::Serving(_))));
    let next = world.state.upstreams()["quotes-0"].tenure.clone().unwrap();
    assert_eq!((&*former.pool, &*next.pool), ("quotes", "spare"));
    assert!(next.epoch > former.epoch);
}

#[test]
fn drained_of_an_earlier_epoch_does_nothing() {
    let mut world = World::default();
    world.add("quotes", 1);
    world.configure(CONFIG);
    let early = world.state.upstreams()["quotes-0"].epoch;
    world.configure(&format!("{CONFIG}[instance quotes-0]\nlabels = tier=spare, service=none\n"));
    world.plan();
    world.step_at("quotes-0", early, Action::Drained);
    let grant = world.state.upstreams()["quotes-0"].grant.clone().unwrap();
    assert_eq!(grant.phase, Phase::Draining);
}

#[test]
fn of_two_changes_with_the_same_base_one_wins() {
    let mut world = World::default();
    let change = |request: &str, author: &str| {
        Command::Change(fleet::Change {
            request: request.into(),
            author: author.into(),
            base: 0,
            config: settings::config("test", CONFIG).unwrap(),
        })
    };
    let won = common::verdict(world.apply(change("a", "ada")));
    let lost = common::verdict(world.apply(change("b", "ben")));
    let resent = common::verdict(world.apply(change("a", "ada")));
    assert!(matches!(won, Verdict::Accepted { revision: 1, .. }));
    assert_eq!(lost.to_string(), "refused: `ada` made revision 1 with request `a`");
    assert_eq!(resent, won);
}

#[test]
fn state_survives_its_encoding() {
    let mut world = World::default();
    world.add("quotes", 3);
    world.configure(&format!("{CONFIG}[budget all]\nselector = region=r\nmax-unavailable = 1\n"));
    world.order("w", fleet::Edit::Start("region=r".parse().unwrap()));
    world.run(3, |_| true);
    let bytes = postcard::to_stdvec(&world.state).unwrap();
    assert_eq!(postcard::from_bytes::<fleet::State>(&bytes).unwrap(), world.state);
}
