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
    /// What the agreement costs by role and size, with reducers in this process
    Agreement,
    /// Three daemons, two fake upstreams, one request, one change
    FirstFleet,
    /// Leaders killed under a steady load: when changes are accepted again, who is refused
    LeaderKills {
        /// Number of kills
        #[arg(long, default_value_t = 100)]
        kills: u32,
    },
    /// Dispatch policies against an ideal central queue, in process
    Dispatch {
        /// Seeds of the arrivals
        #[arg(long = "seed", default_values_t = [1])]
        seeds: Vec<u64>,
        /// Delay between data centres, one way, in microseconds
        #[arg(long, default_value_t = 1400)]
        delay_us: u64,
    },
    /// Events a second that the dispatch reducer takes, in process
    RouteThroughput {
        /// Seed of the order in which attempts end
        #[arg(long, default_value_t = 1)]
        seed: u64,
    },
    /// Requests at a given rate, through daemons and straight to the upstreams
    Load(load::Load),
    /// Many requests, with daemons, upstreams and connections killed meanwhile
    Chaos(Chaos),
    /// Many changes under faults: when each is in force, whether any is reverted or lost
    Changes(changes::Changes),
    /// Maintenance waves in-process: the planner against batches of a fixed size
    Waves(waves::Waves),
    /// Jobs on workers on seeded traces, against first fit by declared size
    Placement {
        /// Seed of the traces
        #[arg(long, default_value_t = 1)]
        seed: u64,
    },
    /// What daemons spend on control while nobody calls
    Idle {
        /// Number of daemons
        #[arg(long, default_value_t = 10)]
        daemons: usize,
        /// Number of upstreams
        #[arg(long, default_value_t = 50)]
        upstreams: usize,
        /// How long to watch, in seconds
        #[arg(long, default_value_t = 20)]
        seconds: u64,
    },
}
