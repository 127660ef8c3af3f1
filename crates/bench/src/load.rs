//! Latency at a given request rate, through daemons and directly to the same upstreams in alternate
//! turns, so that the difference is the latency which a daemon adds. The load is open-loop: latency
//! counts from the time at which a request was due, even if it could only be sent later.

use {
    super::*,
    hdrhistogram::Histogram,
    plotters::prelude::*,
    rand::{Rng, SeedableRng},
    rand_chacha::ChaCha8Rng,
    std::fmt::Write,
};

/// Arguments of the experiment.
#[derive(Debug, Clone, Args)]
pub(crate) struct Load {
    /// Requests per second
    #[arg(long, default_value_t = 2000)]
    rate: u32,
    /// Turns through daemons, and as many directly to the upstreams
    #[arg(long, default_value_t = 10)]
    turns: u32,
    /// Length of a turn, in seconds
    #[arg(long, default_value_t = 2)]
    seconds: u32,
    /// Number of daemons
    #[arg(long, default_value_t = 3)]
    daemons: usize,
    /// Number of upstreams
    #[arg(long, default_value_t = 12)]
    upstreams: usize,
    /// Number of concurrent callers
    #[arg(long, default_value_t = 64)]
    callers: usize,
    /// Seed of the arrivals
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Folder for figures, plot and summary
    #[arg(long, default_value = "target/load")]
    folder: PathBuf,
}

/// How requests reach the upstreams.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
enum Way {
    /// Sent to the upstreams.
    Direct,
    /// Sent through the daemons.
    Daemons,
}

/// Result of the experiment for one [`Way`].
#[derive(Debug, Serialize)]
struct Figures {
    experiment: &'static str,
    way: Way,
    rate: u32,
    seed: u64,
    machine: Machine,
    latency_us: Quantiles,
    /// Calls without a complete answer.
    failed: u64,
}

const CONFIG: &str = "[service quotes]\n[kind quote]\nidempotent = true\ndeadline-ms = 5000\n";

/// Larger latencies are recorded as this one, in microseconds.
const MAX_LATENCY_US: u64 = 60_000_000;

/// Size of the plot, in pixels.
const PLOT_SIZE: (u32, u32) = (800, 400);

/// Points per curve of the plot.
const POINTS: u32 = 1000;

impl Load {
    pub(crate) fn run(&self) -> eyre::Result<()> {
        let mut fleet = Fleet::new(self.daemons, self.daemons)?;
        fleet.start()?;
        fleet.apply(CONFIG)?;
        fleet.add_upstreams("quotes", self.upstreams, &[])?;
        let machine = Machine::detect();
        let ways = [(Way::Direct, direct(&fleet)?), (Way::Daemons, daemons(&fleet))];
        let mut latencies = [histogram()?, histogram()?];
        let mut failed = [0, 0];
        for turn in 0..self.turns {
            for (i, (way, urls)) in ways.iter().enumerate() {
                let seed = self.seed + u64::from(turn);
                let calls = Calls { way: *way, urls, times: self.arrivals(seed) };
                failed[i] += calls.run(self.callers, &mut latencies[i])?;
            }
        }
        let figures = [0, 1].map(|i| Figures {
            experiment: "load",
            way: ways[i].0,
            rate: self.rate,
            seed: self.seed,
            machine: machine.clone(),
            latency_us: Quantiles::of(&latencies[i]),
            failed: failed[i],
        });
        self.report(&figures, &latencies)
    }

    /// Due times of the requests of a turn: a Poisson process.
    fn arrivals(&self, seed: u64) -> Vec<Duration> {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut time = 0.0;
        let count = self.rate * self.seconds;
        let mut next = || {
            time -= rng.random_range(f64::MIN_POSITIVE..1.0).ln() / f64::from(self.rate);
            Duration::from_secs_f64(time)
        };
        (0..count).map(|_| next()).collect()
    }

    fn report(&self, figures: &[Figures; 2], latencies: &[Histogram<u64>; 2]) -> eyre::Result<()> {
        fs::create_dir_all(&self.folder)?;
        let mut lines = String::new();
        for figures in figures {
            writeln!(lines, "{}", serde_json::to_string(figures)?)?;
        }
        print!("{lines}");
        fs::write(self.folder.join("load.jsonl"), lines)?;
        let summary = summary(figures, latencies)?;
        print!("\n{summary}");
        fs::write(self.folder.join("load.md"), summary)?;
        plot(&self.folder.join("load.svg"), latencies)
    }
}

/// The requests of one turn.
struct Calls<'a> {
    way: Way,
    urls: &'a [String],
    times: Vec<Duration>,
}

impl Calls<'_> {
    /// Makes all calls, and returns the number that failed.
    fn run(&self, callers: usize, latency: &mut Histogram<u64>) -> eyre::Result<u64> {
        let next = AtomicUsize::new(0);
        let start = Instant::now();
        thread::scope(|scope| {
            let work = || self.run_caller(start, &next);
            let threads: Vec<_> = (0..callers).map(|_| scope.spawn(work)).collect();
            let mut failed = 0;
            for thread in threads {
                let (own, own_failed) =
                    thread.join().map_err(|_| eyre::eyre!("a caller panicked"))??;
                latency.add(&own)?;
                failed += own_failed;
            }
            Ok(failed)
        })
    }

    /// Makes calls at their due times until all are made; returns latencies and failures.
    fn run_caller(
        &self,
        start: Instant,
        next: &AtomicUsize,
    ) -> eyre::Result<(Histogram<u64>, u64)> {
        let (mut latency, mut failed) = (histogram()?, 0);
        loop {
            let number = next.fetch_add(1, Ordering::Relaxed);
            let Some(time) = self.times.get(number) else { return Ok((latency, failed)) };
            thread::sleep(time.saturating_sub(start.elapsed()));
            let outcome = self.call(number);
            latency.saturating_record((start.elapsed() - *time).as_micros() as u64);
            failed += u64::from(outcome != CallOutcome::Run);
        }
    }

    fn call(&self, number: usize) -> CallOutcome {
        let body = number.to_string();
        let response = attohttpc::post(&self.urls[number % self.urls.len()])
            .proxy_settings(attohttpc::ProxySettings::builder().build())
            .header("Sardinevalve-Kind", "quote")
            .text(&body)
            .send();
        match (self.way, response) {
            (Way::Daemons, response) => CallOutcome::from_response(response, &body),
            (Way::Direct, Ok(response)) => CallOutcome::from_answer(response, &body),
            (Way::Direct, Err(_)) => CallOutcome::NoAnswer,
        }
    }
}

fn histogram() -> eyre::Result<Histogram<u64>> {
    Ok(Histogram::new_with_max(MAX_LATENCY_US, 3)?)
}

/// URLs for calls through the daemons.
fn daemons(fleet: &Fleet) -> Vec<String> {
    let daemons = fleet.daemons.iter();
    daemons.map(|daemon| format!("http://{}/call/quotes/", daemon.callers)).collect()
}

/// URLs of the upstreams.
fn direct(fleet: &Fleet) -> eyre::Result<Vec<String>> {
    let status = fleet.daemons[0].status()?;
    let upstreams = status["upstreams"].as_object().into_iter().flat_map(|all| all.values());
    let addresses = upstreams.filter_map(|upstream| upstream["announcement"]["address"].as_str());
    Ok(addresses.map(|address| format!("http://{address}/")).collect())
}

/// Table of quantiles in Markdown.
fn summary(figures: &[Figures; 2], latencies: &[Histogram<u64>; 2]) -> eyre::Result<String> {
    let mut text = "| quantile | direct, µs | through daemons, µs | added, µs |\n".to_owned();
    text += "|---|---|---|---|\n";
    for quantile in [0.5, 0.9, 0.99, 0.999] {
        let [direct, daemons] =
            [0, 1].map(|i: usize| latencies[i].value_at_quantile(quantile) as i64);
        writeln!(text, "| {quantile} | {direct} | {daemons} | {} |", daemons - direct)?;
    }
    let [direct, daemons] = figures;
    writeln!(
        text,
        "\n{} and {} calls, of which {} and {} failed; {} requests a second, seed {}, {:?}",
        latencies[0].len(),
        latencies[1].len(),
        direct.failed,
        daemons.failed,
        direct.rate,
        direct.seed,
        direct.machine
    )?;
    Ok(text)
}

/// Draws latency by quantile as an SVG image.
fn plot(path: &Path, latencies: &[Histogram<u64>; 2]) -> eyre::Result<()> {
    let draw = || -> Result<(), Box<dyn std::error::Error>> {
        let area = SVGBackend::new(path, PLOT_SIZE).into_drawing_area();
        area.fill(&WHITE)?;
        let longest = latencies.iter().map(|l| l.value_at_quantile(0.999)).max().unwrap_or(1);
        let mut chart = ChartBuilder::on(&area)
            .margin(20)
            .x_label_area_size(30)
            .y_label_area_size(60)
            .build_cartesian_2d(0.0..1.0, 0..longest)?;
        chart.configure_mesh().x_desc("quantile").y_desc("latency, µs").draw()?;
        for (latency, color) in latencies.iter().zip([BLUE, RED]) {
            let quantiles = (0..POINTS).map(|i| f64::from(i) / f64::from(POINTS));
            let points = quantiles.map(|q| (q, latency.value_at_quantile(q)));
            chart.draw_series(LineSeries::new(points, color))?;
        }
        area.present()?;
        Ok(())
    };
    draw().map_err(|error| eyre::eyre!("cannot draw `{}`: {error}", path.display()))
}
