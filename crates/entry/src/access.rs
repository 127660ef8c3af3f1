//! Decides on the leader whose call it is, and what an organisation may do with a job. The decision
//! is made on the committed table under the leader's lease, so no daemon decides by an older
//! configuration.

use super::*;

impl State {
    /// Organisation of a caller of `queue`; `None` for an anonymous caller. Without organisations in
    /// the configuration, every caller is anonymous.
    pub(crate) fn authorize(
        &self,
        queue: &job::Queue,
        key: Option<job::KeyDigest>,
    ) -> Result<Option<Name>, Answer> {
        let Some(config) = self.table.config.as_ref() else { return Ok(None) };
        if config.organisations.is_empty() {
            return Ok(None);
        }
        match key {
            Some(key) => {
                config.organisation_of(&key).cloned().map(Some).ok_or(Answer::Unauthorized)
            }
            None if queue.anonymous => Ok(None),
            None => Err(Answer::Unauthorized),
        }
    }

    /// The job `id` of `queue`, if `organisation` may see it: its own, or that of an anonymous
    /// caller.
    pub(crate) fn visible_job(
        &self,
        queue: &str,
        id: job::JobId,
        organisation: Option<&Name>,
    ) -> Option<&job::JobRecord> {
        self.table.job(queue, id).filter(|record| record.is_visible_to(organisation))
    }

    /// Why a job is not accepted, if it is not.
    pub(crate) fn refusal(
        &mut self,
        now: Time,
        unix: job::UnixMs,
        queue: &Name,
        organisation: Option<&Name>,
        spec: &job::Spec,
    ) -> Option<Answer> {
        if let Some(retry) = self.overload.retry_after() {
            return Some(Answer::NotRun { retry });
        }
        match self.budget.excess(unix, &self.table, spec) {
            Some(Excess::Alone) => {
                let limit = self.budget.limit();
                let why = format!("job takes more than the {limit} bytes that all jobs may take");
                return Some(Answer::Invalid(why));
            }
            Some(Excess::Beside(retry)) => return Some(Answer::NotRun { retry }),
            None => {}
        }
        let (name, config) = (organisation?, self.table.config.as_ref()?);
        let limits = config.organisation(name)?;
        if let Some(group) = limits.group_over_limit(spec) {
            let limit = limits.limit;
            let why = format!("group {group} exceeds the limit of organisation `{name}`: {limit}");
            return Some(Answer::Invalid(why));
        }
        if !self.table.exceeds_rate(name, unix) {
            return None;
        }
        let queue = config.queue(queue)?;
        let delay = queue.admission.map_or(Duration::ZERO, |admission| admission.min_delay());
        let objective = queue.objective(spec.critical_path(delay));
        let rate = limits.weight;
        let retry = self.surplus.retry_after(now, &self.table, name, rate, objective)?;
        Some(Answer::Throttled { retry })
    }
}
