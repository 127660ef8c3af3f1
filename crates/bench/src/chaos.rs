//! Many requests, with daemons and upstreams killed and connections broken meanwhile. What callers
//! were told is compared with what the upstreams recorded.

use {
    super::*,
    rand::{Rng, SeedableRng},
    rand_chacha::ChaCha8Rng,
    std::{io::Write, net::TcpStream, sync::atomic::AtomicU8},
};

/// How the experiment runs.
#[derive(Debug, Clone, Args)]
pub struct Chaos {
    /// Number of requests
    #[arg(long, default_value_t = 1_000_000)]
    pub requests: usize,
    /// Callers that send them, one after the other
    #[arg(long, default_value_t = 48)]
    pub callers: usize,
    /// Longest time between two kills, in milliseconds
    #[arg(long, default_value_t = 2000)]
    pub kill_every_ms: u64,
    /// Seed of what is killed and when
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
}

/// What callers were told, against what the upstreams recorded.
#[derive(Debug, Default, Clone, PartialEq, Eq, Serialize)]
pub struct Findings {
    /// Calls that ended in each way.
    pub run: u64,
    /// Refused as not run.
    pub not_run: u64,
    /// May have run.
    pub unknown: u64,
    /// Ended without an answer, since the daemon was killed or the caller vanished.
    pub no_answer: u64,
    /// Runs that the upstreams recorded.
    pub recorded: u64,
    /// Processes that were killed.
    pub kills: u64,
    /// Answered, and not recorded by any upstream.
    pub lost: u64,
    /// Non-idempotent, and recorded more than once.
    pub doubled: u64,
    /// Answered with the answer to another request.
    pub foreign: u64,
    /// Refused as not run, and recorded.
    pub untrue: u64,
}

const CONFIG: &str = "\
[service quotes]
queue = 1000
[kind quote]
idempotent = true
deadline-ms = 5000
[kind payout]
idempotent = false
deadline-ms = 5000
";

/// Daemons of the fleet, all of which vote.
const DAEMONS: usize = 3;

/// Processes of upstreams, by what goes wrong with a part of their answers.
const FAULTS: [Option<&str>; 4] = [None, None, Some("truncate-length"), Some("truncate-chunked")];

/// Share of the answers of a faulty upstream that are cut short.
const FAULT_SHARE: &str = "0.02";

/// Runners of one process.
const RUNNERS: usize = 4;

/// One of so many callers vanishes before its answer.
const VANISH_EVERY: usize = 101;

/// Time for which a killed process stays away.
const AWAY: Duration = Duration::from_millis(200);

/// Longest wait of a caller for the next byte.
const CALLER_TIMEOUT: Duration = Duration::from_secs(20);

/// What the callers share.
struct Calls {
    addresses: Vec<String>,
    next: AtomicUsize,
    endings: Vec<AtomicU8>,
}

impl Chaos {
    /// Runs the experiment.
    pub fn run(&self) -> eyre::Result<Findings> {
        let mut fleet = Fleet::new(DAEMONS, DAEMONS)?;
        fleet.start()?;
        fleet.apply(CONFIG)?;
        let arguments: Vec<_> = (0..FAULTS.len()).map(|i| upstreams(&fleet, i)).collect();
        for arguments in &arguments {
            let arguments: Vec<_> = arguments.iter().map(String::as_str).collect();
            fleet.add_upstreams("quotes", RUNNERS, &arguments)?;
        }
        let calls = Calls {
            addresses: fleet.daemons.iter().map(|daemon| daemon.callers.clone()).collect(),
            next: AtomicUsize::new(0),
            endings: (0..self.requests).map(|_| AtomicU8::new(0)).collect(),
        };
        let kills = thread::scope(|scope| {
            let callers: Vec<_> = (0..self.callers).map(|_| scope.spawn(|| calls.work())).collect();
            let mut kills = 0;
            let mut rng = ChaCha8Rng::seed_from_u64(self.seed);
            while callers.iter().any(|caller| !caller.is_finished()) {
                thread::sleep(Duration::from_millis(rng.random_range(0..self.kill_every_ms)));
                kill(&mut fleet, &arguments, &mut rng)?;
                kills += 1;
            }
            eyre::Ok(kills)
        })?;
        Ok(Findings { kills, ..calls.check(&record(&fleet))? })
    }
}

impl Calls {
    fn work(&self) {
        loop {
            let number = self.next.fetch_add(1, Ordering::Relaxed);
            let Some(ending) = self.endings.get(number) else { return };
            ending.store(self.call(number) as u8, Ordering::Relaxed);
        }
    }

    fn call(&self, number: usize) -> Ending {
        if number.is_multiple_of(VANISH_EVERY) {
            self.vanish(number);
            return Ending::NoAnswer;
        }
        let ending = self.send(number, number);
        let again = matches!(ending, Ending::NoAnswer | Ending::Unknown) && has_key(number);
        if again { self.send(number, number + 1) } else { ending }
    }

    /// Sends the request `number` through the daemon `through`.
    fn send(&self, number: usize, through: usize) -> Ending {
        let body = number.to_string();
        let url = format!("http://{}/call/quotes/", self.addresses[through % DAEMONS]);
        let mut request = attohttpc::post(url)
            .follow_redirects(false)
            .proxy_settings(attohttpc::ProxySettings::builder().build())
            .read_timeout(CALLER_TIMEOUT)
            .header("Sardinevalve-Kind", kind(number))
            .header("Caller-Request", &body);
        if has_key(number) {
            request = request.header("Idempotency-Key", &body);
        }
        Ending::of(request.text(&body).send(), &body)
    }

    /// Sends the request `number`, and closes the connection.
    fn vanish(&self, number: usize) {
        let Ok(mut stream) = TcpStream::connect(&self.addresses[number % DAEMONS]) else { return };
        let kind = kind(number);
        let request = format!(
            "POST /call/quotes/ HTTP/1.1\r\nHost: a\r\nSardinevalve-Kind: {kind}\r\n\
             Caller-Request: {number}\r\nContent-Length: 0\r\n\r\n"
        );
        stream.write_all(request.as_bytes()).ok();
    }

    /// Compares what callers were told with the record of the upstreams.
    fn check(&self, record: &str) -> eyre::Result<Findings> {
        let mut runs = vec![0_u32; self.endings.len()];
        for line in fs::read_to_string(record)?.lines() {
            let run: serde_json::Value = serde_json::from_str(line)?;
            let number: usize = run["caller"].as_str().unwrap_or_default().parse()?;
            runs[number] += 1;
        }
        let mut findings = Findings::default();
        for (number, ending) in self.endings.iter().enumerate() {
            findings.count(ending.load(Ordering::Relaxed).into(), runs[number]);
            findings.doubled += u64::from(kind(number) == "payout" && runs[number] > 1);
        }
        Ok(findings)
    }
}

impl Findings {
    /// Broken promises.
    pub fn violations(&self) -> u64 {
        self.lost + self.doubled + self.foreign + self.untrue
    }

    fn count(&mut self, ending: Ending, runs: u32) {
        self.recorded += u64::from(runs);
        match ending {
            Ending::NoAnswer => self.no_answer += 1,
            Ending::Unknown => self.unknown += 1,
            Ending::Foreign => self.foreign += 1,
            Ending::Run => {
                self.run += 1;
                self.lost += u64::from(runs == 0);
            }
            Ending::NotRun => {
                self.not_run += 1;
                self.untrue += u64::from(runs > 0);
            }
        }
    }
}

fn kind(number: usize) -> &'static str {
    if number.is_multiple_of(2) { "payout" } else { "quote" }
}

/// Whether the request can be resent: half of the payouts carry a key.
fn has_key(number: usize) -> bool {
    number.is_multiple_of(4)
}

fn record(fleet: &Fleet) -> String {
    fleet.folder().join("record").display().to_string()
}

/// Arguments of the process `number` of upstreams, beyond those that the fleet gives.
fn upstreams(fleet: &Fleet, number: usize) -> Vec<String> {
    let mut arguments = vec!["--suffix".into(), format!("{number}")];
    arguments.extend(["--record".into(), record(fleet)]);
    if let Some(fault) = FAULTS[number] {
        arguments.extend(["--fault", fault, "--fault-share", FAULT_SHARE].map(str::to_owned));
    }
    arguments
}

/// Kills a daemon or a process of upstreams, and starts it again.
fn kill(fleet: &mut Fleet, arguments: &[Vec<String>], rng: &mut ChaCha8Rng) -> eyre::Result<()> {
    let victim = rng.random_range(0..DAEMONS + arguments.len());
    if let Some(daemon) = fleet.daemons.get_mut(victim) {
        daemon.kill();
        thread::sleep(AWAY);
        daemon.start()?;
        return fleet.wait_healthy();
    }
    let number = victim - DAEMONS;
    fleet.fakes[number].kill();
    thread::sleep(AWAY);
    let arguments: Vec<_> = arguments[number].iter().map(String::as_str).collect();
    fleet.fakes[number] = fleet.start_upstreams("quotes", RUNNERS, &arguments)?;
    Ok(())
}
