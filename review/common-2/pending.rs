//! A runner is cut off. A job that is accepted right after that is assigned to it and cannot begin.
//! The queue's `pending` has to count it once it is old enough.

use crate::{
    Case, Record, Verdict,
    fleet::{CONTROL, Fleet, config, job},
    json::Json,
    runner::{Cut, Runners},
    sleep, trouble, wait,
};
use std::time::{Duration, Instant};

/// One of nine: 0.11.
const RUNNERS: usize = 9;
/// How long the runner is cut off.
const CUT: Duration = Duration::from_millis(5900);
/// `visible_ms` + 2 s, from the acknowledgement.
const COUNTS_AFTER: Duration = Duration::from_millis(5000);
const LONG: &str = "00000000000000a1";
const JOB: &str = "00000000000000a2";

pub fn run(record: &Record) -> Case {
    let mut fleet = Fleet::new(record, 3)?;
    fleet.found(&config(1, "desk"))?;
    let control: Vec<_> = (1..=3).map(|n| fleet.address(n, CONTROL)).collect();
    let runners = Runners::start(record, fleet.net, RUNNERS, &control, fleet.cloud())?;
    sleep(4000);
    // A long task makes its runner the fullest one, which the next task goes to as well.
    fleet.client_until_200("POST", &format!("/desk/{LONG}"), &job("work 40000", 1, 40_000))?;
    wait("the long task runs", Duration::from_secs(10), || runners.runs(LONG).is_some())?;
    let cut_off = runners.runs(LONG).ok_or("the long task does not run")?;
    sleep(2000);
    let cut_at = Instant::now();
    if trouble() {
        runners.set_cut(cut_off, Cut::Both);
        sleep(100);
    }
    fleet.client_until_200("POST", &format!("/desk/{JOB}"), &job("work 500", 1, 500))?;
    let accepted = Instant::now();
    let (mut asked, mut wrong) = (0, 0);
    while accepted.elapsed() < Duration::from_secs(9) {
        if cut_at.elapsed() >= CUT {
            runners.set_cut(cut_off, Cut::None);
        }
        if accepted.elapsed() > COUNTS_AFTER {
            for number in fleet.running() {
                let answer = fleet.client(number, "GET", "/desk/", "");
                let begun = !runners.starts(JOB).is_empty();
                let Some((200, body)) = answer.filter(|_| !begun) else { continue };
                asked += 1;
                let pending = Json::parse(&body).map_or(0, |body| body.number("pending"));
                wrong += usize::from(pending < 1);
            }
        }
        sleep(50);
    }
    let begun = runners.starts(JOB).len();
    if begun == 0 {
        return Err("the job has not begun at all".into());
    }
    if wrong == 0 {
        return Ok(Verdict::Held(format!("{asked} answers while the job had not begun, all counted it")));
    }
    Ok(Verdict::Broken(format!(
        "{wrong} of {asked} answers gave `pending` as 0 while the only job that had not begun had been accepted over \
         {} ms before",
        COUNTS_AFTER.as_millis()
    )))
}
