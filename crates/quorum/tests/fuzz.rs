//! Simulates a cluster under random faults and checks it against an oracle. `QUORUM_SEEDS=N` runs N
//! seeds of each cluster size instead of the default that CI runs.

mod simulator;

use {simulator::World, std::time::Duration};

/// Seeds per cluster size that CI runs.
const SEEDS: u64 = 30;

/// Time during which faults are injected.
const FAULT_DURATION: Duration = Duration::from_secs(30);

/// Time within which the cluster must recover once faults have ended.
const RECOVERY_DURATION: Duration = Duration::from_secs(20);

#[test]
fn three_voters() {
    explore(3, 0);
}

#[test]
fn three_voters_and_observers() {
    explore(3, 3);
}

#[test]
fn five_voters_and_observers() {
    explore(5, 2);
}

fn explore(voters: usize, observers: usize) {
    let seeds = std::env::var("QUORUM_SEEDS").ok().and_then(|seeds| seeds.parse().ok());
    for seed in 0..seeds.unwrap_or(SEEDS) {
        println!("seed {seed}");
        let mut world = World::new(seed, voters, observers);
        world.run(FAULT_DURATION);
        world.stop_faults();
        world.run(RECOVERY_DURATION);
        assert_recovered(&world);
    }
}

/// Asserts that one member leads, and that all others hold a view lease and have applied nearly all
/// committed entries.
fn assert_recovered(world: &World) {
    let leader = world.leader().expect("one member leads");
    assert!(leader.state.forced() > 0, "nothing is in force");
    for (name, host) in &world.hosts {
        assert!(host.has_view_lease(world.now), "`{name}` has no view lease");
        let role = leader.state.members().get(name).map(|member| member.role);
        assert_eq!(role, Some(host.role), "`{name}` has another role");
        assert!(host.applied + 20 > world.oracle.committed(), "`{name}` lags");
    }
}
