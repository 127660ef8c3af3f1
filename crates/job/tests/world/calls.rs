//! Requests from schedulers to instances, which arrive on time, late or never, and their answers.

use super::*;

impl World {
    /// Answers the renewals that were held open and are due, or have an end to report.
    pub(super) fn answer_renewals(&mut self) {
        let now = self.now;
        let mut due = Vec::new();
        for instance in self.instances.values_mut().filter(|instance| instance.alive) {
            let Some((call, until)) = instance.held_renewal else { continue };
            if now >= until || !instance.ended.is_empty() {
                instance.held_renewal = None;
                due.push((call as usize, instance.report(now)));
            }
        }
        for (call, report) in due {
            self.answer(call, report);
        }
    }

    /// Sends the answer to a call; it may be lost.
    pub(super) fn answer(&mut self, call: usize, reply: Reply) {
        if !self.instances.get(&self.sent[call].incarnation).is_none_or(|i| i.alive) {
            return self.break_call(call, CallError::Broken);
        }
        let disconnected = self
            .instances
            .get(&self.sent[call].incarnation)
            .is_none_or(|i| i.disconnected_until > self.now);
        if disconnected || self.chance(self.faults.answer_lost) || self.sent[call].answer.is_none()
        {
            return;
        }
        self.trace(|| {
            format!(
                "answer {:?} from {}: {reply:?}",
                self.sent[call].order, self.sent[call].incarnation
            )
        });
        self.sent[call].answer = Some(Ok(reply));
        let epoch = self.sent[call].epoch;
        self.schedule(CALL_DELAY_MS, SimEvent::Answer { epoch, call });
    }

    /// The incarnation that a request to `incarnation` reaches: requests are addressed by name
    /// only.
    pub(super) fn receiver_of(&self, incarnation: &Incarnation) -> Option<Incarnation> {
        let alive = |(receiver, i): &(&Incarnation, &Instance)| {
            receiver.name == incarnation.name && i.alive
        };
        self.instances.iter().rfind(alive).map(|(receiver, _)| receiver.clone())
    }

    /// Delivers a request to its instance.
    pub(super) fn arrive(&mut self, call: usize) {
        let SentCall { epoch, incarnation, receiver, order, .. } = self.sent[call].clone();
        let now = self.now;
        let Some(receiver) = receiver.or_else(|| self.receiver_of(&incarnation)) else {
            let reaches = |instance: &Instance| instance.disconnected_until <= now;
            if self.instances.get(&incarnation).is_some_and(reaches) {
                self.break_call(call, CallError::Refused);
            }
            return;
        };
        let Some(instance) = self.instances.get_mut(&receiver) else { return };
        if instance.disconnected_until > now || !instance.alive {
            return;
        }
        if epoch < instance.epoch {
            return self.answer(call, Reply::Fenced);
        }
        instance.epoch = epoch;
        if std::env::var_os("JOB_TRACE").is_some() {
            println!("{now:>7} request of epoch {epoch} arrives at {receiver}: {order:?}");
        }
        let reply = match order {
            Order::Renew { lease, acknowledged, wait } => {
                checks::check_acknowledged(&self.table, &receiver, instance, acknowledged);
                let clock = instance.clock(now);
                instance.lease = instance.lease.max(lease.min(clock + MAX_LEASE_MS));
                instance.acknowledged = instance.acknowledged.max(acknowledged);
                instance.ended.retain(|end| end.sequence > acknowledged);
                if !wait.is_zero() && instance.ended.is_empty() {
                    instance.held_renewal = Some((call as CallId, now + wait.as_millis() as u64));
                    return;
                }
                instance.report(now)
            }
            Order::Stop { task, number } => {
                self.check_stop(&receiver, task, number);
                let instance =
                    self.instances.get_mut(&receiver).expect("the instance is in the world");
                let rejected = instance.rejected.entry(task).or_default();
                *rejected = (*rejected).max(number);
                if let Some(run) = instance.running.get_mut(&task).filter(|r| r.number == number) {
                    run.stopping.get_or_insert(now + 100);
                }
                Reply::Done { clock: instance.clock(now) }
            }
            Order::Start { task, number, lease, ticket, .. } => {
                if self.has_permit(&receiver, task, &ticket) {
                    self.start(&receiver, task, number, lease)
                } else {
                    self.rejected_tickets += 1;
                    Reply::InvalidTicket { clock: self.instances[&receiver].clock(now) }
                }
            }
            Order::Throttle { task, percent, .. } => {
                instance.speeds.insert(task, percent);
                Reply::Done { clock: instance.clock(now) }
            }
        };
        self.answer(call, reply);
    }

    /// Carries out a start request, or rejects it as a real instance would.
    pub(super) fn start(
        &mut self,
        receiver: &Incarnation,
        task: TaskId,
        number: AttemptNumber,
        lease: u64,
    ) -> Reply {
        let at = self.now;
        let group = self.group(task).clone();
        let instance = self.instances.get_mut(receiver).expect("the instance is in the world");
        let now = instance.clock(at);
        if instance.running.get(&task).is_some_and(|run| run.number == number) {
            return Reply::Done { clock: now };
        }
        if lease <= now {
            return Reply::LeaseExpired { clock: now };
        }
        instance.lease = instance.lease.max(lease.min(now + MAX_LEASE_MS));
        if instance.rejected.get(&task).is_some_and(|rejected| *rejected >= number) {
            return Reply::StaleAttempt { clock: now };
        }
        if !group.reserved().fits(instance.announcement.capacity.saturating_sub(instance.used())) {
            if instance.checks_room {
                return Reply::NoCapacity { clock: now };
            }
            instance.check_capacity(at, task, group.reserved());
        }
        self.check_start(receiver, task, &group);
        self.check_limit(task, number, &group);
        let instance = self.instances.get_mut(receiver).expect("the instance is in the world");
        let run_time = self.run_times.get(&task.group_id()).copied();
        let run_time = run_time.unwrap_or(group.estimate.as_millis() as u64);
        let until = (!group.continuous).then_some(at + run_time);
        let organisation = self.table.jobs[&task.job].organisation.clone();
        let run = Run {
            number,
            reserved: group.reserved(),
            size: group.size,
            organisation,
            since: at,
            until,
            stopping: None,
        };
        instance.running.insert(task, run);
        self.starts.push((at, task, number, receiver.clone()));
        self.note_start_after_crashes(task);
        match self.deadly.get(&task).copied() {
            Some(0) => self.crash_by_task(receiver),
            Some(after) => {
                self.schedule(after, SimEvent::Crash { incarnation: receiver.clone() });
            }
            None => {}
        }
        Reply::Done { clock: now }
    }
}
