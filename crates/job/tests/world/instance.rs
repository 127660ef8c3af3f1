use super::*;

/// An instance as the platform's rules describe it.
#[derive(Debug, Clone)]
pub struct Instance {
    pub announcement: Announcement,
    pub alive: bool,
    /// Until when nothing reaches it, nor comes from it.
    pub cut_until: u64,
    /// Whether every task that it starts fails.
    pub fails: bool,
    pub epoch: Epoch,
    pub lease: u64,
    pub running: BTreeMap<TaskId, Run>,
    pub ended: Vec<EndedAttempt>,
    pub sequence: u64,
    pub acknowledged: u64,
    /// Highest attempt stopped or ended here.
    pub refused: BTreeMap<TaskId, AttemptNumber>,
    /// Renewal that waits for an end, until when.
    pub waiting: Option<(CallId, u64)>,
}

#[derive(Debug, Clone)]
pub struct Run {
    pub number: AttemptNumber,
    pub reserved: Resources,
    pub since: u64,
    /// When it ends by itself; never for a lasting task.
    pub until: Option<u64>,
    pub stopping: Option<u64>,
}

impl Instance {
    pub fn used(&self) -> Resources {
        self.running.values().fold(Resources::default(), |mut used, run| {
            used += run.reserved;
            used
        })
    }

    pub fn end(&mut self, task: TaskId, reason: EndReason) {
        let Some(run) = self.running.remove(&task) else { return };
        self.sequence += 1;
        let (sequence, number) = (self.sequence, run.number);
        self.refused.insert(task, number);
        self.ended.push(EndedAttempt {
            sequence,
            task: Some(task),
            number,
            reason,
            checkpoint: None,
        });
    }

    /// Its steady clock, which begins with each life.
    pub fn clock(&self, now: u64) -> u64 {
        EPOCH_MS + now - self.announcement.incarnation.born
    }

    pub fn report(&self, now: u64) -> Reply {
        let running = self.running.iter().map(|(task, run)| RunningAttempt {
            task: *task,
            number: run.number,
            checkpoint: None,
            percent: run.until.map_or(100, |until| {
                ((now - run.since) * 100 / (until - run.since).max(1)).min(100) as u8
            }),
            gauge: 0,
        });
        Reply::Report {
            clock: self.clock(now),
            born: Some(self.announcement.incarnation.born),
            running: running.collect(),
            ended: self.ended.clone(),
        }
    }
}
