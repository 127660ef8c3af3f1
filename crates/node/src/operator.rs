//! What operators ask of a daemon, and what they are told.

use super::*;

/// An operator's call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Call {
    /// Replace the configuration.
    Apply(Box<fleet::Change>),
    /// Change a member of the agreement.
    Member(quorum::Change),
    /// Show the configuration.
    Config,
    /// Show the state of the fleet.
    Status,
    /// Change a wave.
    Maintain(fleet::Order),
    /// Forget an instance that is gone for good.
    Forget {
        /// Id that the operator gave the request.
        request: Name,
        /// Who asks.
        author: Name,
        /// The instance.
        instance: Name,
    },
    /// Show the waves.
    Waves,
    /// Show the decisions about a subject.
    Explain(fleet::Subject),
    /// Show the latest configurations.
    History,
    /// Show an earlier configuration.
    Past(Revision),
    /// Submit a job.
    Submit {
        /// Id of the job; a resend carries the same.
        id: Name,
        /// The job.
        job: Box<model::Job>,
    },
    /// Cancel a job, which may be yet unknown.
    CancelJob(Name),
    /// Show where a job stands, and why.
    Job(Name),
}

/// Reply to an operator.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "reply")]
pub enum Reply {
    /// A request was judged.
    Applied {
        /// What became of it.
        verdict: fleet::Verdict,
        /// Position of the verdict in the log; in force once the status shows as much.
        index: Index,
    },
    /// A member changes once a majority has the change.
    Changing {
        /// Position of the change in the log.
        index: Index,
    },
    /// A member does not change.
    Unchanged {
        /// Why not.
        refusal: quorum::Refusal,
        /// Who leads, as far as the daemon knows.
        leader: Option<Name>,
    },
    /// No majority has answered in time; a resend of the same request finds the outcome.
    Unknown,
    /// The configuration.
    Config {
        /// Its number.
        revision: Revision,
        /// The configuration.
        config: model::Config,
    },
    /// The state of the fleet.
    Status(Status),
    /// The waves, ended ones included while they are kept.
    Waves {
        /// Waves by name.
        waves: BTreeMap<Name, Summary>,
    },
    /// The decisions about a subject, the oldest first.
    Explanation {
        /// What they concern.
        subject: fleet::Subject,
        /// Its present state in words.
        present: Option<Name>,
        /// The decisions.
        entries: Vec<fleet::Entry>,
    },
    /// The latest configurations, the oldest first.
    History {
        /// Fleet time now.
        now: Duration,
        /// Configurations.
        past: Vec<fleet::Past>,
    },
    /// A job was judged.
    Submitted {
        /// Id of the job.
        job: Name,
        /// What became of it.
        verdict: place::Verdict,
    },
    /// A cancellation is noted.
    Cancelled {
        /// Id of the job.
        job: Name,
    },
    /// Where a job stands.
    Job {
        /// Id of the job.
        job: Name,
        /// Where it stands.
        standing: place::Standing,
    },
    /// No such revision is kept.
    NoRevision {
        /// The revision.
        revision: Revision,
    },
}

impl Reply {
    /// The reply to a request that led to `outcome`, which stands at `index` in the log.
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

/// State of the fleet as one daemon sees it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// Daemon that replies.
    pub daemon: Name,
    /// Who leads, as far as it knows.
    pub leader: Option<Name>,
    /// Every member of the agreement.
    #[serde(default)]
    pub members: BTreeMap<Name, quorum::Member>,
    /// Whether its disk is another than the one it was admitted with, so that it has no vote.
    #[serde(default)]
    pub lost_disk: bool,
    /// Its term.
    pub term: quorum::Term,
    /// Whether it may act on its configuration.
    pub view: bool,
    /// Number of its configuration.
    pub revision: Revision,
    /// Highest log position that it has applied.
    pub applied: Index,
    /// Highest log position in force on every daemon.
    pub forced: Index,
    /// Caller requests without a final answer.
    pub pending: usize,
    /// Upstreams by instance.
    pub upstreams: BTreeMap<Name, fleet::Upstream>,
    /// The fleet in numbers.
    pub overview: Overview,
}
