//! The memory of what is accepted: what exceeds the budget is refused at once, and what was accepted
//! is kept.

use super::*;

const UNIX: job::UnixMs = 1_700_000_000_000;

fn spec(payload_bytes: usize) -> job::Spec {
    let group = job::Group { count: 1, ..Default::default() };
    job::Spec { payload: "x".repeat(payload_bytes).into(), groups: vec![group], recurrence: None }
}

/// Hands in a job at a leader.
fn hand_in(state: &mut State, unix: job::UnixMs, id: u64, spec: job::Spec) -> Vec<Answer> {
    let call = Call::Submit { host: "host".into(), path: path(id), spec: Ok(spec), key: None };
    answers(&run_at(state, unix, Event::Call { ticket: id, call, timeout: ms(900) }))
}

fn path(id: u64) -> Name {
    format!("/q/{id:016x}").into()
}

/// Handles an event at a wall clock time, and writes to the disk at once what it persists.
fn run_at(state: &mut State, unix: job::UnixMs, event: Event) -> Vec<Effect> {
    let mut effects = state.reduce(ms(3000), unix, event);
    let mut next = 0;
    while next < effects.len() {
        if let Effect::Persist(quorum::Record::Entries { first, entries }) = &effects[next] {
            let index = first + entries.len() as Index - 1;
            let term = entries.last().expect("a record has entries").term;
            effects.extend(state.reduce(ms(3000), unix, Event::Synced { term, index }));
        }
        next += 1;
    }
    effects
}

/// Guards against voters killed for their memory: jobs with large bodies are accepted without end.
#[test]
fn jobs_beyond_the_budget_are_refused_until_others_have_ended() {
    let mut state = leader();
    state.budget = Budget::new(8);
    let mut accepted = Vec::new();
    for id in 1..=20 {
        match hand_in(&mut state, UNIX, id, spec(100_000))[..] {
            [Answer::Done] => accepted.push(id),
            [Answer::NotRun { retry }] => assert!(retry >= ms(1000)),
            ref other => panic!("{other:?}"),
        }
    }
    assert_eq!(accepted, [1, 2, 3, 4, 5, 6, 7, 8, 9, 10], "of 1 MiB, each takes 0.1 MB");
    assert!(state.table.footprint() <= state.budget.limit());
    assert_eq!(hand_in(&mut state, UNIX, 3, spec(100_000)), [Answer::Done], "once more");
    let call = Call::Cancel { host: "host".into(), path: path(1), key: None };
    run_at(&mut state, UNIX, Event::Call { ticket: 500, call, timeout: ms(900) });
    let refused = hand_in(&mut state, UNIX, 21, spec(100_000));
    let expected = [Answer::NotRun { retry: Table::CONTENT_KEPT }];
    assert_eq!(refused, expected, "its content is kept for a moment");
    let later = UNIX + Table::CONTENT_KEPT.as_millis() as u64;
    // The next command drops it.
    assert_eq!(hand_in(&mut state, later, 22, spec(10)), [Answer::Done]);
    assert_eq!(hand_in(&mut state, later, 23, spec(90_000)), [Answer::Done]);
    assert_eq!(state.table.jobs.len(), 12, "what was accepted is known");
}

#[test]
fn a_job_beyond_the_whole_budget_is_invalid() {
    let mut state = leader();
    state.budget = Budget::new(1);
    let [Answer::Invalid(why)] = &hand_in(&mut state, UNIX, 1, spec(200_000))[..] else {
        panic!("a job that can never be accepted is not refused for good")
    };
    assert!(why.contains("131072"), "{why}");
    let tasks = job::Group { count: 10_000, ..Default::default() };
    let wide = job::Spec { payload: "".into(), groups: vec![tasks], recurrence: None };
    assert!(matches!(hand_in(&mut state, UNIX, 2, wide)[..], [Answer::Invalid(_)]));
}

/// Guards against jobs that are all checked before the first of them is in the table.
#[test]
fn jobs_on_their_way_into_the_table_count() {
    let mut state = leader_of_two(ms(3000));
    state.budget = Budget::new(8);
    let mut config = config(1);
    config.text = "".into();
    state.table.apply(Command::Configure(config));
    let refused = (1..=20).filter(|id| {
        let call = Call::Submit {
            host: "host".into(),
            path: path(*id),
            spec: Ok(spec(100_000)),
            key: None,
        };
        let effects =
            run(&mut state, ms(3010), Event::Call { ticket: *id, call, timeout: ms(900) });
        !answers(&effects).is_empty()
    });
    assert_eq!(refused.count(), 10);
}
