//! Stand-ins and scripts of the second review: clients, an operator, runners and the platform's machine
//! list, around real `sardinevalve-entry` processes on loopback. Only the standard library is used.
//!
//! `standin CASE` runs one case in the root of the repository and writes `record.txt` into the folder
//! given as the second argument. Exit code 1: the rule was broken; 0: it held; 2: the case could not run.
//! With `TROUBLE=0` in the environment the disruption is left out.

mod fleet;
mod http;
mod json;
mod runner;

mod gang;
mod leave;
mod occurrences;
mod pending;
mod replace;

use std::{
    fs::File,
    io::Write,
    path::Path,
    process::ExitCode,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

/// The record of a case, `record.txt`: what was sent, answered and run, in order.
#[derive(Clone)]
pub struct Record {
    started: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    fn new(folder: &Path) -> std::io::Result<Self> {
        let file = File::create(folder.join("record.txt"))?;
        Ok(Self { started: Instant::now(), file: Arc::new(Mutex::new(file)) })
    }

    pub fn line(&self, text: &str) {
        let at = self.started.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
        writeln!(file, "{at:8.3} {text}").ok();
    }
}

/// How a case ended.
pub enum Verdict {
    Held(String),
    Broken(String),
}

/// A case that could not run, with the reason.
pub type Case = Result<Verdict, String>;

/// Whether the disruption is part of this run.
pub fn trouble() -> bool {
    std::env::var("TROUBLE").is_ok_and(|value| value == "0") == false
}

/// Waits until `condition` holds, or gives the reason why the case cannot run.
pub fn wait(what: &str, longest: Duration, mut condition: impl FnMut() -> bool) -> Result<(), String> {
    let started = Instant::now();
    while !condition() {
        if started.elapsed() > longest {
            return Err(format!("timed out waiting until {what}"));
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    Ok(())
}

pub fn sleep(milliseconds: u64) {
    std::thread::sleep(Duration::from_millis(milliseconds));
}

fn main() -> ExitCode {
    let arguments: Vec<_> = std::env::args().collect();
    let [_, case, folder] = arguments.as_slice() else {
        eprintln!("usage: standin CASE FOLDER");
        return ExitCode::from(2);
    };
    let record = match Record::new(Path::new(folder)) {
        Ok(record) => record,
        Err(error) => {
            eprintln!("cannot write the record: {error}");
            return ExitCode::from(2);
        }
    };
    record.line(&format!("case {case}, disruption {}", if trouble() { "on" } else { "off" }));
    let result = match case.as_str() {
        "replace" => replace::run(&record),
        "leave" => leave::run(&record),
        "occurrences" => occurrences::run(&record),
        "pending" => pending::run(&record),
        "gang" => gang::run(&record),
        other => Err(format!("no case {other}")),
    };
    let (code, text) = match result {
        Ok(Verdict::Held(text)) => (0, format!("rule held: {text}")),
        Ok(Verdict::Broken(text)) => (1, format!("rule broken: {text}")),
        Err(text) => (2, format!("could not run: {text}")),
    };
    record.line(&text);
    println!("{text}");
    ExitCode::from(code)
}
