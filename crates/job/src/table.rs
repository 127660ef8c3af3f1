use super::*;

/// The replicated state: configuration, jobs, waves and machine orders.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Table {
    /// Current configuration.
    pub config: Option<Config>,
    /// Jobs by id. Ended jobs are kept for [`Table::REMEMBERED`]. Boxed, so that a search reads small
    /// nodes.
    pub jobs: BTreeMap<JobId, Box<JobRecord>>,
    /// Jobs that have not ended, or that still have attempts without an end.
    pub live: BTreeSet<JobId>,
    /// Maintenance waves by id.
    pub waves: BTreeMap<WaveId, Wave>,
    /// Orders that the platform may still carry out, by machine.
    pub orders: BTreeMap<Name, MachineOrder>,
    /// Agreed rates of the organisations.
    rates: Rates,
    /// Daemons that have led, each in its last run as leader, in the order of their last takeover.
    pub leaders: Vec<Leader>,
    /// Ended jobs in the order in which they ended, until they are forgotten.
    ended: VecDeque<(UnixMs, JobId)>,
    /// Number of these, from the first one on, whose content has been dropped or is dropped as soon
    /// as they have no attempts without an end.
    dropped: usize,
    /// Estimated memory that all jobs take, in bytes.
    footprint: usize,
}

impl Table {
    /// How long a job is kept after it ended; twice the time that callers are promised.
    pub const REMEMBERED: Duration = Duration::from_secs(240);
    /// Number of daemons that are remembered as leaders, several times that of voters.
    const MAX_LEADERS: usize = 32;
    /// How long the content of a job is kept after it ended, for the log.
    pub const CONTENT_KEPT: Duration = Duration::from_secs(2);

    /// Applies a committed command.
    pub fn apply(&mut self, command: Command) -> Vec<Outcome> {
        match command {
            Command::Configure(config) => self.configure(config),
            Command::Submit { id, queue, spec, organisation, at } => {
                self.submit(id, queue, spec, organisation, at)
            }
            Command::Cancel { id, at } => self.cancel(id, at),
            Command::StartWave { id, wave } => {
                self.waves.entry(id).or_insert(wave);
                vec![Outcome::WaveStarted(id)]
            }
            Command::CommitBatch { at, batch } => self.apply_batch(at, batch),
            Command::TakeOver(leader) => self.record_leader(leader),
            Command::Publish(_) => vec![Outcome::Configured],
        }
    }

    /// The job `id`, if it belongs to `queue`.
    pub fn job(&self, queue: &str, id: JobId) -> Option<&JobRecord> {
        self.jobs.get(&id).map(|record| &**record).filter(|record| *record.queue == *queue)
    }

    /// Estimated memory that jobs and configuration take on each voter, in bytes.
    pub fn footprint(&self) -> usize {
        self.footprint + self.config.as_ref().map_or(0, Config::footprint)
    }

    /// When the content of the next ended job is dropped; `None` if no ended job has any.
    pub fn next_drop(&self) -> Option<UnixMs> {
        let (ended_at, _) = self.ended.get(self.dropped)?;
        Some(ended_at.saturating_add(Self::CONTENT_KEPT.as_millis() as UnixMs))
    }

    /// Number of jobs without a started task, by queue.
    pub fn pending(&self) -> BTreeMap<Name, u64> {
        let live = self.live.iter().filter_map(|id| self.jobs.get(id));
        let mut counts = BTreeMap::<Name, u64>::new();
        for job in live.filter(|job| job.state == JobState::Queued) {
            match counts.get_mut(&job.queue) {
                Some(count) => *count += 1,
                None => drop(counts.insert(job.queue.clone(), 1)),
            }
        }
        counts
    }

    /// Number of jobs without a started task, by organisation.
    pub fn pending_by_organisation(&self) -> BTreeMap<Name, u64> {
        self.count_pending(|_| true)
    }

    fn configure(&mut self, config: Config) -> Vec<Outcome> {
        let newer = self.config.as_ref().is_none_or(|current| current.version < config.version);
        if newer {
            self.rates.retain(&config.organisations);
            self.config = Some(config);
        }
        vec![Outcome::Configured]
    }

    /// Whether the next job of an organisation exceeds its agreed rate.
    pub fn exceeds_rate(&self, name: &Name, at: UnixMs) -> bool {
        let organisation = self.config.as_ref().and_then(|config| config.organisation(name));
        organisation.is_some_and(|organisation| self.rates.is_exceeded(name, organisation, at))
    }

    /// Number of jobs beyond the agreed rate of their organisation without a started task, by
    /// organisation.
    pub fn pending_surplus(&self) -> BTreeMap<Name, u64> {
        self.count_pending(|job| job.surplus)
    }

    fn count_pending(&self, counts: impl Fn(&JobRecord) -> bool) -> BTreeMap<Name, u64> {
        let live = self.live.iter().filter_map(|id| self.jobs.get(id));
        let pending = live.filter(|job| job.state == JobState::Queued && counts(job));
        let mut counts = BTreeMap::new();
        for name in pending.filter_map(|job| job.organisation.as_ref()) {
            match counts.get_mut(name) {
                Some(count) => *count += 1,
                None => drop(counts.insert(name.clone(), 1)),
            }
        }
        counts
    }

    fn submit(
        &mut self,
        id: JobId,
        queue: Name,
        spec: Spec,
        organisation: Option<Name>,
        at: UnixMs,
    ) -> Vec<Outcome> {
        self.forget_ended_jobs(at);
        let config = self.config.as_ref();
        let admission = config.and_then(|config| config.queue(&queue)?.admission);
        let delay = admission.map_or(Duration::ZERO, |admission| admission.min_delay());
        if let Some(record) = self.jobs.get(&id) {
            let is_resent = record.is_resent_by(&queue, &spec, organisation.as_ref());
            return vec![if is_resent { Outcome::Accepted(id) } else { Outcome::Conflict(id) }];
        }
        let limits =
            organisation.as_ref().and_then(|name| Some((name, config?.organisation(name)?)));
        let surplus = limits.is_some_and(|(name, limits)| self.rates.take(name, limits, at));
        let record = JobRecord::new(queue, spec, delay, at);
        self.footprint += record.footprint();
        self.jobs.insert(id, Box::new(JobRecord { organisation, surplus, ..record }));
        self.live.insert(id);
        vec![Outcome::Accepted(id)]
    }

    fn record_leader(&mut self, leader: Leader) -> Vec<Outcome> {
        self.leaders.retain(|known| known.name != leader.name);
        self.leaders.push(leader.clone());
        let excess = self.leaders.len().saturating_sub(Self::MAX_LEADERS);
        self.leaders.drain(..excess);
        vec![Outcome::TakenOver(leader)]
    }

    fn cancel(&mut self, id: JobId, at: UnixMs) -> Vec<Outcome> {
        let Some(record) = self.jobs.get_mut(&id) else { return vec![Outcome::UnknownJob(id)] };
        let mut outcomes = vec![Outcome::Cancelled(id)];
        if !record.state.is_terminal() {
            record.state = JobState::Cancelled;
            outcomes.extend(self.record_job_end(id, at));
        } else if record.state == JobState::Failed && record.open_attempts > 0 {
            record.state = JobState::Cancelled;
        }
        outcomes
    }

    fn apply_batch(&mut self, at: UnixMs, batch: Batch) -> Vec<Outcome> {
        self.forget_ended_jobs(at);
        let mut outcomes = Vec::new();
        for end in batch.ends {
            self.apply_end(end, at, &mut outcomes);
        }
        for claim in batch.claims {
            if self.update(claim.task.job, |record| record.claim(&claim)) == Some(true) {
                outcomes.push(Outcome::Claimed(claim));
            }
        }
        for machine in batch.answered {
            self.orders.remove(&machine);
        }
        for order in batch.orders {
            if let Some(machine) = order.machine().cloned() {
                self.orders.insert(machine, order);
            }
        }
        for (wave, machine) in batch.maintained {
            if let Some(wave) = self.waves.get_mut(&wave) {
                wave.machines.insert(machine, Progress::Begun);
            }
        }
        outcomes
    }

    fn apply_end(&mut self, end: AttemptEnd, at: UnixMs, outcomes: &mut Vec<Outcome>) {
        let id = end.task.job;
        let attempts = self.max_attempts(id);
        let was_terminal = self.jobs.get(&id).is_some_and(|record| record.state.is_terminal());
        self.update(id, |record| record.end(&end, attempts, at));
        if let Some(record) = self.jobs.get(&id) {
            if was_terminal {
                if record.open_attempts == 0 {
                    self.live.remove(&id);
                    self.drop_content_if_old(id, at);
                }
            } else if record.state.is_terminal() {
                outcomes.extend(self.record_job_end(id, at));
            }
        }
        outcomes.push(Outcome::AttemptEnded(end));
    }

    fn max_attempts(&self, id: JobId) -> u32 {
        let queue = self.jobs.get(&id).map(|record| &record.queue);
        let queue = queue.and_then(|queue| self.config.as_ref()?.queue(queue));
        queue.map_or(u32::MAX, |queue| queue.max_attempts)
    }

    /// Records the end of a job.
    fn record_job_end(&mut self, id: JobId, at: UnixMs) -> Option<Outcome> {
        let record = self.jobs.get_mut(&id)?;
        record.ended_at = Some(at);
        self.ended.push_back((at, id));
        if record.open_attempts == 0 {
            self.live.remove(&id);
        }
        Some(Outcome::JobEnded(id))
    }

    /// Changes a job, and updates the memory that all take.
    fn update<R>(&mut self, id: JobId, change: impl FnOnce(&mut JobRecord) -> R) -> Option<R> {
        let record = self.jobs.get_mut(&id)?;
        let before = record.footprint();
        let result = change(record);
        self.footprint = (self.footprint + record.footprint()).saturating_sub(before);
        Some(result)
    }

    /// Drops the content of an ended job without open attempts, unless it has ended lately.
    fn drop_content_if_old(&mut self, id: JobId, now: UnixMs) {
        let kept = Self::CONTENT_KEPT.as_millis() as UnixMs;
        let ended_at = self.jobs.get(&id).and_then(|record| record.ended_at);
        let is_old = ended_at.is_some_and(|ended_at| ended_at.saturating_add(kept) <= now);
        if is_old && !self.live.contains(&id) {
            self.update(id, JobRecord::drop_content);
        }
    }

    /// Removes the jobs that ended longer than [`Table::REMEMBERED`] ago, unless they still have
    /// attempts without an end, and drops the content of those that ended earlier.
    fn forget_ended_jobs(&mut self, now: UnixMs) {
        while self.next_drop().is_some_and(|at| at <= now) {
            let (_, id) = self.ended[self.dropped];
            self.dropped += 1;
            self.drop_content_if_old(id, now);
        }
        let horizon = now.saturating_sub(Self::REMEMBERED.as_millis() as UnixMs);
        while let Some((at, id)) = self.ended.front().copied().filter(|(at, _)| *at < horizon) {
            debug_assert!(at < horizon);
            self.ended.pop_front();
            self.dropped = self.dropped.saturating_sub(1);
            if !self.live.contains(&id)
                && let Some(record) = self.jobs.remove(&id)
            {
                self.footprint = self.footprint.saturating_sub(record.footprint());
            }
        }
    }
}
