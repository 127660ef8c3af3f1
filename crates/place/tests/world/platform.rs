use super::*;

/// A task that the platform runs.
#[derive(Debug)]
pub struct Run {
    pub job: Name,
    pub worker: Name,
    /// Time at which the lease expires.
    until: Time,
    reserve: Resources,
    /// Limit on processor time, in millicores.
    throttled: Option<u64>,
}

/// Simulated platform.
#[derive(Debug, Default)]
pub struct Platform {
    /// Tasks under unexpired leases, by epoch.
    pub runs: BTreeMap<u64, Run>,
    /// How tasks ended, by epoch. Their epochs do not start again.
    ended: BTreeMap<u64, End>,
    /// The highest epoch seen of each job; calls of lower ones are refused.
    newest: BTreeMap<Name, u64>,
    /// Calls on their way, with the times at which they arrive and were sent.
    calls: Vec<(Time, Time, Call)>,
    /// Events to report to the leader.
    events: Vec<Event>,
    /// Workers without contact: they receive and report nothing.
    lost: BTreeSet<Name>,
    /// Workers on which every start fails.
    broken: BTreeSet<Name>,
}

impl Platform {
    pub fn send(&mut self, at: Time, sent: Time, call: Call) {
        self.calls.push((at, sent, call));
    }

    pub fn arrived(&mut self, now: Time) -> Vec<(Time, Call)> {
        let arrived = self.calls.extract_if(.., |(at, ..)| *at <= now);
        arrived.map(|(_, sent, call)| (sent, call)).collect()
    }

    pub fn take_events(&mut self) -> Vec<Event> {
        std::mem::take(&mut self.events)
    }

    pub fn carry_out(&mut self, call: &Call, now: Time) -> Option<Event> {
        if self.lost.contains(&call.worker) {
            return None;
        }
        let newest = self.newest.entry(call.job.clone()).or_default();
        *newest = call.epoch.max(*newest);
        let (job, epoch) = (call.job.clone(), call.epoch);
        if let Some(end) = self.ended.get(&epoch) {
            return Some(Event::Ended { job, epoch, end: *end });
        }
        if epoch < *newest {
            return None;
        }
        match call.action {
            Action::Start { reserve } => self.start(call, reserve, now),
            Action::Checkpoint => self.end(epoch, &job, End::Checkpointed),
            Action::Stop => self.end(epoch, &job, End::Stopped),
            Action::Throttle { millicores } => {
                self.runs.get_mut(&epoch)?.throttled = Some(millicores);
                None
            }
        }
    }

    fn start(&mut self, call: &Call, reserve: Resources, now: Time) -> Option<Event> {
        let (job, epoch) = (call.job.clone(), call.epoch);
        if self.broken.contains(&call.worker) {
            return self.end(epoch, &job, End::Failed);
        }
        let worker = call.worker.clone();
        let until = now + place::LEASE;
        let run = Run { job: job.clone(), worker, until, reserve, throttled: None };
        self.runs.entry(epoch).or_insert(run).until = until;
        Some(Event::Started { job, epoch })
    }

    fn end(&mut self, epoch: u64, job: &Name, end: End) -> Option<Event> {
        self.runs.remove(&epoch);
        self.ended.insert(epoch, end);
        Some(Event::Ended { job: job.clone(), epoch, end })
    }

    pub fn renew(&mut self, worker: &Name, epochs: &[u64], now: Time) {
        if self.lost.contains(worker) {
            return;
        }
        for epoch in epochs {
            if let Some(run) = self.runs.get_mut(epoch) {
                run.until = now + place::LEASE;
            }
        }
    }

    /// Ends the tasks whose lease has expired, without reporting it.
    pub fn expire_leases(&mut self, now: Time) {
        let expired = self.runs.extract_if(.., |_, run| run.until <= now);
        for (epoch, _) in expired {
            self.ended.insert(epoch, End::Stopped);
        }
    }

    pub fn finish(&mut self, nth: u8, success: bool) {
        let end = if success { End::Done } else { End::Failed };
        let Some((epoch, run)) = self.runs.iter().nth(usize::from(nth)) else { return };
        let (epoch, job) = (*epoch, run.job.clone());
        if self.lost.contains(&run.worker) {
            return;
        }
        let answer = self.end(epoch, &job, end);
        self.events.extend(answer);
    }

    /// Usage report of `worker`. Tasks use more or less than is reserved for them.
    pub fn usage(&self, worker: &Name, age: Duration, now: Time) -> Option<Usage> {
        if self.lost.contains(worker) {
            return None;
        }
        let runs = self.runs.iter().filter(|(_, run)| run.worker == *worker);
        let tasks = runs.map(|(epoch, run)| (*epoch, used(*epoch, run, now))).collect();
        Some(Usage { worker: worker.clone(), age, tasks })
    }

    pub fn lose(&mut self, workers: Vec<Name>) {
        self.lost.extend(workers);
    }

    pub fn restore(&mut self) {
        self.lost.clear();
    }

    pub fn break_worker(&mut self, worker: Name) {
        self.broken.insert(worker);
    }

    pub fn repair_workers(&mut self) {
        self.broken.clear();
    }
}

/// Usage that varies over time from 25% to 200% of the reservation.
fn used(epoch: u64, run: &Run, now: Time) -> Resources {
    let percent = 25 + (epoch * 37 + now.as_secs() / 10) % 176;
    let millicores = run.reserve.millicores * percent / 100;
    Resources {
        millicores: run.throttled.map_or(millicores, |most| most.min(millicores)),
        memory_mb: run.reserve.memory_mb * percent / 100,
        accelerators: run.reserve.accelerators,
    }
}
