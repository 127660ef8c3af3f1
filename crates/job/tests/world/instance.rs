use super::*;

/// A simulated instance that follows the platform's protocol.
#[derive(Debug, Clone)]
pub struct Instance {
    pub announcement: Announcement,
    pub alive: bool,
    /// Whether it rejects what exceeds its capacity.
    pub checks_room: bool,
    /// Earlier capacities, each with the time at which it changed.
    pub earlier_capacities: Vec<(u64, Resources)>,
    /// Nothing reaches the instance or leaves it before this time.
    pub disconnected_until: u64,
    /// Whether every task started here fails.
    pub fails: bool,
    pub epoch: Epoch,
    pub lease: u64,
    pub running: BTreeMap<TaskId, Run>,
    pub ended: Vec<EndedAttempt>,
    pub sequence: u64,
    pub acknowledged: u64,
    /// Highest number of an attempt of each task that was stopped or ended here. Requests to start
    /// this attempt or an earlier one are rejected.
    pub rejected: BTreeMap<TaskId, AttemptNumber>,
    /// A renewal held open until an attempt ends, and the time at which it is answered anyway.
    pub held_renewal: Option<(CallId, u64)>,
    /// Rows of another writer in the list of what runs.
    pub odd_rows: Vec<RunningAttempt>,
    /// Gauge that it reports for every attempt.
    pub gauge: u32,
    /// Speed last requested for each attempt, in percent.
    pub speeds: BTreeMap<TaskId, u8>,
}

/// Time for which a capacity that has shrunk still counts: that of contact and an announcement.
const CAPACITY_NOTICE_MS: u64 = 4500;

/// A running attempt.
#[derive(Debug, Clone)]
pub struct Run {
    pub number: AttemptNumber,
    pub reserved: Resources,
    /// Full size of the task.
    pub size: Resources,
    pub organisation: Option<Name>,
    pub since: u64,
    /// When it ends by itself; `None` for a continuous task.
    pub until: Option<u64>,
    /// When it ends because of a stop request.
    pub stopping: Option<u64>,
}

impl Instance {
    /// The machine on which it runs.
    pub fn machine(&self) -> &Name {
        &self.announcement.machine
    }

    /// Resources reserved by the running attempts.
    pub fn used(&self) -> Resources {
        self.running.values().fold(Resources::default(), |mut used, run| {
            used += run.reserved;
            used
        })
    }

    /// Changes its capacity, which the next announcement shows.
    pub fn set_capacity(&mut self, now: u64, capacity: Resources) {
        let earlier = std::mem::replace(&mut self.announcement.capacity, capacity);
        self.earlier_capacities.push((now, earlier));
    }

    /// Checks that a start does not exceed the capacity, or one that has changed lately.
    pub fn check_capacity(&self, now: u64, task: TaskId, reserved: Resources) {
        let recent =
            self.earlier_capacities.iter().filter(|(at, _)| now <= at + CAPACITY_NOTICE_MS);
        let mut capacities = recent.map(|(_, capacity)| *capacity);
        assert!(
            capacities.any(|capacity| reserved.fits(capacity.saturating_sub(self.used()))),
            "{task} starts at {now} beyond the capacity of {}",
            self.announcement.incarnation
        );
    }

    /// Ends an attempt and keeps the end until it is acknowledged.
    pub fn end(&mut self, task: TaskId, reason: EndReason) {
        let Some(run) = self.running.remove(&task) else { return };
        self.sequence += 1;
        let (sequence, number) = (self.sequence, run.number);
        self.rejected.insert(task, number);
        self.ended.push(EndedAttempt {
            sequence,
            task: Some(task),
            number,
            reason,
            checkpoint: None,
        });
    }

    /// Monotonic clock, which starts at 0 with each incarnation.
    pub fn clock(&self, now: u64) -> u64 {
        EPOCH_MS + now - self.announcement.incarnation.born
    }

    /// Report for the answer to a renewal.
    pub fn report(&self, now: u64) -> Reply {
        let running = self.running.iter().map(|(task, run)| RunningAttempt {
            task: *task,
            number: run.number,
            checkpoint: None,
            percent: run.until.map_or(100, |until| {
                ((now - run.since) * 100 / (until - run.since).max(1)).min(100) as u8
            }),
            gauge: self.gauge,
        });
        Reply::Report {
            clock: self.clock(now),
            born: Some(self.announcement.incarnation.born),
            running: running.chain(self.odd_rows.iter().cloned()).collect(),
            ended: self.ended.clone(),
        }
    }
}
