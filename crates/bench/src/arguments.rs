use super::*;

/// Load and experiments for sardinevalve.
#[derive(Debug, Parser)]
#[command(name = "sardinevalve-bench", version)]
pub(crate) struct Arguments {
    #[command(subcommand)]
    pub(crate) command: Action,
}

#[derive(Debug, Subcommand)]
pub(crate) enum Action {
    /// List the experiments
    List,
    /// Run an experiment
    #[command(subcommand)]
    Run(Experiment),
}

#[derive(Debug, Clone, Subcommand)]
pub(crate) enum Experiment {
    /// Traffic and throughput of consensus by role and fleet size, in process
    Agreement,
    /// Three daemons, two fake upstreams, one request, one change
    FirstFleet,
    /// Leaders killed under steady load: time until changes are accepted again, calls refused
    LeaderKills {
        /// Number of kills
        #[arg(long, default_value_t = 100)]
        kills: u32,
    },
    /// Dispatch policies compared with an ideal central queue, in process
    Dispatch {
        /// Seeds of the arrivals
        #[arg(long = "seed", default_values_t = [1])]
        seeds: Vec<u64>,
        /// One-way delay between data centres, in microseconds
        #[arg(long, default_value_t = 1400)]
        delay_us: u64,
    },
    /// Events per second that the dispatch reducer handles, in process
    RouteThroughput {
        /// Seed of the order in which attempts end
        #[arg(long, default_value_t = 1)]
        seed: u64,
    },
    /// Latency at a given request rate, through daemons and directly to the upstreams
    Load(load::Load),
    /// Many requests while daemons and upstreams are killed and connections broken
    Chaos(Chaos),
    /// Many changes under faults: time until each is in force, changes reverted or lost
    Changes(changes::Changes),
    /// Maintenance waves: the planner compared with batches of a fixed size, in process
    Waves(waves::Waves),
    /// Job placement on seeded traces, compared with first fit by declared size
    Placement {
        /// Seed of the traces
        #[arg(long, default_value_t = 1)]
        seed: u64,
    },
    /// Traffic, processor time and memory of daemons without callers
    Idle {
        /// Number of daemons
        #[arg(long, default_value_t = 10)]
        daemons: usize,
        /// Number of upstreams
        #[arg(long, default_value_t = 50)]
        upstreams: usize,
        /// Length of the measurement, in seconds
        #[arg(long, default_value_t = 20)]
        seconds: u64,
    },
}
