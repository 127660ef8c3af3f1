//! Runners as `PROTOCOL.md` describes them, and the platform's list of their machines.
//!
//! All that a runner and the system send each other passes links, which can be cut in both directions,
//! or in the direction to the runner only: what is sent is held, and no new connection comes about.

use crate::{
    Record, http,
    json::{Json, quote},
    sleep,
};
use std::{
    collections::BTreeMap,
    io::{Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex, MutexGuard,
        atomic::{AtomicU8, Ordering},
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

const HEARTBEAT_MS: u64 = 700;
const MAX_HOLD_MS: u64 = 6000;
/// Runners in a rack.
pub const RACK: usize = 4;
/// How long a runner that says that it ends waits for the acknowledgement.
pub const LINGER: Duration = Duration::from_millis(4000);

/// State of the links of a runner.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Cut {
    None,
    /// Nothing of the system reaches the runner; what it sends over open connections arrives.
    ToRunner,
    Both,
}

struct Run {
    number: u64,
    ends: Option<Instant>,
}

/// One life of a runner.
struct Life {
    born: u64,
    started: Instant,
    token: u64,
    lease: u64,
    sequence: u64,
    running: BTreeMap<String, Run>,
    finished: Vec<(u64, String, u64, &'static str)>,
    last_end: u64,
    refused: BTreeMap<String, u64>,
    draining: bool,
    connections: Vec<TcpStream>,
}

/// A start of a task, as seen by a runner.
#[derive(Clone)]
pub struct Start {
    pub runner: usize,
    pub task: String,
    pub number: u64,
    /// Runners that were up and ran the task at that moment.
    pub also_on: Vec<usize>,
}

struct World {
    lives: Vec<Option<Life>>,
    starts: Vec<Start>,
}

#[derive(Clone)]
pub struct Runners {
    record: Record,
    net: u8,
    world: Arc<Mutex<World>>,
    /// For each runner, a [`Cut`] of its links.
    cut: Arc<Vec<AtomicU8>>,
    /// For each runner, the addresses at which it finds the system.
    control: Arc<Vec<Vec<SocketAddr>>>,
}

fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_millis() as u64)
}

impl Life {
    fn new() -> Self {
        Self {
            born: unix_ms(),
            started: Instant::now(),
            token: 0,
            lease: 0,
            sequence: 0,
            running: BTreeMap::new(),
            finished: Vec::new(),
            last_end: 0,
            refused: BTreeMap::new(),
            draining: false,
            connections: Vec::new(),
        }
    }

    fn clock(&self) -> u64 {
        self.started.elapsed().as_millis() as u64 + 1
    }

    fn end(&mut self, task: &str, how: &'static str) {
        let Some(run) = self.running.remove(task) else { return };
        self.last_end += 1;
        self.finished.push((self.last_end, task.into(), run.number, how));
        let refused = self.refused.entry(task.into()).or_default();
        *refused = (*refused).max(run.number);
    }

    /// Ends what is done, and everything once the lease is over. Returns what ended.
    fn advance(&mut self) -> Vec<(String, u64, &'static str)> {
        let (now, lapsed) = (Instant::now(), self.clock() >= self.lease);
        let is_over = |run: &Run| run.ends.is_some_and(|ends| ends <= now);
        let due: Vec<_> = self
            .running
            .iter()
            .filter(|(_, run)| lapsed || is_over(run))
            .map(|(task, run)| (task.clone(), run.number, if is_over(run) { "done" } else { "lapsed" }))
            .collect();
        for (task, _, how) in &due {
            self.end(task, how);
        }
        due
    }

    /// Takes over the time of a lease, at most the longest from now.
    fn extend(&mut self, until: u64) {
        self.lease = self.lease.max(until.min(self.clock() + MAX_HOLD_MS));
    }
}

impl Runners {
    /// Starts `count` runners of the service `desk` in the net of the system, whose control addresses
    /// are given, and the machine list at `cloud`.
    pub fn start(record: &Record, net: u8, count: usize, control: &[SocketAddr], cloud: SocketAddr) -> Result<Self, String> {
        let cut: Arc<Vec<_>> = Arc::new((0..count).map(|_| AtomicU8::new(0)).collect());
        let mut ways = Vec::new();
        for i in 0..count {
            let mut way = Vec::new();
            for (j, target) in control.iter().enumerate() {
                let own: SocketAddr =
                    format!("127.{net}.{}.{}:8623", 210 + j, i + 1).parse().map_err(|_| "address")?;
                // What comes back from the system is held while the link is cut.
                link(own, *target, cut.clone(), i, false).map_err(|e| e.to_string())?;
                way.push(own);
            }
            ways.push(way);
        }
        let world = World { lives: (0..count).map(|_| None).collect(), starts: Vec::new() };
        let runners = Self {
            record: record.clone(),
            net,
            world: Arc::new(Mutex::new(world)),
            cut,
            control: Arc::new(ways),
        };
        for i in 0..count {
            link(runners.outer(i), runners.inner(i), runners.cut.clone(), i, true).map_err(|e| e.to_string())?;
            runners.begin(i)?;
        }
        runners.list_machines(cloud)?;
        Ok(runners)
    }

    fn world(&self) -> MutexGuard<'_, World> {
        self.world.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// Address that the runner names, a link.
    fn outer(&self, i: usize) -> SocketAddr {
        format!("127.{}.220.{}:8080", self.net, i + 1).parse().expect("an address")
    }

    /// Address at which the runner listens.
    fn inner(&self, i: usize) -> SocketAddr {
        format!("127.{}.221.{}:8080", self.net, i + 1).parse().expect("an address")
    }

    /// Begins a life of a runner, under the id that it had.
    pub fn begin(&self, i: usize) -> Result<(), String> {
        let listener = TcpListener::bind(self.inner(i)).map_err(|e| e.to_string())?;
        listener.set_nonblocking(true).map_err(|e| e.to_string())?;
        let life = Life::new();
        let born = life.born;
        self.world().lives[i] = Some(life);
        self.record.line(&format!("runner {i} starts"));
        let runners = self.clone();
        thread::spawn(move || {
            while runners.is_life(i, born) {
                match listener.accept() {
                    Ok((stream, _)) => runners.accept(i, born, stream),
                    Err(_) => sleep(3),
                }
            }
        });
        let runners = self.clone();
        thread::spawn(move || {
            let mut clients: Vec<_> = runners.control[i].iter().map(|a| http::Client::new(*a)).collect();
            for beat in i.. {
                if !runners.is_life(i, born) {
                    return;
                }
                runners.heartbeat(i, beat, &mut clients);
                sleep(HEARTBEAT_MS);
            }
        });
        Ok(())
    }

    fn is_life(&self, i: usize, born: u64) -> bool {
        self.world().lives[i].as_ref().is_some_and(|life| life.born == born)
    }

    /// Ends a life: its connections are reset, what it runs is gone.
    pub fn end(&self, i: usize, why: &str) {
        let life = self.world().lives[i].take();
        let Some(life) = life else { return };
        for connection in &life.connections {
            connection.shutdown(Shutdown::Both).ok();
        }
        let tasks: Vec<_> = life.running.keys().cloned().collect();
        self.record.line(&format!("runner {i} {why}; it ran {}", tasks.join(" ")));
    }

    /// Cuts the links of a runner, or makes them whole again.
    pub fn set_cut(&self, i: usize, cut: Cut) {
        if self.cut[i].swap(cut as u8, Ordering::SeqCst) == cut as u8 {
            return;
        }
        let what = match cut {
            Cut::None => "whole again",
            Cut::ToRunner => "cut one way: nothing of the system reaches it",
            Cut::Both => "cut",
        };
        self.record.line(&format!("link to runner {i} is {what}"));
    }

    fn say(&self, i: usize) -> Option<String> {
        let mut world = self.world();
        let life = world.lives[i].as_mut()?;
        life.sequence += 1;
        Some(format!(
            r#"{{"service":"desk","address":"{}","zone":"zone-a","version":"v1","slots":8,"state":"{}","cold-remaining-ms":0,"capacity":{{"cpu":16000,"mem-mb":32768,"gpu":0}},"labels":["a","r1-{}"],"clock-ms":{},"sequence":{},"born":{},"machine":"m-{i}"}}"#,
            self.outer(i),
            if life.draining { "draining" } else { "ready" },
            i / RACK,
            life.clock(),
            life.sequence,
            life.born
        ))
    }

    /// Sends a heartbeat to the nodes in turn until one acknowledges it.
    fn heartbeat(&self, i: usize, first: usize, clients: &mut [http::Client]) -> bool {
        for j in 0..clients.len() {
            let Some(body) = self.say(i) else { return false };
            let path = format!("/sardinevalve/Instances.Heartbeat/i-{i}");
            let to = (first + j) % clients.len();
            let answer = clients[to].call("POST", "control", &path, &body, Duration::from_secs(1));
            if answer.is_some_and(|(status, _)| (200..300).contains(&status)) {
                return true;
            }
        }
        false
    }

    /// Reports that a runner drains, until that is acknowledged.
    pub fn drain(&self, i: usize) -> Result<(), String> {
        if let Some(life) = self.world().lives[i].as_mut() {
            life.draining = true;
        }
        let mut clients: Vec<_> = self.control[i].iter().map(|a| http::Client::new(*a)).collect();
        for attempt in 0..20 {
            if self.heartbeat(i, attempt, &mut clients) {
                self.record.line(&format!("runner {i} drains, acknowledged"));
                return Ok(());
            }
        }
        Err("draining is not acknowledged".into())
    }

    /// Says that a runner ends, and ends it: once that is acknowledged, or after [`LINGER`]. `cut` tells
    /// whether the link towards it is cut just before the call. The call goes over an open connection;
    /// without an answer within a second, the next node is called.
    pub fn leave(&self, i: usize, cut: bool) -> bool {
        let mut clients: Vec<_> = self.control[i].iter().map(|a| http::Client::new(*a)).collect();
        // Opens the connections, as earlier heartbeats did.
        for j in 0..clients.len() {
            let Some(body) = self.say(i) else { return false };
            let path = format!("/sardinevalve/Instances.Heartbeat/i-{i}");
            clients[j].call("POST", "control", &path, &body, Duration::from_secs(1));
        }
        if cut {
            self.set_cut(i, Cut::ToRunner);
        }
        let Some(body) = self.say(i) else { return false };
        let path = format!("/sardinevalve/Instances.Deregister/i-{i}");
        let until = Instant::now() + LINGER;
        let mut acknowledged = false;
        self.record.line(&format!("runner {i} sends Deregister"));
        for next in 0.. {
            let nodes = clients.len();
            let client = &mut clients[next % nodes];
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                break;
            }
            let answer = client.call("POST", "control", &path, &body, left.min(Duration::from_secs(1)));
            self.record.line(&format!("runner {i}: Deregister -> {answer:?}"));
            if answer.is_some_and(|(status, _)| (200..300).contains(&status)) {
                acknowledged = true;
                break;
            }
            sleep(50);
        }
        self.end(i, if acknowledged { "has left, acknowledged" } else { "has left without an acknowledgement" });
        acknowledged
    }

    fn accept(&self, i: usize, born: u64, mut stream: TcpStream) {
        stream.set_nonblocking(false).ok();
        stream.set_nodelay(true).ok();
        if let (Some(life), Ok(copy)) = (self.world().lives[i].as_mut(), stream.try_clone()) {
            life.connections.push(copy);
        }
        let runners = self.clone();
        thread::spawn(move || {
            while let Some(request) = http::read(&mut stream) {
                if !runners.is_life(i, born) {
                    stream.shutdown(Shutdown::Both).ok();
                    return;
                }
                let Some((status, body)) = runners.answer(i, born, &request) else {
                    stream.shutdown(Shutdown::Both).ok();
                    return;
                };
                if http::respond(&mut stream, status, &body).is_err() {
                    return;
                }
            }
        });
    }

    fn note_ends(&self, i: usize, ends: &[(String, u64, &'static str)]) {
        for (task, number, how) in ends {
            self.record.line(&format!("runner {i}: {task} run {number} has ended {how}"));
        }
    }

    /// Status and body of the answer; `None` if the life has ended meanwhile.
    fn answer(&self, i: usize, born: u64, request: &http::Message) -> Option<(u16, String)> {
        let path = request.start.split(' ').nth(1)?;
        if path == "/health" {
            return Some((200, "{}".into()));
        }
        if request.header("expect-instance").is_some_and(|name| name != format!("i-{i}")) {
            return Some((421, String::new()));
        }
        let body = Json::parse(&request.body)?;
        let mut world = self.world();
        let others: Vec<_> = world
            .lives
            .iter()
            .enumerate()
            .filter(|(j, life)| {
                *j != i && life.as_ref().is_some_and(|life| {
                    let run = life.running.get(body.text("task"));
                    let over = |run: &Run| run.ends.is_some_and(|ends| ends <= Instant::now());
                    run.is_some_and(|run| !over(run) && life.clock() < life.lease)
                })
            })
            .map(|(j, _)| j)
            .collect();
        let life = world.lives[i].as_mut().filter(|life| life.born == born)?;
        let ended = life.advance();
        self.note_ends(i, &ended);
        let refuse = |clock: u64, reason: &str| {
            Some((409, format!(r#"{{"clock-ms":{clock},"reason":"{reason}","born":{born}}}"#)))
        };
        let token = body.number("fencing-token");
        if token < life.token {
            return refuse(life.clock(), "fence");
        }
        life.token = token;
        let task = body.text("task").to_string();
        let number = body.number("run");
        let done = |life: &Life| Some((200, format!(r#"{{"clock-ms":{},"born":{born}}}"#, life.clock())));
        match path {
            "/sardinevalve/run-start" => {
                if life.running.get(&task).is_some_and(|run| run.number == number) {
                    return done(life);
                }
                let until = body.number("run-until-ms");
                if until <= life.clock() {
                    return refuse(life.clock(), "late");
                }
                life.extend(until);
                if life.refused.get(&task).is_some_and(|refused| *refused >= number) {
                    return refuse(life.clock(), "old");
                }
                let work = body.text("spec").strip_prefix("work ").and_then(|ms| ms.parse().ok());
                let ends = work.map(|ms| Instant::now() + Duration::from_millis(ms));
                life.running.insert(task.clone(), Run { number, ends });
                let answer = done(life);
                let fail = if others.is_empty() { String::new() } else { format!("; it also runs on {others:?}") };
                self.record.line(&format!("runner {i}: {task} run {number} starts under token {token}{fail}"));
                world.starts.push(Start { runner: i, task, number, also_on: others });
                answer
            }
            "/sardinevalve/run-stop" => {
                let refused = life.refused.entry(task.clone()).or_default();
                *refused = (*refused).max(number);
                if life.running.get(&task).is_some_and(|run| run.number == number) {
                    life.end(&task, "stopped");
                    self.note_ends(i, &[(task, number, "stopped")]);
                }
                done(life)
            }
            "/sardinevalve/pace" => done(life),
            "/sardinevalve/hold" => {
                if body.get("run-until-ms") != &Json::Null {
                    life.extend(body.number("run-until-ms"));
                }
                let seen = body.number("last-seen");
                life.finished.retain(|end| end.0 > seen);
                drop(world);
                self.report(i, born, body.number("wait-ms").min(2000))
            }
            _ => Some((404, String::new())),
        }
    }

    /// The lists of a runner, once it has an end to tell or the wait is over.
    fn report(&self, i: usize, born: u64, wait_ms: u64) -> Option<(u16, String)> {
        let until = Instant::now() + Duration::from_millis(wait_ms);
        loop {
            {
                let mut world = self.world();
                let life = world.lives[i].as_mut().filter(|life| life.born == born)?;
                let ended = life.advance();
                self.note_ends(i, &ended);
                if !life.finished.is_empty() || Instant::now() >= until {
                    let running: Vec<_> = life
                        .running
                        .iter()
                        .map(|(task, run)| format!(r#"[{},{},"",100,1000]"#, quote(task), run.number))
                        .collect();
                    let finished: Vec<_> = life
                        .finished
                        .iter()
                        .take(500)
                        .map(|(n, task, run, how)| format!(r#"[{n},{},{run},"{how}",""]"#, quote(task)))
                        .collect();
                    let body = format!(
                        r#"{{"clock-ms":{},"born":{born},"running":[{}],"finished":[{}]}}"#,
                        life.clock(),
                        running.join(","),
                        finished.join(",")
                    );
                    return Some((200, body));
                }
            }
            sleep(10);
        }
    }

    /// Starts of tasks of a job.
    pub fn starts(&self, job: &str) -> Vec<Start> {
        let world = self.world();
        world.starts.iter().filter(|start| start.task.starts_with(job)).cloned().collect()
    }

    /// The runner that runs a task of a job now.
    pub fn runs(&self, job: &str) -> Option<usize> {
        let world = self.world();
        let runs = |life: &Option<Life>| {
            life.as_ref().is_some_and(|life| life.running.keys().any(|task| task.starts_with(job)))
        };
        world.lives.iter().position(runs)
    }

    /// Serves the list of machines; orders about machines are accepted for none.
    fn list_machines(&self, cloud: SocketAddr) -> Result<(), String> {
        let listener = TcpListener::bind(cloud).map_err(|e| e.to_string())?;
        let runners = self.clone();
        thread::spawn(move || {
            for stream in listener.incoming() {
                let Ok(mut stream) = stream else { continue };
                let runners = runners.clone();
                thread::spawn(move || {
                    while let Some(request) = http::read(&mut stream) {
                        let path = request.start.split(' ').nth(1).unwrap_or_default();
                        let (status, body) = if path.starts_with("/sardinevalve/machines") {
                            (200, runners.machines())
                        } else {
                            (409, r#"{"reason":"busy"}"#.into())
                        };
                        if http::respond(&mut stream, status, &body).is_err() {
                            return;
                        }
                    }
                });
            }
        });
        Ok(())
    }

    fn machines(&self) -> String {
        let world = self.world();
        let row = |(i, life): (usize, &Option<Life>)| {
            let (state, id) = match life {
                Some(_) => ("up", format!(r#","id":"i-{i}""#)),
                None => ("down", String::new()),
            };
            format!(
                r#"{{"machine":"m-{i}","pool":"desk","state":"{state}","zone":"zone-a","labels":["a","r1-{}"],"capacity":{{"cpu":16000,"mem-mb":32768,"gpu":0}}{id}}}"#,
                i / RACK
            )
        };
        let rows: Vec<_> = world.lives.iter().enumerate().map(row).collect();
        format!(r#"{{"machines":[{}]}}"#, rows.join(","))
    }
}

/// Listens at `own` and passes connections on to `target`. While `cut[i]` is set, bytes are held as it
/// says and no new connection comes about. `to_runner` tells whether `target` is the runner.
fn link(
    own: SocketAddr,
    target: SocketAddr,
    cut: Arc<Vec<AtomicU8>>,
    i: usize,
    to_runner: bool,
) -> std::io::Result<()> {
    let listener = TcpListener::bind(own)?;
    thread::spawn(move || {
        for accepted in listener.incoming() {
            let Ok(near) = accepted else { continue };
            let cut = cut.clone();
            thread::spawn(move || {
                while cut[i].load(Ordering::SeqCst) != Cut::None as u8 {
                    sleep(10);
                }
                let Ok(far) = TcpStream::connect_timeout(&target, Duration::from_secs(1)) else {
                    near.shutdown(Shutdown::Both).ok();
                    return;
                };
                near.set_nodelay(true).ok();
                far.set_nodelay(true).ok();
                let (Ok(near_2), Ok(far_2)) = (near.try_clone(), far.try_clone()) else { return };
                let cut_2 = cut.clone();
                // `near` opened the connection; `far` is the target.
                thread::spawn(move || relay(near, far, &cut, i, to_runner));
                relay(far_2, near_2, &cut_2, i, !to_runner);
            });
        }
    });
    Ok(())
}

/// Passes bytes on; `to_runner` tells whether they go towards the runner.
fn relay(mut from: TcpStream, mut to: TcpStream, cut: &[AtomicU8], i: usize, to_runner: bool) {
    let holds = |cut: u8| cut == Cut::Both as u8 || to_runner && cut == Cut::ToRunner as u8;
    let mut buffer = [0; 16 * 1024];
    while let Ok(length) = from.read(&mut buffer) {
        while holds(cut[i].load(Ordering::SeqCst)) {
            sleep(10);
        }
        if length == 0 || to.write_all(&buffer[..length]).is_err() {
            break;
        }
    }
    from.shutdown(Shutdown::Both).ok();
    to.shutdown(Shutdown::Both).ok();
}
