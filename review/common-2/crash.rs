//! The runner of a task crashes, and so does the next one. The task has never ended `failed`, so its
//! job has to be done on another runner.

use crate::{
    Case, Record, Verdict,
    fleet::{CONTROL, Fleet, config, job},
    runner::Runners,
    sleep, trouble, wait,
};
use std::time::{Duration, Instant};

/// One of nine at a time: 0.11.
const RUNNERS: usize = 9;
const CRASHES: usize = 2;
/// From the start of the task to the crash of its runner.
const RUNS_MS: u64 = 500;
const DOWN_MS: u64 = 1000;
const JOB: &str = "00000000000000f1";

pub fn run(record: &Record) -> Case {
    let mut fleet = Fleet::new(record, 3)?;
    fleet.found(&config(1, "desk"))?;
    let control: Vec<_> = (1..=3).map(|n| fleet.address(n, CONTROL)).collect();
    let runners = Runners::start(record, fleet.net, RUNNERS, &control, fleet.cloud())?;
    sleep(3000);
    fleet.client_until_200("POST", &format!("/desk/{JOB}"), &job("work 2000", 1, 2000))?;
    for _ in 0..if trouble() { CRASHES } else { 0 } {
        wait("the task runs", Duration::from_secs(15), || runners.runs(JOB).is_some())?;
        let runner = runners.runs(JOB).ok_or("the task does not run")?;
        sleep(RUNS_MS);
        runners.end(runner, "crashes");
        let again = runners.clone();
        std::thread::spawn(move || {
            sleep(DOWN_MS);
            again.begin(runner).ok();
        });
        sleep(100);
    }
    let started = Instant::now();
    let mut state = String::new();
    while started.elapsed() < Duration::from_secs(30) {
        let number = fleet.running()[0];
        if let Some((200, body)) = fleet.client(number, "GET", &format!("/desk/{JOB}"), "") {
            state = body;
            if state.contains("completed") {
                return Ok(Verdict::Held("the job was completed".into()));
            }
            if state.contains("failed") || state.contains("cancelled") {
                break;
            }
        }
        sleep(300);
    }
    // The stand-ins end no task as `failed`, and nobody cancels the job.
    let starts = runners.starts(JOB).len();
    if state.contains("failed") || state.contains("cancelled") {
        return Ok(Verdict::Broken(format!(
            "the job is shown as {state} after {starts} starts, none of which ended `failed`"
        )));
    }
    Err(format!("the job is still shown as {state}"))
}
