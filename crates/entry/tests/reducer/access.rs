//! Who may call, what an organisation may do with a job, and what exceeds its rate or its limit.

use super::*;

/// A digest that stands for a key.
pub(super) fn key(number: u8) -> job::KeyDigest {
    [number; 32].into()
}

/// A configuration with organisations, by name, weight and keys, and the queue `open` for anonymous
/// callers.
pub(super) fn config_of(version: u64, organisations: &[(&str, u32, &[u8])]) -> job::Config {
    let mut config = config(version);
    let queue = config.queues["q"].clone();
    let open =
        job::Queue { name: "open".into(), prefix: "/open/".into(), anonymous: true, ..queue };
    config.queues.insert("open".into(), open);
    for (name, weight, keys) in organisations {
        let keys = keys.iter().map(|number| key(*number)).collect::<BTreeSet<_>>();
        config.keys.extend(keys.iter().map(|key| (*key, Name::from(*name))));
        let organisation = job::Organisation { keys, weight: *weight, ..Default::default() };
        config.organisations.insert((*name).into(), organisation);
    }
    config
}

const NOBODY: Option<u8> = None;
const A: Option<u8> = Some(1);
const B: Option<u8> = Some(2);
const UNKNOWN: Option<u8> = Some(9);

/// A leader with the organisations `a` and `b`.
fn leader_of_two() -> State {
    let mut state = leader();
    configure(&mut state, config_of(2, &[("a", 100, &[1, 11]), ("b", 100, &[2])]));
    state
}

fn spec_of(size: model::Resources, count: u16, gang: bool) -> job::Spec {
    let group = job::Group { count, size, gang, ..Default::default() };
    job::Spec { payload: "p".into(), groups: vec![group], recurrence: None }
}

fn small() -> job::Spec {
    spec_of(model::Resources::default(), 1, false)
}

pub(super) fn submission(path: &str, caller: Option<u8>, spec: job::Spec) -> Call {
    Call::Submit { host: "host".into(), path: path.into(), spec: Ok(spec), key: caller.map(key) }
}

fn ask(state: &mut State, now: Time, call: Call) -> Answer {
    let effects = run(state, now, Event::Call { ticket: 7, call, timeout: ms(1800) });
    let answers = answers(&effects);
    let [answer] = &answers[..] else { panic!("one answer: {answers:?}") };
    answer.clone()
}

fn post(state: &mut State, path: &str, caller: Option<u8>) -> Answer {
    ask(state, ms(3100), submission(path, caller, small()))
}

fn get(state: &mut State, path: &str, caller: Option<u8>) -> Answer {
    let call = Call::Show { host: "host".into(), path: path.into(), key: caller.map(key) };
    ask(state, ms(3100), call)
}

fn delete(state: &mut State, path: &str, caller: Option<u8>) -> Answer {
    let call = Call::Cancel { host: "host".into(), path: path.into(), key: caller.map(key) };
    ask(state, ms(3100), call)
}

const JOB: &str = "/q/00000000000000aa";
const OPEN_JOB: &str = "/open/00000000000000bb";

/// Guards against calls that are served without a key that the configuration knows.
#[test]
fn every_call_about_a_queue_needs_a_known_key() {
    let mut state = leader_of_two();
    for caller in [NOBODY, UNKNOWN] {
        assert_eq!(post(&mut state, JOB, caller), Answer::Unauthorized, "{caller:?}");
        assert!(state.table.jobs.is_empty());
    }
    assert_eq!(post(&mut state, JOB, A), Answer::Done);
    for caller in [NOBODY, UNKNOWN] {
        assert_eq!(get(&mut state, JOB, caller), Answer::Unauthorized);
        assert_eq!(get(&mut state, "/q/", caller), Answer::Unauthorized);
        assert_eq!(delete(&mut state, JOB, caller), Answer::Unauthorized);
    }
    assert_eq!(get(&mut state, "/q/", B), Answer::Pending(1));
    assert_eq!(state.table.jobs[&0xaa].state, job::JobState::Queued);
}

#[test]
fn a_queue_for_anonymous_callers_needs_no_key_but_refuses_unknown_ones() {
    let mut state = leader_of_two();
    assert_eq!(post(&mut state, OPEN_JOB, UNKNOWN), Answer::Unauthorized);
    assert_eq!(post(&mut state, OPEN_JOB, NOBODY), Answer::Done);
    assert_eq!(state.table.jobs[&0xbb].organisation, None);
    assert_eq!(get(&mut state, OPEN_JOB, UNKNOWN), Answer::Unauthorized);
    // Everybody sees a job that belongs to nobody.
    for caller in [NOBODY, A, B] {
        assert_eq!(get(&mut state, OPEN_JOB, caller), Answer::Job(job::JobState::Queued));
    }
    // A job with an organisation is hidden from anonymous callers of the same queue.
    let own = "/open/00000000000000cc";
    assert_eq!(post(&mut state, own, A), Answer::Done);
    assert_eq!(state.table.jobs[&0xcc].organisation.as_deref(), Some("a"));
    assert_eq!(get(&mut state, own, NOBODY), Answer::NoJob);
    assert_eq!(delete(&mut state, own, NOBODY), Answer::NoJob);
    assert_eq!(post(&mut state, own, NOBODY), Answer::Conflict);
}

/// Guards against fleets without organisations that are refused after an update.
#[test]
fn without_organisations_keys_have_no_effect() {
    let mut state = leader();
    assert_eq!(post(&mut state, JOB, UNKNOWN), Answer::Done);
    assert_eq!(state.table.jobs[&0xaa].organisation, None);
    assert!(!state.table.jobs[&0xaa].surplus);
    for caller in [NOBODY, A] {
        assert_eq!(get(&mut state, JOB, caller), Answer::Job(job::JobState::Queued));
    }
    // The job still belongs to nobody once there are organisations.
    configure(&mut state, config_of(2, &[("a", 100, &[1])]));
    assert_eq!(get(&mut state, JOB, A), Answer::Job(job::JobState::Queued));
    assert_eq!(get(&mut state, JOB, UNKNOWN), Answer::Unauthorized);
}

/// Guards against one organisation that learns of, cancels or replaces the job of another.
#[test]
fn a_job_is_for_its_organisation_alone() {
    let mut state = leader_of_two();
    assert_eq!(post(&mut state, JOB, A), Answer::Done);
    let missing = "/q/00000000000000ff";
    assert_eq!(get(&mut state, JOB, B), get(&mut state, missing, B));
    assert_eq!(delete(&mut state, JOB, B), delete(&mut state, missing, B));
    assert_eq!(get(&mut state, JOB, B), Answer::NoJob);
    let before = state.table.clone();
    assert_eq!(post(&mut state, JOB, B), Answer::Conflict);
    // Ids are unique among all queues, so the other address does not help either.
    assert_eq!(post(&mut state, "/open/00000000000000aa", B), Answer::Conflict);
    assert_eq!(state.table, before);
    // The other key of the organisation does the same as the first.
    assert_eq!(get(&mut state, JOB, Some(11)), Answer::Job(job::JobState::Queued));
    assert_eq!(delete(&mut state, JOB, Some(11)), Answer::Done);
    assert_eq!(state.table.jobs[&0xaa].state, job::JobState::Cancelled);
}

/// Guards against a submission that is reported as accepted because another organisation's job with
/// the same id was committed meanwhile.
#[test]
fn of_two_submissions_of_an_id_at_the_same_time_one_is_refused() {
    let mut state = leader_of_two();
    let mut pending = Vec::new();
    for (ticket, caller) in [(1, A), (2, B)] {
        let call = submission(JOB, caller, small());
        pending.extend(state.reduce(ms(3100), 0, Event::Call { ticket, call, timeout: ms(1800) }));
    }
    let effects = settle(&mut state, pending);
    let refused =
        |effect: &&Effect| matches!(effect, Effect::Note(note) if note.what == "job-refused");
    assert_eq!(answers(&effects), [Answer::Done, Answer::Conflict]);
    assert_eq!(effects.iter().filter(refused).count(), 1, "the refusal has a line");
    assert_eq!(state.table.jobs[&0xaa].organisation.as_deref(), Some("a"));
}

/// Guards against a withdrawn key that still works, and against one that an older configuration, sent
/// again, brings back.
#[test]
fn a_withdrawn_key_is_refused_from_the_newer_configuration_on() {
    let mut state = leader_of_two();
    assert_eq!(post(&mut state, JOB, Some(11)), Answer::Done);
    configure(&mut state, config_of(4, &[("a", 100, &[1, 12]), ("b", 100, &[2])]));
    assert_eq!(get(&mut state, JOB, Some(11)), Answer::Unauthorized);
    assert_eq!(post(&mut state, JOB, Some(11)), Answer::Unauthorized);
    // The job stays that of the organisation.
    for caller in [A, Some(12)] {
        assert_eq!(get(&mut state, JOB, caller), Answer::Job(job::JobState::Queued));
    }
    configure(&mut state, config_of(3, &[("a", 100, &[1, 11]), ("b", 100, &[2])]));
    assert_eq!(get(&mut state, JOB, Some(11)), Answer::Unauthorized);
    // A key may move to another organisation, which does not get the jobs with it.
    configure(&mut state, config_of(5, &[("a", 100, &[1]), ("b", 100, &[2, 12])]));
    assert_eq!(get(&mut state, JOB, Some(12)), Answer::NoJob);
}

/// Guards against a caller who repeats a submission, since it had no answer, and is refused: its job
/// runs all the same.
#[test]
fn an_accepted_job_that_is_submitted_again_is_never_refused() {
    let mut state = leader();
    configure(&mut state, config_of(2, &[("a", 1, &[1])]));
    for id in 0..3 {
        assert_eq!(post(&mut state, &format!("/q/{id:016x}"), A), Answer::Done);
    }
    let refused = post(&mut state, "/q/0000000000000003", A);
    assert!(matches!(refused, Answer::Throttled { .. }), "{refused:?}");
    for id in 0..3 {
        assert_eq!(post(&mut state, &format!("/q/{id:016x}"), A), Answer::Done);
    }
    assert_eq!(state.table.jobs.len(), 3);
}

/// Guards against a backlog of surplus that is of no use to anybody, and against refused callers that
/// all return at the same moment. The objective of these jobs is 600 ms, so two objectives are the
/// time of one job at a rate of 1 per second.
#[test]
fn surplus_that_would_end_too_late_is_refused_with_growing_delays() {
    let mut state = leader();
    configure(&mut state, config_of(2, &[("a", 1, &[1]), ("b", 1, &[2])]));
    let mut post_at = |at, id: u64, caller| {
        let call = submission(&format!("/q/{id:016x}"), caller, small());
        ask(&mut state, at, call)
    };
    let accepted: Vec<_> = (0..3).map(|id| post_at(ms(3100), id, A)).collect();
    assert_eq!(
        accepted,
        [Answer::Done, Answer::Done, Answer::Done],
        "one in its rate, two surplus"
    );
    let refused: Vec<_> = (10..13).map(|id| post_at(ms(3100), id, A)).collect();
    let throttled = |retry| Answer::Throttled { retry: ms(retry) };
    assert_eq!(refused, [throttled(2000), throttled(3000), throttled(4000)]);
    // The delays are those from now on, also if a refused caller returns early.
    assert_eq!(post_at(ms(3600), 10, A), throttled(4500));
    assert_eq!(post_at(ms(3600), 20, B), Answer::Done, "another organisation is not affected");
    let far: Vec<_> = (100..400).map(|id| post_at(ms(3600), id, A)).collect();
    assert_eq!(far[299], throttled(60_000), "no caller is sent away for longer");
    assert!((10..13).chain(100..400).all(|id| !state.table.jobs.contains_key(&id)));
    // Once the backlog is gone, surplus is taken again.
    for id in 0..3 {
        assert_eq!(delete(&mut state, &format!("/q/{id:016x}"), A), Answer::Done);
    }
    let call = submission("/q/0000000000000400", A, small());
    assert_eq!(ask(&mut state, ms(4000), call), Answer::Done);
}

/// Guards against hundreds of surplus jobs that are accepted between two counts of the backlog.
#[test]
fn surplus_is_refused_within_one_burst() {
    let mut state = leader();
    configure(&mut state, config_of(2, &[("a", 10, &[1])]));
    let burst = (0..100).map(|id| post(&mut state, &format!("/q/{id:016x}"), A));
    let accepted = burst.filter(|answer| *answer == Answer::Done).count();
    // 10 within the rate, and the surplus of two objectives of 600 ms, with one more.
    assert_eq!(accepted, 23);
}

/// Guards against a job that can never start, and waits for ever.
#[test]
fn a_job_that_exceeds_the_limit_by_itself_is_invalid() {
    let mut state = leader();
    let mut config = config_of(2, &[("a", 100, &[1]), ("b", 100, &[2])]);
    let limit = model::Resources { millicores: 4000, memory_mb: 0, accelerators: 0 };
    config.organisations.get_mut("a").expect("an organisation").limit = limit;
    configure(&mut state, config);
    let size = |millicores| model::Resources { millicores, memory_mb: 1, accelerators: 0 };
    let large = spec_of(size(4001), 1, false);
    let mut two_groups = small();
    two_groups.groups.extend(spec_of(size(1000), 5, true).groups);
    for (spec, group) in [(large.clone(), 0), (two_groups, 1)] {
        let Answer::Invalid(why) = ask(&mut state, ms(3100), submission(JOB, A, spec)) else {
            panic!("the job exceeds the limit")
        };
        assert!(why.contains(&format!("group {group} ")) && why.contains("4000m"), "{why}");
    }
    assert!(state.table.jobs.is_empty());
    let fits = spec_of(size(1000), 50, false);
    assert_eq!(ask(&mut state, ms(3100), submission(JOB, A, fits)), Answer::Done);
    let other = submission("/q/00000000000000ab", B, large);
    assert_eq!(ask(&mut state, ms(3100), other), Answer::Done, "another organisation has no limit");
}

/// Guards against a leader that grants an organisation its burst anew after a restart from a
/// snapshot.
#[test]
fn rates_and_owners_survive_a_snapshot() {
    let mut state = leader();
    configure(&mut state, config_of(2, &[("a", 2, &[1])]));
    for id in 0..3 {
        assert_eq!(post(&mut state, &format!("/q/{id:016x}"), A), Answer::Done);
    }
    let encoded = postcard::to_stdvec(&state.table).expect("a table is encoded");
    let restored: Table = postcard::from_bytes(&encoded).expect("a table is decoded");
    assert_eq!(restored, state.table);
    assert!(restored.exceeds_rate(&"a".into(), 0));
    assert!(restored.jobs[&2].surplus && !restored.jobs[&1].surplus);
}

/// Syncs the entries that `effects` persist, and returns what follows.
pub(super) fn settle(state: &mut State, effects: Vec<Effect>) -> Vec<Effect> {
    let mut settled = Vec::new();
    for effect in effects {
        if let Effect::Persist(quorum::Record::Entries { first, entries }) = effect {
            let index = first + entries.len() as Index - 1;
            let term = entries.last().expect("a record has entries").term;
            settled.extend(state.reduce(ms(3110), 0, Event::Synced { term, index }));
        }
    }
    settled
}

/// A submission by an anonymous caller that the leader has not committed yet.
fn start_to_post(
    state: &mut State,
    ticket: CallTicket,
    path: &str,
    spec: job::Spec,
) -> Vec<Effect> {
    let call = submission(path, NOBODY, spec);
    state.reduce(ms(3100), 0, Event::Call { ticket, call, timeout: ms(1800) })
}

/// Guards against a job that is answered as accepted and never runs, since another has its id.
#[test]
fn an_id_of_another_queue_is_refused() {
    let mut state = leader();
    configure(&mut state, config_of(2, &[]));
    let other = "/open/00000000000000aa";
    assert_eq!(post(&mut state, JOB, NOBODY), Answer::Done);
    let before = state.table.clone();
    assert_eq!(post(&mut state, other, NOBODY), Answer::Conflict);
    assert_eq!(get(&mut state, other, NOBODY), Answer::NoJob);
    assert_eq!(delete(&mut state, other, NOBODY), Answer::NoJob);
    assert_eq!(state.table, before);
    assert_eq!(post(&mut state, JOB, NOBODY), Answer::Done, "a resend is still the same job");
    // The id stays taken while the ended job is remembered.
    assert_eq!(delete(&mut state, JOB, NOBODY), Answer::Done);
    assert_eq!(post(&mut state, other, NOBODY), Answer::Conflict);
}

/// Guards against a caller that is told that its job was accepted when an earlier one was.
#[test]
fn an_id_of_a_job_with_another_description_is_refused() {
    let mut state = leader();
    let larger = || spec_of(model::Resources::default(), 2, false);
    assert_eq!(post(&mut state, JOB, NOBODY), Answer::Done);
    assert_eq!(ask(&mut state, ms(3100), submission(JOB, NOBODY, larger())), Answer::Conflict);
    assert_eq!(*state.table.jobs[&0xaa].spec, small());
}

#[test]
fn of_two_jobs_with_one_id_on_their_way_to_the_log_one_is_refused() {
    let larger = || spec_of(model::Resources::default(), 2, false);
    for (path, spec) in [("/open/00000000000000aa", small()), (JOB, larger())] {
        let mut state = leader();
        configure(&mut state, config_of(2, &[]));
        let mut pending = start_to_post(&mut state, 1, JOB, small());
        pending.extend(start_to_post(&mut state, 2, path, spec));
        let settled = settle(&mut state, pending);
        assert_eq!(answers(&settled), [Answer::Done, Answer::Conflict]);
    }
}

/// Guards against two spellings of an id that mean one job.
#[test]
fn an_id_that_is_not_written_in_lower_case_is_refused() {
    let mut state = leader();
    for id in ["00000000000000AA", "+0000000000000aa", "0000000000000aa"] {
        let path = format!("/q/{id}");
        let answer = post(&mut state, &path, NOBODY);
        assert!(matches!(answer, Answer::Invalid(_)), "{id}: {answer:?}");
        assert_eq!(get(&mut state, &path, NOBODY), Answer::NoJob);
    }
    assert!(state.table.jobs.is_empty());
}
