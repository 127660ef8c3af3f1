//! Planned replacements of daemons with a disk, after which one disk is lost.

use super::{
    fleet::{Fleet, VOTERS},
    *,
};

/// Time from the request to stop to the end of a process that has answered everything.
const STOP_TIME_MS: u64 = 1100;
/// Time after its start from which a successor counts as up.
const CATCH_UP_MS: u64 = 4000;
/// How long a machine that loses its disk is down.
const DOWN_MS: u64 = 2000;

fn name(number: usize) -> Name {
    format!("10.0.0.{number}:1").into()
}

/// A fleet of three voters, and of `standbys` more daemons with a disk that have joined it.
fn fleet(standbys: usize) -> Fleet {
    let mut fleet = Fleet::start(&[1]);
    for number in 4..4 + standbys {
        fleet.start_empty(&name(number));
    }
    fleet.run(CATCH_UP_MS + 1000);
    fleet
}

/// Loses a disk, and checks that the fleet serves and has kept the configuration acknowledged last.
fn lose_disk(fleet: &mut Fleet, lost: &Name, version: u64, case: &str) {
    fleet.end(lost);
    fleet.run(DOWN_MS);
    fleet.start_empty(lost);
    fleet.run_until(&format!("the fleet serves: {case}"), |fleet| fleet.leader().is_some());
    let leader = fleet.leader().expect("a leader");
    assert_eq!(fleet.daemons[&leader].state.version(), Some(version), "{case}");
}

/// Guards against the loss of everything acknowledged: one disk is lost soon after a planned
/// replacement, whichever of the voters was replaced.
#[test]
fn one_disk_may_be_lost_after_each_planned_replacement() {
    for leaving in VOTERS.map(Name::from) {
        for lost in VOTERS.map(Name::from).into_iter().filter(|lost| *lost != leaving) {
            for calm_ms in [0, 300, 1000, 3000] {
                let mut fleet = fleet(1);
                fleet.stop(&leaving);
                fleet.run(STOP_TIME_MS);
                fleet.end(&leaving);
                fleet.run(calm_ms);
                fleet.configure(2, &[1]);
                let case = format!("{leaving} replaced, {lost} lost {calm_ms} ms after its end");
                lose_disk(&mut fleet, &lost, 2, &case);
            }
        }
    }
}

/// Guards against a hand-over of votes in an order in which the loss of one disk ends the quorum.
#[test]
fn one_disk_may_be_lost_at_any_moment_of_a_hand_over() {
    for lost in [VOTERS[1], VOTERS[2]].map(Name::from) {
        for at_ms in (0..700).step_by(7) {
            let mut fleet = fleet(1);
            fleet.stop(&name(1));
            fleet.run(at_ms);
            let case = format!("{lost} lost {at_ms} ms after the request to stop");
            lose_disk(&mut fleet, &lost, 1, &case);
        }
    }
}

#[test]
fn a_hand_over_that_is_cut_by_a_kill_is_completed() {
    for at_ms in [1, 5, 20, 100, 205, 210, 220, 250, 410, 450] {
        for leaving in VOTERS.map(Name::from) {
            let mut fleet = fleet(1);
            fleet.stop(&leaving);
            fleet.run(at_ms);
            fleet.end(&leaving);
            fleet.run(3500);
            let expected = [1, 2, 3, 4].map(name).into_iter().filter(|name| *name != leaving);
            assert_eq!(fleet.voters(), expected.collect(), "{leaving} killed after {at_ms} ms");
        }
    }
}

#[test]
fn all_voters_may_be_replaced_one_after_the_other() {
    let mut fleet = fleet(0);
    for number in 1..=3 {
        fleet.start_empty(&name(number + 3));
        fleet.run(CATCH_UP_MS);
        fleet.stop(&name(number));
        fleet.run(STOP_TIME_MS);
        fleet.end(&name(number));
    }
    fleet.run(1000);
    fleet.configure(2, &[1]);
    assert_eq!(fleet.voters(), [4, 5, 6].map(name).into());
    lose_disk(&mut fleet, &name(5), 2, "after three replacements");
}

#[test]
fn a_successor_that_starts_after_the_end_of_its_predecessor_votes_at_once() {
    for leaving in VOTERS.map(Name::from) {
        let mut fleet = fleet(0);
        fleet.stop(&leaving);
        fleet.run(STOP_TIME_MS);
        fleet.end(&leaving);
        fleet.start_empty(&name(4));
        fleet.run(CATCH_UP_MS);
        fleet.configure(2, &[1]);
        let lost = VOTERS.map(Name::from).into_iter().find(|name| *name != leaving);
        let lost = lost.expect("another voter");
        lose_disk(&mut fleet, &lost, 2, &format!("{leaving} replaced"));
    }
}

#[test]
fn a_daemon_that_was_replaced_may_come_back_with_its_disk() {
    let mut fleet = fleet(1);
    fleet.stop(&name(1));
    fleet.run(STOP_TIME_MS);
    let medium = fleet.end(&name(1));
    fleet.run(500);
    fleet.configure(2, &[1]);
    fleet.start_again(&name(1), medium);
    fleet.run(2000);
    assert_eq!(fleet.voters(), [2, 3, 4].map(name).into());
    fleet.stop(&name(2));
    fleet.run(STOP_TIME_MS);
    fleet.end(&name(2));
    fleet.run(500);
    assert_eq!(fleet.voters(), [1, 3, 4].map(name).into());
    lose_disk(&mut fleet, &name(3), 2, "after the return of the first");
}

#[test]
fn a_voter_that_is_restarted_without_a_successor_keeps_its_vote() {
    let mut fleet = fleet(0);
    for leaving in VOTERS.map(Name::from) {
        fleet.stop(&leaving);
        fleet.run(STOP_TIME_MS);
        let medium = fleet.end(&leaving);
        fleet.run(700);
        fleet.start_again(&leaving, medium);
        fleet.run(2000);
        assert_eq!(fleet.voters(), VOTERS.map(Name::from).into());
    }
    lose_disk(&mut fleet, &name(2), 1, "after restarts in turn");
}

#[test]
fn larger_quorums_stay_whole_through_replacements() {
    for standbys in [2, 3] {
        let mut fleet = fleet(standbys);
        assert_eq!(fleet.voters().len(), 5, "of {standbys} standbys");
        for number in 1..=3 {
            fleet.start_empty(&name(10 + number));
            fleet.run(CATCH_UP_MS);
            fleet.stop(&name(number));
            fleet.run(STOP_TIME_MS);
            fleet.end(&name(number));
        }
        fleet.run(1000);
        let voters = fleet.voters();
        assert_eq!(voters.len(), 5);
        assert!(voters.iter().all(|voter| fleet.daemons.contains_key(voter)), "{voters:?}");
        fleet.configure(2, &[1]);
        let lost: Vec<_> = voters.into_iter().take(2).collect();
        for (i, lost) in lost.iter().enumerate() {
            lose_disk(&mut fleet, lost, 2, &format!("disk {i}"));
        }
    }
}

/// Guards against a vote of a machine that was killed for good and that its successor takes over only
/// after the time in which it counts as lost.
#[test]
fn one_disk_may_be_lost_once_the_successor_of_a_killed_voter_has_caught_up() {
    for killed in VOTERS.map(Name::from) {
        for lost in VOTERS.map(Name::from).into_iter().filter(|lost| *lost != killed) {
            for delay_ms in [0, 500, 1000, 2000] {
                let mut fleet = fleet(0);
                fleet.end(&killed);
                fleet.run(delay_ms);
                fleet.start_empty(&name(4));
                fleet.run(CATCH_UP_MS);
                let case = format!("{killed} killed, {lost} lost, successor after {delay_ms} ms");
                lose_disk(&mut fleet, &lost, 1, &case);
            }
        }
    }
}
