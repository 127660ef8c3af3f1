use super::*;

/// Whether a worker may start tasks, judged by the tasks that failed on it.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Health {
    /// It starts tasks as long as they fit.
    #[default]
    Fine,
    /// It starts no tasks, because several different jobs failed on it.
    Quarantined {
        /// Replicated time at which the quarantine ends and the probation begins.
        until: Time,
        /// Number of quarantines in a row.
        times: u32,
    },
    /// It runs one task at a time until one finishes its work.
    Probation {
        /// Number of quarantines in a row.
        times: u32,
    },
}

impl Health {
    /// Number of different jobs that fail in a row before a worker is quarantined.
    pub const MAX_FAILURES: usize = 3;
    /// Duration of the first quarantine; it doubles with each further one in a row.
    const FIRST_QUARANTINE: Duration = Duration::from_secs(60);
    /// Number of doublings that reach the longest quarantine, 64 minutes.
    const MAX_DOUBLINGS: u32 = 6;

    /// The health at `now`: a quarantine that has ended is a probation.
    pub fn at(&self, now: Time) -> Self {
        match self {
            Self::Quarantined { until, times } if *until <= now => {
                Self::Probation { times: *times }
            }
            other => other.clone(),
        }
    }

    /// The health after too many failures: the next quarantine, which starts at `now`.
    pub(crate) fn escalate(&self, now: Time) -> Self {
        let times = match self {
            Self::Fine => 0,
            Self::Quarantined { times, .. } | Self::Probation { times } => *times,
        };
        let length = Self::FIRST_QUARANTINE * (1 << times.min(Self::MAX_DOUBLINGS));
        Self::Quarantined { until: now + length, times: times.saturating_add(1) }
    }
}
