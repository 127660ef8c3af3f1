//! Many configuration changes while daemons are killed, paused and partitioned. Measures when each
//! change is in force everywhere, and checks that no daemon goes back to an older configuration.

use {
    super::*,
    rand::{Rng, SeedableRng},
    rand_chacha::ChaCha8Rng,
};

/// Result of the experiment.
#[derive(Debug, Serialize)]
struct Figures {
    experiment: &'static str,
    daemons: usize,
    voters: usize,
    seed: u64,
    faults: u32,
    changes: u64,
    accepted_ms: Quantiles,
    in_force_ms: Quantiles,
    /// Changes that were not in force within [`MAX_IN_FORCE_DELAY`].
    late: u64,
    /// Observations of a daemon that reported an older configuration than before.
    reverted: u64,
    /// Accepted changes that were missing after all daemons were restarted at once.
    lost: u64,
}

/// Arguments of the experiment.
#[derive(Debug, Clone, Args)]
pub(crate) struct Changes {
    /// Number of changes
    #[arg(long, default_value_t = 2900)]
    changes: u64,
    /// Mean number of changes before the next fault; 0 for no faults
    #[arg(long, default_value_t = 20)]
    fault_every: u64,
    /// Seed of the faults
    #[arg(long, default_value_t = 1)]
    seed: u64,
}

/// Number of daemons.
const DAEMONS: usize = 10;

/// Number of daemons that are voters.
const VOTERS: usize = 5;

/// Time after its acceptance within which a change must be in force everywhere.
const MAX_IN_FORCE_DELAY: Duration = Duration::from_secs(5);

/// Time between two status requests to the same daemon.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Longest duration of a fault, in milliseconds.
const MAX_FAULT_MS: u64 = 4000;

/// Longest wait for the status of a daemon.
const STATUS_TIMEOUT: Duration = Duration::from_millis(500);

/// A fault in progress, with the index of the daemon if it is needed to end the fault.
#[derive(Debug)]
enum Fault {
    Killed(usize),
    Paused(usize),
    Cut,
}

/// The running experiment.
struct Run {
    fleet: Fleet,
    rng: ChaCha8Rng,
    /// The present fault, and when it ends.
    fault: Option<(Fault, Instant)>,
    faults: u32,
    /// Last revision that each daemon reported; 0 after a restart.
    seen: Vec<u64>,
    reverted: u64,
}

pub(crate) fn run(settings: &Changes) -> eyre::Result<()> {
    let mut fleet = Fleet::new(DAEMONS, VOTERS)?;
    fleet.start()?;
    let rng = ChaCha8Rng::seed_from_u64(settings.seed);
    let seen = vec![0; DAEMONS];
    let mut run = Run { fleet, rng, fault: None, faults: 0, seen, reverted: 0 };
    let mut accepted = hdrhistogram::Histogram::<u64>::new(3)?;
    let mut in_force = hdrhistogram::Histogram::<u64>::new(3)?;
    let mut late = 0;
    for revision in 1..=settings.changes {
        run.inject(settings.fault_every)?;
        let started = Instant::now();
        run.change(revision)?;
        let acceptance = Instant::now();
        accepted.record((acceptance - started).as_millis() as u64)?;
        run.await_in_force(revision)?;
        let delay = acceptance.elapsed();
        in_force.record(delay.as_millis() as u64)?;
        late += u64::from(delay > MAX_IN_FORCE_DELAY);
    }
    let lost = run.restart_all(settings.changes)?;
    let figures = Figures {
        experiment: "changes",
        daemons: DAEMONS,
        voters: VOTERS,
        seed: settings.seed,
        faults: run.faults,
        changes: settings.changes,
        accepted_ms: Quantiles::of(&accepted),
        in_force_ms: Quantiles::of(&in_force),
        late,
        reverted: run.reverted,
        lost,
    };
    println!("{}", serde_json::to_string(&figures)?);
    ensure!(late + run.reverted + lost == 0, "a guarantee was violated, see the figures");
    Ok(())
}

impl Run {
    /// Ends the present fault if its time is over, or starts one at random.
    fn inject(&mut self, every: u64) -> eyre::Result<()> {
        match &self.fault {
            Some((_, until)) if Instant::now() >= *until => self.end_fault(),
            None if every > 0 && self.rng.random_ratio(1, every as u32) => self.start_fault(),
            _ => Ok(()),
        }
    }

    fn start_fault(&mut self) -> eyre::Result<()> {
        let leader = self.fleet.leader().filter(|_| self.rng.random_bool(0.5));
        let victim = leader.unwrap_or_else(|| self.rng.random_range(0..DAEMONS));
        let fault = match self.rng.random_range(0..3) {
            0 => {
                self.fleet.daemons[victim].kill();
                self.seen[victim] = 0;
                Fault::Killed(victim)
            }
            1 => {
                self.signal(victim, "STOP")?;
                Fault::Paused(victim)
            }
            _ => {
                self.fleet.network.partition(&[victim]);
                Fault::Cut
            }
        };
        let length = Duration::from_millis(self.rng.random_range(0..MAX_FAULT_MS));
        self.fault = Some((fault, Instant::now() + length));
        self.faults += 1;
        Ok(())
    }

    fn end_fault(&mut self) -> eyre::Result<()> {
        match self.fault.take() {
            Some((Fault::Killed(victim), _)) => self.fleet.daemons[victim].start(),
            Some((Fault::Paused(victim), _)) => self.signal(victim, "CONT"),
            Some((Fault::Cut, _)) => {
                self.fleet.network.heal();
                Ok(())
            }
            None => Ok(()),
        }
    }

    fn signal(&mut self, victim: usize, name: &str) -> eyre::Result<()> {
        match self.fleet.daemons[victim].program() {
            Some(program) => program.signal(name),
            None => Ok(()),
        }
    }

    /// Sends the change that creates `revision` to one daemon after another until it is accepted.
    fn change(&mut self, revision: u64) -> eyre::Result<()> {
        let first = self.rng.random_range(0..DAEMONS);
        let mut attempt = 0;
        wait_until("a change is accepted", || {
            attempt += 1;
            let daemon = &self.fleet.daemons[(first + attempt) % DAEMONS];
            accepted(&post(daemon, revision)) == Some(revision)
        })
    }

    /// Waits until every daemon has `revision` or no valid view lease.
    fn await_in_force(&mut self, revision: u64) -> eyre::Result<()> {
        let mut waiting: Vec<_> = (0..DAEMONS).collect();
        let started = Instant::now();
        while !waiting.is_empty() {
            ensure!(
                started.elapsed() < MAX_IN_FORCE_DELAY * 6,
                "revision {revision} was not in force everywhere in time"
            );
            waiting.retain(|daemon| !self.in_force_at(*daemon, revision));
            thread::sleep(POLL_INTERVAL);
        }
        Ok(())
    }

    /// Whether the daemon has `revision` or no valid view lease. During a fault, a daemon that does
    /// not answer counts as having none.
    fn in_force_at(&mut self, daemon: usize, revision: u64) -> bool {
        let Some((view, reported)) = reported(&self.fleet.daemons[daemon]) else {
            return self.fault.is_some();
        };
        if reported < self.seen[daemon] {
            self.reverted += 1;
        }
        self.seen[daemon] = reported;
        !view || reported >= revision
    }

    /// Kills and restarts all daemons at once, and counts the changes that are missing afterwards.
    fn restart_all(&mut self, revision: u64) -> eyre::Result<u64> {
        self.end_fault()?;
        self.fleet.daemons.iter_mut().for_each(Daemon::kill);
        self.fleet.start()?;
        let reported = self.fleet.daemons.iter().filter_map(Daemon::revision).min();
        Ok(revision.saturating_sub(reported.unwrap_or(0)))
    }
}

/// Whether a daemon may act on its configuration, and the revision of that configuration.
fn reported(daemon: &Daemon) -> Option<(bool, u64)> {
    let status = daemon.status_within(STATUS_TIMEOUT).ok()?;
    Some((status["view"].as_bool()?, status["revision"].as_u64()?))
}

fn post(daemon: &Daemon, revision: u64) -> Option<serde_json::Value> {
    let url = format!("http://{}/v1/changes", daemon.operators);
    let request = attohttpc::post(url)
        .header("Request-Id", format!("change-{revision}"))
        .header("Author", "bench")
        .header("Base-Revision", revision - 1)
        .timeout(MAX_IN_FORCE_DELAY / 2)
        .text(format!("[tenant t-{revision}]\n"));
    serde_json::from_str(&request.send().ok()?.text().ok()?).ok()
}

/// Revision that the reply says was accepted.
fn accepted(reply: &Option<serde_json::Value>) -> Option<u64> {
    reply.as_ref()?["verdict"]["accepted"]["revision"].as_u64()
}
