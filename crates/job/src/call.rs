use super::*;

/// A request from a caller, an instance or an operator.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Call {
    /// A caller submits a job.
    Submit {
        /// `Host` header of the request.
        host: Name,
        /// Path of the request.
        path: Name,
        /// The job, or why the request body is invalid.
        spec: Result<Spec, String>,
        /// Digest of the caller's key.
        key: Option<KeyDigest>,
    },
    /// A caller asks for the state of a job or of a queue.
    Show {
        /// `Host` header of the request.
        host: Name,
        /// Path of the request.
        path: Name,
        /// Digest of the caller's key.
        key: Option<KeyDigest>,
    },
    /// A caller cancels a job.
    Cancel {
        /// `Host` header of the request.
        host: Name,
        /// Path of the request.
        path: Name,
        /// Digest of the caller's key.
        key: Option<KeyDigest>,
    },
    /// An instance announces itself.
    Announce(Announcement),
    /// An instance reports that it has ended.
    Leave {
        /// Name of the instance.
        name: Name,
        /// Start time of the incarnation, if reported.
        born: Option<UnixMs>,
    },
    /// An operator replaces the configuration.
    Configure(Box<Config>),
    /// An operator reads the configuration.
    Config,
    /// An operator starts a maintenance wave.
    StartWave {
        /// Id of the wave.
        id: WaveId,
        /// Names of the machines.
        machines: Vec<Name>,
        /// Time within which the wave should be done.
        duration: Duration,
        /// Maximum number of machines down at the same time.
        budget: u32,
    },
    /// An operator asks for the progress of a wave.
    Wave(WaveId),
    /// [`Call::Configure`], as another daemon forwards it.
    Publish(Document),
    /// An operator reads the configuration from a daemon that has it in this version, and asks the
    /// leader whether that is the newest.
    ConfigSince(u64),
}

impl Call {
    /// The call as another daemon gets it. A configuration is forwarded as its text alone.
    pub fn to_forward(&self) -> Self {
        match self {
            Self::Configure(config) => Self::Publish(Document::from(&**config)),
            call => call.clone(),
        }
    }

    /// Subject of the request, for the log.
    pub fn subject(&self) -> String {
        match self {
            Self::Submit { path, .. } | Self::Show { path, .. } | Self::Cancel { path, .. } => {
                path.to_string()
            }
            Self::Announce(announcement) => announcement.incarnation.to_string(),
            Self::Leave { name, .. } => name.to_string(),
            Self::Configure(config) => format!("version {}", config.version),
            Self::Publish(document) => format!("version {}", document.version),
            Self::Config | Self::ConfigSince(_) => "configuration".into(),
            Self::StartWave { id, .. } | Self::Wave(id) => format!("wave {id}"),
        }
    }
}

/// Answer to a [`Call`]. The variants are printed in the log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Answer {
    /// The request was carried out.
    Done,
    /// State of the job.
    Job(JobState),
    /// Number of jobs of the queue without a started task.
    Pending(u64),
    /// The configuration as the operator sent it.
    Config(Arc<str>),
    /// Progress of the wave.
    Wave {
        /// Whether maintenance has begun on every machine.
        complete: bool,
    },
    /// The request was not carried out and will not be; the client may repeat it.
    NotRun {
        /// Time to wait before repeating the request.
        retry: Duration,
    },
    /// Whether the request was carried out is unknown.
    Unknown,
    /// The address belongs to no queue.
    NoQueue,
    /// The job does not exist.
    NoJob,
    /// The wave does not exist.
    NoWave,
    /// The caller has no key that the current configuration knows.
    Unauthorized,
    /// The id belongs to another job: of another organisation or queue, or with another
    /// description.
    Conflict,
    /// The job exceeds the agreed rate of its organisation and could not be done in time. It was not
    /// accepted and will not be; the client may submit it again.
    Throttled {
        /// Time to wait before submitting it again.
        retry: Duration,
    },
    /// The request is invalid.
    Invalid(String),
    /// The configuration that the asking daemon has is the newest.
    Current,
    /// The request is larger than can be carried.
    TooLarge {
        /// Maximum size of its body, in bytes.
        max: usize,
    },
}

impl Answer {
    /// Whether it promises that the request was not carried out and will not be.
    pub fn is_refusal(&self) -> bool {
        matches!(
            self,
            Self::NotRun { .. }
                | Self::Throttled { .. }
                | Self::Unauthorized
                | Self::Conflict
                | Self::NoQueue
                | Self::Invalid(_)
                | Self::TooLarge { .. }
        )
    }
}
