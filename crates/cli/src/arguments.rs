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
        #[command(flatten)]
        signature: Signature,
    },
    /// Show the fleet's configuration as INI
    Get {
        /// Revision; the present one by default
        revision: Option<Revision>,
    },
    /// Show what a file would change
    Diff {
        /// Configuration file
        file: PathBuf,
    },
    /// Give labels to an instance, which win over those it announces
    Label {
        /// The instance
        instance: String,
        /// Labels, KEY=VALUE; KEY= takes the operators' label away
        #[arg(required = true)]
        labels: Vec<String>,
        #[command(flatten)]
        signature: Signature,
    },
    /// List the latest configurations
    History,
    /// Go back, by a new change, to the configuration before a revision
    Undo {
        /// Revision to undo; the present one by default
        revision: Option<Revision>,
        #[command(flatten)]
        signature: Signature,
    },
    /// Maintain instances in waves
    #[command(subcommand)]
    Maintain(Maintain),
    /// Forget an instance that is gone for good
    Forget {
        /// The instance
        instance: String,
        #[command(flatten)]
        signature: Signature,
    },
    /// Tell what was decided, and why
    Explain {
        /// What the decisions concern
        kind: Kind,
        /// Its name; none for the configuration
        name: Option<String>,
    },
    /// Show the state of the fleet
    Status,
    /// Change a member of the agreement; call the daemon that leads
    #[command(subcommand)]
    Member(Member),
    /// Submit, cancel and show jobs
    #[command(subcommand)]
    Job(JobCommand),
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
pub(crate) enum JobCommand {
    /// Submit the jobs of a file; a resend gets the first answers
    Submit {
        /// File with a section `[job ID]` for each job
        file: PathBuf,
    },
    /// Cancel a job, also ahead of its submission
    Cancel {
        /// Id of the job
        id: String,
    },
    /// Show where a job stands, and why
    Show {
        /// Id of the job
        id: String,
    },
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

/// What identifies a request.
#[derive(Debug, Clone, Args)]
pub(crate) struct Signature {
    /// Id of the request; the same id again returns the first answer
    #[arg(long)]
    pub(crate) request: Option<String>,
    /// Who asks
    #[arg(long, env = "USER", hide_env_values = true, default_value = "operator")]
    pub(crate) author: String,
}

#[derive(Debug, Subcommand)]
pub(crate) enum Maintain {
    /// Start a wave over the instances that a selector matches
    Start {
        /// Name of the new wave
        wave: String,
        /// Instances to maintain, such as `pool=quotes` or `rack=r1, service!=payouts`
        selector: String,
        #[command(flatten)]
        signature: Signature,
    },
    /// Disrupt no further instance for now
    Pause {
        /// Name of the wave
        wave: String,
        #[command(flatten)]
        signature: Signature,
    },
    /// Go on with a wave that was paused, or stopped by itself
    Resume {
        /// Name of the wave
        wave: String,
        #[command(flatten)]
        signature: Signature,
    },
    /// End a wave; instances that reboot are still waited for
    Cancel {
        /// Name of the wave
        wave: String,
        #[command(flatten)]
        signature: Signature,
    },
    /// Show how far the waves are
    Status {
        /// Name of the wave; all by default
        wave: Option<String>,
    },
}

#[derive(Debug, Clone, Copy, ValueEnum)]
pub(crate) enum Kind {
    /// An instance
    Instance,
    /// A pool
    Pool,
    /// A wave
    Wave,
    /// The configuration
    Config,
}
