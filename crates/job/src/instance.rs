use super::*;

/// State of one incarnation of an instance, as tracked by the scheduler.
#[derive(Debug, Clone)]
pub(crate) struct Instance {
    /// Its latest announcement; `None` if it is only known from claims in the table.
    pub(crate) announcement: Option<Announcement>,
    /// When it was first heard.
    pub(crate) joined: Time,
    /// When the last announcement or answer arrived.
    pub(crate) last_heard: Time,
    /// Since when connections to it break, if nothing has been heard from it since.
    pub(crate) broken_since: Option<Time>,
    /// Since when no connection to it works, if nothing has been heard from it since: they break or are
    /// refused.
    pub(crate) unreachable_since: Option<Time>,
    /// When the last report of its attempts arrived.
    pub(crate) last_report: Time,
    /// Latest reading of its clock, and the local time at which it arrived. The clock may have
    /// advanced while the reading was on its way.
    pub(crate) clock: Option<(InstanceMs, Time)>,
    /// Latest lease deadline granted, on its clock.
    pub(crate) lease: InstanceMs,
    /// When the last lease was granted, also to an incarnation before it that has been replaced.
    pub(crate) granted_at: Time,
    /// When the last call that granted a lease is answered or given up.
    pub(crate) delivered_by: Time,
    /// Local time by which every lease it may hold has expired for certain.
    pub(crate) lease_expires: Time,
    /// When it first answered under its token. From then on it rejects calls of earlier leaders, and
    /// calls that were meant for an earlier incarnation.
    pub(crate) fenced_at: Option<Time>,
    /// Whether the last renewal was not answered, or not by this incarnation.
    pub(crate) unresponsive: bool,
    /// Whether a later incarnation has answered a call to it.
    pub(crate) superseded: bool,
    /// Whether it replaced an incarnation whose calls it may carry out until it is fenced.
    pub(crate) expects_stray_calls: bool,
    /// The latest renewal, if it is in flight and the next one waits for its answer.
    pub(crate) latest_renewal: Option<CallId>,
    /// Whether it has answered a renewal since the last one was sent.
    pub(crate) renewal_answered: bool,
    /// Earliest time of the next renewal.
    pub(crate) renew_at: Time,
    /// Ends up to this sequence number are committed.
    pub(crate) acknowledged: u64,
    /// Ends up to this sequence number were acknowledged in a renewal that it has answered.
    pub(crate) forgotten: u64,
    /// Ends up to this sequence number are committed or in the batch being committed.
    pub(crate) proposed: u64,
    /// Ends up to this sequence number have been received.
    pub(crate) received: u64,
    /// Attempts assigned to it that have no committed end.
    pub(crate) attempts: BTreeMap<TaskId, Attempt>,
    /// Whether it has reported attempts that are not assigned to it.
    pub(crate) has_strays: bool,
    /// Resources reserved by these attempts.
    pub(crate) used: Resources,
    /// Number of long-lived attempts.
    pub(crate) long_lived: usize,
    /// Number of attempts with a latency target.
    pub(crate) with_latency_target: usize,
    /// Number of isolated attempts, see [`Attempt::isolated`].
    pub(crate) isolated: usize,
    /// Whether an attempt may have to be stopped.
    pub(crate) may_need_stops: bool,
    /// No new attempts are placed here before this time.
    pub(crate) avoided_until: Time,
    /// Jobs with a failed task here since the last task that succeeded.
    pub(crate) failed_jobs: BTreeSet<JobId>,
    /// How often it was avoided because of failing tasks.
    pub(crate) avoid_count: u32,
    /// When it last had an attempt.
    pub(crate) last_busy: Time,
    /// Whether its machine is being drained; no new attempts are placed here.
    pub(crate) draining: bool,
    /// Earliest time at which it ends, as far as it has said so.
    pub(crate) ends_from: Option<Time>,
    /// Whether its machine goes to another pool as soon as its attempts have ended; no new attempts
    /// are placed here.
    pub(crate) lending: bool,
}

/// State of an attempt, as tracked by the scheduler.
#[derive(Debug, Clone)]
pub(crate) struct Attempt {
    pub(crate) number: AttemptNumber,
    pub(crate) stage: Stage,
    /// Resources reserved for it.
    pub(crate) reserved: Resources,
    /// Whether it runs for long, so that its machine cannot be moved to another pool soon.
    pub(crate) long_lived: bool,
    /// Whether it has a latency target, which a best-effort task beside it may endanger.
    pub(crate) has_latency_target: bool,
    /// Reports of requests sent at or after this time show whether it runs: if it is missing there,
    /// it never will. `None` while a start request may still be carried out.
    pub(crate) conclusive_from: Option<Time>,
    /// Whether a report of the incarnation that it is assigned to has shown it. A start request is
    /// addressed by instance name, so its answer may have come from a later incarnation.
    pub(crate) confirmed: bool,
    /// Whether its start request was answered with a reading that fits the clock of the incarnation.
    /// That of a later one fits by coincidence alone.
    pub(crate) answered: bool,
    /// Whether its start request timed out, so that it may be carried out late.
    pub(crate) start_timed_out: bool,
    /// Whether it belongs to a suspect job, so that nothing else is placed beside it at first.
    pub(crate) isolated: bool,
    /// How it ends if it turns out not to run. `Lost` unless an earlier incarnation may have run it.
    pub(crate) end_if_absent: EndReason,
    /// Whether it is to be stopped.
    pub(crate) stop_requested: bool,
    /// Whether its start request was not answered and has to be made impossible, by a stop, before
    /// the task may start elsewhere. The attempt is kept if it is reported to run after all.
    pub(crate) start_in_doubt: bool,
    /// When the instance first reported it to a new leader. A stop by the former leader may be under
    /// way until [`Self::STOP_TIME`] after that.
    pub(crate) adopted_at: Option<Time>,
    /// When the last stop request was sent.
    pub(crate) stop_sent: Option<Time>,
    /// Percentage of its work done, as last reported.
    pub(crate) percent: u8,
    /// Tail latency or processor usage, as last reported; see [`RunningAttempt::gauge`].
    pub(crate) gauge: u32,
    pub(crate) checkpoint: Option<Arc<str>>,
    /// Speed last requested for a best-effort task, in percent of full speed.
    pub(crate) throttle: u8,
    /// Whether it may run at another speed: a former leader set one, or the last request was not
    /// answered.
    pub(crate) throttle_in_doubt: bool,
    /// When `throttle` was last changed.
    pub(crate) throttle_set_at: Time,
    pub(crate) started: Time,
    /// Whether it was started by this leader and from the beginning, so that its run time is
    /// meaningful.
    pub(crate) full_run: bool,
}

/// Progress of an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Stage {
    /// Its claim is being committed.
    Proposed,
    /// The start request is in flight.
    Starting,
    /// The start request was not answered; the attempt may or may not run.
    Unanswered,
    /// Claimed under an earlier leader, which may have started it.
    Recovered,
    /// Reported or confirmed to be running.
    Running,
    /// Its end is being committed.
    Ending,
}

impl Instance {
    /// How much slower than the clock of this process that of an instance may run, in thousandths.
    const DRIFT_PERMILLE: u32 = 25;
    /// Maximum number of attempts that a log line names.
    const MAX_ATTEMPTS_IN_LOG: usize = 64;
    /// Delay before a list is requested that may show why no connection to an instance works; one that is
    /// up has answered a repeated renewal by then.
    pub(crate) const UNREACHABLE_BEFORE_LIST: Duration = Duration::from_millis(150);
    /// The same after an instance was asked for a report because of a list.
    pub(crate) const UNANSWERED_BEFORE_LIST: Duration = Duration::from_millis(300);
    /// Time added to every lease expiry for rounding and timer delays.
    const EXPIRY_MARGIN: Duration = Duration::from_millis(100);
    /// Longest time after which an instance may still carry out a call that it has not answered.
    const MAX_CALL_DELAY: Duration = Duration::from_secs(12);

    pub(crate) fn new(announcement: Option<Announcement>, now: Time, lease_expires: Time) -> Self {
        let clock = announcement.as_ref().map(|announcement| (announcement.clock, now));
        Self {
            announcement,
            joined: now,
            last_heard: now,
            broken_since: None,
            unreachable_since: None,
            last_report: Time::ZERO,
            clock,
            lease: 0,
            granted_at: now,
            delivered_by: now,
            lease_expires,
            fenced_at: None,
            unresponsive: false,
            superseded: false,
            expects_stray_calls: false,
            latest_renewal: None,
            renewal_answered: false,
            renew_at: now,
            acknowledged: 0,
            forgotten: 0,
            proposed: 0,
            received: 0,
            attempts: BTreeMap::new(),
            has_strays: false,
            used: Resources::default(),
            long_lived: 0,
            with_latency_target: 0,
            isolated: 0,
            may_need_stops: false,
            avoided_until: Time::ZERO,
            failed_jobs: BTreeSet::new(),
            avoid_count: 0,
            last_busy: now,
            draining: false,
            ends_from: None,
            lending: false,
        }
    }

    /// Local time at which a lease of `length`, granted now, has expired for certain.
    pub(crate) fn lease_expiry_after(now: Time, length: Duration) -> Time {
        let longest = length.saturating_mul(1000 + Self::DRIFT_PERMILLE) / 1000;
        now.saturating_add(longest).saturating_add(Self::EXPIRY_MARGIN)
    }

    /// Records that something arrived from it at `now`.
    pub(crate) fn record_contact(&mut self, now: Time) {
        self.last_heard = now;
        self.broken_since = None;
        self.unreachable_since = None;
    }

    /// Requests a report at once: the renewal in flight may have been sent earlier, and be held open for
    /// long.
    pub(crate) fn request_report(&mut self, now: Time) {
        self.latest_renewal = None;
        self.renew_at = now;
    }

    /// Records that a call failed at `now`.
    pub(crate) fn record_failure(&mut self, now: Time, error: CallError) {
        match error {
            CallError::Broken => {
                self.broken_since.get_or_insert(now);
                self.unreachable_since.get_or_insert(now);
            }
            CallError::Refused => drop(self.unreachable_since.get_or_insert(now)),
            CallError::Timeout | CallError::Unreadable => {}
        }
    }

    /// Whether a list of machines that was requested at `sent` can show that it has ended. The list may
    /// be older than its request, so that it may still show the machine as it was before an instance
    /// that has just joined.
    pub(crate) fn is_list_conclusive(&self, sent: Time) -> bool {
        sent >= self.joined + machines::MAX_LIST_AGE
    }

    /// Records a clock reading of the instance that arrived at `now`.
    pub(crate) fn update_clock(&mut self, clock: InstanceMs, now: Time) {
        if self.clock.is_none_or(|(known, _)| known <= clock) {
            self.clock = Some((clock, now));
        }
    }

    /// Whether a reading that arrived at `now`, in the answer to a call sent at `sent`, fits its clock.
    pub(crate) fn is_own_clock(&self, clock: InstanceMs, sent: Time, now: Time) -> bool {
        let Some((known, at)) = self.clock else { return false };
        let shortest = sent.saturating_sub(at) * (1000 - Self::DRIFT_PERMILLE) / 1000;
        let longest = Self::lease_expiry_after(Time::ZERO, now.saturating_sub(at));
        let elapsed = clock.checked_sub(known).map(Duration::from_millis);
        elapsed.is_some_and(|elapsed| (shortest..=longest).contains(&elapsed))
    }

    /// Estimated reading of its clock.
    pub(crate) fn clock_at(&self, now: Time) -> Option<InstanceMs> {
        let (clock, at) = self.clock?;
        Some(clock.saturating_add(now.saturating_sub(at).as_millis() as InstanceMs))
    }

    /// Whether it has answered under its token, see [`Self::fenced_at`].
    pub(crate) fn is_fenced(&self) -> bool {
        self.fenced_at.is_some()
    }

    /// Whether a report has lately proven that calls reach this incarnation, and no later one.
    pub(crate) fn is_proven(&self, now: Time) -> bool {
        let longest_wait = Scheduler::RENEWAL_WAIT + Scheduler::ANSWER_TIMEOUT;
        self.is_fenced()
            && !self.unresponsive
            && self.renewal_answered
            && now < self.last_report + longest_wait
    }

    /// Records its first report under its token. Until `now`, a call that was meant for an earlier
    /// incarnation, or sent by an earlier leader, may have granted it a lease of up to `longest`.
    pub(crate) fn fence(&mut self, now: Time, longest: Duration) {
        self.fenced_at = Some(now);
        self.expects_stray_calls = false;
        self.lease_expires = self.lease_expires.max(Self::lease_expiry_after(now, longest));
    }

    /// Records that calls which were meant for an earlier incarnation, the last one sent at `now`, may
    /// still reach this one.
    pub(crate) fn expect_stray_calls(&mut self, now: Time) {
        if !self.is_fenced() {
            self.expects_stray_calls = true;
            self.granted_at = self.granted_at.max(now);
        }
    }

    /// Records that a call which grants a lease is sent at `now`.
    pub(crate) fn record_grant(&mut self, now: Time, timeout: Duration) {
        self.granted_at = now;
        self.delivered_by = self.delivered_by.max(now + timeout);
    }

    /// Local time from which an attempt has ended for certain because every lease is over. One that is
    /// not known to run here may run on a later incarnation, which nobody has heard of and to which any
    /// call grants a lease of up to `longest`. If this one shows signs of its end, the call may have
    /// been carried out late there.
    pub(crate) fn release_time(&self, attempt: &Attempt, longest: Duration) -> Time {
        let broke = attempt.start_timed_out && self.unreachable_since.is_some();
        let may_have_ended = self.superseded || self.expects_stray_calls || broke;
        if attempt.confirmed || attempt.answered && !may_have_ended {
            return self.lease_expires;
        }
        let last_call = if may_have_ended {
            self.granted_at.saturating_add(Self::MAX_CALL_DELAY)
        } else {
            self.delivered_by
        };
        self.lease_expires.max(Self::lease_expiry_after(last_call, longest))
    }

    /// Extends the lease to `length` from now, and returns its deadline on the instance's clock.
    pub(crate) fn extend_lease(&mut self, now: Time, length: Duration) -> Option<InstanceMs> {
        let (clock, at) = self.clock?;
        let unheard = now.saturating_sub(at);
        let lease = self.clock_at(now)?.saturating_add(length.as_millis() as InstanceMs);
        self.lease = self.lease.max(lease);
        // The instance's clock may have advanced by less than ours since it was last read.
        let remaining = Duration::from_millis(self.lease.saturating_sub(clock))
            .saturating_sub(unheard * (1000 - Self::DRIFT_PERMILLE) / 1000);
        self.lease_expires = self.lease_expires.max(Self::lease_expiry_after(now, remaining));
        Some(self.lease)
    }

    /// Estimated time until the lease expires.
    pub(crate) fn lease_left(&self, now: Time) -> Duration {
        let remaining = self.clock_at(now).map_or(0, |clock| self.lease.saturating_sub(clock));
        Duration::from_millis(remaining)
    }

    pub(crate) fn insert(&mut self, task: TaskId, attempt: Attempt) {
        self.used += attempt.reserved;
        self.long_lived += usize::from(attempt.long_lived);
        self.with_latency_target += usize::from(attempt.has_latency_target);
        self.isolated += usize::from(attempt.isolated);
        self.may_need_stops |= attempt.needs_stop();
        self.attempts.insert(task, attempt);
    }

    /// Requests the stop of an attempt, if it is assigned here.
    pub(crate) fn request_stop(&mut self, task: &TaskId) {
        if let Some(attempt) = self.attempts.get_mut(task) {
            attempt.stop_requested = true;
            self.may_need_stops = true;
        }
    }

    pub(crate) fn remove(&mut self, task: &TaskId, number: AttemptNumber) -> Option<Attempt> {
        if self.attempts.get(task)?.number != number {
            return None;
        }
        let attempt = self.attempts.remove(task)?;
        self.used = self.used.saturating_sub(attempt.reserved);
        self.long_lived -= usize::from(attempt.long_lived);
        self.with_latency_target -= usize::from(attempt.has_latency_target);
        self.isolated -= usize::from(attempt.isolated);
        Some(attempt)
    }

    /// Whether new attempts may be placed here.
    pub(crate) fn is_usable(&self, now: Time) -> bool {
        !self.lending && self.is_sound(now)
    }

    /// Whether its pool can count on its capacity, or lend it.
    pub(crate) fn is_sound(&self, now: Time) -> bool {
        let ready = self.announcement.as_ref().is_some_and(|a| a.condition == Condition::Ready);
        ready
            && self.is_fenced()
            && !self.unresponsive
            && !self.draining
            && now >= self.avoided_until
    }

    /// Whether it has reported its end, and may work until it has ended.
    pub(crate) fn is_departing(&self) -> bool {
        self.announcement.as_ref().is_some_and(Announcement::is_departure)
    }

    /// Whether it has reported its end, nothing runs there, and it has no ends to acknowledge.
    pub(crate) fn has_departed(&self) -> bool {
        self.is_departing() && self.attempts.is_empty() && self.received <= self.acknowledged
    }

    /// Whether it may end as soon as what runs there could have been stopped.
    pub(crate) fn ends_soon(&self, now: Time) -> bool {
        !self.attempts.is_empty()
            && self.ends_from.is_some_and(|ends_from| now + Attempt::STOP_TIME >= ends_from)
    }

    /// Length of its next lease. A lease that outlives the instance keeps its tasks waiting, so that
    /// of an instance that is about to end is shorter.
    pub(crate) fn lease_length(&self) -> Duration {
        let condition = self.announcement.as_ref().map(|announcement| announcement.condition);
        match condition {
            Some(Condition::Draining) => Scheduler::LEASE / 2,
            _ => Scheduler::LEASE,
        }
    }

    /// How long nothing has been heard from it, for the log.
    pub(crate) fn silence(&self, now: Time) -> String {
        let silent = now.saturating_sub(self.last_heard).as_millis();
        let broken = self.broken_since.map(|since| now.saturating_sub(since).as_millis());
        let broken = broken.map_or(String::new(), |ms| format!(", connections broke {ms} ms ago"));
        format!("silent for {silent} ms{broken}")
    }

    /// When its leases were granted, for the log.
    pub(crate) fn lease_history(&self, now: Time) -> String {
        let ago = |at: Time| now.saturating_sub(at).as_millis();
        let fenced = self.fenced_at.map_or("never".into(), |at| format!("{} ms ago", ago(at)));
        let heard = ago(self.joined);
        let granted = ago(self.granted_at);
        format!("first heard {heard} ms ago, fenced {fenced}, last lease granted {granted} ms ago")
    }

    /// The attempts on board, and how long each had run when the instance was last heard, for the
    /// log.
    pub(crate) fn on_board(&self, now: Time) -> String {
        let mut text = format!("{}, {} attempts", self.silence(now), self.attempts.len());
        for (task, attempt) in self.attempts.iter().take(Self::MAX_ATTEMPTS_IN_LOG) {
            let age = self.last_heard.saturating_sub(attempt.started).as_millis();
            let Attempt { number, stage, confirmed, .. } = attempt;
            let confirmed = if *confirmed { "" } else { " not confirmed" };
            text += &format!(", {task} {number} {stage:?}{confirmed} {age} ms");
        }
        text
    }

    /// Resources that are not reserved.
    pub(crate) fn free(&self) -> Resources {
        self.announcement
            .as_ref()
            .map_or(Resources::default(), |a| a.capacity.saturating_sub(self.used))
    }
}

impl Attempt {
    /// Longest time from a stop request to the report of the end.
    pub(crate) const STOP_TIME: Duration = Duration::from_millis(1000);

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
            long_lived: group.is_some_and(Group::is_long_lived),
            has_latency_target: group.is_some_and(|group| group.latency_target.is_some()),
            conclusive_from: None,
            confirmed: false,
            answered: false,
            start_timed_out: false,
            isolated: false,
            end_if_absent: EndReason::Lost,
            stop_requested: false,
            start_in_doubt: false,
            adopted_at: None,
            stop_sent: None,
            percent: 0,
            gauge: 0,
            checkpoint: None,
            throttle: 100,
            throttle_in_doubt: stage == Stage::Recovered,
            throttle_set_at: now,
            started: now,
            full_run: false,
        }
    }

    /// Whether a stop request has to be sent until it is answered.
    pub(crate) fn needs_stop(&self) -> bool {
        self.stop_requested || self.start_in_doubt
    }

    /// Whether the task was at work in the report that arrived at `reported`, and no leader has
    /// requested its stop.
    pub(crate) fn is_at_work(&self, reported: Time) -> bool {
        let settled = self.adopted_at.is_none_or(|at| reported >= at + Self::STOP_TIME);
        settled && self.stage == Stage::Running && self.percent >= 100 && !self.needs_stop()
    }
}
