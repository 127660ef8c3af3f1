//! Kills the leader repeatedly under a steady load of calls, and measures the time until a change
//! is accepted again.

use super::*;

/// Result of the experiment.
#[derive(Debug, Serialize)]
struct Figures {
    experiment: &'static str,
    daemons: usize,
    voters: usize,
    kills: u32,
    accepted_after_ms: Quantiles,
    calls: u64,
    refused: u64,
    lost: u64,
}

/// Number of daemons.
const DAEMONS: usize = 10;

/// Number of daemons that are voters.
const VOTERS: usize = 5;

/// Time between two calls.
const CALL_PERIOD: Duration = Duration::from_millis(5);

const CONFIG: &str = "[service quotes]\n[kind quote]\nidempotent = true\n";

pub(crate) fn run(kills: u32) -> eyre::Result<()> {
    let mut fleet = Fleet::new(DAEMONS, VOTERS)?;
    fleet.start()?;
    fleet.apply(CONFIG)?;
    fleet.add_upstreams("quotes", 10, &[])?;
    let callers = Callers::start(&fleet.daemons);
    let mut acceptance_times = hdrhistogram::Histogram::<u64>::new(3)?;
    for kill in 0..kills {
        let leader = await_leader(&fleet)?;
        callers.avoid(leader);
        let started = Instant::now();
        fleet.daemons[leader].kill();
        await_change(&fleet, (leader + 1) % VOTERS, kill)?;
        acceptance_times.record(started.elapsed().as_millis() as u64)?;
        fleet.daemons[leader].start()?;
        fleet.wait_healthy()?;
    }
    let (calls, refused, lost) = callers.finish();
    let accepted_after_ms = Quantiles::of(&acceptance_times);
    let (daemons, voters, experiment) = (DAEMONS, VOTERS, "leader-kills");
    let figures =
        Figures { experiment, daemons, voters, kills, accepted_after_ms, calls, refused, lost };
    println!("{}", serde_json::to_string(&figures)?);
    Ok(())
}

fn await_leader(fleet: &Fleet) -> eyre::Result<usize> {
    let mut leader = None;
    wait_until("a daemon leads", || {
        leader = fleet.leader();
        leader.is_some()
    })?;
    leader.ok_or_else(|| eyre::eyre!("no daemon leads"))
}

/// Repeats a change through `daemon` until it is accepted.
fn await_change(fleet: &Fleet, daemon: usize, number: u32) -> eyre::Result<()> {
    let path = fleet.folder().join("change.ini");
    fs::write(&path, format!("{CONFIG}[tenant t-{number}]\n"))?;
    let path = path.display().to_string();
    wait_until("a change is accepted", || {
        let output = fleet.daemons[daemon].operate(&["apply", &path]);
        output.is_ok_and(|output| output.status.success())
    })
}

/// A thread that calls the daemons in turn, except for one.
struct Callers {
    /// Index of the daemon that is not called; `usize::MAX` for none.
    avoided: Arc<AtomicUsize>,
    ended: Arc<AtomicBool>,
    thread: thread::JoinHandle<(u64, u64, u64)>,
}

impl Callers {
    fn start(daemons: &[Daemon]) -> Self {
        let (avoided, ended) = (Arc::new(AtomicUsize::new(usize::MAX)), Arc::default());
        let urls = daemons.iter().map(|daemon| format!("http://{}/call/quotes/", daemon.callers));
        let urls: Vec<_> = urls.collect();
        let thread = thread::spawn({
            let (avoided, ended) = (avoided.clone(), Arc::clone(&ended));
            move || call_in_turn(&urls, &avoided, &ended)
        });
        Self { avoided, ended, thread }
    }

    /// Stops calls to `daemon`, so that its kill does not cut off a call.
    fn avoid(&self, daemon: usize) {
        self.avoided.store(daemon, Ordering::SeqCst);
        thread::sleep(CALL_PERIOD * 10);
    }

    /// Stops the thread; returns the numbers of all, refused and unanswered calls.
    fn finish(self) -> (u64, u64, u64) {
        self.ended.store(true, Ordering::SeqCst);
        self.thread.join().unwrap_or_default()
    }
}

fn call_in_turn(urls: &[String], avoided: &AtomicUsize, ended: &AtomicBool) -> (u64, u64, u64) {
    let (mut calls, mut refused, mut lost) = (0, 0, 0);
    for turn in (0..urls.len()).cycle() {
        if ended.load(Ordering::SeqCst) {
            return (calls, refused, lost);
        }
        if turn == avoided.load(Ordering::SeqCst) {
            continue;
        }
        calls += 1;
        let request = attohttpc::post(&urls[turn]).header("Sardinevalve-Kind", "quote");
        match request.timeout(Duration::from_secs(5)).text("1").send() {
            Ok(response) if response.is_success() => {}
            Ok(_) => refused += 1,
            Err(_) => lost += 1,
        }
        thread::sleep(CALL_PERIOD);
    }
    (calls, refused, lost)
}
