//! Proposes batches, one at a time, and handles their commit: attempts start, leases are renewed
//! and attempts stopped.

use super::*;
use scheduler::{PendingCall, note};

impl Scheduler {
    pub(crate) fn on_batch_committed(
        &mut self,
        now: Time,
        table: &Table,
        outcomes: &[Outcome],
        effects: &mut Vec<Effect>,
    ) {
        if !self.leads() {
            return;
        }
        self.batch_in_flight = false;
        self.record_commit_time(now.saturating_sub(self.batch_proposed_at));
        self.needs_planning = true;
        for incarnation in std::mem::take(&mut self.acknowledging) {
            if let Some(instance) = self.instances.get_mut(&incarnation) {
                instance.acknowledged = instance.proposed;
                instance.renew_at = now;
                self.touched.insert(incarnation);
            }
        }
        for outcome in outcomes {
            if let Outcome::Claimed(claim) = outcome {
                self.start(now, table, claim, effects);
            }
        }
        self.send_committed_orders(now, effects);
        // Drop the claims that the table rejected.
        let claimed = |outcome: &Outcome| match outcome {
            Outcome::Claimed(claim) => Some((claim.task, claim.number)),
            _ => None,
        };
        let claimed: BTreeSet<_> = outcomes.iter().filter_map(claimed).collect();
        for (task, number) in std::mem::take(&mut self.claiming) {
            if !claimed.contains(&(task, number)) {
                self.unassign(&task, number);
            }
        }
    }

    fn start(&mut self, now: Time, table: &Table, claim: &Claim, effects: &mut Vec<Effect>) {
        let Claim { task, number, incarnation } = claim;
        let (task, number) = (*task, *number);
        let timeout = self.start_timeout();
        let record = table.jobs.get(&task.job).filter(|record| !record.state.is_terminal());
        let instance = self.instances.get_mut(incarnation).filter(|instance| {
            let attempt = instance.attempts.get(&task);
            !instance.is_departing()
                && !instance.unresponsive
                && attempt.is_some_and(|attempt| attempt.number == number)
        });
        let Some((instance, record)) = instance.zip(record) else {
            return self.drop_start(claim, effects);
        };
        let Some(attempt) = instance.attempts.get_mut(&task) else { return };
        attempt.stage = Stage::Starting;
        attempt.started = now;
        attempt.full_run =
            record.task_state(task).is_some_and(|task_state| task_state.checkpoint.is_none());
        if instance.lease_left(now) < Self::LEASE / 2 {
            instance.extend_lease(now, Self::LEASE);
        }
        instance.record_grant(now, timeout);
        let checkpoint =
            record.task_state(task).and_then(|task_state| task_state.checkpoint.clone());
        let payload = record.spec.payload.clone();
        let lease = instance.lease;
        let ticket = self.admissions.ticket(now, task.group_id(), incarnation).cloned();
        let order = Order::Start { task, number, payload, lease, ticket, checkpoint };
        self.call_instance(incarnation, PendingCall::Start(task, number), order, timeout, effects);
    }

    /// Ends an attempt that was claimed and is not started, since its instance or its job is over.
    fn drop_start(&mut self, claim: &Claim, effects: &mut Vec<Effect>) {
        let Claim { task, number, incarnation } = claim;
        let attempt = self.instances.get_mut(incarnation).and_then(|i| i.attempts.get_mut(task));
        if let Some(attempt) = attempt.filter(|attempt| attempt.number == *number) {
            attempt.stage = Stage::Ending;
        }
        let (task, number, reason) = (*task, *number, EndReason::Lost);
        self.pending_ends.push(AttemptEnd { task, number, reason, checkpoint: None });
        let about = format!("{task} {number} {incarnation}");
        let why =
            "not sent: the instance or the job is over, or the instance does not answer".into();
        effects.push(note("start-dropped", about, why));
    }

    pub(crate) fn on_command_committed(
        &mut self,
        now: Time,
        table: &Table,
        outcomes: &[Outcome],
        effects: &mut Vec<Effect>,
    ) {
        if !self.leads() {
            return;
        }
        self.needs_planning = true;
        for outcome in outcomes {
            match outcome {
                Outcome::AttemptEnded(end) => {
                    self.unassign(&end.task, end.number);
                    self.open_jobs.insert(end.task.job);
                    effects.extend(isolation::crash_note(table, end));
                }
                Outcome::Accepted(job) => {
                    let record = table.jobs.get(job);
                    let is_new = self.open_jobs.insert(*job);
                    match record.filter(|_| is_new) {
                        Some(record) if record.is_recurring() => {
                            self.recurring_jobs.insert(*job);
                        }
                        Some(record) => self.record_arrival(now, table, record),
                        None => {}
                    }
                }
                Outcome::TakenOver(_) => self.on_taken_over(),
                Outcome::Cancelled(job) | Outcome::JobEnded(job) => self.stop_job(table, *job),
                _ => {}
            }
        }
    }

    /// Requests the stop of every attempt of a job that has ended, see [`JobRecord::must_stop`].
    fn stop_job(&mut self, table: &Table, job: JobId) {
        let Some(record) = table.jobs.get(&job) else { return };
        let first = TaskId { job, round: 0, group: 0, index: 0 };
        let of_job = self.assigned.range(first..).take_while(|(task, _)| task.job == job);
        for (task, incarnation) in of_job.filter(|(task, _)| record.must_stop(**task)) {
            let instance = self.instances.get_mut(incarnation);
            if let Some(instance) = instance {
                instance.request_stop(task);
            }
            self.touched.insert(incarnation.clone());
        }
    }

    /// Sends every stop request that is due.
    pub(crate) fn send_due_stops(
        &mut self,
        now: Time,
        touched: &BTreeSet<Incarnation>,
        effects: &mut Vec<Effect>,
    ) {
        let mut due = Vec::new();
        for incarnation in touched {
            let Some(instance) = self.instances.get_mut(incarnation) else { continue };
            if instance.announcement.is_none() || !instance.may_need_stops {
                continue;
            }
            instance.may_need_stops = instance.attempts.values().any(Attempt::needs_stop);
            for (task, attempt) in &mut instance.attempts {
                let may_run = match attempt.stage {
                    Stage::Proposed | Stage::Ending | Stage::Starting => false,
                    Stage::Unanswered => attempt.conclusive_from.is_none(),
                    Stage::Recovered | Stage::Running => true,
                };
                let recently_sent =
                    attempt.stop_sent.is_some_and(|sent| now < sent + Self::STOP_RETRY_DELAY);
                if attempt.needs_stop() && may_run && !recently_sent {
                    attempt.stop_sent = Some(now);
                    due.push((incarnation.clone(), *task, attempt.number));
                }
            }
        }
        for (incarnation, task, number) in due {
            let order = Order::Stop { task, number };
            self.call_instance(
                &incarnation,
                PendingCall::Stop(task, number),
                order,
                Self::ANSWER_TIMEOUT,
                effects,
            );
        }
    }

    /// Sends every renewal that is due.
    pub(crate) fn send_due_renewals(
        &mut self,
        now: Time,
        table: &Table,
        touched: BTreeSet<Incarnation>,
        effects: &mut Vec<Effect>,
    ) {
        for incarnation in touched {
            if !self.instances.get(&incarnation).is_some_and(|i| i.renewal_is_due(now)) {
                continue;
            }
            let wait = self.renewal_wait(now, table, &incarnation);
            let Some(instance) = self.instances.get_mut(&incarnation) else { continue };
            // A later incarnation would read the deadline on its own clock, and forget ends of its own.
            let is_proven = instance.is_proven(now);
            let lease = if is_proven && !instance.is_departing() {
                instance.extend_lease(now, instance.lease_length())
            } else {
                None
            };
            let is_new = instance.acknowledged > instance.forgotten;
            let acknowledged = if is_proven && is_new { instance.acknowledged } else { 0 };
            let order = Order::Renew { lease, acknowledged, wait };
            let timeout = wait + Self::ANSWER_TIMEOUT;
            if lease.is_some() {
                instance.record_grant(now, timeout);
            }
            let pending = PendingCall::Renew { sent: now, acknowledged };
            self.call_instance(&incarnation, pending, order, timeout, effects);
            if let Some(instance) = self.instances.get_mut(&incarnation) {
                instance.latest_renewal = Some(self.last_call_id);
                instance.renewal_answered = false;
            }
        }
    }

    /// How long the instance may hold its next renewal open.
    fn renewal_wait(&self, now: Time, table: &Table, incarnation: &Incarnation) -> Duration {
        let Some(instance) = self.instances.get(incarnation) else { return Duration::ZERO };
        let group = |task: &TaskId| table.jobs.get(&task.job)?.group(*task);
        let has_best_effort =
            instance.attempts.keys().any(|task| group(task).is_some_and(|g| g.best_effort));
        let unanswered = instance.attempts.values().any(|a| a.stage == Stage::Unanswered);
        if !instance.is_proven(now) || unanswered {
            Duration::ZERO
        } else if has_best_effort {
            Self::RENEWAL_WAIT_BEST_EFFORT
        } else {
            Self::RENEWAL_WAIT
        }
    }

    /// Ends every attempt whose leases have expired for certain.
    pub(crate) fn expire_leases(&mut self, now: Time, effects: &mut Vec<Effect>) {
        let longest = self.longest_lease();
        let is_over =
            |instance: &Instance| now >= instance.lease_expires && !instance.attempts.is_empty();
        let over = self.instances.iter().filter(|(_, instance)| is_over(instance));
        let over = over.map(|(incarnation, instance)| {
            let reasons = if self.is_leaving(instance) {
                BTreeMap::new()
            } else {
                instance.lapse_reasons(self.machines.is_unlisted(&incarnation.name))
            };
            (incarnation.clone(), reasons)
        });
        for (incarnation, reasons) in over.collect::<Vec<_>>() {
            let Some(instance) = self.instances.get_mut(&incarnation) else { continue };
            let silence = instance.silence(now);
            let lease = instance.lease_history(now);
            let released = instance.attempts.iter().filter(|(_, attempt)| {
                !matches!(attempt.stage, Stage::Ending | Stage::Proposed)
                    && now >= instance.release_time(attempt, longest)
            });
            let released: Vec<_> = released.map(|(task, _)| *task).collect();
            for task in &released {
                let Some(attempt) = instance.attempts.get_mut(task) else { continue };
                let stage = std::mem::replace(&mut attempt.stage, Stage::Ending);
                let (task, number) = (*task, attempt.number);
                let reason = reasons.get(&task).copied().unwrap_or(EndReason::Lost);
                let checkpoint = attempt.checkpoint.clone();
                self.pending_ends.push(AttemptEnd { task, number, reason, checkpoint });
                let about = format!("{task} {number} {incarnation}");
                let age = now.saturating_sub(attempt.started).as_millis();
                let why = format!("{reason}: {stage:?} {age} ms; {silence}; {lease}");
                effects.push(note("lease-over", about, why));
            }
        }
        let gone = |instance: &Instance| {
            instance.attempts.is_empty() && now > instance.last_heard + Self::FORGET_DELAY
        };
        self.instances.retain(|_, instance| !gone(instance));
    }

    /// Proposes a batch of ended attempts, new claims and machine orders, if one is due.
    pub(crate) fn propose_batch(
        &mut self,
        now: Time,
        unix: UnixMs,
        table: &Table,
        effects: &mut Vec<Effect>,
    ) {
        if self.batch_in_flight || !self.batch_is_due(now) {
            return;
        }
        self.needs_planning = false;
        self.last_planned = now;
        self.planning_passes += 1;
        if now >= self.last_forgotten_durations + Self::FORGET_DURATIONS_INTERVAL {
            self.last_forgotten_durations = now;
            self.durations.forget(&table.live);
        }
        let ends = std::mem::take(&mut self.pending_ends);
        let claims = self.plan(now, unix, table, effects);
        let mut batch = Batch { ends, claims, ..Batch::default() };
        self.machines.commit(table, &mut batch);
        if batch.is_empty() {
            return;
        }
        for incarnation in std::mem::take(&mut self.reported) {
            if let Some(instance) = self.instances.get_mut(&incarnation) {
                instance.proposed = instance.received;
                self.acknowledging.push(incarnation);
            }
        }
        self.claiming = batch.claims.iter().map(|claim| (claim.task, claim.number)).collect();
        self.batch_in_flight = true;
        self.batch_proposed_at = now;
        effects.push(Effect::Propose(batch));
    }

    /// Whether a batch should be proposed now. Each one takes a planning pass. Ended attempts free room,
    /// so they do not wait for as long as other news.
    fn batch_is_due(&self, now: Time) -> bool {
        let since = now.saturating_sub(self.last_planned);
        let is_urgent = !self.pending_ends.is_empty() || self.machines.has_new_orders();
        self.needs_planning && since >= self.plan_interval()
            || is_urgent && since >= self.plan_interval_by_instances()
            || since >= Self::IDLE_PLAN_INTERVAL
    }

    /// Minimum time between planning passes. A pass takes longer the more jobs wait and the more
    /// instances there are.
    pub(crate) fn plan_interval(&self) -> Duration {
        let waiting = self.open_jobs.len() as u32;
        Self::PLAN_INTERVAL
            + Self::PLAN_INTERVAL * waiting / Self::JOBS_PER_PLAN_INTERVAL
            + self.plan_interval_by_instances()
    }

    fn plan_interval_by_instances(&self) -> Duration {
        Self::PLAN_INTERVAL_PER_HUNDRED * self.hundreds_of_instances()
    }

    /// Time since the last announcement or answer after which an instance without attempts is
    /// forgotten.
    const FORGET_DELAY: Duration = Duration::from_secs(8);
}

impl Instance {
    /// Whether a renewal or the stop of an attempt may be due.
    pub(crate) fn needs_check(&self, now: Time) -> bool {
        self.may_need_stops || self.renewal_is_due(now)
    }

    fn renewal_is_due(&self, now: Time) -> bool {
        let unknown = (!self.is_fenced() || self.unresponsive) && !self.is_departing();
        let needed = !self.attempts.is_empty()
            || self.has_strays
            || unknown
            || self.received > self.acknowledged;
        // The instance repeats ends in every report until a renewal acknowledges them, so the next
        // renewal waits until the ends received are committed.
        let waits_for_commit = self.received > self.acknowledged;
        let urgent = self.lease_left(now) < Scheduler::LEASE / 2;
        self.announcement.is_some()
            && self.latest_renewal.is_none()
            && needed
            && now >= self.renew_at
            && (!waits_for_commit || urgent)
    }
}
