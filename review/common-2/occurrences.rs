//! Jobs with many occurrences are handed in. The platform kills a process that uses more memory than its
//! machine has, and starts it again.

use crate::{
    Case, Record, Verdict,
    fleet::{CONTROL, FRONT, Fleet, HOST, config},
    http,
    runner::Runners,
    sleep, trouble,
};
use std::{
    collections::BTreeMap,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

/// `memory-mb` of the machines with a disk.
const MEMORY_MB: u64 = 260;
const JOBS: u64 = 130;
/// An occurrence an hour for a year.
const MANY: u32 = 365 * 24;
/// As in the site file (`times`).
const FEW: u32 = 6;
const HOUR_MS: u64 = 3_600_000;
/// Pause between two jobs; the site's kinds send 17 jobs a second together.
const PAUSE: Duration = Duration::from_millis(80);
/// Time for which jobs are handed in, at most.
const HAND_IN: Duration = Duration::from_secs(40);
/// Pause before a client tries again.
const RETRY: Duration = Duration::from_millis(400);
/// `recovery-s` 12 and `finish_s` 14, from the last job on, and some more.
const AFTER: Duration = Duration::from_secs(30);
/// At the end, jobs are asked for during this time.
const ASKED: Duration = Duration::from_secs(14);

fn job(occurrences: u32) -> String {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_millis() as u64);
    format!(
        r#"{{"spec":"work 100","run-count":{occurrences},"first-run-ms":{},"interval-ms":{HOUR_MS},"steps":[{{"count":1,"cpu":1000,"mem-mb":256,"estimated-ms":100}}]}}"#,
        now + HOUR_MS
    )
}

fn path(i: u64) -> String {
    format!("/desk/{:016x}", 0xe0 + i)
}

pub fn run(record: &Record) -> Case {
    let mut fleet = Fleet::new(record, 3)?;
    fleet.found(&config(1, "desk"))?;
    let control: Vec<_> = (1..=3).map(|n| fleet.address(n, CONTROL)).collect();
    let _runners = Runners::start(record, fleet.net, 4, &control, fleet.cloud())?;
    sleep(2000);
    let body = job(if trouble() { MANY } else { FEW });
    let mut killed = BTreeMap::<u8, usize>::new();
    let mut accepted = Vec::new();
    let mut watch = |fleet: &mut Fleet, time: Duration| -> Result<(), String> {
        let started = Instant::now();
        while started.elapsed() < time {
            for number in fleet.enforce_memory(MEMORY_MB)? {
                *killed.entry(number).or_default() += 1;
            }
            sleep(20);
        }
        Ok(())
    };
    let started = Instant::now();
    for i in 0..JOBS {
        if started.elapsed() > HAND_IN {
            break;
        }
        // A client's first attempt and its four retries, each at another machine.
        for attempt in 0..5 {
            let number = ((i + attempt) % 3) as u8 + 1;
            if fleet.client(number, "POST", &path(i), &body).is_some_and(|(status, _)| status == 200) {
                accepted.push(i);
                break;
            }
            watch(&mut fleet, RETRY)?;
        }
        watch(&mut fleet, PAUSE)?;
        if i % 10 == 9 {
            record.line(&format!("after {} jobs the voters use {:?} MB", i + 1, fleet.voter_megabytes()));
        }
    }
    record.line(&format!("{} jobs were accepted, each of {} bytes", accepted.len(), body.len()));
    watch(&mut fleet, AFTER)?;
    let started = Instant::now();
    let mut known = 0;
    for i in &accepted {
        let mut found = false;
        while !found && started.elapsed() < ASKED {
            for number in 1..=3 {
                let address = fleet.address(number, FRONT);
                let answer = http::call(address, "GET", HOST, &path(*i), "", Duration::from_millis(500));
                found |= answer.is_some_and(|(status, _)| status == 200);
            }
            watch(&mut fleet, Duration::from_millis(50))?;
        }
        known += usize::from(found);
    }
    let kills: usize = killed.values().sum();
    let text = format!(
        "{known} of {} accepted jobs were known at the end; voters were killed {kills} times for their memory, by \
         machine {killed:?}",
        accepted.len()
    );
    // Half of the core, three times each: RULES.md, Fault.
    let fault = killed.values().filter(|times| **times >= 3).count() * 2 >= 3;
    if known == accepted.len() && !fault { Ok(Verdict::Held(text)) } else { Ok(Verdict::Broken(text)) }
}
