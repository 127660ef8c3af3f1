//! A small deployment on loopback: three machines with a voter and a gateway each, started with the
//! commands of the deploy file, runners, and the platform. Everything ends with it.

use super::{
    http,
    platform::{self, Machines},
};
use std::{
    fs::{self, File, OpenOptions},
    io::Write,
    net::TcpListener,
    path::PathBuf,
    process::{Child, Command, Stdio},
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

pub const HOST: &str = "pule25.example";
pub const PREFIX: &str = "/puxa400/";
const ENTRY: &str = "target/release/sardinevalve-entry";
const TEMPLATE: &str = "deploy/settings.ini";
/// Ports, the same on all machines.
const FRONT: u16 = 8624;
const READY: u16 = 8622;
const CONTROL: u16 = 8623;
const PEERS: u16 = 7060;
const PLATFORM: u16 = 8621;
const RUNNER: u16 = 8080;

struct Runner {
    machine: String,
    rack: String,
    address: String,
    lives: u32,
    process: Option<Child>,
}

pub struct Fleet {
    /// First three octets of all addresses.
    net: String,
    temporary: PathBuf,
    daemons: Vec<Child>,
    runners: Vec<Runner>,
    machines: Machines,
    record: File,
    /// File with the ids of all processes, for `run.sh` to end them if this process is ended.
    pids: PathBuf,
    started: Instant,
}

impl Drop for Fleet {
    fn drop(&mut self) {
        let runners = self.runners.iter_mut().filter_map(|runner| runner.process.as_mut());
        for process in self.daemons.iter_mut().chain(runners) {
            process.kill().ok();
            process.wait().ok();
        }
        fs::remove_dir_all(&self.temporary).ok();
    }
}

impl Fleet {
    /// Starts the fleet; `None` if it cannot run here.
    pub fn start(folder: &str, runners: usize) -> Option<Self> {
        let record = File::create(format!("{folder}/record.txt")).ok()?;
        let pid = std::process::id();
        let net = (0..200).map(|i| format!("127.{}.{}", 20 + (pid + i) % 200, 1 + (pid + i) / 200 % 200));
        let ports = [FRONT, READY, CONTROL, PEERS, PEERS + 1, PLATFORM, RUNNER, 9464, 9465];
        let is_free = |net: &String| {
            (1..=3).all(|i| ports.iter().all(|p| TcpListener::bind(format!("{net}.{i}:{p}")).is_ok()))
        };
        let net = { net }.find(is_free)?;
        let temporary = std::env::temp_dir().join(format!("sardinevalve-review-{pid}"));
        fs::create_dir_all(&temporary).ok()?;
        let machines = Machines::default();
        let mut fleet = Self {
            net,
            temporary,
            daemons: Vec::new(),
            runners: Vec::new(),
            machines,
            record,
            pids: format!("{folder}/pids").into(),
            started: Instant::now(),
        };
        platform::serve(&format!("{}.200:{PLATFORM}", fleet.net), fleet.machines.clone());
        for machine in 1..=3 {
            for gateway in [false, true] {
                let daemon = fleet.start_daemon(machine, gateway)?;
                fleet.daemons.push(daemon);
            }
        }
        for i in 0..runners {
            fleet.runners.push(Runner {
                machine: format!("m-{i:02}"),
                rack: format!("r-{}", i / 4),
                address: format!("{}.{}:{RUNNER}", fleet.net, 100 + i),
                lives: 0,
                process: None,
            });
            fleet.start_runner(i);
        }
        Some(fleet)
    }

    /// Starts a daemon with the command of its role and the settings that the template gives.
    fn start_daemon(&self, machine: usize, gateway: bool) -> Option<Child> {
        let ip = format!("{}.{machine}", self.net);
        let seeds: Vec<_> = (1..=3).map(|i| format!("{}.{i}:{CONTROL}", self.net)).collect();
        let name = format!("edge-{machine}-{}", if gateway { "gateway" } else { "voter" });
        let data = self.temporary.join(format!("data-{machine}"));
        fs::create_dir_all(&data).ok()?;
        let only = |wanted: bool, value: String| if wanted { value } else { String::new() };
        let values = [
            ("node", format!("edge-{machine}")),
            ("zone", "dc".into()),
            ("data-dir", data.display().to_string()),
            ("listen-addrs.front", only(gateway, format!("{ip}:{FRONT}"))),
            ("listen-addrs.ready", only(gateway, format!("{ip}:{READY}"))),
            ("listen-addrs.control", only(!gateway, format!("{ip}:{CONTROL}"))),
            ("ip", ip.clone()),
            ("internal-ports.0", PEERS.to_string()),
            ("seeds", seeds.join(",")),
            ("bootstrap", "true".into()),
            ("cloud.address", format!("{}.200:{PLATFORM}", self.net)),
            ("cloud.duty-per-s", "64.0".into()),
            ("advice", String::new()),
            ("bounds.max-hold-ms", "10000".into()),
            ("bounds.lease-ms", "3000".into()),
            ("bounds.grace-s", "6".into()),
        ];
        let mut settings = fs::read_to_string(TEMPLATE).ok()?;
        for (key, value) in values {
            settings = settings.replace(&format!("{{{{{key}}}}}"), &value);
        }
        let path = self.temporary.join(format!("{name}.ini"));
        fs::write(&path, settings).ok()?;
        let log = File::create(self.temporary.join(format!("{name}.log"))).ok()?;
        let mut command = Command::new(ENTRY);
        if gateway {
            command.arg("--gateway");
        }
        command.env_clear().env("SARDINEVALVE_CONFIG", path).stdin(Stdio::null());
        let child = command.stdout(log.try_clone().ok()?).stderr(log).spawn().ok()?;
        self.record_pid(&child);
        Some(child)
    }

    fn record_pid(&self, child: &Child) {
        if let Ok(mut file) = OpenOptions::new().create(true).append(true).open(&self.pids) {
            writeln!(file, "{}", child.id()).ok();
        }
    }

    /// Starts a new life of a runner on its machine.
    pub fn start_runner(&mut self, i: usize) {
        let log = self.temporary.join("runs.log");
        let control: Vec<_> = (1..=3).map(|i| format!("{}.{i}:{CONTROL}", self.net)).collect();
        let runner = &mut self.runners[i];
        runner.lives += 1;
        let id = format!("i-{i:02}-{}", runner.lives);
        let program = std::env::current_exe().expect("own path");
        let mut command = Command::new(program);
        command.args(["runner", &id, &runner.machine, &runner.rack, &runner.address]);
        command.arg(log).args(control).stdin(Stdio::null());
        let child = command.spawn().ok();
        self.machines.0.lock().unwrap().insert(runner.machine.clone(), Some(id));
        child.iter().for_each(|child| self.record_pid(child));
        self.runners[i].process = child;
    }

    /// Crashes a runner. The platform lists its machine as down until it starts again.
    pub fn crash_runner(&mut self, i: usize) {
        let runner = &mut self.runners[i];
        if let Some(mut process) = runner.process.take() {
            process.kill().ok();
            process.wait().ok();
        }
        self.machines.0.lock().unwrap().insert(runner.machine.clone(), None);
    }

    /// Lines of the log of runs: Unix milliseconds, runner, and what happened.
    pub fn runs(&self) -> Vec<String> {
        let text = fs::read_to_string(self.temporary.join("runs.log")).unwrap_or_default();
        text.lines().map(Into::into).collect()
    }

    /// The runner on which a task has started last and not ended since.
    pub fn runner_of(&self, task: &str) -> Option<usize> {
        let runs = self.runs();
        let last = runs.iter().rev().find(|line| line.contains(&format!(" {task} ")))?;
        let mut words = last.split(' ').skip(1);
        let (id, what) = (words.next()?, words.next()?);
        let index: usize = id.split('-').nth(1)?.parse().ok()?;
        let current = format!("i-{index:02}-{}", self.runners[index].lives);
        let alive = self.runners[index].process.is_some() && current == id;
        (what == "start" && alive).then_some(index)
    }

    pub fn time(&self) -> f64 {
        self.started.elapsed().as_secs_f64()
    }

    /// Writes a line to the record of the case.
    pub fn note(&mut self, line: &str) {
        let line = format!("{:8.3} {line}\n", self.time());
        self.record.write_all(line.as_bytes()).ok();
        print!("{line}");
    }

    /// Writes what the runners did to the record, and the lines of the daemons' logs that `wanted`
    /// names.
    pub fn record_logs(&mut self, wanted: &[&str]) {
        let begin = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as f64
            - self.time() * 1000.0;
        let mut lines = vec!["-- runs, as the runners saw them".to_string()];
        for line in self.runs() {
            let (at, what) = line.split_once(' ').unwrap_or_default();
            let at = at.parse::<f64>().unwrap_or(begin) - begin;
            lines.push(format!("{:8.3} {what}", at / 1000.0));
        }
        lines.push("-- from the daemons' own logs, to explain".to_string());
        for machine in 1..=3 {
            let log = self.temporary.join(format!("edge-{machine}-voter.log"));
            let log = fs::read_to_string(log).unwrap_or_default();
            let found = log.lines().filter(|line| wanted.iter().any(|word| line.contains(word)));
            lines.extend(found.take(60).map(|line| format!("edge-{machine} {line}")));
        }
        for line in lines {
            writeln!(self.record, "{line}").ok();
        }
    }

    /// Sends a call of a client to the gateway of a machine.
    pub fn client(&self, machine: usize, method: &str, id: &str, body: &str) -> Option<(u16, String)> {
        let address = format!("{}.{machine}:{FRONT}", self.net);
        http::call(&address, method, &format!("{PREFIX}{id}"), HOST, body, Duration::from_secs(3))
    }

    /// Opens a connection to the gateway of a machine.
    pub fn open_session(&self, machine: usize) -> Option<http::Session> {
        http::Session::open(&format!("{}.{machine}:{FRONT}", self.net), Duration::from_secs(5))
    }

    /// The machine whose voter has become leader last, by the logs.
    pub fn leader(&self) -> usize {
        let count = |machine: &usize| {
            let log = self.temporary.join(format!("edge-{machine}-voter.log"));
            let log = fs::read_to_string(log).unwrap_or_default();
            let last = log.lines().rev().find(|line| line.contains("\"what\":\"owns\""));
            last.and_then(|line| http::number(line, "at_ms")).unwrap_or(0)
        };
        (1..=3).max_by_key(count).unwrap_or(1)
    }

    /// Sends SIGTERM to the processes of a machine, as the platform does before it stops them.
    pub fn terminate(&mut self, machine: usize) {
        for daemon in &self.daemons[2 * (machine - 1)..2 * machine] {
            let pid = daemon.id().to_string();
            Command::new("kill").args(["-TERM", &pid]).status().ok();
        }
    }

    /// Sends a call of the operator to the voter of a machine.
    pub fn operator(
        &self,
        machine: usize,
        method: &str,
        path: &str,
        body: &str,
        timeout: Duration,
    ) -> Option<(u16, String)> {
        let address = format!("{}.{machine}:{CONTROL}", self.net);
        http::call(&address, method, &format!("/sardinevalve/{path}"), "control", body, timeout)
    }

    /// Whether the gateways are ready.
    pub fn is_ready(&self) -> bool {
        (1..=3).all(|machine| {
            let address = format!("{}.{machine}:{READY}", self.net);
            let path = "/sardinevalve/readiness";
            let answer = http::call(&address, "GET", path, "ready", "", Duration::from_secs(1));
            answer.is_some_and(|(status, _)| status == 200)
        })
    }

    /// Hands in a job as a client does: with retries at other machines after no clear answer.
    pub fn submit(&mut self, id: &str, body: &str) -> bool {
        for attempt in 0..5 {
            let machine = 1 + attempt % 3;
            let answer = self.client(machine, "POST", id, body).map(|(status, _)| status);
            self.note(&format!("client: POST {id} to machine {machine}: {answer:?}"));
            match answer {
                Some(status) if (200..300).contains(&status) => return true,
                Some(429 | 503) => thread::sleep(Duration::from_secs(1)),
                _ => {}
            }
        }
        false
    }

    /// Asks for the state of a job, at one machine after the other.
    pub fn state(&mut self, id: &str) -> String {
        for machine in 1..=3 {
            let answer = self.client(machine, "GET", id, "");
            let state = match &answer {
                Some((200, body)) => http::text(body, "state"),
                Some((410, _)) => Some("410".into()),
                _ => None,
            };
            if let Some(state) = state {
                self.note(&format!("client: GET {id} at machine {machine}: {state}"));
                return state;
            }
            self.note(&format!("client: GET {id} at machine {machine}: no answer, {answer:?}"));
        }
        "no answer".into()
    }

    /// Waits until `done` holds.
    pub fn wait(&mut self, limit: Duration, mut done: impl FnMut(&mut Self) -> bool) -> bool {
        let end = Instant::now() + limit;
        while Instant::now() < end {
            if done(self) {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }
}
