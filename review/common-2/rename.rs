//! A configuration removes a route and adds one with another name at the same host and prefix, to the
//! same service. Jobs that were accepted before have to be known, and done, after it.

use crate::{
    Case, Record, Verdict,
    fleet::{CONTROL, Fleet, config},
    runner::Runners,
    sleep, trouble,
};

const JOB: &str = "00000000000000c1";

pub fn run(record: &Record) -> Case {
    let mut fleet = Fleet::new(record, 3)?;
    fleet.found(&config(1, "r-desk"))?;
    let control: Vec<_> = (1..=3).map(|n| fleet.address(n, CONTROL)).collect();
    let runners = Runners::start(record, fleet.net, 4, &control, fleet.cloud())?;
    sleep(2000);
    let two_steps = r#"{"spec":"work 3000","steps":[{"count":2,"cpu":1000,"mem-mb":256,"estimated-ms":3000},{"count":2,"cpu":1000,"mem-mb":256,"estimated-ms":3000,"after":[0]}]}"#;
    fleet.client_until_200("POST", &format!("/desk/{JOB}"), two_steps)?;
    sleep(1000);
    fleet.configure(&config(2, if trouble() { "r-desk-2" } else { "r-desk" }))?;
    // `visible_ms` is 3000 and `config-apply-ms` 2000.
    sleep(5000);
    let mut unknown = 0;
    for number in fleet.running() {
        let answer = fleet.client(number, "GET", &format!("/desk/{JOB}"), "");
        unknown += usize::from(answer.is_some_and(|(status, _)| status == 410));
    }
    // `finish_s` is 14.
    sleep(14_000);
    let mut state = String::new();
    for number in fleet.running() {
        if let Some((status, body)) = fleet.client(number, "GET", &format!("/desk/{JOB}"), "") {
            state = format!("{status} {body}");
        }
    }
    let starts = runners.starts(JOB).len();
    if unknown == 0 && state.contains("completed") {
        return Ok(Verdict::Held(format!("the job was known all the time and is done, {starts} starts")));
    }
    Ok(Verdict::Broken(format!(
        "{unknown} of 3 machines answer 410 for an accepted job that nobody cancelled; at the end: {state}, \
         {starts} of 4 tasks started"
    )))
}
