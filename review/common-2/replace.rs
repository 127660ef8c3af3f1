//! A machine of the core is replaced as planned. When the old one is gone and the new one has been up
//! for longer than `catch-up-s`, another machine of the core loses its disk.

use crate::{
    Case, Record, Verdict,
    fleet::{Fleet, config, job},
    runner::Runners,
    sleep, trouble,
};
use std::time::{Duration, Instant};

/// `catch-up-s` is 4; the new machine gets more.
const CATCH_UP_MS: u64 = 5000;
/// From the end of the old machine to the loss of the other one's disk.
const CALM_MS: u64 = 1000;
/// How long the machine that loses its disk is down.
const DOWN_MS: u64 = 2000;
/// `recovery-s` is 12; the system gets more than twice that.
const RECOVERY: Duration = Duration::from_secs(30);

const DONE: &str = "00000000000000d1";
const LAST: &str = "00000000000000d2";

pub fn run(record: &Record) -> Case {
    let mut fleet = Fleet::new(record, 3)?;
    fleet.found(&config(1, "desk"))?;
    let control: Vec<_> = (1..=4).map(|n| fleet.address(n, crate::fleet::CONTROL)).collect();
    let _runners = Runners::start(record, fleet.net, 4, &control, fleet.cloud())?;
    fleet.client_until_200("POST", &format!("/desk/{DONE}"), &job("work 300", 2, 300))?;
    sleep(2000);
    if trouble() {
        fleet.add(4);
        fleet.start(4, &[1, 2, 3], false)?;
        sleep(CATCH_UP_MS);
        fleet.terminate(1);
        sleep(CALM_MS);
    }
    fleet.configure(&config(2, "desk"))?;
    fleet.client_until_200("POST", &format!("/desk/{LAST}"), &job("work 300", 2, 300))?;
    if trouble() {
        fleet.kill(2, true);
        sleep(DOWN_MS);
        fleet.start(2, &[2, 3, 4], false)?;
    }
    record.line("from here on, all machines run and the system has to recover");
    let recovered = Instant::now();
    let (mut job_known, mut config_read) = (false, false);
    while recovered.elapsed() < RECOVERY && !(job_known && config_read) {
        for number in fleet.running() {
            let answer = fleet.client(number, "GET", &format!("/desk/{LAST}"), "");
            job_known |= answer.is_some_and(|(status, body)| status == 200 && body.contains("completed"));
            let answer = fleet.operator(number, "GET", "/sardinevalve/Config.Get", "");
            config_read |=
                answer.is_some_and(|(status, body)| status == 200 && body.contains(r#""version":2"#));
        }
        sleep(500);
    }
    let took = recovered.elapsed().as_millis();
    if job_known && config_read {
        return Ok(Verdict::Held(format!("the acknowledged job and configuration were read after {took} ms")));
    }
    Ok(Verdict::Broken(format!(
        "{took} ms after all machines are back, the acknowledged configuration was {}, the accepted job {}",
        if config_read { "read" } else { "never read" },
        if job_known { "known as completed" } else { "never known as completed" },
    )))
}
