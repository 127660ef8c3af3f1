//! What follows from commits: attempts start, leases are renewed, and all that is decided goes into one
//! batch at a time.

use super::*;
use scheduler::{Pending, note};

impl Scheduler {
    pub(crate) fn on_settled(
        &mut self,
        now: Time,
        table: &Table,
        outcomes: &[Outcome],
        effects: &mut Vec<Effect>,
    ) {
        if !self.leads() {
            return;
        }
        self.settling = false;
        self.dirty = true;
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
        self.give_orders(now, effects);
        // Claims that the table has refused.
        for (task, number) in std::mem::take(&mut self.claiming) {
            let incarnation = self.placed.get(&task);
            let instance = incarnation.and_then(|incarnation| self.instances.get(incarnation));
            let attempt = instance.and_then(|instance| instance.attempts.get(&task));
            if attempt.is_some_and(|a| a.number == number && a.stage == Stage::Proposed) {
                self.take(&task, number);
            }
        }
    }

    fn start(&mut self, now: Time, table: &Table, claim: &Claim, effects: &mut Vec<Effect>) {
        let Claim { task, number, incarnation } = claim;
        let (task, number) = (*task, *number);
        let lost = AttemptEnd { task, number, reason: EndReason::Lost, checkpoint: None };
        let record = table.jobs.get(&task.job);
        let Some(instance) = self.instances.get_mut(incarnation) else {
            return self.ends.push(lost);
        };
        let attempt = instance.attempts.get_mut(&task);
        let Some(attempt) = attempt.filter(|a| a.number == number) else {
            return self.ends.push(lost);
        };
        let Some(record) = record.filter(|record| !record.state.is_terminal()) else {
            attempt.stage = Stage::Ending;
            return self.ends.push(lost);
        };
        attempt.stage = Stage::Starting;
        attempt.started = now;
        attempt.whole =
            record.task_state(task).is_some_and(|task_state| task_state.checkpoint.is_none());
        if instance.lease_left(now) < Self::LEASE / 2 {
            instance.grant(now, Self::LEASE);
        }
        let checkpoint =
            record.task_state(task).and_then(|task_state| task_state.checkpoint.clone());
        let payload = record.spec.payload.clone();
        let lease = instance.lease;
        let ticket = self.policy.ticket(now, task.group_id(), incarnation).cloned();
        let order = Order::Start { task, number, payload, lease, ticket, checkpoint };
        let timeout = self.start_timeout();
        self.call(incarnation, Pending::Start(task, number), order, timeout, effects);
    }

    pub(crate) fn on_committed(&mut self, table: &Table, outcomes: &[Outcome]) {
        if !self.leads() {
            return;
        }
        self.dirty = true;
        for outcome in outcomes {
            match outcome {
                Outcome::AttemptEnded(end) => {
                    self.take(&end.task, end.number);
                }
                Outcome::Cancelled(job) | Outcome::JobEnded(job) => self.stop_job(table, *job),
                _ => {}
            }
        }
    }

    fn stop_job(&mut self, table: &Table, job: JobId) {
        if !table.jobs.get(&job).is_some_and(|record| record.state.is_terminal()) {
            return;
        }
        let first = TaskId { job, round: 0, group: 0, index: 0 };
        for (task, incarnation) in self.placed.range(first..).take_while(|(t, _)| t.job == job) {
            let instance = self.instances.get_mut(incarnation);
            if let Some(attempt) = instance.and_then(|i| i.attempts.get_mut(task)) {
                attempt.stop = true;
            }
            self.touched.insert(incarnation.clone());
        }
    }

    /// Orders every stop that is due.
    pub(crate) fn stop_due(
        &mut self,
        now: Time,
        touched: &BTreeSet<Incarnation>,
        effects: &mut Vec<Effect>,
    ) {
        let mut due = Vec::new();
        for incarnation in touched {
            let Some(instance) = self.instances.get_mut(incarnation) else { continue };
            if instance.announcement.is_none() {
                continue;
            }
            for (task, attempt) in &mut instance.attempts {
                let unsettled = match attempt.stage {
                    Stage::Proposed | Stage::Ending | Stage::Starting => false,
                    Stage::Unanswered => attempt.settled.is_none(),
                    Stage::Recovered | Stage::Running => true,
                };
                let waits = attempt.stop_sent.is_some_and(|sent| now < sent + Self::STOP_AGAIN);
                if attempt.stop && unsettled && !waits {
                    attempt.stop_sent = Some(now);
                    due.push((incarnation.clone(), *task, attempt.number));
                }
            }
        }
        for (incarnation, task, number) in due {
            let order = Order::Stop { task, number };
            self.call(&incarnation, Pending::Stop(task, number), order, Self::ANSWER, effects);
        }
    }

    /// Sends every renewal that is due.
    pub(crate) fn renew_due(
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
            let wait = self.renewal_wait(table, &incarnation);
            let Some(instance) = self.instances.get_mut(&incarnation) else { continue };
            // An instance that does not answer must not get a longer lease with every try, or it
            // would never be known to have run out.
            let granted = if instance.silent && now < instance.lapses {
                Some(instance.lease)
            } else {
                instance.grant(now, Self::LEASE)
            };
            let Some(lease) = granted else { continue };
            let acknowledged = instance.acknowledged;
            let order = Order::Renew { lease, acknowledged, wait };
            let pending = Pending::Renew { sent: now };
            self.call(&incarnation, pending, order, wait + Self::ANSWER, effects);
            if let Some(instance) = self.instances.get_mut(&incarnation) {
                instance.renewing = true;
            }
        }
    }

    fn renewal_wait(&self, table: &Table, incarnation: &Incarnation) -> Duration {
        let Some(instance) = self.instances.get(incarnation) else { return Duration::ZERO };
        let group = |task: &TaskId| table.jobs.get(&task.job)?.group(*task);
        let fills = instance.attempts.keys().any(|task| group(task).is_some_and(|g| g.best_effort));
        let open = instance.attempts.values().any(|a| a.stage == Stage::Unanswered);
        if !instance.fenced || instance.silent || open {
            Duration::ZERO
        } else if fills {
            Self::WATCH
        } else {
            Self::WAIT
        }
    }

    /// Ends every attempt whose lease has surely run out.
    pub(crate) fn lapse(&mut self, now: Time, effects: &mut Vec<Effect>) {
        for (incarnation, instance) in &mut self.instances {
            if now < instance.lapses || instance.attempts.is_empty() {
                continue;
            }
            for (task, attempt) in &mut instance.attempts {
                if matches!(attempt.stage, Stage::Ending | Stage::Proposed) {
                    continue;
                }
                attempt.stage = Stage::Ending;
                let (number, checkpoint) = (attempt.number, attempt.checkpoint.clone());
                self.ends.push(AttemptEnd {
                    task: *task,
                    number,
                    reason: EndReason::Lost,
                    checkpoint,
                });
                let about = format!("{task} {number} {incarnation}");
                effects.push(note("lease-over", about, "the instance gave no answer".into()));
            }
        }
        let gone = |(_, instance): &(&Incarnation, &Instance)| {
            instance.attempts.is_empty() && now > instance.heard + Self::FORGOTTEN
        };
        let gone: Vec<_> = self.instances.iter().filter(gone).map(|(i, _)| i.clone()).collect();
        for incarnation in gone {
            self.instances.remove(&incarnation);
        }
    }

    /// Commits what has ended and what is to start, one batch at a time.
    pub(crate) fn settle(
        &mut self,
        now: Time,
        unix: UnixMs,
        table: &Table,
        effects: &mut Vec<Effect>,
    ) {
        let due = self.dirty && now >= self.planned + Self::PLAN_INTERVAL
            || now >= self.planned + Self::PLAN_IDLE;
        if self.settling || !due && self.ends.is_empty() && !self.machines.is_urgent() {
            return;
        }
        self.dirty = false;
        self.planned = now;
        self.durations.forget(&table.live);
        let ends = std::mem::take(&mut self.ends);
        let claims = self.plan(now, unix, table, effects);
        let mut batch = Batch { ends, claims, ..Batch::default() };
        self.machines.commit(table, &mut batch);
        if batch.is_empty() {
            return;
        }
        for (incarnation, instance) in &mut self.instances {
            instance.proposed = instance.seen;
            if instance.proposed != instance.acknowledged {
                self.acknowledging.push(incarnation.clone());
            }
        }
        self.claiming = batch.claims.iter().map(|claim| (claim.task, claim.number)).collect();
        self.settling = true;
        effects.push(Effect::Propose(batch));
    }

    /// After which an instance that says nothing, and has nothing of ours, is forgotten.
    const FORGOTTEN: Duration = Duration::from_secs(8);
}

impl Instance {
    fn renewal_is_due(&self, now: Time) -> bool {
        let needed = !self.attempts.is_empty() || !self.fenced || self.seen > self.acknowledged;
        let waits_for_commit = self.seen > self.acknowledged;
        let urgent = self.lease_left(now) < Scheduler::LEASE / 2;
        self.announcement.is_some()
            && !self.renewing
            && needed
            && now >= self.renew_at
            && (!waits_for_commit || urgent)
    }
}
