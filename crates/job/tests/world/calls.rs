//! Calls of owners to instances: they arrive, late or not at all, and are answered.

use super::*;

impl World {
    pub(super) fn answer_renewals(&mut self) {
        let now = self.now;
        let mut due = Vec::new();
        for instance in self.instances.values_mut().filter(|instance| instance.alive) {
            let Some((call, until)) = instance.waiting else { continue };
            if now >= until || !instance.ended.is_empty() {
                instance.waiting = None;
                due.push((call as usize, instance.report(now)));
            }
        }
        for (call, report) in due {
            self.answer(call, report);
        }
    }

    /// Sends the answer of a call, which may be lost.
    pub(super) fn answer(&mut self, call: usize, reply: Reply) {
        let cut =
            self.instances.get(&self.sent[call].incarnation).is_none_or(|i| i.cut_until > self.now);
        if cut || self.chance(self.trouble.answer_lost) || self.sent[call].answer.is_none() {
            return;
        }
        self.trace(|| {
            format!(
                "answer {:?} from {}: {reply:?}",
                self.sent[call].order, self.sent[call].incarnation
            )
        });
        self.sent[call].answer = Some(Ok(reply));
        let owner = self.sent[call].owner;
        self.schedule(TRAVEL_MS, Happening::Answer { owner, call });
    }

    /// The life that an order to `incarnation` reaches: the name alone counts.
    pub(super) fn reached(&self, incarnation: &Incarnation) -> Option<Incarnation> {
        let alive =
            |(life, i): &(&Incarnation, &Instance)| life.name == incarnation.name && i.alive;
        self.instances.iter().rfind(alive).map(|(life, _)| life.clone())
    }

    /// An order reaches its instance.
    pub(super) fn arrive(&mut self, call: usize) {
        let Sent { owner, incarnation, life, order, .. } = self.sent[call].clone();
        let now = self.now;
        let Some(life) = life.or_else(|| self.reached(&incarnation)) else { return };
        let Some(instance) = self.instances.get_mut(&life) else { return };
        if instance.cut_until > now || !instance.alive {
            return;
        }
        if owner < instance.epoch {
            return self.answer(call, Reply::Fenced);
        }
        instance.epoch = owner;
        if std::env::var_os("JOB_TRACE").is_some() {
            println!("{now:>7} arrives from owner {owner} at {life}: {order:?}");
        }
        let reply = match order {
            Order::Renew { lease, acknowledged, wait } => {
                checks::acknowledged(&self.table, &life, instance, acknowledged);
                let clock = instance.clock(now);
                instance.lease = instance.lease.max(lease.min(clock + MAX_LEASE_MS));
                instance.acknowledged = instance.acknowledged.max(acknowledged);
                instance.ended.retain(|end| end.sequence > acknowledged);
                if !wait.is_zero() && instance.ended.is_empty() {
                    instance.waiting = Some((call as CallId, now + wait.as_millis() as u64));
                    return;
                }
                instance.report(now)
            }
            Order::Stop { task, number } => {
                let refused = instance.refused.entry(task).or_default();
                *refused = (*refused).max(number);
                if let Some(run) = instance.running.get_mut(&task).filter(|r| r.number == number) {
                    run.stopping.get_or_insert(now + 100);
                }
                Reply::Done { clock: instance.clock(now) }
            }
            Order::Start { task, number, lease, ticket, .. } => {
                if self.has_leave(&life, task, &ticket) {
                    self.start(&life, task, number, lease)
                } else {
                    self.refused_tickets += 1;
                    Reply::InvalidTicket { clock: self.instances[&life].clock(now) }
                }
            }
            Order::Throttle { .. } => Reply::Done { clock: instance.clock(now) },
        };
        self.answer(call, reply);
    }

    pub(super) fn start(
        &mut self,
        life: &Incarnation,
        task: TaskId,
        number: AttemptNumber,
        lease: u64,
    ) -> Reply {
        let at = self.now;
        let group = self.table.jobs[&task.job].group(task).expect("the task has a group").clone();
        let instance = self.instances.get_mut(life).expect("the instance is in the world");
        let now = instance.clock(at);
        if instance.running.get(&task).is_some_and(|run| run.number == number) {
            return Reply::Done { clock: now };
        }
        if lease <= now {
            return Reply::LeaseExpired { clock: now };
        }
        instance.lease = instance.lease.max(lease.min(now + MAX_LEASE_MS));
        if instance.refused.get(&task).is_some_and(|refused| *refused >= number) {
            return Reply::StaleAttempt { clock: now };
        }
        if !group.reserved().fits(instance.announcement.capacity.saturating_sub(instance.used())) {
            return Reply::NoCapacity { clock: now };
        }
        self.check_start(life, task, &group);
        let instance = self.instances.get_mut(life).expect("the instance is in the world");
        let length = self.lengths.get(&task.group_id()).copied();
        let length = length.unwrap_or(group.estimate.as_millis() as u64);
        let until = (!group.long_running).then_some(at + length);
        let run = Run { number, reserved: group.reserved(), since: at, until, stopping: None };
        instance.running.insert(task, run);
        self.starts.push((at, task, number, life.clone()));
        Reply::Done { clock: now }
    }
}
