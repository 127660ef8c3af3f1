//! A sound runner, as the pages describe it, in a process of its own, so that a signal can end it.
//! It appends a line to the log of runs for each start and each end.

use super::{http, platform::CAPACITY};
use std::{
    collections::BTreeMap,
    fs::OpenOptions,
    io::Write,
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

/// Longest lease (`max-hold-ms`).
const MAX_HOLD_MS: u64 = 10_000;
/// Time that a stop takes, less than `stop-timeout-ms`.
const STOP: Duration = Duration::from_millis(50);
/// Time between heartbeats (`heartbeat-ms`).
const HEARTBEAT: Duration = Duration::from_millis(1500);

struct Run {
    number: u64,
    /// When it is done; `None` for a task that lasts.
    done_at: Option<Instant>,
    /// When it ends as stopped.
    stopped_at: Option<Instant>,
}

struct State {
    started: Instant,
    fence: u64,
    lease: u64,
    running: BTreeMap<String, Run>,
    /// Ends that were not taken note of: number, task, run and how it ended.
    finished: Vec<(u64, String, u64, &'static str)>,
    last_end: u64,
    /// Highest run that is refused, by task.
    refused: BTreeMap<String, u64>,
}

struct Runner {
    id: String,
    born: u64,
    log: String,
    state: Mutex<State>,
    ended: Condvar,
}

impl State {
    fn clock(&self) -> u64 {
        self.started.elapsed().as_millis() as u64 + 1
    }

    fn extend(&mut self, until: Option<u64>) {
        let longest = self.clock() + MAX_HOLD_MS;
        self.lease = self.lease.max(until.unwrap_or(0).min(longest));
    }
}

impl Runner {
    fn note(&self, what: &str) {
        let file = OpenOptions::new().create(true).append(true).open(&self.log);
        let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        if let Ok(mut file) = file {
            let line = format!("{} {} {what}\n", now.as_millis(), self.id);
            file.write_all(line.as_bytes()).ok();
        }
    }

    fn end(&self, state: &mut State, task: &str, how: &'static str) {
        let Some(run) = state.running.remove(task) else { return };
        state.last_end += 1;
        let number = state.last_end;
        state.refused.insert(task.into(), run.number);
        state.finished.push((number, task.into(), run.number, how));
        self.note(&format!("end {task} run {} {how}", run.number));
        self.ended.notify_all();
    }

    /// Ends what is done or stopped, and all runs once the lease is over.
    fn tick(&self) {
        let mut state = self.state.lock().unwrap();
        let now = Instant::now();
        let lapsed = state.clock() > state.lease;
        let due: Vec<_> = state
            .running
            .iter()
            .filter_map(|(task, run)| {
                let is_past = |at: Option<Instant>| at.is_some_and(|at| now >= at);
                let how = if lapsed {
                    "lapsed"
                } else if is_past(run.stopped_at) {
                    "stopped"
                } else if is_past(run.done_at) {
                    "done"
                } else {
                    return None;
                };
                Some((task.clone(), how))
            })
            .collect();
        for (task, how) in due {
            self.end(&mut state, &task, how);
        }
    }

    fn handle(&self, request: http::Request) -> (u16, String) {
        if request.header("Expect-Instance").is_some_and(|id| id != self.id) {
            return (421, "{}".into());
        }
        let body = &request.body;
        let mut state = self.state.lock().unwrap();
        let fence = http::number(body, "fencing-token").unwrap_or(0);
        let refusal = |clock: u64, reason: &str| {
            (409, format!(r#"{{"clock-ms":{clock},"reason":"{reason}","born":{}}}"#, self.born))
        };
        if fence < state.fence {
            return refusal(state.clock(), "fence");
        }
        state.fence = fence;
        let until = http::number(body, "run-until-ms");
        let (Some(task), Some(number)) = (http::text(body, "task"), http::number(body, "run"))
        else {
            return if request.path == "/sardinevalve/hold" {
                state.extend(until);
                self.hold(state, body)
            } else {
                (400, "{}".into())
            };
        };
        let clock = state.clock();
        match request.path.as_str() {
            "/sardinevalve/run-start" => {
                if until.is_none_or(|until| until <= clock) {
                    return refusal(clock, "late");
                }
                state.extend(until);
                if state.refused.get(&task).is_some_and(|refused| *refused >= number) {
                    return refusal(clock, "old");
                }
                if !state.running.contains_key(&task) {
                    // The spec tells for how long the task works; 0 is until it is stopped.
                    let spec = http::text(body, "spec").unwrap_or_default();
                    let step = task.split('.').nth(2).and_then(|step| step.parse().ok());
                    let lengths = spec.split(',').map(|ms| ms.parse::<u64>().unwrap_or(0));
                    let length = lengths.clone().nth(step.unwrap_or(0)).unwrap_or(0);
                    let done_at = (length > 0).then(|| Instant::now() + Duration::from_millis(length));
                    self.note(&format!("start {task} run {number}"));
                    state.running.insert(task, Run { number, done_at, stopped_at: None });
                }
            }
            "/sardinevalve/run-stop" => {
                let refused = state.refused.entry(task.clone()).or_default();
                *refused = (*refused).max(number);
                let run = state.running.get_mut(&task).filter(|run| run.number == number);
                if let Some(run) = run {
                    run.stopped_at.get_or_insert(Instant::now() + STOP);
                }
            }
            "/sardinevalve/pace" => {}
            _ => return (404, "{}".into()),
        }
        (200, format!(r#"{{"clock-ms":{clock},"born":{}}}"#, self.born))
    }

    fn hold(&self, mut state: std::sync::MutexGuard<State>, body: &str) -> (u16, String) {
        let seen = http::number(body, "last-seen").unwrap_or(0);
        state.finished.retain(|(number, ..)| *number > seen);
        let wait = http::number(body, "wait-ms").unwrap_or(0).min(2000);
        if state.finished.is_empty() && wait > 0 {
            state = self.ended.wait_timeout(state, Duration::from_millis(wait)).unwrap().0;
        }
        let running: Vec<_> = state
            .running
            .iter()
            .map(|(task, run)| format!(r#"["{task}",{},"",100,0]"#, run.number))
            .collect();
        let finished: Vec<_> = state
            .finished
            .iter()
            .take(500)
            .map(|(n, task, run, how)| format!(r#"[{n},"{task}",{run},"{how}",""]"#))
            .collect();
        let body = format!(
            r#"{{"clock-ms":{},"born":{},"running":[{}],"finished":[{}]}}"#,
            state.clock(),
            self.born,
            running.join(","),
            finished.join(",")
        );
        (200, body)
    }

    fn heartbeat(&self, machine: &str, rack: &str, address: &str, sequence: u64) -> String {
        let clock = self.state.lock().unwrap().clock();
        format!(
            r#"{{"service":"work","address":"{address}","zone":"dc","version":"v1","slots":8,"state":"ready","cold-remaining-ms":0,"capacity":{CAPACITY},"labels":["a","{rack}"],"machine":"{machine}","clock-ms":{clock},"born":{},"sequence":{sequence}}}"#,
            self.born
        )
    }
}

/// Runs a runner: `ID MACHINE RACK ADDRESS LOG CONTROL...`.
pub fn run(arguments: &[String]) -> i32 {
    let [id, machine, rack, address, log, control @ ..] = arguments else { return 2 };
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let state = State {
        started: Instant::now(),
        fence: 0,
        lease: 0,
        running: BTreeMap::new(),
        finished: Vec::new(),
        last_end: 0,
        refused: BTreeMap::new(),
    };
    let runner = Arc::new(Runner {
        id: id.clone(),
        born: now.as_millis() as u64,
        log: log.clone(),
        state: Mutex::new(state),
        ended: Condvar::new(),
    });
    let served = runner.clone();
    http::serve(address, move |request| served.handle(request));
    runner.note("up");
    let ticking = runner.clone();
    thread::spawn(move || loop {
        ticking.tick();
        thread::sleep(Duration::from_millis(5));
    });
    let path = format!("/sardinevalve/Instances.Heartbeat/{id}");
    let mut node = std::process::id() as usize;
    for sequence in 1.. {
        let body = runner.heartbeat(machine, rack, address, sequence);
        for _ in 0..control.len() {
            let to = &control[node % control.len()];
            let answer = http::call(to, "POST", &path, "control", &body, Duration::from_secs(1));
            if answer.is_some_and(|(status, _)| (200..300).contains(&status)) {
                break;
            }
            node += 1;
        }
        thread::sleep(HEARTBEAT);
    }
    0
}
