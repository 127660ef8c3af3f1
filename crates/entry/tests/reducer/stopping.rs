//! A daemon that was asked to stop answers every call by the deadline of its stop.

use super::*;

/// When the daemon is asked to stop.
const ASKED_AT: Time = Duration::from_millis(1000);

/// When all calls are answered.
const DEADLINE: Time = Duration::from_millis(3000);

const NOT_RUN: Answer = Answer::NotRun { retry: PendingCalls::RETRY_AFTER };

fn tick(state: &mut State, now: Time) -> Vec<Effect> {
    state.reduce(now, 0, Event::Timer(Timer::Tick))
}

/// Log lines of the kind `what`.
fn lines(effects: &[Effect], what: &str) -> Vec<(String, String)> {
    let lines = effects.iter().filter_map(|effect| match effect {
        Effect::Note(note) if note.what == what => Some((note.about.clone(), note.why.clone())),
        _ => None,
    });
    lines.collect()
}

/// A gateway that was asked to stop, and whose leader `leader` has just reported that it serves.
fn stopping_gateway(leader: &Name, now: Time) -> State {
    let mut state = gateway(leader);
    state.reduce(ASKED_AT, 0, Event::Stop);
    pong(&mut state, now, leader, ms(5000) + now);
    state
}

#[test]
fn a_stopping_daemon_is_not_ready_and_drains_after_the_balancer_delay() {
    let mut state = gateway(&"10.0.0.1:1".into());
    state.reduce(ms(990), 0, Event::Timer(Timer::Beat));
    let effects = state.reduce(ASKED_AT, 0, Event::Stop);
    assert!(effects.iter().any(|effect| matches!(effect, Effect::Ready(false))));
    let drain = Effect::Subscribe { timer: Timer::Drain, after: STOP_LIMITS.serving };
    assert!(effects.iter().any(|effect| format!("{effect:?}") == format!("{drain:?}")));
    let effects = state.reduce(ms(2000), 0, Event::Timer(Timer::Drain));
    assert!(effects.iter().any(|effect| matches!(effect, Effect::Drain)));
}

#[test]
fn a_call_that_a_leader_may_have_is_answered_as_unknown_by_the_deadline_of_the_stop() {
    let leader: Name = "10.0.0.1:1".into();
    let mut state = stopping_gateway(&leader, ms(1900));
    assert_eq!(forwarded(&submit(&mut state, ms(2000), 1)).len(), 1);
    assert_eq!(answers(&tick(&mut state, DEADLINE - ms(1))), []);
    let effects = tick(&mut state, DEADLINE);
    assert_eq!(answers(&effects), [Answer::Unknown]);
    let [(about, why)] = &lines(&effects, "call-stopped")[..] else { panic!("{effects:?}") };
    assert!(about.contains("00000000000000aa"), "{about}");
    assert_eq!(why, "Unknown, leader None, 2000 ms after the signal");
}

#[test]
fn a_call_that_waited_when_the_daemon_was_stopped_is_answered_by_the_deadline_of_the_stop() {
    let leader: Name = "10.0.0.1:1".into();
    let mut state = gateway(&leader);
    let call = Call::Config;
    let timeout = ms(60_000);
    state.reduce(ms(900), 0, Event::Call { ticket: 1, call, timeout });
    state.reduce(ASKED_AT, 0, Event::Stop);
    assert_eq!(answers(&tick(&mut state, DEADLINE)), [Answer::Unknown]);
}

#[test]
fn a_call_that_no_leader_has_is_answered_as_not_run_by_the_deadline_of_the_stop() {
    let mut state = gateway(&"10.0.0.1:1".into());
    state.reduce(ASKED_AT, 0, Event::Stop);
    state.pending_calls = PendingCalls::new(&[]);
    submit(&mut state, ms(2900), 1);
    assert_eq!(answers(&tick(&mut state, DEADLINE)), [NOT_RUN]);
}

#[test]
fn a_call_after_the_deadline_of_the_stop_is_not_forwarded() {
    let leader: Name = "10.0.0.1:1".into();
    let mut state = stopping_gateway(&leader, ms(2990));
    let effects = submit(&mut state, DEADLINE, 1);
    assert_eq!(answers(&effects), [NOT_RUN]);
    assert_eq!(forwarded(&effects), []);
    assert_eq!(lines(&effects, "call-stopped").len(), 1);
}

#[test]
fn an_answer_of_the_leader_is_passed_on_while_stopping() {
    let leader: Name = "10.0.0.1:1".into();
    let mut state = stopping_gateway(&leader, ms(1900));
    submit(&mut state, ms(2000), 1);
    let done = Message::Answer { ticket: 1, answer: Answer::Done };
    assert_eq!(answers(&peer(&mut state, ms(2900), &leader, done)), [Answer::Done]);
    assert_eq!(answers(&tick(&mut state, DEADLINE)), []);
}

#[test]
fn a_leader_that_cannot_commit_answers_its_clients_by_the_deadline_of_the_stop() {
    let mut state = leader_of_two(ms(0));
    state.commits.insert(1000, vec![ReplyTo::Client(1)]);
    let mut effects = run(&mut state, ASKED_AT, Event::Stop);
    effects.extend(tick(&mut state, DEADLINE));
    assert_eq!(answers(&effects), [Answer::Unknown]);
}
