use super::*;

/// What is asked of the fleet from outside.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Call {
    /// A caller hands in a job.
    Submit {
        /// Host that was asked.
        host: Name,
        /// Path that was asked.
        path: Name,
        /// The job, or what is wrong with it.
        spec: Result<Spec, String>,
    },
    /// A caller asks for a job, or for its queue.
    Show {
        /// Host that was asked.
        host: Name,
        /// Path that was asked.
        path: Name,
    },
    /// A caller cancels a job.
    Cancel {
        /// Host that was asked.
        host: Name,
        /// Path that was asked.
        path: Name,
    },
    /// An instance says that it is there.
    Announce(Announcement),
    /// An instance has ended.
    Leave {
        /// The instance.
        name: Name,
        /// Which life, where it says so.
        born: Option<UnixMs>,
    },
    /// An operator puts a configuration in force.
    Configure(Box<Config>),
    /// An operator reads the configuration.
    Config,
    /// An operator starts a maintenance wave.
    StartWave {
        /// Its number.
        id: WaveId,
        /// Its machines.
        machines: Vec<Name>,
        /// Within which it is to be done.
        duration: Duration,
        /// Most machines that are down at once.
        budget: u32,
    },
    /// An operator asks how far a wave is.
    Wave(WaveId),
}

impl Call {
    /// What the call is about, for the log.
    pub fn subject(&self) -> String {
        match self {
            Self::Submit { path, .. } | Self::Show { path, .. } | Self::Cancel { path, .. } => {
                path.to_string()
            }
            Self::Announce(announcement) => announcement.incarnation.to_string(),
            Self::Leave { name, .. } => name.to_string(),
            Self::Configure(config) => format!("version {}", config.version),
            Self::Config => "configuration".into(),
            Self::StartWave { id, .. } | Self::Wave(id) => format!("wave {id}"),
        }
    }
}

/// What the fleet answers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Answer {
    /// Done as asked.
    Done,
    /// Where the job stands.
    Job(JobState),
    /// Jobs of the queue for which no task was started.
    Pending(u64),
    /// The configuration as it was sent.
    Config(Arc<str>),
    /// Whether the wave is complete.
    Wave {
        /// It is.
        complete: bool,
    },
    /// Nothing was done, and nothing will be; worth another try after a time.
    NotRun {
        /// When to come back.
        retry: Duration,
    },
    /// The outcome is unknown.
    Unknown,
    /// No such queue.
    NoQueue,
    /// No such job.
    NoJob,
    /// No such wave.
    NoWave,
    /// The call makes no sense.
    Invalid(String),
}
