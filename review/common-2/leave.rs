//! A runner that drains says that it ends; at that moment the link towards it is cut. It gets no
//! acknowledgement and ends some seconds later. Its task must not run elsewhere before that.

use crate::{
    Case, Record, Verdict,
    fleet::{CONTROL, Fleet, config, job},
    runner::{Cut, Runners},
    sleep, trouble, wait,
};
use std::time::Duration;

/// `drain-ms` is 2000; "and a little longer".
const DRAIN_MS: u64 = 2500;
/// One of sixteen: 0.0625.
const RUNNERS: usize = 16;
const JOB: &str = "00000000000000e1";

pub fn run(record: &Record) -> Case {
    let mut fleet = Fleet::new(record, 3)?;
    fleet.found(&config(1, "desk"))?;
    let control: Vec<_> = (1..=3).map(|n| fleet.address(n, CONTROL)).collect();
    let runners = Runners::start(record, fleet.net, RUNNERS, &control, fleet.cloud())?;
    sleep(2000);
    fleet.client_until_200("POST", &format!("/desk/{JOB}"), &job("work 20000", 1, 20_000))?;
    wait("the task runs", Duration::from_secs(10), || runners.runs(JOB).is_some())?;
    let leaving = runners.runs(JOB).ok_or("the task does not run")?;
    runners.drain(leaving)?;
    sleep(DRAIN_MS);
    if runners.runs(JOB) != Some(leaving) {
        return Err("the task has moved before its runner left".into());
    }
    let acknowledged = runners.leave(leaving, trouble());
    if acknowledged == trouble() {
        return Err(format!("acknowledged: {acknowledged}"));
    }
    sleep(1000);
    runners.set_cut(leaving, Cut::None);
    sleep(3000);
    let starts = runners.starts(JOB);
    let Some(twice) = starts.iter().find(|start| !start.also_on.is_empty()) else {
        return Ok(Verdict::Held(format!("{} starts, never two runs at the same time", starts.len())));
    };
    Ok(Verdict::Broken(format!(
        "run {} of {} started on runner {} while the task still ran on runner {leaving}, which was up",
        twice.number, twice.task, twice.runner
    )))
}
