//! Refuses jobs beyond the agreed rate of an organisation that could not be done in time. The load
//! is an organisation that sends several times its rate for seconds. Its surplus waits behind the
//! jobs of the others, so beyond some backlog a further job would end too late to be of use. A
//! refusal costs its caller less than a job that nobody waits for any more.

use super::*;

/// Surplus of the organisations, as seen by the leader.
#[derive(Debug, Default)]
pub(crate) struct Surplus {
    /// Jobs beyond the agreed rate without a started task, by organisation, as of some moment ago.
    pending: BTreeMap<Name, u64>,
    counted_at: Option<Time>,
    /// Until when the returns of refused callers are scheduled, by organisation.
    returns: BTreeMap<Name, Time>,
}

impl Surplus {
    /// For how long a count is used again, since counting walks all live jobs.
    const COUNT_VALIDITY: Duration = Duration::from_millis(250);
    /// A surplus job is refused if the backlog ahead of it takes this multiple of its objective: it
    /// would end after three times its objective, too late to be of use.
    const MAX_OBJECTIVES: u32 = 2;
    /// Longest time after which a caller is told to return.
    const MAX_RETRY_AFTER: Duration = Duration::from_secs(60);

    /// When the caller of a surplus job should return, if the job is refused. Each refused caller is
    /// told a later time than the one before, at the agreed `rate` in jobs per second.
    pub(crate) fn retry_after(
        &mut self,
        now: Time,
        table: &Table,
        organisation: &Name,
        rate: u32,
        objective: Duration,
    ) -> Option<Duration> {
        if self.counted_at.is_none_or(|at| now >= at + Self::COUNT_VALIDITY) {
            self.counted_at = Some(now);
            self.pending = table.pending_surplus();
            self.returns.retain(|_, at| *at > now);
        }
        let pending = self.pending.entry(organisation.clone()).or_default();
        let interval = Duration::from_secs(1) / rate.max(1);
        let drained = interval * u32::try_from(*pending).unwrap_or(u32::MAX).min(MAX_PENDING);
        if drained <= objective * Self::MAX_OBJECTIVES {
            // Until the next count, the accepted jobs are added, since a burst may submit hundreds.
            *pending += 1;
            return None;
        }
        let last = self.returns.get(organisation).copied().unwrap_or_default();
        let returns = (last + interval).max(now + drained).min(now + Self::MAX_RETRY_AFTER);
        self.returns.insert(organisation.clone(), returns);
        Some(returns.saturating_sub(now))
    }
}

/// Bound of the counted jobs, so that durations cannot overflow.
const MAX_PENDING: u32 = 1_000_000;
