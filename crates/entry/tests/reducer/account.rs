//! What a daemon reports about where its time goes, and about the loss of its lease.

use super::*;

#[test]
fn parts_of_a_report_add_up_to_the_busy_time() {
    let mut account = Account::default();
    account.report(ms(1000), ms(400));
    account.begin(ms(2000));
    account.charge(ms(2030), Activity::Planning);
    account.charge(ms(2031), Activity::Agreement);
    account.begin(ms(2500));
    account.charge(ms(2510), Activity::Planning);
    account.record_wait(Activity::Agreement, ms(7));
    account.record_wait(Activity::Agreement, ms(3));
    assert!(!account.report_is_due(ms(5999)));
    assert!(account.report_is_due(ms(6000)));
    let report = account.report(ms(6000), ms(1000));
    let text = "busy 600 of 5000 ms, agreement 1 ms in 1, longest 1, wait 7, \
                planning 40 ms in 2, longest 30, wait 0, connections 559 ms";
    assert_eq!(report.to_string(), text);
    assert_eq!(report.parts().map(|(_, spent)| spent).sum::<Duration>(), ms(600));
}

#[test]
fn a_leader_without_answers_logs_the_loss_of_its_lease_and_why_it_resigns() {
    let mut state = leader_of_two(ms(1000));
    let effects = run(&mut state, ms(1600), Event::Timer(Timer::Tick));
    let lapsed = "a majority last answered what was sent 600 ms ago";
    assert_eq!(logged(&effects, "lease-lapsed"), [lapsed]);
    let heartbeat = Event::Timer(Timer::Quorum(quorum::Timer::Heartbeat));
    let effects = run(&mut state, ms(1700), heartbeat);
    assert_eq!(logged(&effects, "resigned"), ["no majority has answered in time"]);
}

#[test]
fn a_leader_logs_the_term_that_ends_its_own() {
    let mut state = leader_of_two(ms(1000));
    let refused = quorum::Message::Refused { term: 9 };
    let effects = peer(&mut state, ms(1100), &OTHER.into(), Message::Quorum(refused));
    assert_eq!(logged(&effects, "resigned"), ["epoch 9 has begun"]);
}

#[test]
fn a_leader_whose_disk_fails_says_so_when_it_resigns() {
    let mut state = leader_of_two(ms(1000));
    let effects = run(&mut state, ms(1100), Event::DiskLost);
    assert_eq!(logged(&effects, "resigned"), ["its disk has failed"]);
}

/// Reasons of the log lines of a kind.
fn logged(effects: &[Effect], kind: &str) -> Vec<String> {
    let notes = effects.iter().filter_map(|effect| match effect {
        Effect::Note(note) if note.what == kind => Some(note.why.clone()),
        _ => None,
    });
    notes.collect()
}
