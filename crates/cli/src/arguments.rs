use super::*;

/// Fleet capacity and maintenance manager: the operators' tool.
#[derive(Debug, Parser)]
#[command(name = "sardinevalve", version)]
pub(crate) struct Arguments {
    /// Operators' address of any daemon, IP:PORT
    #[arg(
        long,
        env = "SARDINEVALVE_DAEMON",
        hide_env_values = true,
        default_value = "127.0.0.1:7300"
    )]
    pub(crate) daemon: String,
    /// File with the operator's token
    #[arg(long, env = "SARDINEVALVE_TOKEN_FILE", hide_env_values = true)]
    pub(crate) token_file: Option<PathBuf>,
    /// Print replies as JSON
    #[arg(long, global = true)]
    pub(crate) json: bool,
    #[command(subcommand)]
    pub(crate) command: Command,
}

#[derive(Debug, Subcommand)]
pub(crate) enum Command {
    /// Replace the fleet's configuration
    Apply {
        /// Configuration file
        file: PathBuf,
        /// Wait until the change is in force on every daemon
        #[arg(long)]
        wait: bool,
        /// Revision that the change was made against; the present one by default
        #[arg(long)]
        base: Option<Revision>,
        /// Id of the request; the same id again returns the first answer
        #[arg(long)]
        request: Option<String>,
        /// Who asks
        #[arg(long, env = "USER", hide_env_values = true, default_value = "operator")]
        author: String,
    },
    /// Show the fleet's configuration
    Get,
    /// Show the state of the fleet
    Status,
    /// Make the keys of daemons
    #[command(subcommand)]
    Keys(Keys),
}

#[derive(Debug, Subcommand)]
pub(crate) enum Keys {
    /// Make the fleet's authority in a new folder
    Init {
        /// Folder of the authority
        folder: PathBuf,
    },
    /// Issue a certificate and key for a daemon
    Issue {
        /// Folder of the authority
        folder: PathBuf,
        /// Name of the daemon
        name: String,
    },
    /// Issue a new certificate and key in place of a daemon's present ones
    Renew {
        /// Folder of the authority
        folder: PathBuf,
        /// Name of the daemon
        name: String,
    },
    /// Show what a certificate says
    Show {
        /// Certificate file
        certificate: PathBuf,
    },
}
