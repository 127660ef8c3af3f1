//! How long each job has waited, and why; logged when the job ends.
//!
//! At any time a job either waits, because a task whose dependencies are done has not been started,
//! or runs. Its counters change only when that state does: with an event about the job, not in a
//! planning pass. A job that waits for room in its pool is charged by the causes of the pool, which
//! are determined each time that the pools are rebalanced. The pool keeps running totals, so that a
//! wait costs two reads of them.
//!
//! The counters are not replicated. For a job of an earlier leader, a new leader logs the time
//! before its own term as one number.

use super::*;
use {rebalancing::PoolBalance, scheduler::note, std::fmt::Write};

/// Why tasks that are ready wait.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum WaitCause {
    /// The leader may not order machines yet, or has not read their list.
    NoOrders,
    /// Instances for the pool are moving, or idle in another pool and about to move.
    Moving,
    /// Instances are held by late work.
    Late,
    /// Instances are partly free, but not enough for the task, or not empty and in another pool.
    Few,
    /// Instances are held by work in time.
    Capacity,
    /// The organisation exceeds its limit or share.
    Organisation,
    /// No instance with room has been permitted.
    Admission,
    /// There is an idle instance: constraints of the task exclude it, or the planning pass is due.
    Placement,
}

impl WaitCause {
    const ALL: [Self; 8] = [
        Self::NoOrders,
        Self::Moving,
        Self::Late,
        Self::Few,
        Self::Capacity,
        Self::Organisation,
        Self::Admission,
        Self::Placement,
    ];

    /// Name in the log.
    fn name(self) -> &'static str {
        match self {
            Self::NoOrders => "no-orders",
            Self::Moving => "moving",
            Self::Late => "late",
            Self::Few => "few",
            Self::Capacity => "capacity",
            Self::Organisation => "organisation",
            Self::Admission => "admission",
            Self::Placement => "placement",
        }
    }
}

/// Microseconds by [`WaitCause`].
type Waits = [u64; WaitCause::ALL.len()];

/// What a job does at present.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Activity {
    /// Every task that is ready has been started.
    Runs,
    /// A task waits for room in the pool.
    WaitsForPool,
    /// A task waits for another reason.
    Waits(WaitCause),
}

/// Times of a live job, as observed by this leader.
#[derive(Debug)]
struct JobTimes {
    activity: Activity,
    /// When the activity began, or when it was last charged.
    since: Time,
    /// Totals of the pool at `since`, while the job waits for room there.
    pool_waits: Waits,
    waits: Waits,
    /// Microseconds in which no task waited, without `lost`.
    run: u64,
    /// Microseconds of such time that attempts took which had to be repeated.
    lost: u64,
    /// Attempts that ended up to this time are included in `lost`.
    lost_until: Time,
    /// Start of the first and of the last attempt.
    first_start: Option<Time>,
    last_start: Option<Time>,
    /// Number of attempts started, failed, and ended for another reason than success or failure.
    attempts: u32,
    attempts_failed: u32,
    attempts_lost: u32,
    /// Milliseconds from the submission to the term of this leader.
    before: u64,
}

impl JobTimes {
    fn new(now: Time, before: u64) -> Self {
        Self {
            activity: Activity::Waits(WaitCause::Placement),
            since: now,
            pool_waits: Waits::default(),
            waits: Waits::default(),
            run: 0,
            lost: 0,
            lost_until: now,
            first_start: None,
            last_start: None,
            attempts: 0,
            attempts_failed: 0,
            attempts_lost: 0,
            before,
        }
    }

    /// Charges the time since `since` to the current activity.
    fn charge(&mut self, now: Time, pool_waits: Waits) {
        let elapsed = now.saturating_sub(self.since).as_micros() as u64;
        match self.activity {
            Activity::Runs => self.run += elapsed,
            Activity::Waits(cause) => self.waits[cause as usize] += elapsed,
            Activity::WaitsForPool => {
                for (cause, wait) in self.waits.iter_mut().enumerate() {
                    *wait += pool_waits[cause].saturating_sub(self.pool_waits[cause]);
                }
            }
        }
        self.since = now;
        self.pool_waits = pool_waits;
    }

    /// Moves the time of an attempt that has to be repeated from `run` to `lost`. The same time of
    /// several attempts counts once.
    fn record_loss(&mut self, now: Time, started: Time) {
        let from = started.max(self.lost_until);
        let lost = (now.saturating_sub(from).as_micros() as u64).min(self.run);
        self.run -= lost;
        self.lost += lost;
        self.lost_until = now;
    }
}

/// Total time that a task would have waited in a pool, by cause.
#[derive(Debug)]
struct PoolWaits {
    total: Waits,
    /// Shares of the causes since `since`, in thousandths.
    shares: Waits,
    since: Time,
}

impl PoolWaits {
    const WHOLE: u64 = 1000;

    /// Starts with the time in which no pool is rebalanced, because the machines are not known.
    fn new(since: Time) -> Self {
        let mut shares = Waits::default();
        shares[WaitCause::NoOrders as usize] = Self::WHOLE;
        Self { total: Waits::default(), shares, since }
    }

    fn at(&self, now: Time) -> Waits {
        let elapsed = now.saturating_sub(self.since).as_micros() as u64;
        let mut total = self.total;
        for (total, share) in total.iter_mut().zip(self.shares) {
            *total += elapsed * share / Self::WHOLE;
        }
        total
    }

    fn update(&mut self, now: Time, parts: Waits) {
        self.total = self.at(now);
        self.since = now;
        let sum = parts.iter().sum::<u64>().max(1);
        self.shares = parts.map(|part| part * Self::WHOLE / sum);
    }
}

/// Times of the live jobs, and why each pool lacks room. Active on the leader only.
#[derive(Debug, Default)]
pub(crate) struct WaitCauses {
    jobs: Map<JobId, JobTimes>,
    pools: BTreeMap<Name, PoolWaits>,
    /// When this daemon became leader.
    leader_since: Time,
    /// Number of summaries logged in this term; gaps in the log show how many are missing.
    summaries: u64,
}

impl WaitCauses {
    /// Sets why tasks of each pool wait from now on. `held` are the pools whose late work waits.
    pub(crate) fn update_pools(
        &mut self,
        now: Time,
        may_order: bool,
        held: &BTreeSet<Name>,
        pools: &BTreeMap<Name, PoolBalance>,
    ) {
        for name in pools.keys() {
            let parts = pool_causes(name, pools, may_order, held.contains(name));
            let since = self.leader_since;
            let waits = self.pools.entry(name.clone()).or_insert_with(|| PoolWaits::new(since));
            waits.update(now, parts);
        }
    }

    /// Shares of the causes of a pool at present, as fields of its log line in thousandths.
    pub(crate) fn shares(&self, pool: &Name) -> String {
        let shares = self.pools.get(pool).map(|waits| waits.shares).unwrap_or_default();
        let mut text = String::new();
        write_waits(&mut text, shares);
        text
    }

    fn pool_waits(&mut self, now: Time, pool: Option<&Name>) -> Waits {
        let Some(pool) = pool else { return Waits::default() };
        let since = self.leader_since;
        self.pools.entry(pool.clone()).or_insert_with(|| PoolWaits::new(since)).at(now)
    }
}

/// Splits what a pool lacks for its waiting work by what would provide it, in millicores.
///
/// The order is that of the effort: capacity that is coming, late work of the pool and of others,
/// instances elsewhere that are idle or partly free. Work in time holds the rest.
fn pool_causes(
    name: &Name,
    pools: &BTreeMap<Name, PoolBalance>,
    may_order: bool,
    holds_late_work: bool,
) -> Waits {
    let mut parts = Waits::default();
    let pool = &pools[name];
    let wanted = pool.waiting();
    let mut missing = wanted.saturating_sub(pool.free());
    if missing == 0 {
        // What waits is late, or does not fit into the free parts of instances.
        if !pool.idle.is_empty() && !holds_late_work {
            parts[WaitCause::Placement as usize] = 1;
        } else if wanted > 0 {
            parts[WaitCause::Few as usize] = 1;
        } else {
            parts[WaitCause::Late as usize] = pool.late;
            parts[WaitCause::Capacity as usize] = pool.used.max(u64::from(pool.late == 0));
        }
        return parts;
    }
    let mut take = |cause: WaitCause, available: u64| {
        let part = missing.min(available);
        parts[cause as usize] += part;
        missing -= part;
    };
    let others = || pools.iter().filter(|(other, _)| *other != name).map(|(_, pool)| pool);
    take(WaitCause::Moving, pool.capacity.saturating_sub(pool.ready));
    take(WaitCause::Late, pool.late);
    if !may_order {
        take(WaitCause::NoOrders, u64::MAX);
    }
    take(WaitCause::Moving, others().map(PoolBalance::idle_capacity).sum());
    take(WaitCause::Late, others().map(|pool| pool.late).sum());
    let partly_free = |pool: &PoolBalance| pool.free().saturating_sub(pool.idle_capacity());
    take(WaitCause::Few, others().map(partly_free).sum());
    take(WaitCause::Capacity, u64::MAX);
    parts
}

impl Scheduler {
    /// Updates the times of the jobs that an event is about, before the event is handled, and logs
    /// the summaries of those that have ended.
    pub(crate) fn record_waits(
        &mut self,
        now: Time,
        unix: UnixMs,
        table: &Table,
        event: &Event,
        effects: &mut Vec<Effect>,
    ) {
        match event {
            Event::Lead { .. } => self.recover_waits(now, unix, table),
            Event::Resign => self.waits = WaitCauses::default(),
            Event::BatchCommitted(outcomes) | Event::CommandCommitted(outcomes) if self.leads() => {
                for outcome in outcomes {
                    self.record_outcome(now, table, outcome);
                }
                for outcome in outcomes {
                    match outcome {
                        Outcome::AttemptEnded(AttemptEnd { task: TaskId { job, .. }, .. })
                        | Outcome::Claimed(Claim { task: TaskId { job, .. }, .. })
                        | Outcome::Accepted(job) => self.update_wait(now, table, *job),
                        Outcome::JobEnded(job) => {
                            self.log_summary(now, unix, table, *job, effects);
                        }
                        _ => {}
                    }
                }
            }
            _ => {}
        }
    }

    /// Begins the times of the jobs that an earlier leader accepted.
    fn recover_waits(&mut self, now: Time, unix: UnixMs, table: &Table) {
        self.waits = WaitCauses { leader_since: now, ..WaitCauses::default() };
        for job in &table.live {
            let Some(record) = table.jobs.get(job) else { continue };
            if is_timed(record) {
                let before = unix.saturating_sub(record.accepted_at);
                self.waits.jobs.insert(*job, JobTimes::new(now, before));
                self.update_wait(now, table, *job);
            }
        }
    }

    fn record_outcome(&mut self, now: Time, table: &Table, outcome: &Outcome) {
        match outcome {
            Outcome::Accepted(job)
                if table.jobs.get(job).is_some_and(|record| is_timed(record)) =>
            {
                self.waits.jobs.entry(*job).or_insert_with(|| JobTimes::new(now, 0));
            }
            Outcome::Claimed(claim) => {
                if let Some(times) = self.waits.jobs.get_mut(&claim.task.job) {
                    times.first_start.get_or_insert(now);
                    times.last_start = Some(now);
                    times.attempts += 1;
                }
            }
            Outcome::AttemptEnded(end) if end.reason != EndReason::Done => {
                let job = end.task.job;
                self.update_wait(now, table, job);
                let started = self.assigned.get(&end.task).and_then(|incarnation| {
                    let attempt = self.instances.get(incarnation)?.attempts.get(&end.task)?;
                    (attempt.number == end.number).then_some(attempt.started)
                });
                if let Some(times) = self.waits.jobs.get_mut(&job) {
                    times.record_loss(now, started.or(times.last_start).unwrap_or(now));
                    let failed = end.reason == EndReason::Failed;
                    times.attempts_failed += u32::from(failed);
                    times.attempts_lost += u32::from(!failed);
                }
            }
            _ => {}
        }
    }

    /// Charges a job for the time since the last change, and sets its present activity.
    pub(crate) fn update_wait(&mut self, now: Time, table: &Table, job: JobId) {
        let Some(record) = table.jobs.get(&job).filter(|_| self.waits.jobs.contains_key(&job))
        else {
            return;
        };
        let queue = table.config.as_ref().and_then(|config| config.queue(&record.queue));
        let pool_waits = self.waits.pool_waits(now, queue.map(|queue| &queue.pool));
        let activity = self.activity(now, job, record, queue);
        if let Some(times) = self.waits.jobs.get_mut(&job) {
            times.charge(now, pool_waits);
            times.activity = activity;
        }
    }

    fn activity(
        &self,
        now: Time,
        job: JobId,
        record: &JobRecord,
        queue: Option<&Queue>,
    ) -> Activity {
        let Some(round) = record.rounds.get(0) else { return Activity::Runs };
        let waits = |(position, group): &(u16, &Group)| {
            round.waiting[usize::from(*position)] > 0 && round.dependencies_done(group)
        };
        let Some((group, _)) = (0..).zip(&record.spec.groups).find(waits) else {
            return Activity::Runs;
        };
        let needs_permit = queue.is_some_and(|queue| queue.admission.is_some());
        let group_id = GroupId { job, round: 0, group };
        if record.surplus {
            Activity::Waits(WaitCause::Organisation)
        } else if needs_permit && !self.admissions.has_ticket(now, group_id) {
            Activity::Waits(WaitCause::Admission)
        } else {
            Activity::WaitsForPool
        }
    }

    /// Logs the times of a job that has ended, and forgets them.
    fn log_summary(
        &mut self,
        now: Time,
        unix: UnixMs,
        table: &Table,
        job: JobId,
        effects: &mut Vec<Effect>,
    ) {
        let Some(record) = table.jobs.get(&job) else { return };
        let queue = table.config.as_ref().and_then(|config| config.queue(&record.queue));
        let pool_waits = self.waits.pool_waits(now, queue.map(|queue| &queue.pool));
        let Some(mut times) = self.waits.jobs.remove(&job) else { return };
        times.charge(now, pool_waits);
        self.waits.summaries += 1;
        let objective = queue.map_or(Duration::ZERO, |q| q.objective(record.critical_path));
        let declared = record.spec.critical_path(Duration::ZERO);
        let offset = |at: Option<Time>| {
            let before_now = at.map(|at| now.saturating_sub(at).as_millis() as u64);
            let took = unix.saturating_sub(record.accepted_at);
            before_now.map_or(took, |before_now| took.saturating_sub(before_now))
        };
        let tasks: u64 = record.spec.groups.iter().map(|group| u64::from(group.count)).sum();
        let mut why = format!(
            "{}, number {}, took {}, objective {}, first {}, last {}, run {}, declared {}, lost {}, \
             before {}, attempts {}, failed {}, gone {}, tasks {tasks}, work {}",
            record.state,
            self.waits.summaries,
            offset(Some(now)),
            objective.as_millis(),
            offset(times.first_start),
            offset(times.last_start),
            times.run / 1000,
            declared.as_millis(),
            times.lost / 1000,
            times.before,
            times.attempts,
            times.attempts_failed,
            times.attempts_lost,
            record.spec.work() / 1000,
        );
        write_waits(&mut why, times.waits.map(|wait| wait / 1000));
        let pool = queue.map_or("-", |queue| &queue.pool);
        let organisation = record.organisation.as_deref().unwrap_or("-");
        write!(why, ", pool {pool}, queue {}, organisation {organisation}", record.queue)
            .expect("writing to a string does not fail");
        effects.push(note("job-summary", format!("{job:016x}"), why));
    }
}

/// Appends the causes that are not 0.
fn write_waits(text: &mut String, waits: Waits) {
    let waits = WaitCause::ALL.into_iter().zip(waits).filter(|(_, wait)| *wait > 0);
    for (cause, wait) in waits {
        write!(text, ", wait-{} {wait}", cause.name()).expect("writing to a string does not fail");
    }
}

/// Whether the time from the submission of a job to its end is compared with an objective.
fn is_timed(record: &JobRecord) -> bool {
    !record.state.is_terminal() && !record.is_recurring() && !record.spec.is_continuous()
}
