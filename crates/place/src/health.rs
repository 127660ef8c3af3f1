use super::*;

/// Whether a worker may run tasks.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Health {
    /// As many as fit.
    #[default]
    Fine,
    /// None, for several different jobs failed on it.
    Quarantined {
        /// When its probation begins.
        until: Time,
        /// How often in a row it was quarantined.
        times: u32,
    },
    /// One at a time, until one ends well.
    Probation {
        /// How often in a row it was quarantined.
        times: u32,
    },
}

impl Health {
    /// Different jobs that fail in a row before a worker is quarantined.
    pub const MAX_FAILURES: usize = 3;
    /// Length of the first quarantine; it doubles with each further one.
    const QUARANTINE: Duration = Duration::from_secs(60);
    /// Doublings that reach the longest quarantine.
    const MAX_DOUBLINGS: u32 = 6;

    /// The state at `now`: a quarantine that is over becomes a probation.
    pub fn at(&self, now: Time) -> Self {
        match self {
            Self::Quarantined { until, times } if *until <= now => {
                Self::Probation { times: *times }
            }
            other => other.clone(),
        }
    }

    /// The state after too many failures at `now`.
    pub(crate) fn worse(&self, now: Time) -> Self {
        let times = match self {
            Self::Fine => 0,
            Self::Quarantined { times, .. } | Self::Probation { times } => *times,
        };
        let length = Self::QUARANTINE * (1 << times.min(Self::MAX_DOUBLINGS));
        Self::Quarantined { until: now + length, times: times.saturating_add(1) }
    }
}
