//! A refusal is true: it is only given if no daemon has carried out the call or still may.

use super::*;

const NOT_RUN: Answer = Answer::NotRun { retry: PendingCalls::RETRY_AFTER };

#[test]
fn a_call_that_one_daemon_denies_and_another_leaves_unanswered_ends_as_unknown() {
    let (first, second): (Name, Name) = ("10.0.0.1:1".into(), "10.0.0.2:1".into());
    let mut state = gateway(&first);
    pong(&mut state, ms(10), &first, ms(5010));
    assert_eq!(forwarded(&submit(&mut state, ms(20), 1)).len(), 1);
    // The leader is slow; another daemon, asked next, does not lead.
    state.pending_calls.leader = Some(second.clone());
    let again = state.reduce(ms(400), 0, Event::Timer(Timer::Tick));
    assert_eq!(forwarded(&again)[0].0, second);
    let not_leader = Message::NotLeader { ticket: 1, leader: None };
    peer(&mut state, ms(402), &second, not_leader);
    state.pending_calls.last_heard = None;
    state.pending_calls.members.clear();
    state.pending_calls.known.clear();
    let end = state.reduce(ms(1900), 0, Event::Timer(Timer::Tick));
    assert_eq!(answers(&end), [Answer::Unknown]);
}

#[test]
fn a_refusal_waits_for_the_daemons_that_have_not_answered() {
    let (first, second): (Name, Name) = ("10.0.0.1:1".into(), "10.0.0.2:1".into());
    let mut state = gateway(&first);
    submit(&mut state, ms(20), 1);
    state.pending_calls.leader = Some(second.clone());
    state.reduce(ms(400), 0, Event::Timer(Timer::Tick));
    let refused = Message::Answer { ticket: 1, answer: NOT_RUN };
    assert_eq!(answers(&peer(&mut state, ms(402), &second, refused)), []);
    let accepted = Message::Answer { ticket: 1, answer: Answer::Done };
    assert_eq!(answers(&peer(&mut state, ms(500), &first, accepted)), [Answer::Done]);
}

#[test]
fn a_refusal_by_the_only_daemon_that_was_asked_is_passed_on_at_once() {
    let leader: Name = "10.0.0.1:1".into();
    let mut state = gateway(&leader);
    submit(&mut state, ms(20), 1);
    let refused = Message::Answer { ticket: 1, answer: NOT_RUN };
    assert_eq!(answers(&peer(&mut state, ms(25), &leader, refused)), [NOT_RUN]);
}

#[test]
fn a_forwarded_call_carries_its_deadline_on_the_clock_of_the_leader() {
    let leader: Name = "10.0.0.1:1".into();
    let mut state = gateway(&leader);
    // A reading that was on its way for longer does not move the deadline.
    pong(&mut state, ms(100), &leader, ms(5060));
    let sent = forwarded(&submit(&mut state, ms(200), 1));
    assert_eq!(sent, [(leader, Some(Reading { boot: 7, at: ms(7000) }))]);
}

#[test]
fn a_leader_that_has_restarted_gets_the_call_again_with_a_new_deadline() {
    let leader: Name = "10.0.0.1:1".into();
    let mut state = gateway(&leader);
    submit(&mut state, ms(200), 1);
    let clock = Reading { boot: 8, at: ms(40) };
    let unknown = Message::ClockUnknown { ticket: 1, clock };
    let sent = forwarded(&peer(&mut state, ms(210), &leader, unknown));
    assert_eq!(sent, [(leader, Some(Reading { boot: 8, at: ms(1830) }))]);
}

/// Guards against gateways that multiply the load of a leader that is late.
#[test]
fn a_leader_that_is_slow_and_alive_gets_a_call_at_most_twice_and_stays_the_leader() {
    let (leader, other): (Name, Name) = ("10.0.0.1:1".into(), "10.0.0.2:1".into());
    let mut state = gateway(&leader);
    state.pending_calls.members = BTreeSet::from([leader.clone(), other.clone()]);
    let mut sent = forwarded(&submit(&mut state, ms(20), 1));
    for at in (40..1800).step_by(20) {
        if at % 500 == 0 {
            let clock = Reading { boot: 7, at: ms(5000 + at) };
            let members = vec![leader.clone(), other.clone()];
            let (leader, serves) = (Some(leader.clone()), true);
            let order_hold = Duration::ZERO;
            let pong =
                Message::Pong { leader, members, serves, large_fleet: true, order_hold, clock };
            peer(&mut state, ms(at), &"10.0.0.1:1".into(), pong);
        }
        sent.extend(forwarded(&state.reduce(ms(at), 0, Event::Timer(Timer::Tick))));
        assert_eq!(state.pending_calls.leader.as_ref(), Some(&leader), "at {at} ms");
    }
    assert!(sent.len() <= 2, "sent {} times", sent.len());
    assert!(sent.iter().all(|(to, _)| *to == leader), "{sent:?}");
}

#[test]
fn a_call_goes_to_another_daemon_once_the_leader_reports_nothing_any_more() {
    let (leader, other): (Name, Name) = ("10.0.0.1:1".into(), "10.0.0.2:1".into());
    let mut state = gateway(&leader);
    state.pending_calls.members = BTreeSet::from([other.clone()]);
    submit(&mut state, ms(20), 1);
    let tick = Event::Timer(Timer::Tick);
    assert_eq!(forwarded(&state.reduce(ms(600), 0, tick)), []);
    let sent = forwarded(&state.reduce(ms(720), 0, Event::Timer(Timer::Tick)));
    assert_eq!(sent.first().map(|(to, _)| to), Some(&other));
}
