//! Changes of the configuration in a fleet of three voters and a gateway, whose disks are full one
//! after another.

use {
    super::{
        fleet::{Fleet, GATEWAY, STANDBY},
        memory::Fault,
        *,
    },
    rand::{Rng, SeedableRng, rngs::StdRng, seq::IndexedRandom},
};

/// Time within which a change has to be acknowledged.
const ACKNOWLEDGEMENT_TIMEOUT: Duration = Duration::from_secs(4);

/// Number of times that disks are full in a run.
const TURNS: usize = 9;

/// An operator who sends a new version as soon as the last one is acknowledged, and sends a version
/// again, to another daemon, until it is.
struct Operator {
    rng: StdRng,
    /// Size of a configuration, in bytes.
    size: usize,
    /// Version that was acknowledged last.
    acknowledged: u64,
    ticket: Option<CallTicket>,
    /// When the version is sent again unless it was answered.
    retry_at: Time,
    /// Since when the next version has not been acknowledged.
    since: Time,
    /// Longest time until an acknowledgement.
    longest: Duration,
}

impl Operator {
    /// Time that a client waits for an answer.
    const TIMEOUT: Duration = Duration::from_secs(2);
    /// Delay before a version that was refused is sent again.
    const RETRY_DELAY: Duration = Duration::from_millis(100);

    fn new(fleet: &Fleet, seed: u64) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        Self {
            // The large one makes snapshots frequent.
            size: if rng.random() { 10 } else { 300_000 },
            rng,
            acknowledged: 1,
            ticket: None,
            retry_at: fleet.now,
            since: fleet.now,
            longest: Duration::ZERO,
        }
    }

    /// Lets time pass, in which the operator sends and hears.
    fn run(&mut self, fleet: &mut Fleet, ms: u64) {
        for _ in 0..ms {
            fleet.advance();
            self.longest = self.longest.max(fleet.now - self.since);
            let answer = self.ticket.and_then(|ticket| fleet.answers.remove(&ticket));
            if answer == Some(Answer::Done) {
                self.acknowledged += 1;
                self.since = fleet.now;
            }
            if answer.is_some() {
                self.ticket = None;
                self.retry_at = self.retry_at.min(fleet.now + Self::RETRY_DELAY);
            }
            if fleet.now >= self.retry_at {
                self.send(fleet);
            }
        }
    }

    fn send(&mut self, fleet: &mut Fleet) {
        let version = self.acknowledged + 1;
        let Call::Configure(mut config) = configuration(config(version)) else { unreachable!() };
        config.text = format!("{} {}", config.text, "0".repeat(self.size)).into();
        let running = fleet.daemons.iter().filter(|(_, daemon)| !daemon.is_paused);
        let daemons: Vec<Name> = running.map(|(name, _)| name.clone()).collect();
        let to = daemons.choose(&mut self.rng).expect("there are daemons");
        self.ticket = Some(fleet.send(to, Call::Configure(config)));
        self.retry_at = fleet.now + Self::TIMEOUT;
    }
}

/// What happens to a random voter while a disk is full.
#[derive(Debug, Clone, Copy)]
enum Disruption {
    None,
    Restart,
    /// The voter leads no more, if it did.
    Pause,
}

/// The leader's disk, or that of any voter, is full for some time.
fn fill_disk(fleet: &mut Fleet, operator: &mut Operator, disruptions: &[Disruption]) {
    let voters = fleet.with_disk();
    let mut any = || voters.choose(&mut operator.rng).expect("there are voters").clone();
    let (victim, other) = (any(), any());
    let victim = if operator.rng.random() { fleet.leader().unwrap_or(victim) } else { victim };
    let medium = fleet.daemons[&victim].medium.as_ref().expect("voters have disks");
    let room = Fault::Room(medium.size() + operator.rng.random_range(0..200));
    let faults = Fault::ALL.into_iter().chain([room]).collect::<Vec<_>>();
    medium.set_fault(*faults.choose(&mut operator.rng).expect("there are faults"));
    let before = operator.rng.random_range(100..2500);
    operator.run(fleet, before);
    match *disruptions.choose(&mut operator.rng).expect("there are disruptions") {
        Disruption::None => {}
        Disruption::Restart => fleet.restart(&other),
        Disruption::Pause => {
            fleet.set_paused(&other, true);
            let paused = operator.rng.random_range(100..2000);
            operator.run(fleet, paused);
            fleet.set_paused(&other, false);
        }
    }
    let after = operator.rng.random_range(100..2500);
    operator.run(fleet, after);
    let medium = fleet.daemons[&victim].medium.as_ref().expect("voters have disks");
    medium.set_fault(Fault::None);
    let gap = operator.rng.random_range(0..2) * operator.rng.random_range(0..1500);
    operator.run(fleet, gap);
}

/// All voters lose power, but no acknowledged version.
fn lose_power(fleet: &mut Fleet, operator: &mut Operator) {
    for name in fleet.with_disk() {
        let medium = fleet.daemons[&name].medium.clone().expect("voters have disks");
        medium.lose_power(|| operator.rng.random());
        fleet.restart(&name);
    }
    fleet.run_until("a leader serves", |fleet| fleet.leader().is_some());
    // The gateway hears of the leader.
    fleet.run(1000);
    let answer = fleet.call(GATEWAY, Call::Config);
    let Answer::Config(text) = answer else { panic!("{answer:?}") };
    let version = read_config(&text).expect("the text can be read").version;
    assert!(version >= operator.acknowledged, "{version}, {} acknowledged", operator.acknowledged);
}

/// Seeds that CI runs; `FULL_DISK_SEEDS=N` runs N.
const SEEDS: u64 = 10;

fn for_each_seed(run: impl Fn(&mut Fleet, &mut Operator)) {
    let seeds = std::env::var("FULL_DISK_SEEDS").ok().and_then(|seeds| seeds.parse().ok());
    for seed in 0..seeds.unwrap_or(SEEDS) {
        let mut fleet = Fleet::start(&[1]);
        let mut operator = Operator::new(&fleet, seed);
        if seed % 2 == 1 {
            // One that replaces a voter that does not answer for long.
            fleet.start_standby();
            operator.run(&mut fleet, 1000);
        }
        run(&mut fleet, &mut operator);
        println!("seed {seed}: {} versions, {:?}", operator.acknowledged, operator.longest);
        assert!(operator.longest <= ACKNOWLEDGEMENT_TIMEOUT);
        lose_power(&mut fleet, &mut operator);
    }
}

/// Guards against changes that wait for a disk while a majority has room.
#[test]
fn changes_are_acknowledged_while_disks_are_full_in_turn() {
    for_each_seed(|fleet, operator| {
        for _ in 0..TURNS {
            fill_disk(fleet, operator, &[Disruption::None]);
        }
    });
}

/// Guards against a voter that takes no more part once its disk has been full, whoever leads then.
#[test]
fn changes_are_acknowledged_after_full_disks_and_restarts() {
    for_each_seed(|fleet, operator| {
        for _ in 0..TURNS {
            let disruptions = [Disruption::None, Disruption::Restart, Disruption::Pause];
            fill_disk(fleet, operator, &disruptions);
        }
        (operator.longest, operator.since) = (Duration::ZERO, fleet.now);
        operator.run(fleet, 4001);
        // Each voter needs both others, or one of them and itself.
        for name in fleet.with_disk() {
            fleet.set_paused(&name, true);
            operator.since = fleet.now;
            operator.run(fleet, 4001);
            fleet.set_paused(&name, false);
            operator.run(fleet, 500);
        }
    });
}

fn members(fleet: &Fleet, name: &Name) -> quorum::Members {
    let quorum = fleet.daemons[name].state.quorum.as_ref();
    quorum.expect("the daemon has a log").members().clone()
}

/// Guards against a voter that is removed as soon as it has not answered a new leader at once.
#[test]
fn a_voter_whose_disk_was_full_for_a_moment_is_not_removed() {
    let mut fleet = Fleet::start(&[1]);
    let mut operator = Operator::new(&fleet, 0);
    fleet.start_standby();
    operator.run(&mut fleet, 1000);
    let former = fleet.leader().expect("a leader");
    let medium = fleet.daemons[&former].medium.clone().expect("voters have disks");
    medium.set_fault(Fault::All);
    for _ in 0..2500 {
        operator.run(&mut fleet, 1);
        if let Some(leader) = fleet.leader() {
            assert!(members(&fleet, &leader).is_voter(&former), "removed at {:?}", fleet.now);
        }
    }
    medium.set_fault(Fault::None);
    operator.run(&mut fleet, 4000);
    assert!(operator.longest <= ACKNOWLEDGEMENT_TIMEOUT);
}

/// Guards against a moment at which a single further loss leaves no majority, though four disks work.
#[test]
fn a_voter_is_not_removed_before_its_replacement_is_a_voter() {
    let mut fleet = Fleet::start(&[1]);
    let mut operator = Operator::new(&fleet, 0);
    fleet.start_standby();
    operator.run(&mut fleet, 1000);
    let leader = fleet.leader().expect("a leader");
    let silent = fleet.with_disk().into_iter().find(|name| *name != leader).expect("a voter");
    let medium = fleet.daemons[&silent].medium.clone().expect("voters have disks");
    medium.set_fault(Fault::All);
    for _ in 0..6000 {
        operator.run(&mut fleet, 1);
        let voters = members(&fleet, &leader).voters().count();
        assert!(voters >= 3, "{voters} voters at {:?}", fleet.now);
    }
    assert!(!members(&fleet, &leader).is_voter(&silent), "it is replaced in the end");
    assert_eq!(members(&fleet, &leader).voters().count(), 3);
}

/// Guards against a daemon that waits for good for a leader whose entry about it was lost.
#[test]
fn a_daemon_that_was_added_by_a_former_leader_alone_joins_the_next_one() {
    let mut fleet = Fleet::start(&[1]);
    let former = fleet.leader().expect("a leader");
    fleet.start_standby();
    fleet.run(55);
    let others = fleet.with_disk().into_iter().filter(|name| *name != former && **name != *STANDBY);
    fleet.cut = others.collect();
    fleet.run(300);
    let standby = STANDBY.into();
    assert!(members(&fleet, &standby).get(&standby).is_some(), "the former leader has added it");
    fleet.set_paused(&former, true);
    fleet.cut.clear();
    fleet.run_until("another daemon leads", |fleet| fleet.leader().is_some());
    fleet.set_paused(&former, false);
    fleet.run_until("it has joined", |fleet| {
        let leader = fleet.leader();
        leader.is_some_and(|leader| members(fleet, &leader).get(&standby).is_some())
    });
}
