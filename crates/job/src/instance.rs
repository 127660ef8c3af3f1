use super::*;

/// What the owner knows of one life of an instance.
#[derive(Debug, Clone)]
pub(crate) struct Instance {
    /// What it said of itself; `None` where only the table names it.
    pub(crate) announcement: Option<Announcement>,
    /// When it was last heard, by an announcement or an answer.
    pub(crate) heard: Time,
    /// Its clock was at least this at that time of ours.
    pub(crate) clock: Option<(ClockMs, Time)>,
    /// Latest deadline granted, on its clock.
    pub(crate) lease: ClockMs,
    /// When every lease that it may hold has surely run out.
    pub(crate) lapses: Time,
    /// Whether it has answered under this epoch, so that it refuses earlier owners.
    pub(crate) fenced: bool,
    /// Whether the last renewal had no answer.
    pub(crate) silent: bool,
    /// Whether a renewal is under way.
    pub(crate) renewing: bool,
    /// When the next renewal is due.
    pub(crate) renew_at: Time,
    /// Ends up to this number are committed.
    pub(crate) acknowledged: u64,
    /// Ends up to this number are in the batch under way.
    pub(crate) proposed: u64,
    /// Ends up to this number were taken.
    pub(crate) seen: u64,
    /// Attempts that are here and have no committed end.
    pub(crate) attempts: BTreeMap<TaskId, Attempt>,
    /// What these take.
    pub(crate) used: Resources,
    /// Until when nothing new is placed here.
    pub(crate) avoided_until: Time,
    /// Jobs whose tasks failed here since one was done.
    pub(crate) failed_jobs: BTreeSet<JobId>,
    /// How often it was set aside.
    pub(crate) times_avoided: u32,
    /// When something last ran here.
    pub(crate) busy: Time,
    /// Whether its machine is to be emptied.
    pub(crate) evacuating: bool,
}

/// An attempt as the owner follows it.
#[derive(Debug, Clone)]
pub(crate) struct Attempt {
    pub(crate) number: AttemptNumber,
    pub(crate) stage: Stage,
    /// What it takes.
    pub(crate) reserved: Resources,
    /// Whether it stays for long, so that its machine cannot be lent.
    pub(crate) stays: bool,
    /// Whether it serves users of its own, whom a filler beside it would slow down.
    pub(crate) serves: bool,
    /// From when on its absence in a report proves that it will never run; `None` while an order to
    /// start it may still be carried out.
    pub(crate) settled: Option<Time>,
    /// Whether it is to be stopped.
    pub(crate) stop: bool,
    /// When the last order to stop it was sent.
    pub(crate) stop_sent: Option<Time>,
    /// Share of its work done, as last reported.
    pub(crate) percent: u8,
    /// Latency or use of processors, as last reported.
    pub(crate) gauge: u32,
    pub(crate) checkpoint: Option<Arc<str>>,
    /// Share at which a filler may work, as last ordered.
    pub(crate) throttle: u8,
    /// When the throttle was last changed.
    pub(crate) throttled: Time,
    pub(crate) started: Time,
    /// Whether this owner saw it start, and without a checkpoint.
    pub(crate) whole: bool,
}

/// How far an attempt has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Stage {
    /// Its claim is proposed.
    Proposed,
    /// The order to start it is under way.
    Starting,
    /// The order to start it had no answer.
    Unanswered,
    /// Another owner may have started it.
    Recovered,
    /// It runs.
    Running,
    /// Its end is to be committed.
    Ending,
}

impl Instance {
    /// How much slower than ours the clock of an instance may run, in thousandths.
    const DRIFT_PERMILLE: u32 = 25;
    /// Allowance for rounding and timers.
    const MARGIN: Duration = Duration::from_millis(100);

    pub(crate) fn new(announcement: Option<Announcement>, now: Time, lapses: Time) -> Self {
        let clock = announcement.as_ref().map(|announcement| (announcement.clock, now));
        Self {
            announcement,
            heard: now,
            clock,
            lease: 0,
            lapses,
            fenced: false,
            silent: false,
            renewing: false,
            renew_at: now,
            acknowledged: 0,
            proposed: 0,
            seen: 0,
            attempts: BTreeMap::new(),
            used: Resources::default(),
            avoided_until: Time::ZERO,
            failed_jobs: BTreeSet::new(),
            times_avoided: 0,
            busy: now,
            evacuating: false,
        }
    }

    /// When a lease of `length` that is granted now has surely run out.
    pub(crate) fn lapse_after(now: Time, length: Duration) -> Time {
        now + length * (1000 + Self::DRIFT_PERMILLE) / 1000 + Self::MARGIN
    }

    /// Takes its clock from something that it sent, which arrived at `now`.
    pub(crate) fn take_clock(&mut self, clock: ClockMs, now: Time) {
        if self.clock.is_none_or(|(known, _)| known <= clock) {
            self.clock = Some((clock, now));
        }
    }

    /// Estimate of its clock.
    pub(crate) fn clock_at(&self, now: Time) -> Option<ClockMs> {
        self.clock.map(|(clock, at)| clock + now.saturating_sub(at).as_millis() as ClockMs)
    }

    /// Grants a lease of `length` from now, and returns its deadline.
    pub(crate) fn grant(&mut self, now: Time, length: Duration) -> Option<ClockMs> {
        let (clock, at) = self.clock?;
        let unheard = now.saturating_sub(at);
        let lease = self.clock_at(now)? + length.as_millis() as ClockMs;
        self.lease = self.lease.max(lease);
        // Its clock may have advanced by less than ours since it was last read.
        let left = Duration::from_millis(self.lease.saturating_sub(clock))
            .saturating_sub(unheard * (1000 - Self::DRIFT_PERMILLE) / 1000);
        self.lapses = self.lapses.max(Self::lapse_after(now, left));
        Some(self.lease)
    }

    /// How much of the lease is left.
    pub(crate) fn lease_left(&self, now: Time) -> Duration {
        let left = self.clock_at(now).map_or(0, |clock| self.lease.saturating_sub(clock));
        Duration::from_millis(left)
    }

    pub(crate) fn insert(&mut self, task: TaskId, attempt: Attempt) {
        self.used += attempt.reserved;
        self.attempts.insert(task, attempt);
    }

    pub(crate) fn remove(&mut self, task: &TaskId, number: AttemptNumber) -> Option<Attempt> {
        if self.attempts.get(task)?.number != number {
            return None;
        }
        let attempt = self.attempts.remove(task)?;
        self.used = self.used.saturating_sub(attempt.reserved);
        Some(attempt)
    }

    /// Whether new tasks may be placed here.
    pub(crate) fn is_usable(&self, now: Time) -> bool {
        let ready = self.announcement.as_ref().is_some_and(|a| a.condition == Condition::Ready);
        ready && self.fenced && !self.silent && !self.evacuating && now >= self.avoided_until
    }

    /// What is free here.
    pub(crate) fn free(&self) -> Resources {
        self.announcement
            .as_ref()
            .map_or(Resources::default(), |a| a.capacity.saturating_sub(self.used))
    }
}

impl Attempt {
    pub(crate) fn new(
        number: AttemptNumber,
        stage: Stage,
        group: Option<&Group>,
        now: Time,
    ) -> Self {
        Self {
            number,
            stage,
            reserved: group.map(Group::reserved).unwrap_or_default(),
            stays: group.is_some_and(Group::is_long_lived),
            serves: group.is_some_and(|group| group.latency_target.is_some()),
            settled: None,
            stop: false,
            stop_sent: None,
            percent: 0,
            gauge: 0,
            checkpoint: None,
            throttle: 100,
            throttled: now,
            started: now,
            whole: false,
        }
    }
}
