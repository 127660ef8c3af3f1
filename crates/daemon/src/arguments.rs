use super::*;

/// Fleet capacity and maintenance manager: the daemon of one entry instance.
#[derive(Debug, Parser)]
#[command(
    name = "sardinevalved",
    version,
    args_conflicts_with_subcommands = true,
    subcommand_negates_reqs = true
)]
pub(crate) struct Arguments {
    /// Settings file of this daemon
    #[arg(required = true)]
    pub(crate) settings: Option<PathBuf>,
    /// Check the settings and exit
    #[arg(long)]
    pub(crate) check: bool,
    /// File to record every event in, for `replay`
    #[arg(long)]
    pub(crate) record: Option<PathBuf>,
    #[command(subcommand)]
    pub(crate) action: Option<Action>,
}

#[derive(Debug, Subcommand)]
pub(crate) enum Action {
    /// Reduce recorded events again, and compare the effects
    Replay {
        /// The recording
        file: PathBuf,
    },
}
