//! What follows from the answers of instances: attempts change their stage, and ends are collected.

use super::*;
use scheduler::{Pending, note};

impl Scheduler {
    /// Ends that an instance names at most in one report.
    const ENDS_IN_REPORT: usize = 500;
    /// Failures of different jobs in a row after which an instance is set aside.
    const FAILED_JOBS: usize = 3;
    /// How long an instance is set aside for the first time; each further time doubles it.
    const AVOIDED: Duration = Duration::from_secs(3);
    /// How long an instance that says it is unwell is left alone.
    const UNWELL: Duration = Duration::from_millis(1500);
    /// How long an instance that had no room for a task is left alone.
    const FULL: Duration = Duration::from_millis(300);

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
        if result == Ok(Reply::Fenced) {
            effects.push(note(
                "fenced",
                incarnation.to_string(),
                "a later owner has called".into(),
            ));
            return self.fenced_off(now, &incarnation);
        }
        let Some(instance) = self.instances.get_mut(&incarnation) else { return };
        if let Ok(reply) = &result {
            instance.heard = now;
            if let Some(clock) = reply.clock() {
                instance.take_clock(clock, now);
            }
        }
        match pending {
            Pending::Start(task, number) => {
                self.on_start(now, &incarnation, task, number, result, effects);
            }
            Pending::Stop(task, number) => {
                let answered =
                    matches!(result, Ok(Reply::Done { .. } | Reply::StaleAttempt { .. }));
                let attempt = instance.attempts.get_mut(&task);
                if let Some(attempt) = attempt.filter(|a| answered && a.number == number) {
                    attempt.settled = Some(now);
                    // A renewal under way may wait for long, and was sent too early to tell.
                    instance.renewing = false;
                    instance.renew_at = now;
                }
            }
            Pending::Renew { sent } => {
                instance.renewing = false;
                match result {
                    Ok(Reply::Report { born, running, ended, .. }) => {
                        if born.is_some_and(|born| born != incarnation.born) {
                            // Its announcement says all about the other life, and comes soon.
                            instance.silent = true;
                            instance.renew_at = now + Self::WAIT;
                            return;
                        }
                        self.on_report(now, table, &incarnation, sent, running, ended, effects);
                    }
                    Ok(Reply::OtherIncarnation) => {
                        instance.silent = true;
                        instance.renew_at = now + Self::WAIT;
                    }
                    _ => {
                        instance.silent = true;
                        instance.renew_at = now + Self::RETRY;
                    }
                }
            }
            Pending::Throttle => {}
        }
    }

    /// An instance obeys a later owner: this one is about to learn of its own end.
    fn fenced_off(&mut self, now: Time, incarnation: &Incarnation) {
        if let Some(instance) = self.instances.get_mut(incarnation) {
            instance.renewing = false;
            instance.silent = true;
            instance.renew_at = now + Self::LEASE;
            instance.avoided_until = now + Self::LEASE;
        }
    }

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
                attempt.settled = Some(now);
                attempt.started = now;
                return self.note_start(took);
            }
            Ok(Reply::NoCapacity { .. }) => {
                instance.avoided_until = instance.avoided_until.max(now + Self::FULL);
                "no room"
            }
            Ok(Reply::Unavailable) => {
                instance.avoided_until = instance.avoided_until.max(now + Self::UNWELL);
                "unwell"
            }
            Ok(Reply::InvalidTicket { .. }) => {
                self.policy.forget(task.group_id(), incarnation);
                "no leave"
            }
            Ok(Reply::LeaseExpired { .. }) => "lease over",
            Ok(Reply::StaleAttempt { .. }) => "attempt refused as old",
            Ok(Reply::Invalid) => "order refused as invalid",
            Ok(Reply::OtherIncarnation) => {
                instance.silent = true;
                "other incarnation"
            }
            Ok(Reply::Report { .. } | Reply::Fenced) | Err(_) => {
                attempt.stage = Stage::Unanswered;
                // A renewal under way may wait for long.
                instance.renewing = false;
                instance.renew_at = now;
                self.note_start(took);
                let why = "no answer to the order to start it".into();
                return effects.push(note("start-unanswered", format!("{task} {number}"), why));
            }
        };
        attempt.stage = Stage::Ending;
        self.ends.push(AttemptEnd { task, number, reason: EndReason::Lost, checkpoint: None });
        let about = format!("{task} {number} {incarnation}");
        effects.push(note("start-refused", about, refusal.into()));
    }

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
        let Some(instance) = self.instances.get_mut(incarnation) else { return };
        if !instance.fenced || instance.silent {
            self.dirty = true;
        }
        instance.fenced = true;
        instance.silent = false;
        instance.renew_at = now;
        let whole = ended.len() < Self::ENDS_IN_REPORT;
        for end in ended {
            if end.sequence <= instance.seen {
                continue;
            }
            instance.seen = end.sequence;
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
                    let told = record.and_then(|record| Some((record, record.group(task)?)));
                    if let Some((record, group)) = told.filter(|_| attempt.whole) {
                        let took = now.saturating_sub(attempt.started);
                        self.durations.show(&record.queue, task.group_id(), group, took);
                    }
                }
                _ => {}
            }
            let checkpoint = end.checkpoint.or(attempt.checkpoint.take());
            self.ends.push(AttemptEnd { task, number: end.number, reason: end.reason, checkpoint });
        }
        if instance.failed_jobs.len() >= Self::FAILED_JOBS {
            instance.failed_jobs.clear();
            instance.times_avoided += 1;
            instance.avoided_until = now + Self::AVOIDED * (1 << instance.times_avoided.min(4)) / 2;
            let why = "tasks of different jobs failed in a row".into();
            effects.push(note("instance-avoided", incarnation.to_string(), why));
        }
        let mut unclaimed = Vec::new();
        let mut present = BTreeSet::new();
        for row in running {
            let attempt = instance.attempts.get_mut(&row.task);
            let Some(attempt) = attempt.filter(|a| a.number == row.number) else {
                unclaimed.push((row.task, row.number));
                continue;
            };
            present.insert(row.task);
            attempt.percent = row.percent;
            attempt.gauge = row.gauge;
            attempt.checkpoint = row.checkpoint.or(attempt.checkpoint.take());
            if matches!(attempt.stage, Stage::Unanswered | Stage::Recovered | Stage::Starting) {
                attempt.stage = Stage::Running;
                attempt.settled = Some(now);
            }
        }
        for (task, attempt) in &mut instance.attempts {
            if present.contains(task) || !whole {
                continue;
            }
            if attempt.stage == Stage::Unanswered {
                attempt.stop = true;
            }
            let gone = attempt.settled.is_some_and(|settled| settled <= sent);
            if gone && !matches!(attempt.stage, Stage::Ending | Stage::Proposed) {
                attempt.stage = Stage::Ending;
                let (number, checkpoint) = (attempt.number, attempt.checkpoint.clone());
                self.ends.push(AttemptEnd {
                    task: *task,
                    number,
                    reason: EndReason::Lost,
                    checkpoint,
                });
                let about = format!("{task} {number} {incarnation}");
                effects.push(note("attempt-absent", about, "neither running nor ended".into()));
            }
        }
        for (task, number) in unclaimed {
            let pending = Pending::Stop(task, number);
            let order = Order::Stop { task, number };
            self.call(incarnation, pending, order, Self::ANSWER, effects);
        }
        self.throttle(now, table, incarnation, effects);
    }
}

impl Reply {
    fn clock(&self) -> Option<ClockMs> {
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
