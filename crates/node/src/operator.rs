//! Calls of operators and the replies to them.

use super::*;

/// A call from an operator.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Call {
    /// Replace the configuration.
    Apply(Box<fleet::Change>),
    /// Change the membership of the cluster.
    Member(quorum::Change),
    /// Show the current configuration.
    Config,
    /// Show the state of the fleet.
    Status,
    /// Start, pause, resume or cancel a maintenance wave.
    Maintain(fleet::Order),
    /// Forget an instance that will not come back.
    Forget {
        /// Id of the request, chosen by the operator.
        request: Name,
        /// Operator who makes the request.
        author: Name,
        /// The instance.
        instance: Name,
    },
    /// Show the maintenance waves.
    Waves,
    /// Show the logged decisions about a subject.
    Explain(fleet::Subject),
    /// Show the most recent configurations.
    History,
    /// Show an earlier configuration.
    Past(Revision),
    /// Submit a job.
    Submit {
        /// Id of the job; a retry must use the same id.
        id: Name,
        /// The job.
        job: Box<model::Job>,
    },
    /// Cancel a job; its submission may arrive later.
    CancelJob(Name),
    /// Show the state of a job, and the reason for it.
    Job(Name),
}

/// Reply to an operator.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "reply")]
pub enum Reply {
    /// The request was committed, and accepted or refused.
    Applied {
        /// The decision.
        verdict: fleet::Verdict,
        /// Log index of the decision; it is in force on every daemon once `forced` in the status
        /// has reached this index.
        index: Index,
    },
    /// The membership change was appended; it takes effect once it is committed.
    Changing {
        /// Log index of the change.
        index: Index,
    },
    /// The membership change was refused.
    Unchanged {
        /// The reason.
        refusal: quorum::Refusal,
        /// The leader known to the daemon.
        leader: Option<Name>,
    },
    /// The outcome is unknown, since no majority answered in time; a retry with the same id returns
    /// the outcome.
    Unknown,
    /// The current configuration, or an earlier one.
    Config {
        /// Its revision.
        revision: Revision,
        /// The configuration.
        config: model::Config,
    },
    /// The state of the fleet.
    Status(Status),
    /// The maintenance waves, including ended ones that are still kept.
    Waves {
        /// Waves by name.
        waves: BTreeMap<Name, Summary>,
    },
    /// The logged decisions about a subject, oldest first.
    Explanation {
        /// The subject.
        subject: fleet::Subject,
        /// Its current state in words.
        present: Option<Name>,
        /// The decisions.
        entries: Vec<fleet::Entry>,
    },
    /// The most recent configurations, oldest first.
    History {
        /// Current fleet time.
        now: Duration,
        /// Configurations.
        past: Vec<fleet::Past>,
    },
    /// The job was accepted or refused.
    Submitted {
        /// Id of the job.
        job: Name,
        /// The decision.
        verdict: place::Verdict,
    },
    /// The cancellation was recorded.
    Cancelled {
        /// Id of the job.
        job: Name,
    },
    /// State of a job.
    Job {
        /// Id of the job.
        job: Name,
        /// State of the job.
        standing: place::Standing,
    },
    /// The requested revision is not kept.
    NoRevision {
        /// The revision.
        revision: Revision,
    },
}

impl Reply {
    /// The reply to a request whose command at log `index` had `outcome`, if that outcome answers
    /// one.
    pub(crate) fn to(outcome: &Outcome, index: Index) -> Option<Self> {
        match outcome.clone() {
            Outcome::Fleet(fleet::Effect::Verdict { verdict, .. }) => {
                Some(Self::Applied { verdict, index })
            }
            Outcome::Place(place::Effect::Verdict { job, verdict }) => {
                Some(Self::Submitted { job, verdict })
            }
            Outcome::Place(place::Effect::Cancelled { job }) => Some(Self::Cancelled { job }),
            _ => None,
        }
    }
}

/// State of the fleet as seen by one daemon.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// Daemon that replies.
    pub daemon: Name,
    /// The leader known to it.
    pub leader: Option<Name>,
    /// Members of the cluster.
    #[serde(default)]
    pub members: BTreeMap<Name, quorum::Member>,
    /// Whether the daemon's disk differs from the one recorded in the membership, so that its vote
    /// does not count.
    #[serde(default)]
    pub lost_disk: bool,
    /// Its current term.
    pub term: quorum::Term,
    /// Whether it holds a valid view lease, and so may act on its configuration.
    pub view: bool,
    /// Revision of its configuration.
    pub revision: Revision,
    /// Last log index that it has applied.
    pub applied: Index,
    /// Highest log index in force on every daemon.
    pub forced: Index,
    /// Number of caller requests without a final answer.
    pub pending: usize,
    /// Upstreams by instance name.
    pub upstreams: BTreeMap<Name, fleet::Upstream>,
    /// Summary of the fleet.
    pub overview: Overview,
}
