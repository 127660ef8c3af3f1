//! The system: machines with a voter and a gateway each, started with the commands and the settings
//! template of the deploy file; and a client and an operator of it.

use crate::{Record, http, sleep, wait};
use std::{
    fs::{self, File},
    net::{SocketAddr, TcpListener},
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::atomic::{AtomicUsize, Ordering},
    time::{Duration, Instant},
};

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

const SIGTERM: i32 = 15;

pub const FRONT: u16 = 8624;
pub const READY: u16 = 8622;
pub const CONTROL: u16 = 8623;
const INTERNAL: u16 = 7060;
const METRICS: u16 = 9464;

/// Bounds as on the sheets of the small deployments.
const MAX_HOLD_MS: u64 = 6000;
const LEASE_MS: u64 = 3000;
const GRACE_S: u64 = 6;

/// Roles of the deploy file, in the order of the processes of a machine.
const ROLES: [&str; 2] = ["voter", "gateway"];
/// Delay before the platform starts a process again.
const RESTART_MS: u64 = 500;

/// Host of every route.
pub const HOST: &str = "shop.example";

pub struct Machine {
    pub number: u8,
    pub ip: String,
    data: PathBuf,
    processes: Vec<Child>,
}

pub struct Fleet {
    pub record: Record,
    folder: PathBuf,
    /// Second octet of all addresses, `127.NET.x.y`.
    pub net: u8,
    pub machines: Vec<Machine>,
    template: String,
    commands: [Vec<String>; 2],
    next: AtomicUsize,
}

/// The words of `run` of a role in the deploy file.
fn command(deploy: &str, role: &str) -> Option<Vec<String>> {
    let section = deploy.split("[roles.").find(|text| text.starts_with(&format!("{role}]")))?;
    let line = section.lines().find(|line| line.starts_with("run"))?;
    Some(line.split('"').nth(1)?.split(' ').map(String::from).collect())
}

impl Fleet {
    /// Prepares the first `machines`, which are not started yet.
    pub fn new(record: &Record, machines: u8) -> Result<Self, String> {
        let deploy = fs::read_to_string("deploy/system.toml").map_err(|e| e.to_string())?;
        let template = fs::read_to_string("deploy/settings.ini").map_err(|e| e.to_string())?;
        let commands = ROLES.map(|role| command(&deploy, role));
        let [Some(voter), Some(gateway)] = commands else { return Err("no roles".into()) };
        if !std::path::Path::new(&voter[0]).exists() {
            return Err(format!("{} is not built", voter[0]));
        }
        let process = std::process::id();
        let is_free = |net: u8| {
            let ports = [FRONT, READY, CONTROL, METRICS];
            ports.iter().all(|port| TcpListener::bind((format!("127.{net}.1.1"), *port)).is_ok())
        };
        let first = (process % 100) as u8;
        let net = (0..100).map(|i| 20 + (first + i) % 100).find(|net| is_free(*net));
        let net = net.ok_or("no free addresses")?;
        let folder = std::env::temp_dir().join(format!("sardinevalve-review-{process}"));
        fs::create_dir_all(&folder).map_err(|e| e.to_string())?;
        let mut fleet = Self {
            record: record.clone(),
            folder,
            net,
            machines: Vec::new(),
            template,
            commands: [voter, gateway],
            next: AtomicUsize::new(0),
        };
        for number in 1..=machines {
            fleet.add(number);
        }
        Ok(fleet)
    }

    /// Adds a machine with an empty disk, which is not started yet.
    pub fn add(&mut self, number: u8) {
        let ip = format!("127.{}.{number}.1", self.net);
        let data = self.folder.join(format!("disk-{number}"));
        self.machines.push(Machine { number, ip, data, processes: Vec::new() });
    }

    pub fn address(&self, number: u8, port: u16) -> SocketAddr {
        format!("127.{}.{number}.1:{port}", self.net).parse().expect("an address")
    }

    /// Address of the platform's machine service.
    pub fn cloud(&self) -> SocketAddr {
        format!("127.{}.200.1:8621", self.net).parse().expect("an address")
    }

    /// Starts the processes of a machine. `seeds` are machines, `bootstrap` as in the settings.
    pub fn start(&mut self, number: u8, seeds: &[u8], bootstrap: bool) -> Result<(), String> {
        for role in 0..ROLES.len() {
            self.start_process(number, role, seeds, bootstrap)?;
        }
        self.record.line(&format!("machine {number} starts, bootstrap {bootstrap}"));
        Ok(())
    }

    fn start_process(&mut self, number: u8, role: usize, seeds: &[u8], bootstrap: bool) -> Result<(), String> {
        let seeds: Vec<_> = seeds.iter().map(|n| self.address(*n, CONTROL).to_string()).collect();
        let cloud = self.cloud().to_string();
        let (name, words) = (ROLES[role], &self.commands[role]);
        let is_voter = name == "voter";
        let machine = self.machines.iter_mut().find(|m| m.number == number).expect("a machine");
        let ip = &machine.ip;
        let at = |wanted: bool, port: u16| if wanted { format!("{ip}:{port}") } else { String::new() };
        let data = if is_voter { machine.data.display().to_string() } else { String::new() };
        let values = [
            ("node", format!("edge-{number}")),
            ("zone", "zone-a".into()),
            ("data-dir", data),
            ("listen-addrs.front", at(!is_voter, FRONT)),
            ("listen-addrs.ready", at(!is_voter, READY)),
            ("listen-addrs.control", at(is_voter, CONTROL)),
            ("ip", ip.clone()),
            ("internal-ports.0", INTERNAL.to_string()),
            ("seeds", seeds.join(",")),
            ("bootstrap", bootstrap.to_string()),
            ("cloud.address", cloud),
            ("cloud.duty-per-s", "64".into()),
            ("advice", String::new()),
            ("bounds.max-hold-ms", MAX_HOLD_MS.to_string()),
            ("bounds.lease-ms", LEASE_MS.to_string()),
            ("bounds.grace-s", GRACE_S.to_string()),
        ];
        let mut text = self.template.clone();
        for (name, value) in values {
            text = text.replace(&format!("{{{{{name}}}}}"), &value);
        }
        let settings = self.folder.join(format!("{name}-{number}.ini"));
        fs::write(&settings, text).map_err(|e| e.to_string())?;
        let log = self.folder.join(format!("{name}-{number}.log"));
        let log = File::options().create(true).append(true).open(log).map_err(|e| e.to_string())?;
        let child = Command::new(&words[0])
            .args(&words[1..])
            .env("SARDINEVALVE_CONFIG", &settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().map_err(|e| e.to_string())?)
            .stderr(log)
            .spawn()
            .map_err(|e| e.to_string())?;
        machine.processes.insert(role.min(machine.processes.len()), child);
        Ok(())
    }

    /// Does what the platform does with a process that uses more memory than its machine allows: kills
    /// it, and starts it again after a short delay. Returns the machines whose voter was killed.
    pub fn enforce_memory(&mut self, megabytes: u64) -> Result<Vec<u8>, String> {
        let mut over = Vec::new();
        for machine in &self.machines {
            for (role, child) in machine.processes.iter().enumerate() {
                let used = resident_megabytes(child.id());
                if used > megabytes {
                    over.push((machine.number, role, used));
                }
            }
        }
        for (number, role, used) in &over {
            let machine = self.machines.iter_mut().find(|m| m.number == *number).expect("a machine");
            let mut child = machine.processes.remove(*role);
            child.kill().ok();
            child.wait().ok();
            let name = ROLES[*role];
            self.record.line(&format!("platform: {name} of machine {number} uses {used} MB, killed"));
            sleep(RESTART_MS);
            let seeds: Vec<_> = self.machines.iter().map(|m| m.number).take(3).collect();
            self.start_process(*number, *role, &seeds, false)?;
        }
        Ok(over.into_iter().filter(|(_, role, _)| ROLES[*role] == "voter").map(|over| over.0).collect())
    }

    /// Memory of the voters, for the record.
    pub fn voter_megabytes(&self) -> Vec<u64> {
        self.machines.iter().filter_map(|m| m.processes.first()).map(|c| resident_megabytes(c.id())).collect()
    }

    /// Sends SIGTERM to a machine, waits for its end within the grace period, and kills it after that.
    pub fn terminate(&mut self, number: u8) {
        self.record.line(&format!("machine {number}: SIGTERM"));
        let machine = self.machines.iter_mut().find(|m| m.number == number).expect("a machine");
        for child in &machine.processes {
            // SAFETY: the call takes two integers; the process was started here and not waited for.
            unsafe { kill(child.id() as i32, SIGTERM) };
        }
        let until = Instant::now() + Duration::from_secs(GRACE_S);
        for mut child in machine.processes.drain(..) {
            while Instant::now() < until && matches!(child.try_wait(), Ok(None)) {
                sleep(20);
            }
            child.kill().ok();
            child.wait().ok();
        }
        self.record.line(&format!("machine {number} has ended"));
    }

    /// Kills the processes of a machine; with `wipe` its disk is lost.
    pub fn kill(&mut self, number: u8, wipe: bool) {
        let machine = self.machines.iter_mut().find(|m| m.number == number).expect("a machine");
        for mut child in machine.processes.drain(..) {
            child.kill().ok();
            child.wait().ok();
        }
        if wipe {
            fs::remove_dir_all(&machine.data).ok();
        }
        self.record.line(&format!("machine {number}: SIGKILL{}", if wipe { ", its disk is lost" } else { "" }));
    }

    pub fn running(&self) -> Vec<u8> {
        self.machines.iter().filter(|m| !m.processes.is_empty()).map(|m| m.number).collect()
    }

    /// One call to the front of a machine.
    pub fn client(&self, number: u8, method: &str, path: &str, body: &str) -> Option<(u16, String)> {
        let answer =
            http::call(self.address(number, FRONT), method, HOST, path, body, Duration::from_secs(3));
        self.record.line(&format!("client: {method} {path} at machine {number} -> {answer:?}"));
        answer
    }

    /// One call to the control address of a machine.
    pub fn operator(&self, number: u8, method: &str, path: &str, body: &str) -> Option<(u16, String)> {
        let address = self.address(number, CONTROL);
        let answer =
            http::call(address, method, &address.to_string(), path, body, Duration::from_millis(1000));
        let shown = answer.as_ref().map(|(status, text)| (status, text.chars().take(60).collect::<String>()));
        self.record.line(&format!("operator: {method} {path} at machine {number} -> {shown:?}"));
        answer
    }

    /// Sends a call to the machines in turn until one answers with 200.
    pub fn client_until_200(&self, method: &str, path: &str, body: &str) -> Result<String, String> {
        let mut found = String::new();
        wait(&format!("{method} {path} is answered with 200"), Duration::from_secs(20), || {
            let running = self.running();
            let number = running[self.next.fetch_add(1, Ordering::Relaxed) % running.len()];
            match self.client(number, method, path, body) {
                Some((200, text)) => {
                    found = text;
                    true
                }
                _ => {
                    sleep(200);
                    false
                }
            }
        })?;
        Ok(found)
    }

    /// Sends a configuration until it is acknowledged.
    pub fn configure(&self, text: &str) -> Result<(), String> {
        wait("a configuration is acknowledged", Duration::from_secs(20), || {
            let running = self.running();
            let number = running[self.next.fetch_add(1, Ordering::Relaxed) % running.len()];
            let answer = self.operator(number, "POST", "/sardinevalve/Config.Put", text);
            let done = answer.is_some_and(|(status, _)| status == 200);
            if !done {
                sleep(200);
            }
            done
        })
    }

    /// Starts the machines as a new system, and waits until all are ready with a configuration.
    pub fn found(&mut self, config: &str) -> Result<(), String> {
        let all: Vec<_> = self.machines.iter().map(|m| m.number).collect();
        let seeds: Vec<_> = all.iter().copied().take(3).collect();
        for number in &all {
            self.start(*number, &seeds, true)?;
        }
        self.configure(config)?;
        for number in all {
            let address = self.address(number, READY);
            wait(&format!("machine {number} is ready"), Duration::from_secs(20), || {
                let path = "/sardinevalve/readiness";
                http::call(address, "GET", "ready", path, "", Duration::from_secs(1))
                    .is_some_and(|(status, _)| status == 200)
            })?;
        }
        self.record.line("the system is ready");
        Ok(())
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for machine in &mut self.machines {
            for mut child in machine.processes.drain(..) {
                child.kill().ok();
                child.wait().ok();
            }
        }
        if std::env::var("KEEP_LOGS").is_ok() {
            println!("logs: {}", self.folder.display());
        } else {
            fs::remove_dir_all(&self.folder).ok();
        }
    }
}

/// Resident memory of a process; 0 if it has ended.
fn resident_megabytes(process: u32) -> u64 {
    let status = fs::read_to_string(format!("/proc/{process}/status")).unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS"));
    let kilobytes = line.and_then(|line| line.split_whitespace().nth(1)?.parse::<u64>().ok());
    kilobytes.unwrap_or_default() / 1024
}

/// A configuration with one service and one route.
pub fn config(version: u64, route: &str) -> String {
    format!(
        r#"{{"version":{version},"routes":[{{"name":"{route}","host":"{HOST}","path-prefix":"/desk/","kind":"unsafe","timeout-ms":3000,"slo-ms":600,"priority":0,"service":"desk","max-attempts":3,"stretch":1.6}}],"services":[{{"name":"desk","health-path":"/health","max-connections":64,"protocol":"h1","tls":false,"admission-check":true,"spare":false}}],"limits":{{"max-header-bytes":16384,"max-body-bytes":262144,"header-timeout-ms":3000,"idle-timeout-ms":15000}}}}"#
    )
}

/// A job of one step; `spec` tells the runner stand-in how long a task works.
pub fn job(spec: &str, count: u32, estimated_ms: u64) -> String {
    format!(
        r#"{{"spec":"{spec}","steps":[{{"count":{count},"cpu":1000,"mem-mb":256,"estimated-ms":{estimated_ms}}}]}}"#
    )
}
