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
    Run {
        /// Which
        experiment: Experiment,
    },
}

#[derive(Debug, Clone, Copy, ValueEnum)]
pub(crate) enum Experiment {
    /// Three daemons, two fake upstreams, one request, one change
    FirstFleet,
}
