use super::*;

/// Simulators of the systems around the daemons, for tests.
#[derive(Debug, Parser)]
#[command(name = "sardinevalve-fake", version)]
pub(crate) struct Arguments {
    #[command(subcommand)]
    pub(crate) command: Command,
}

#[derive(Debug, Subcommand)]
pub(crate) enum Command {
    /// Simulate the upstreams of one service
    Upstreams(UpstreamArguments),
    /// Simulate the upstreams of one service, and the platform that drains and reboots them
    Platform(PlatformArguments),
}

#[derive(Debug, Clone, Args)]
pub(crate) struct UpstreamArguments {
    /// Addresses of the daemons' upstream interfaces, IP:PORT, tried in turn
    #[arg(long, required = true)]
    pub(crate) daemon: Vec<String>,
    /// Service of the upstreams
    #[arg(long)]
    pub(crate) service: String,
    /// Number of upstreams
    #[arg(long, default_value_t = 1)]
    pub(crate) count: u32,
    /// Requests that an upstream runs at once; further ones are refused
    #[arg(long, default_value_t = 8)]
    pub(crate) slots: u32,
    /// Run time of a request, in milliseconds
    #[arg(long, default_value_t = 1)]
    pub(crate) service_time_ms: u64,
    /// Fault to inject
    #[arg(long)]
    pub(crate) fault: Option<Fault>,
    /// Share of the requests to inject it into, from 0 to 1
    #[arg(long, default_value_t = 1.0)]
    pub(crate) fault_share: f64,
    /// Additional delay of a slow or late answer, in milliseconds
    #[arg(long, default_value_t = 5000)]
    pub(crate) fault_ms: u64,
    /// Seed of the random choices
    #[arg(long, default_value_t = 1)]
    pub(crate) seed: u64,
    /// File to which a JSON line is appended for each request that is run
    #[arg(long)]
    pub(crate) record: Option<PathBuf>,
    /// Suffix of the names of the instances and racks
    #[arg(long, default_value = "")]
    pub(crate) suffix: String,
}

#[derive(Debug, Clone, Args)]
pub(crate) struct PlatformArguments {
    /// Address on which the platform's interface listens
    #[arg(long)]
    pub(crate) listen: SocketAddr,
    /// Duration of a reboot, in milliseconds
    #[arg(long, default_value_t = 500)]
    pub(crate) reboot_ms: u64,
    /// Replace each answer whose number is a multiple of this by status 502, after the call has
    /// taken effect
    #[arg(long)]
    pub(crate) lose_every: Option<u64>,
    #[command(flatten)]
    pub(crate) upstreams: UpstreamArguments,
}
