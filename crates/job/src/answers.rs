//! Handles the answers of instances: updates the state of attempts and collects their ends.

use super::*;
use scheduler::{PendingCall, note};

impl Scheduler {
    /// Maximum number of ends in one report of an instance.
    const MAX_ENDS_IN_REPORT: usize = 500;
    /// An instance is avoided after tasks of this many different jobs failed there in a row.
    const MAX_FAILED_JOBS: usize = 3;
    /// How long an instance is avoided the first time; doubles each further time, up to eight times
    /// as long.
    const FAILING_BACKOFF: Duration = Duration::from_secs(3);
    /// How long an instance that reported itself unavailable is avoided.
    const UNAVAILABLE_BACKOFF: Duration = Duration::from_millis(1500);
    /// How long an instance that had no capacity for a task is avoided.
    const NO_CAPACITY_BACKOFF: Duration = Duration::from_millis(300);

    /// Handles the answer to a request, or its failure.
    pub(crate) fn on_answered(
        &mut self,
        now: Time,
        table: &Table,
        id: CallId,
        result: Result<Reply, CallError>,
        effects: &mut Vec<Effect>,
    ) {
        let Some((incarnation, pending)) = self.calls.remove(&id) else { return };
        self.touched.insert(incarnation.clone());
        if result == Ok(Reply::Fenced) && self.instances.contains_key(&incarnation) {
            effects.push(note(
                "fenced",
                incarnation.to_string(),
                "a later leader has sent a request".into(),
            ));
            return self.on_fenced(now, &incarnation);
        }
        let Some(instance) = self.instances.get_mut(&incarnation) else { return };
        if let Ok(reply) = &result
            && reply.may_be_of(&incarnation)
        {
            instance.last_heard = now;
        }
        let clock = result.as_ref().ok().and_then(Reply::clock);
        if let Err(error) = &result {
            instance.record_failure(now, *error);
        }
        if matches!(result, Err(CallError::Broken | CallError::Refused)) {
            self.machines.expect_crash(now + Instance::UNREACHABLE_BEFORE_LIST);
        }
        match pending {
            PendingCall::Start(task, number) => {
                let attempt = instance.attempts.get(&task).filter(|a| a.number == number);
                let answered = attempt.zip(clock).is_some_and(|(attempt, clock)| {
                    instance.is_own_clock(clock, attempt.started, now)
                });
                if let Some(attempt) = instance.attempts.get_mut(&task).filter(|_| answered) {
                    attempt.answered = true;
                }
                self.on_start(now, &incarnation, task, number, result, effects);
            }
            PendingCall::Stop(task, number) => {
                let answered =
                    matches!(result, Ok(Reply::Done { .. } | Reply::StaleAttempt { .. }));
                let attempt = instance.attempts.get_mut(&task);
                if let Some(attempt) = attempt.filter(|a| answered && a.number == number) {
                    attempt.conclusive_from = Some(now);
                    instance.request_report(now);
                }
            }
            PendingCall::Renew { sent, acknowledged } => {
                let is_latest = instance.latest_renewal == Some(id);
                instance.latest_renewal.take_if(|latest| *latest == id);
                match result {
                    Ok(Reply::Report { born, .. }) if born != Some(incarnation.born) => {
                        self.on_foreign_report(now, &incarnation, born, effects);
                    }
                    Ok(Reply::Report { clock, running, ended, .. }) => {
                        instance.record_contact(now);
                        instance.update_clock(clock, now);
                        instance.forgotten = instance.forgotten.max(acknowledged);
                        self.on_report(now, table, &incarnation, sent, running, ended, effects);
                    }
                    Ok(Reply::OtherIncarnation) => {
                        instance.unresponsive = true;
                        instance.renew_at = now + Self::RENEWAL_WAIT;
                    }
                    // It has answered a later one.
                    _ if !is_latest && instance.last_report > sent => {}
                    _ => {
                        instance.unresponsive = true;
                        instance.renew_at = now + Self::RENEWAL_RETRY_DELAY;
                    }
                }
            }
            PendingCall::Throttle(task, number) => {
                let attempt = instance.attempts.get_mut(&task).filter(|a| a.number == number);
                if let Some(attempt) = attempt
                    && !matches!(result, Ok(Reply::Done { .. }))
                {
                    attempt.throttle_in_doubt = true;
                }
            }
        }
    }

    /// An instance has seen a later leader, so this scheduler is about to be told to resign.
    fn on_fenced(&mut self, now: Time, incarnation: &Incarnation) {
        if let Some(instance) = self.instances.get_mut(incarnation) {
            instance.latest_renewal = None;
            instance.unresponsive = true;
            instance.renew_at = now + Self::LEASE;
            instance.avoided_until = now + Self::LEASE;
        }
    }

    /// Handles the answer to a start request.
    fn on_start(
        &mut self,
        now: Time,
        incarnation: &Incarnation,
        task: TaskId,
        number: AttemptNumber,
        result: Result<Reply, CallError>,
        effects: &mut Vec<Effect>,
    ) {
        let Some(instance) = self.instances.get_mut(incarnation) else { return };
        let Some(attempt) = instance.attempts.get_mut(&task).filter(|a| a.number == number) else {
            return;
        };
        if attempt.stage != Stage::Starting {
            return;
        }
        let took = now.saturating_sub(attempt.started);
        let refusal = match result {
            Ok(Reply::Done { .. }) => {
                attempt.stage = Stage::Running;
                attempt.conclusive_from = Some(now);
                attempt.started = now;
                return self.record_start_time(took);
            }
            Ok(Reply::NoCapacity { .. }) => {
                instance.avoided_until =
                    instance.avoided_until.max(now + Self::NO_CAPACITY_BACKOFF);
                "no room"
            }
            Ok(Reply::Unavailable) => {
                instance.avoided_until =
                    instance.avoided_until.max(now + Self::UNAVAILABLE_BACKOFF);
                "unwell"
            }
            Ok(Reply::InvalidTicket { .. }) => {
                self.admissions.forget(task.group_id(), incarnation);
                "ticket rejected"
            }
            Ok(Reply::LeaseExpired { .. }) => "lease expired",
            Ok(Reply::StaleAttempt { .. }) => "attempt already stopped or ended",
            Ok(Reply::Invalid) => "request rejected as invalid",
            Ok(Reply::OtherIncarnation) => {
                instance.unresponsive = true;
                "other incarnation"
            }
            Err(CallError::Refused) => {
                instance.unresponsive = true;
                instance.latest_renewal = None;
                instance.renew_at = now;
                "connection refused"
            }
            Ok(Reply::Report { .. } | Reply::Fenced) | Err(_) => {
                attempt.stage = Stage::Unanswered;
                attempt.start_timed_out = result == Err(CallError::Timeout);
                instance.request_report(now);
                self.record_start_time(took);
                let why = "the start request was not answered".into();
                return effects.push(note("start-unanswered", format!("{task} {number}"), why));
            }
        };
        attempt.stage = Stage::Ending;
        self.pending_ends.push(AttemptEnd {
            task,
            number,
            reason: EndReason::Lost,
            checkpoint: None,
        });
        let about = format!("{task} {number} {incarnation}");
        effects.push(note("start-refused", about, refusal.into()));
    }

    /// Handles a report of another incarnation than the one that was called, or of an unknown one. The
    /// announcement of a later incarnation will follow, and ends this one.
    fn on_foreign_report(
        &mut self,
        now: Time,
        incarnation: &Incarnation,
        born: Option<UnixMs>,
        effects: &mut Vec<Effect>,
    ) {
        let Some(instance) = self.instances.get_mut(incarnation) else { return };
        instance.unresponsive = true;
        instance.renew_at = now + Self::RENEWAL_WAIT;
        let is_later = born.is_some_and(|born| born > incarnation.born);
        if is_later && !std::mem::replace(&mut instance.superseded, true) {
            let born = born.map_or("unknown".into(), |born| born.to_string());
            let why = format!("started at {born}; {}", instance.lease_history(now));
            effects.push(note("other-incarnation", incarnation.to_string(), why));
        }
    }

    /// Handles the report in the answer to a renewal that was sent at `sent`.
    #[expect(clippy::too_many_arguments, reason = "the parts of one report")]
    fn on_report(
        &mut self,
        now: Time,
        table: &Table,
        incarnation: &Incarnation,
        sent: Time,
        running: Vec<RunningAttempt>,
        ended: Vec<EndedAttempt>,
        effects: &mut Vec<Effect>,
    ) {
        let longest = self.longest_lease();
        let Some(instance) = self.instances.get_mut(incarnation) else { return };
        if !instance.is_fenced() || instance.unresponsive {
            self.needs_planning = true;
        }
        if !instance.is_fenced() {
            instance.fence(now, longest);
        }
        instance.unresponsive = false;
        instance.renew_at = now;
        instance.last_report = now;
        instance.renewal_answered = true;
        let complete = ended.len() < Self::MAX_ENDS_IN_REPORT;
        let mut has_new_ends = false;
        for end in ended {
            if end.sequence <= instance.received {
                continue;
            }
            instance.received = end.sequence;
            has_new_ends = true;
            let Some(task) = end.task else { continue };
            let attempt = instance.attempts.get_mut(&task);
            let Some(attempt) = attempt.filter(|a| a.number == end.number) else { continue };
            if attempt.stage == Stage::Ending {
                continue;
            }
            attempt.stage = Stage::Ending;
            match end.reason {
                EndReason::Failed => {
                    instance.failed_jobs.insert(task.job);
                }
                EndReason::Done => {
                    instance.failed_jobs.clear();
                    let record = table.jobs.get(&task.job);
                    let job_and_group =
                        record.and_then(|record| Some((record, record.group(task)?)));
                    if let Some((record, group)) = job_and_group.filter(|_| attempt.full_run) {
                        let took = now.saturating_sub(attempt.started);
                        self.durations.observe(&record.queue, task.group_id(), group, took);
                    }
                }
                _ => {}
            }
            let checkpoint = end.checkpoint.or(attempt.checkpoint.take());
            self.pending_ends.push(AttemptEnd {
                task,
                number: end.number,
                reason: end.reason,
                checkpoint,
            });
        }
        if has_new_ends {
            self.reported.insert(incarnation.clone());
        }
        let avoids = self.mechanisms.is_on(Mechanism::Avoidance);
        if avoids && instance.failed_jobs.len() >= Self::MAX_FAILED_JOBS {
            instance.failed_jobs.clear();
            instance.avoid_count += 1;
            instance.avoided_until =
                now + Self::FAILING_BACKOFF * (1 << instance.avoid_count.min(4)) / 2;
            let why = "tasks of different jobs failed in a row".into();
            effects.push(note("instance-avoided", incarnation.to_string(), why));
        }
        let mut unclaimed = Vec::new();
        let mut reported = BTreeSet::new();
        for run in running {
            let attempt = instance.attempts.get_mut(&run.task);
            let Some(attempt) = attempt.filter(|a| a.number == run.number) else {
                // The stop of an attempt that was never claimed would bar all later ones.
                let record = table.jobs.get(&run.task.job);
                let last = record.and_then(|record| record.task_state(run.task));
                if last.is_none_or(|last| run.number <= last.number) {
                    unclaimed.push((run.task, run.number));
                }
                continue;
            };
            reported.insert(run.task);
            attempt.confirmed = true;
            attempt.percent = run.percent;
            attempt.gauge = run.gauge;
            attempt.checkpoint = run.checkpoint.or(attempt.checkpoint.take());
            if attempt.stage == Stage::Recovered {
                attempt.adopted_at = Some(now);
            }
            if matches!(attempt.stage, Stage::Unanswered | Stage::Recovered | Stage::Starting) {
                attempt.start_in_doubt = false;
                attempt.stage = Stage::Running;
                attempt.conclusive_from = Some(now);
            }
        }
        for (task, attempt) in &mut instance.attempts {
            if reported.contains(task) || !complete {
                continue;
            }
            if attempt.stage == Stage::Unanswered {
                // The start request may still arrive; the instance rejects it after the stop.
                attempt.start_in_doubt = true;
                instance.may_need_stops = true;
            }
            let absent =
                attempt.conclusive_from.is_some_and(|conclusive_from| conclusive_from <= sent);
            if absent && !matches!(attempt.stage, Stage::Ending | Stage::Proposed) {
                attempt.stage = Stage::Ending;
                let (number, checkpoint) = (attempt.number, attempt.checkpoint.clone());
                let reason = attempt.end_if_absent;
                self.pending_ends.push(AttemptEnd { task: *task, number, reason, checkpoint });
                let about = format!("{task} {number} {incarnation}");
                let asked = now.saturating_sub(sent).as_millis();
                let since = attempt.conclusive_from.map_or(sent, |from| sent.saturating_sub(from));
                let since = since.as_millis();
                let why = format!(
                    "{reason}: reported neither as running nor as ended; requested {asked} ms ago, \
                     {since} ms after its start or a stop was answered"
                );
                effects.push(note("attempt-absent", about, why));
            }
        }
        let strays = unclaimed.iter().map(|(task, _)| *task).collect();
        self.record_strays(incarnation, &strays);
        for (task, number) in unclaimed {
            let pending = PendingCall::Stop(task, number);
            let order = Order::Stop { task, number };
            self.call_instance(incarnation, pending, order, Self::ANSWER_TIMEOUT, effects);
        }
        self.throttle(now, table, incarnation, effects);
    }
}

impl Reply {
    /// Whether the incarnation may have given this answer.
    fn may_be_of(&self, incarnation: &Incarnation) -> bool {
        match self {
            Self::Report { born, .. } => *born == Some(incarnation.born),
            _ => true,
        }
    }

    fn clock(&self) -> Option<InstanceMs> {
        match self {
            Self::Done { clock }
            | Self::Report { clock, .. }
            | Self::StaleAttempt { clock }
            | Self::LeaseExpired { clock }
            | Self::InvalidTicket { clock }
            | Self::NoCapacity { clock } => Some(*clock),
            _ => None,
        }
    }
}
