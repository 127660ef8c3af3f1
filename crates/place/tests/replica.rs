//! Commands and steps that the replicated state accepts and refuses.

use {
    model::{Job, Location, Name, Resources, Spread, Team, Time, Urgency, Worker},
    place::{
        Cause, Command, Effect, End, Outcome, Plan, Refusal, Release, Standing, State, Step,
        Verdict, Wait,
    },
    std::{collections::BTreeMap, time::Duration},
};

fn size(processors: u64, memory_gb: u64) -> Resources {
    Resources { millicores: processors * 1000, memory_mb: memory_gb * 1024, accelerators: 0 }
}

fn worker(rack: &str) -> Worker {
    let location =
        Location { region: "lagos".into(), data_center: "lagos-a".into(), rack: rack.into() };
    Worker { size: size(64, 128), labels: "disk=ssd".parse().expect("labels"), location }
}

fn job() -> Job {
    Job {
        team: "ledgers".into(),
        class: "digest".into(),
        urgency: Urgency::Normal,
        size: size(16, 32),
        run_time: Duration::from_secs(60),
        deadline: None,
        selector: None,
        spread: None,
    }
}

fn state() -> State {
    let mut state = State::default();
    let teams = BTreeMap::from([(Name::from("ledgers"), Team { quota: size(128, 256) })]);
    state.configure(&teams);
    for number in 0..4 {
        let name = format!("w{number}").into();
        state.apply(Command::Worker { name, worker: worker(&format!("r{}", number / 2)) });
    }
    state.apply(Command::Lead { term: 1 });
    state
}

fn submit(state: &mut State, id: &str, job: Job) -> Verdict {
    match state.apply(Command::Submit { id: id.into(), job }).remove(0) {
        Effect::Verdict { verdict, .. } => verdict,
        effect => panic!("expected a verdict, not {effect:?}"),
    }
}

fn plan(state: &mut State, at: u64, step: Step) -> Option<Refusal> {
    let plan = Plan { term: state.term(), at: Duration::from_secs(at), steps: vec![step] };
    state.apply(Command::Plan(plan)).into_iter().find_map(|effect| match effect {
        Effect::Refused { refusal, .. } => Some(refusal),
        _ => None,
    })
}

fn place(id: &str, after: u64, worker: &str) -> Step {
    Step::Place { job: id.into(), after, worker: worker.into(), reserve: size(16, 32) }
}

fn end(id: &str, epoch: u64, end: End) -> Step {
    Step::End { job: id.into(), epoch, end, peak: None }
}

#[test]
fn a_resent_submission_gets_the_first_answer() {
    let mut state = state();
    assert_eq!(submit(&mut state, "j", job()), Verdict::Accepted);
    assert_eq!(submit(&mut state, "j", job()), Verdict::Accepted);
    let other = Job { size: size(1, 1), ..job() };
    assert_eq!(submit(&mut state, "j", other), Verdict::Taken);
    plan(&mut state, 1, place("j", 0, "w0"));
    plan(&mut state, 2, end("j", 1, End::Done));
    assert_eq!(submit(&mut state, "j", job()), Verdict::Accepted);
    assert_eq!(state.explain(&"j".into()), Standing::Ended { outcome: Outcome::Done });
}

#[test]
fn a_cancellation_that_overtakes_its_job_wins() {
    let mut state = state();
    for _ in 0..2 {
        state.apply(Command::Cancel { id: "j".into() });
    }
    assert_eq!(state.explain(&"j".into()), Standing::CancelledAhead);
    assert_eq!(submit(&mut state, "j", job()), Verdict::Cancelled);
    assert_eq!(plan(&mut state, 1, place("j", 0, "w0")), Some(Refusal::Job));
}

#[test]
fn a_cancellation_that_overtakes_a_start_ends_the_job() {
    let mut state = state();
    submit(&mut state, "j", job());
    plan(&mut state, 1, place("j", 0, "w0"));
    state.apply(Command::Cancel { id: "j".into() });
    let release = Step::Release { job: "j".into(), epoch: 1, cause: Cause::Cancelled };
    assert_eq!(plan(&mut state, 1, release), None);
    assert_eq!(plan(&mut state, 2, end("j", 1, End::Failed)), None);
    assert_eq!(state.explain(&"j".into()), Standing::Ended { outcome: Outcome::Cancelled });
    assert!(state.hosts()[&Name::from("w0")].failures.is_empty());
}

#[test]
fn a_job_is_placed_again_only_once_its_lease_is_over() {
    let mut state = state();
    submit(&mut state, "j", job());
    plan(&mut state, 1, place("j", 0, "w0"));
    assert_eq!(plan(&mut state, 2, place("j", 1, "w1")), Some(Refusal::Epoch));
    assert_eq!(plan(&mut state, 2, end("j", 1, End::Lapsed)), Some(Refusal::Lease));
    plan(&mut state, 10, Step::Lose { worker: "w0".into() });
    let over = 10 + Release::LEASE_EXPIRY_DELAY.as_secs();
    assert_eq!(plan(&mut state, over - 1, end("j", 1, End::Lapsed)), Some(Refusal::Lease));
    assert_eq!(plan(&mut state, over, end("j", 1, End::Lapsed)), None);
    assert_eq!(plan(&mut state, over, end("j", 1, End::Lapsed)), Some(Refusal::Epoch));
    assert_eq!(plan(&mut state, over, place("j", 1, "w1")), None);
}

#[test]
fn a_plan_of_an_earlier_term_is_refused() {
    let mut state = state();
    submit(&mut state, "j", job());
    state.apply(Command::Lead { term: 3 });
    state.apply(Command::Lead { term: 2 });
    let plan = Plan { term: 1, at: Time::from_secs(9), steps: vec![place("j", 0, "w0")] };
    let effects = state.apply(Command::Plan(plan));
    let refused = Effect::Refused { step: place("j", 0, "w0"), refusal: Refusal::Term };
    assert_eq!(effects, [refused]);
    assert_eq!(state.now(), Time::ZERO);
}

#[test]
fn quotas_and_workers_are_never_overfilled() {
    let mut state = state();
    for number in 0..9 {
        submit(&mut state, &format!("j{number}"), job());
    }
    for number in 0..4 {
        assert_eq!(plan(&mut state, 1, place(&format!("j{number}"), 0, "w0")), None);
    }
    assert_eq!(plan(&mut state, 1, place("j4", 0, "w0")), Some(Refusal::Wait(Wait::Room)));
    for number in 4..8 {
        assert_eq!(plan(&mut state, 1, place(&format!("j{number}"), 0, "w1")), None);
    }
    let quota = Wait::Quota { team: "ledgers".into() };
    assert_eq!(plan(&mut state, 1, place("j8", 0, "w2")), Some(Refusal::Wait(quota)));
    let below = Step::Resize { job: "j0".into(), epoch: 1, reserve: size(1, 1) };
    assert_eq!(plan(&mut state, 1, below), Some(Refusal::Reserve));
}

#[test]
fn infeasible_job_reports_every_unmet_requirement() {
    let mut state = state();
    let huge = Job { size: size(65, 300), ..job() };
    let Verdict::Never { lacks } = submit(&mut state, "huge", huge) else {
        panic!("expected a refusal")
    };
    let lacks: Vec<_> = lacks.iter().map(ToString::to_string).collect();
    assert_eq!(
        lacks,
        [
            "quota: needs 65000m processors, 307200 MB, 0 accelerators, best is \
             128000m processors, 262144 MB, 0 accelerators",
            "processors: needs 65000m, best is 64000m",
            "memory: needs 307200 MB, best is 131072 MB",
        ]
    );
    let picky = Job { selector: Some("gpu=a, disk=ssd".parse().expect("selector")), ..job() };
    let Verdict::Never { lacks } = submit(&mut state, "picky", picky) else {
        panic!("expected a refusal")
    };
    let lacks: Vec<_> = lacks.iter().map(ToString::to_string).collect();
    assert_eq!(lacks, ["labels: needs gpu=a, best is no worker"]);
    let mut labelled = worker("r9");
    labelled.labels.set("gpu".into(), "a".into());
    state.apply(Command::Worker { name: "w9".into(), worker: labelled });
    let waiting = Standing::Waiting { reason: Wait::Turn };
    assert_eq!(state.explain(&"picky".into()), waiting);
}

#[test]
fn failures_of_a_quarantined_worker_do_not_count_against_its_jobs() {
    let mut state = state();
    for number in 0..4 {
        submit(&mut state, &format!("j{number}"), job());
    }
    for number in 0..3 {
        let id = format!("j{number}");
        plan(&mut state, 1, place(&id, 0, "w0"));
        plan(&mut state, 1, end(&id, number + 1, End::Failed));
    }
    assert_eq!(plan(&mut state, 2, place("j3", 0, "w0")), Some(Refusal::Wait(Wait::Health)));
    assert_eq!(plan(&mut state, 2, place("j0", 1, "w1")), None);
    assert_eq!(plan(&mut state, 61, place("j1", 2, "w0")), None);
    assert_eq!(plan(&mut state, 61, place("j2", 3, "w0")), Some(Refusal::Wait(Wait::Health)));
    assert_eq!(plan(&mut state, 62, end("j1", 5, End::Done)), None);
    assert_eq!(plan(&mut state, 62, place("j2", 3, "w0")), None);
}

#[test]
fn a_job_that_fails_on_different_workers_is_backed_off() {
    let mut state = state();
    submit(&mut state, "j", job());
    plan(&mut state, 1, place("j", 0, "w0"));
    plan(&mut state, 1, end("j", 1, End::Failed));
    plan(&mut state, 6, place("j", 1, "w1"));
    plan(&mut state, 6, end("j", 2, End::Failed));
    let wait = Wait::BackOff { until: Duration::from_secs(16), workers: 2 };
    assert_eq!(plan(&mut state, 15, place("j", 2, "w2")), Some(Refusal::Wait(wait)));
    assert_eq!(plan(&mut state, 16, place("j", 2, "w2")), None);
}

#[test]
fn the_state_survives_a_snapshot() {
    let mut state = state();
    let spread = Some(Spread { group: "g".into(), per_rack: 1 });
    submit(&mut state, "j", Job { spread, ..job() });
    submit(&mut state, "huge", Job { size: size(99, 99), ..job() });
    plan(&mut state, 1, place("j", 0, "w0"));
    let bytes = postcard::to_stdvec(&state).expect("state is encoded");
    assert_eq!(postcard::from_bytes::<State>(&bytes).expect("state is decoded"), state);
}
