use super::*;

/// Stand-ins for what surrounds the daemons.
#[derive(Debug, Parser)]
#[command(name = "sardinevalve-fake", version)]
pub(crate) struct Arguments {
    #[command(subcommand)]
    pub(crate) command: Command,
}

#[derive(Debug, Subcommand)]
pub(crate) enum Command {
    /// Play the runners of one service
    Upstreams(Upstreams),
    /// Play the runners of one service, and the platform that drains and reboots them
    Platform(Platform),
}

#[derive(Debug, Clone, Args)]
pub(crate) struct Upstreams {
    /// Upstreams' addresses of daemons, IP:PORT, tried in turn
    #[arg(long, required = true)]
    pub(crate) daemon: Vec<String>,
    /// Service that the runners answer
    #[arg(long)]
    pub(crate) service: String,
    /// Number of runners
    #[arg(long, default_value_t = 1)]
    pub(crate) count: u32,
    /// Requests a runner runs at once; more are refused
    #[arg(long, default_value_t = 8)]
    pub(crate) slots: u32,
    /// Time that a request takes, in milliseconds
    #[arg(long, default_value_t = 1)]
    pub(crate) service_time_ms: u64,
    /// What goes wrong
    #[arg(long)]
    pub(crate) fault: Option<Fault>,
    /// Share of requests that it happens to, from 0 to 1
    #[arg(long, default_value_t = 1.0)]
    pub(crate) fault_share: f64,
    /// Time that a slow or late answer takes longer, in milliseconds
    #[arg(long, default_value_t = 5000)]
    pub(crate) fault_ms: u64,
    /// Seed of what is left to chance
    #[arg(long, default_value_t = 1)]
    pub(crate) seed: u64,
    /// File to append a JSON line to for each request that is run
    #[arg(long)]
    pub(crate) record: Option<PathBuf>,
    /// Added to the names of the instances
    #[arg(long, default_value = "")]
    pub(crate) suffix: String,
}

#[derive(Debug, Clone, Args)]
pub(crate) struct Platform {
    /// Address of the platform's interface
    #[arg(long)]
    pub(crate) listen: SocketAddr,
    /// Time that a reboot takes, in milliseconds
    #[arg(long, default_value_t = 500)]
    pub(crate) reboot_ms: u64,
    /// Loses each answer whose number is a multiple of this
    #[arg(long)]
    pub(crate) lose_every: Option<u64>,
    #[command(flatten)]
    pub(crate) upstreams: Upstreams,
}
