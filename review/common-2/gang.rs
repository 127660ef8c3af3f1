//! One runner of each rack is lost for good. A gang that asks for one rack, and would no longer fit
//! into one, has to run on several racks: there is room for it twice over.

use crate::{
    Case, Record, Verdict,
    fleet::{CONTROL, Fleet, config},
    runner::{RACK, Runners},
    sleep, trouble,
};
use std::time::{Duration, Instant};

const RUNNERS: usize = 3 * RACK;
/// Each lost runner is one of twelve: 0.083.
const BETWEEN_LOSSES_MS: u64 = 1500;
/// `finish_s` is 14; the system gets more.
const FINISH: Duration = Duration::from_secs(30);
const JOB: &str = "00000000000000b1";
const PLAIN: &str = "00000000000000b2";

/// A gang of four tasks, each of the size of a runner.
fn gang(rack_local: bool) -> String {
    let rack_local = if rack_local { r#","rack-local":true"# } else { "" };
    format!(
        r#"{{"spec":"work 800","steps":[{{"count":{RACK},"cpu":16000,"mem-mb":256,"estimated-ms":800,"gang":true{rack_local}}}]}}"#
    )
}

/// Asks for a job until it is completed; the last state otherwise.
fn follow(fleet: &Fleet, job: &str, longest: Duration) -> String {
    let started = Instant::now();
    let mut state = "not known".to_string();
    while started.elapsed() < longest {
        if let Some((status, body)) = fleet.client(1, "GET", &format!("/desk/{job}"), "") {
            state = format!("{status} {body}");
            if state.contains("completed") {
                break;
            }
        }
        sleep(500);
    }
    state
}

pub fn run(record: &Record) -> Case {
    let mut fleet = Fleet::new(record, 3)?;
    fleet.found(&config(1, "desk"))?;
    let control: Vec<_> = (1..=3).map(|n| fleet.address(n, CONTROL)).collect();
    let runners = Runners::start(record, fleet.net, RUNNERS, &control, fleet.cloud())?;
    sleep(3000);
    if trouble() {
        for rack in 0..RUNNERS / RACK {
            runners.end(rack * RACK, "is lost for good");
            sleep(BETWEEN_LOSSES_MS);
        }
    }
    // A gang that does not ask for one rack shows that there is room.
    fleet.client_until_200("POST", &format!("/desk/{PLAIN}"), &gang(false))?;
    let plain = follow(&fleet, PLAIN, FINISH);
    if !plain.contains("completed") {
        return Err(format!("the gang without `rack-local` is shown as {plain}"));
    }
    fleet.client_until_200("POST", &format!("/desk/{JOB}"), &gang(true))?;
    let state = follow(&fleet, JOB, FINISH);
    let starts = runners.starts(JOB).len();
    if state.contains("completed") {
        return Ok(Verdict::Held(format!("the gang is done after {starts} starts")));
    }
    Ok(Verdict::Broken(format!(
        "{} s after its acceptance the gang has had {starts} starts and is shown as {state}; {} runners of 16 cores \
         are up and run nothing, it needs {RACK}",
        FINISH.as_secs(),
        RUNNERS - RUNNERS / RACK
    )))
}
