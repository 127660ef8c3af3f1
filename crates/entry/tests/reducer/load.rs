//! What a leader does with more calls than it can handle in time.

use super::*;

const DEADLINE: Option<Reading> = Some(Reading { boot: 7, at: Duration::from_millis(5000) });

#[test]
fn a_job_is_accepted_after_its_commit() {
    let mut state = leader();
    let effects = run(&mut state, ms(4000), forward(1, DEADLINE));
    assert_eq!(returned(&effects), [Answer::Done]);
    assert!(state.table.jobs.contains_key(&1));
}

#[test]
fn a_call_that_its_sender_has_given_up_is_not_carried_out() {
    let mut state = leader();
    let effects = run(&mut state, ms(5000), forward(1, DEADLINE));
    assert_eq!(returned(&effects), [Answer::NotRun { retry: PendingCalls::RETRY_AFTER }]);
    assert!(state.table.jobs.is_empty());
}

#[test]
fn a_call_whose_deadline_is_on_another_clock_is_not_carried_out() {
    let mut state = leader();
    for deadline in [None, Some(Reading { boot: 6, at: ms(90_000) })] {
        let effects = run(&mut state, ms(4000), forward(1, deadline));
        let clock = Reading { boot: 7, at: ms(4000) };
        let unknown = effects.iter().any(|effect| {
            matches!(effect, Effect::Send { message: Message::ClockUnknown { ticket: 1, clock: c }, .. } if *c == clock)
        });
        assert!(unknown, "{effects:?}");
    }
    assert!(state.table.jobs.is_empty());
}

#[test]
fn a_job_that_waited_for_long_is_refused_before_it_is_proposed() {
    let mut state = leader();
    state.overload.record(ms(700), ms(0));
    let effects = run(&mut state, ms(4000), forward(1, DEADLINE));
    assert_eq!(returned(&effects), [Answer::NotRun { retry: ms(1700) }]);
    assert!(state.table.jobs.is_empty());
    state.overload.record(ms(20), ms(0));
    let effects = run(&mut state, ms(4010), forward(1, DEADLINE));
    assert_eq!(returned(&effects), [Answer::Done], "it takes jobs again at once");
}

#[test]
fn agreement_goes_before_answers_of_instances_and_those_before_new_jobs() {
    let mut inbox = Inbox::default();
    for ticket in 0..1000 {
        inbox.push(ms(ticket), forward(ticket, DEADLINE));
    }
    let result = Err(job::CallError::Timeout);
    inbox.push(ms(2000), Event::InstanceAnswered { id: 1, result, origin: None });
    inbox.push(ms(2001), Event::Peer { from: "10.0.0.2:1".into(), message: ping() });
    let (_, first) = inbox.pop(ms(2010)).expect("an event");
    assert!(matches!(first, Event::Peer { message: Message::Ping { .. }, .. }));
    let (_, second) = inbox.pop(ms(2010)).expect("an event");
    assert!(matches!(second, Event::InstanceAnswered { .. }));
    let (waited, third) = inbox.pop(ms(2010)).expect("an event");
    assert!(matches!(third, Event::Peer { message: Message::Forward { ticket: 0, .. }, .. }));
    assert_eq!(waited, ms(2010));
}

/// Guards against jobs that wait behind instances until their callers have given up.
#[test]
fn a_job_is_answered_soon_while_instances_keep_the_leader_busy() {
    let mut state = leader();
    let mut inbox = Inbox::default();
    inbox.push(ms(3000), forward(1, DEADLINE));
    for at in 3000..4800 {
        for id in 0..2 {
            let result = Err(job::CallError::Timeout);
            inbox.push(ms(at), Event::InstanceAnswered { id, result, origin: None });
        }
        let lag = inbox.lag(ms(at));
        let (waited, event) = inbox.pop(ms(at)).expect("events wait");
        state.overload.record(waited, lag);
        if !returned(&run(&mut state, ms(at), event)).is_empty() {
            assert!(at <= 3350, "the caller waited for {} ms", at - 3000);
            return;
        }
    }
    panic!("the caller had no answer within 1.8 s");
}

/// Guards against refusals that come after their callers have stopped listening.
#[test]
fn a_job_that_cannot_be_reached_before_its_deadline_is_refused_before_it() {
    let mut state = leader();
    let mut inbox = Inbox::default();
    for ticket in 1..=150 {
        inbox.push(ms(3000), forward(ticket, DEADLINE));
    }
    let deadline = ms(3500);
    let late = forward(999, Some(Reading { boot: 7, at: deadline }));
    let mut late = Some(late);
    for at in 3000..4800 {
        for id in 0..2 {
            let result = Err(job::CallError::Timeout);
            inbox.push(ms(at), Event::InstanceAnswered { id, result, origin: None });
        }
        if at == 3250 {
            inbox.push(ms(at), late.take().expect("it arrives once"));
        }
        let lag = inbox.lag(ms(at));
        let (waited, event) = inbox.pop(ms(at)).expect("events wait");
        state.overload.record(waited, lag);
        let is_late =
            matches!(&event, Event::Peer { message: Message::Forward { ticket: 999, .. }, .. });
        let answers = returned(&run(&mut state, ms(at), event));
        if is_late {
            assert!(ms(at) < deadline, "the caller stopped listening {} ms before", at - 3500);
            assert!(matches!(answers[..], [Answer::NotRun { .. }]), "{answers:?}");
            return;
        }
    }
    panic!("the caller had no answer");
}

#[test]
fn no_class_waits_for_all_events_of_the_classes_before_it() {
    let mut inbox = Inbox::default();
    let answered =
        |id| Event::InstanceAnswered { id, result: Err(job::CallError::Timeout), origin: None };
    for id in 0..1000 {
        inbox.push(ms(0), answered(id));
    }
    inbox.push(ms(0), forward(1, DEADLINE));
    let call = Call::Config;
    inbox.push(ms(0), Event::Call { ticket: 2, call, timeout: ms(900) });
    let taken: Vec<_> = (0..70).filter_map(|_| inbox.pop(ms(1))).map(|(_, event)| event).collect();
    let jobs = taken.iter().filter(|event| matches!(event, Event::Peer { .. })).count();
    let calls = taken.iter().filter(|event| matches!(event, Event::Call { .. })).count();
    assert_eq!((jobs, calls), (1, 1));
}

#[test]
fn agreement_goes_first_however_long_others_have_waited() {
    let mut inbox = Inbox::default();
    for ticket in 0..10 {
        inbox.push(ms(0), forward(ticket, DEADLINE));
        inbox.push(
            ms(0),
            Event::InstanceAnswered {
                id: ticket,
                result: Err(job::CallError::Timeout),
                origin: None,
            },
        );
    }
    inbox.pop(ms(900));
    inbox.push(ms(900), Event::Peer { from: "10.0.0.2:1".into(), message: ping() });
    let (_, event) = inbox.pop(ms(900)).expect("events wait");
    assert!(matches!(event, Event::Peer { message: Message::Ping { .. }, .. }));
}

#[test]
fn the_lag_falls_with_any_event_once_none_of_instances_waits() {
    let mut inbox = Inbox::default();
    let mut overload = Overload::default();
    let mut handle = |inbox: &mut Inbox, at| {
        let lag = inbox.lag(ms(at));
        let (waited, _) = inbox.pop(ms(at)).expect("events wait");
        overload.record(waited, lag);
        overload.lag()
    };
    for id in 0..100 {
        let result = Err(job::CallError::Timeout);
        inbox.push(ms(0), Event::InstanceAnswered { id, result, origin: None });
    }
    let lag = (0..100).map(|_| handle(&mut inbox, 400)).last().expect("events were handled");
    assert!(lag > ms(390) && lag <= ms(400), "{lag:?}");
    for ticket in 0..30 {
        inbox.push(ms(500), Event::Peer { from: "10.0.0.2:1".into(), message: ping() });
        let lag = handle(&mut inbox, 500);
        assert!(ticket < 29 || lag < ms(80), "{lag:?}");
    }
}

/// Guards against a leader that takes jobs faster than it can start their tasks.
#[test]
fn a_leader_that_is_behind_with_instances_refuses_jobs_at_once() {
    let mut state = leader();
    for _ in 0..200 {
        state.overload.record(ms(400), ms(400));
    }
    state.overload.record(ms(10), ms(400));
    let effects = run(&mut state, ms(4000), forward(1, DEADLINE));
    let [Answer::NotRun { retry }] = returned(&effects)[..] else { panic!("{effects:?}") };
    assert!(retry > ms(1390) && retry <= ms(1400), "{retry:?}");
    assert!(state.table.jobs.is_empty());
    for _ in 0..200 {
        state.overload.record(ms(5), ms(5));
    }
    state.overload.record(ms(10), ms(0));
    let effects = run(&mut state, ms(4010), forward(1, DEADLINE));
    assert_eq!(returned(&effects), [Answer::Done], "it takes jobs again at once");
}
