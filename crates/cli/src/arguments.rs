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
    /// Change a member of the agreement; call the daemon that leads
    #[command(subcommand)]
    Member(Member),
    /// Make the keys of daemons
    #[command(subcommand)]
    Keys(Keys),
}

#[derive(Debug, Subcommand)]
pub(crate) enum Member {
    /// Make an observer with a data folder a voter
    Voter {
        /// Name of the daemon
        name: Name,
    },
    /// Make a voter an observer, or let an observer join
    Observer {
        /// Name of the daemon
        name: Name,
    },
    /// Let a member leave
    Remove {
        /// Name of the daemon
        name: Name,
    },
}

impl Member {
    pub(crate) fn change(&self) -> quorum::Change {
        match self {
            Self::Voter { name } => quorum::Change::Voter(name.clone()),
            Self::Observer { name } => quorum::Change::Observer(name.clone()),
            Self::Remove { name } => quorum::Change::Remove(name.clone()),
        }
    }
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
