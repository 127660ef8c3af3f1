//! Many requests while daemons and upstreams are killed and connections broken. The outcomes that
//! callers were given are compared with the runs that the upstreams recorded.

use {
    super::*,
    rand::{Rng, SeedableRng},
    rand_chacha::ChaCha8Rng,
    std::{io::Write, net::TcpStream, sync::atomic::AtomicU8},
};

/// Arguments of the experiment.
#[derive(Debug, Clone, Args)]
pub struct Chaos {
    /// Number of requests
    #[arg(long, default_value_t = 1_000_000)]
    pub requests: usize,
    /// Number of callers, each of which sends one request after another
    #[arg(long, default_value_t = 48)]
    pub callers: usize,
    /// Longest time between two kills, in milliseconds
    #[arg(long, default_value_t = 2000)]
    pub kill_every_ms: u64,
    /// Seed of the choice of processes to kill and of the times
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
}

/// Outcomes that callers were given, compared with the runs that the upstreams recorded.
#[derive(Debug, Default, Clone, PartialEq, Eq, Serialize)]
pub struct Findings {
    /// Calls that ended with the complete answer.
    pub run: u64,
    /// Calls that were refused as not run.
    pub not_run: u64,
    /// Calls with unknown outcome: the request may have run.
    pub unknown: u64,
    /// Calls without an answer, since the daemon was killed or the caller disconnected.
    pub no_answer: u64,
    /// Runs that the upstreams recorded.
    pub recorded: u64,
    /// Processes that were killed.
    pub kills: u64,
    /// Calls that were answered but recorded by no upstream.
    pub lost: u64,
    /// Non-idempotent requests that were recorded more than once.
    pub doubled: u64,
    /// Calls that got the answer to another request.
    pub foreign: u64,
    /// Calls that were refused as not run but recorded.
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

/// Number of daemons, all of which are voters.
const DAEMONS: usize = 3;

/// Fault of some of the answers of each process of upstreams; `None` for a process without faults.
const FAULTS: [Option<&str>; 4] = [None, None, Some("truncate-length"), Some("truncate-chunked")];

/// Share of the answers of a faulty upstream that are truncated.
const FAULT_SHARE: &str = "0.02";

/// Upstreams per process.
const UPSTREAMS_PER_PROCESS: usize = 4;

/// One of this many calls disconnects before its answer.
const DISCONNECT_EVERY: usize = 101;

/// Time between the kill of a process and its restart.
const DOWNTIME: Duration = Duration::from_millis(200);

/// Longest wait of a caller for the next bytes.
const CALLER_TIMEOUT: Duration = Duration::from_secs(20);

/// State that all callers share.
struct Calls {
    addresses: Vec<String>,
    next: AtomicUsize,
    /// Outcome of each call, as the number of a [`CallOutcome`].
    outcomes: Vec<AtomicU8>,
}

impl Chaos {
    /// Runs the experiment.
    pub fn run(&self) -> eyre::Result<Findings> {
        let mut fleet = Fleet::new(DAEMONS, DAEMONS)?;
        fleet.start()?;
        fleet.apply(CONFIG)?;
        let arguments: Vec<_> = (0..FAULTS.len()).map(|i| upstream_arguments(&fleet, i)).collect();
        for arguments in &arguments {
            let arguments: Vec<_> = arguments.iter().map(String::as_str).collect();
            fleet.add_upstreams("quotes", UPSTREAMS_PER_PROCESS, &arguments)?;
        }
        let calls = Calls {
            addresses: fleet.daemons.iter().map(|daemon| daemon.callers.clone()).collect(),
            next: AtomicUsize::new(0),
            outcomes: (0..self.requests).map(|_| AtomicU8::new(0)).collect(),
        };
        let kills = thread::scope(|scope| {
            let callers: Vec<_> =
                (0..self.callers).map(|_| scope.spawn(|| calls.run_caller())).collect();
            let mut kills = 0;
            let mut rng = ChaCha8Rng::seed_from_u64(self.seed);
            while callers.iter().any(|caller| !caller.is_finished()) {
                thread::sleep(Duration::from_millis(rng.random_range(0..self.kill_every_ms)));
                kill_and_restart(&mut fleet, &arguments, &mut rng)?;
                kills += 1;
            }
            eyre::Ok(kills)
        })?;
        Ok(Findings { kills, ..calls.check(&record(&fleet))? })
    }
}

impl Calls {
    /// Makes calls until all requests are sent.
    fn run_caller(&self) {
        loop {
            let number = self.next.fetch_add(1, Ordering::Relaxed);
            let Some(outcome) = self.outcomes.get(number) else { return };
            outcome.store(self.call(number) as u8, Ordering::Relaxed);
        }
    }

    /// Makes the call `number`, and resends it through the next daemon if its outcome is not known
    /// and it carries an idempotency key.
    fn call(&self, number: usize) -> CallOutcome {
        if number.is_multiple_of(DISCONNECT_EVERY) {
            self.send_and_disconnect(number);
            return CallOutcome::NoAnswer;
        }
        let outcome = self.send(number, number);
        let resend =
            matches!(outcome, CallOutcome::NoAnswer | CallOutcome::Unknown) && has_key(number);
        if resend { self.send(number, number + 1) } else { outcome }
    }

    /// Sends the request `number` through the daemon `through`.
    fn send(&self, number: usize, through: usize) -> CallOutcome {
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
        CallOutcome::from_response(request.text(&body).send(), &body)
    }

    /// Sends the request `number`, and closes the connection without reading the answer.
    fn send_and_disconnect(&self, number: usize) {
        let Ok(mut stream) = TcpStream::connect(&self.addresses[number % DAEMONS]) else { return };
        let kind = kind(number);
        let request = format!(
            "POST /call/quotes/ HTTP/1.1\r\nHost: a\r\nSardinevalve-Kind: {kind}\r\n\
             Caller-Request: {number}\r\nContent-Length: 0\r\n\r\n"
        );
        stream.write_all(request.as_bytes()).ok();
    }

    /// Compares the outcomes of all calls with the record of the upstreams.
    fn check(&self, record: &str) -> eyre::Result<Findings> {
        let mut runs = vec![0_u32; self.outcomes.len()];
        for line in fs::read_to_string(record)?.lines() {
            let run: serde_json::Value = serde_json::from_str(line)?;
            let number: usize = run["caller"].as_str().unwrap_or_default().parse()?;
            runs[number] += 1;
        }
        let mut findings = Findings::default();
        for (number, outcome) in self.outcomes.iter().enumerate() {
            findings.count(outcome.load(Ordering::Relaxed).into(), runs[number]);
            findings.doubled += u64::from(kind(number) == "payout" && runs[number] > 1);
        }
        Ok(findings)
    }
}

impl Findings {
    /// Number of violated guarantees.
    pub fn violations(&self) -> u64 {
        self.lost + self.doubled + self.foreign + self.untrue
    }

    fn count(&mut self, outcome: CallOutcome, runs: u32) {
        self.recorded += u64::from(runs);
        match outcome {
            CallOutcome::NoAnswer => self.no_answer += 1,
            CallOutcome::Unknown => self.unknown += 1,
            CallOutcome::Foreign => self.foreign += 1,
            CallOutcome::Run => {
                self.run += 1;
                self.lost += u64::from(runs == 0);
            }
            CallOutcome::NotRun => {
                self.not_run += 1;
                self.untrue += u64::from(runs > 0);
            }
        }
    }
}

fn kind(number: usize) -> &'static str {
    if number.is_multiple_of(2) { "payout" } else { "quote" }
}

/// Whether the request carries an idempotency key and can be resent: half of the payouts do.
fn has_key(number: usize) -> bool {
    number.is_multiple_of(4)
}

/// Path of the file in which the upstreams record their runs.
fn record(fleet: &Fleet) -> String {
    fleet.folder().join("record").display().to_string()
}

/// Arguments of the process `number` of upstreams, besides those that the fleet adds.
fn upstream_arguments(fleet: &Fleet, number: usize) -> Vec<String> {
    let mut arguments = vec!["--suffix".into(), format!("{number}")];
    arguments.extend(["--record".into(), record(fleet)]);
    if let Some(fault) = FAULTS[number] {
        arguments.extend(["--fault", fault, "--fault-share", FAULT_SHARE].map(str::to_owned));
    }
    arguments
}

/// Kills a random daemon or process of upstreams, and restarts it.
fn kill_and_restart(
    fleet: &mut Fleet,
    arguments: &[Vec<String>],
    rng: &mut ChaCha8Rng,
) -> eyre::Result<()> {
    let victim = rng.random_range(0..DAEMONS + arguments.len());
    if let Some(daemon) = fleet.daemons.get_mut(victim) {
        daemon.kill();
        thread::sleep(DOWNTIME);
        daemon.start()?;
        return fleet.wait_healthy();
    }
    let number = victim - DAEMONS;
    fleet.fakes[number].kill();
    thread::sleep(DOWNTIME);
    let arguments: Vec<_> = arguments[number].iter().map(String::as_str).collect();
    fleet.fakes[number] = fleet.start_upstreams("quotes", UPSTREAMS_PER_PROCESS, &arguments)?;
    Ok(())
}
