use super::*;

/// Fleet capacity and maintenance manager: the operators' tool.
#[derive(Debug, Parser)]
#[command(name = "sardinevalve", version)]
pub(crate) struct Arguments {
    /// Address of the operators' interface of any daemon, IP:PORT
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
        /// Revision that the change is based on; the current one by default
        #[arg(long)]
        base: Option<Revision>,
        #[command(flatten)]
        options: RequestOptions,
    },
    /// Show the fleet's configuration as INI
    Get {
        /// Revision to show; the current one by default
        revision: Option<Revision>,
    },
    /// Show what a file would change
    Diff {
        /// Configuration file
        file: PathBuf,
    },
    /// Set labels of an instance, which override those it announces
    Label {
        /// Name of the instance
        instance: String,
        /// Labels, KEY=VALUE; KEY= removes the operators' label
        #[arg(required = true)]
        labels: Vec<String>,
        #[command(flatten)]
        options: RequestOptions,
    },
    /// List the latest configurations
    History,
    /// Restore the configuration before a revision, as a new change
    Undo {
        /// Revision to undo; the current one by default
        revision: Option<Revision>,
        #[command(flatten)]
        options: RequestOptions,
    },
    /// Maintain instances in waves
    #[command(subcommand)]
    Maintain(Maintain),
    /// Forget an instance that will not return
    Forget {
        /// Name of the instance
        instance: String,
        #[command(flatten)]
        options: RequestOptions,
    },
    /// Show what was decided about a subject, and why
    Explain {
        /// Kind of the subject
        kind: SubjectKind,
        /// Name of the subject; none for the configuration
        name: Option<String>,
    },
    /// Show the state of the fleet
    Status,
    /// Change the members of the consensus group; call the leader
    #[command(subcommand)]
    Member(Member),
    /// Submit, cancel and show jobs
    #[command(subcommand)]
    Job(JobCommand),
    /// Manage the certificates and keys of daemons
    #[command(subcommand)]
    Keys(Keys),
    /// Report which jobs missed their objective, and why, from logs of `sardinevalve-entry`
    Report {
        /// Log files of the daemons; `-` for standard input
        #[arg(required = true, value_name = "LOG")]
        logs: Vec<PathBuf>,
        /// File for an image of the report over time
        #[arg(long, value_name = "FILE")]
        svg: Option<PathBuf>,
    },
}

#[derive(Debug, Subcommand)]
pub(crate) enum Member {
    /// Promote an observer that has a data folder to a voter
    Voter {
        /// Name of the daemon
        name: Name,
    },
    /// Demote a voter to an observer, or add an observer
    Observer {
        /// Name of the daemon
        name: Name,
    },
    /// Remove a member
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
    /// Submit the jobs in a file; submitting them again returns the first answers
    Submit {
        /// File with a section `[job ID]` for each job
        file: PathBuf,
    },
    /// Cancel a job, even before it is submitted
    Cancel {
        /// Id of the job
        id: String,
    },
    /// Show the state of a job, and why
    Show {
        /// Id of the job
        id: String,
    },
}

#[derive(Debug, Subcommand)]
pub(crate) enum Keys {
    /// Create the fleet's certificate authority in a new folder
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
    /// Replace the certificate and key of a daemon by new ones
    Renew {
        /// Folder of the authority
        folder: PathBuf,
        /// Name of the daemon
        name: String,
    },
    /// Show the contents of a certificate
    Show {
        /// Certificate file
        certificate: PathBuf,
    },
}

/// Id and author of a request that changes the fleet.
#[derive(Debug, Clone, Args)]
pub(crate) struct RequestOptions {
    /// Id of the request; repeating a request with its id returns the first answer
    #[arg(long)]
    pub(crate) request: Option<String>,
    /// Name of the operator, shown in the history
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
        options: RequestOptions,
    },
    /// Disrupt no further instances until the wave is resumed
    Pause {
        /// Name of the wave
        wave: String,
        #[command(flatten)]
        options: RequestOptions,
    },
    /// Resume a wave that was paused, or that stopped by itself
    Resume {
        /// Name of the wave
        wave: String,
        #[command(flatten)]
        options: RequestOptions,
    },
    /// End a wave; it still waits for instances that are rebooting
    Cancel {
        /// Name of the wave
        wave: String,
        #[command(flatten)]
        options: RequestOptions,
    },
    /// Show the progress of the waves
    Status {
        /// Name of the wave; all by default
        wave: Option<String>,
    },
}

#[derive(Debug, Clone, Copy, ValueEnum)]
pub(crate) enum SubjectKind {
    /// An instance
    Instance,
    /// A pool
    Pool,
    /// A wave
    Wave,
    /// The configuration
    Config,
}
