//! Finds instances that fail, refuse or run slowly, and limits the work that they get until they
//! have shown that they are sound. Every method gets the time; nothing is read from a clock.
//!
//! The evidence for failures is a one-sided cumulative sum (Page 1954) with decay: a share over a
//! window would let the successes before a fault hide its first failures. The evidence for slowness
//! compares the tasks of one group, since run times of different groups differ by more than a slow
//! instance does from a sound one. See `docs/design/outliers.md`.

use super::*;
use scheduler::note;

/// Estimates of the health of every instance.
#[derive(Debug, Default)]
pub(crate) struct Outliers {
    records: BTreeMap<Incarnation, Record>,
    /// Evidence about the last instance of each machine whose instance has ended lately.
    departures: BTreeMap<Name, Departure>,
    racks: BTreeMap<Name, Rack>,
    /// Failures of each task of a live job.
    charges: BTreeMap<TaskId, Vec<Charge>>,
    /// Live jobs with a failure.
    jobs: BTreeMap<JobId, JobEvidence>,
    /// Run times of the tasks of a group, by the instance that ran them.
    run_times: BTreeMap<GroupId, Vec<(Incarnation, Duration)>>,
    /// When the stages that change with time are checked next.
    due: BTreeSet<(Time, Incarnation)>,
    in_doubt: BTreeSet<Incarnation>,
    /// Log entries about changes of stage.
    notes: Vec<Effect>,
}

/// Stage of an instance. The names are printed in the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Health {
    /// Gets all work.
    Healthy,
    /// Gets one task at a time.
    Suspect,
    /// Gets nothing until its back-off ends.
    Ejected,
    /// Gets a few tasks at a time after its back-off has ended.
    Probing,
}

/// How the planner may use an instance that is in doubt. All of them are used after the others.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Limit {
    /// Any number of tasks, because a quarter of the pool is limited already.
    None,
    /// At most this many tasks at a time.
    Tasks(usize),
}

/// Run time, or elapsed time, of a task, and what is known without peers.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Run {
    pub(crate) took: Duration,
    /// Expected run time.
    pub(crate) expected: Duration,
    /// Weight with which the slowness of this attempt has been counted.
    pub(crate) counted: f64,
}

/// Evidence about an instance.
#[derive(Debug, Clone)]
struct Record {
    machine: Name,
    rack: Option<Name>,
    joined: Time,
    /// Time up to which the evidence has decayed.
    at: Time,
    /// Score of failures.
    failures: f64,
    /// Decayed number of failed ends and refusals.
    failed: f64,
    /// Decayed number of successful ends.
    succeeded: f64,
    /// Score of slowness.
    slowness: f64,
    /// Moving average of the logarithm of run times relative to those of peers, at least 0; for the
    /// log.
    mean_slowness: f64,
    health: Health,
    /// Tasks that ended well and at normal speed since the last one that did not.
    good: u32,
    /// Ejections without [`Self::EJECTION_MEMORY`] in between.
    ejections: u32,
    last_ejected: Time,
    /// Its entry in [`Outliers::due`].
    due: Option<Time>,
}

/// Evidence about an instance that has ended.
#[derive(Debug, Clone, Default)]
struct Departure {
    at: Time,
    /// Decayed number of departures of the machine that nobody ordered.
    count: f64,
    failures: f64,
    slowness: f64,
    ejections: u32,
    last_ejected: Time,
}

/// A failure domain.
#[derive(Debug, Default)]
struct Rack {
    /// Instances by machine.
    members: BTreeMap<Name, Incarnation>,
    /// Machines that lately went down or came into doubt, and when.
    recent: BTreeMap<Name, Time>,
    /// End of the current event.
    event_until: Time,
}

/// A failure of a task, charged to the instance where it happened.
#[derive(Debug, Clone)]
struct Charge {
    incarnation: Incarnation,
    at: Time,
    weight: f64,
    /// Whether it is evidence against the job: the instance was not in doubt.
    against_job: bool,
}

#[derive(Debug, Default)]
struct JobEvidence {
    /// Tasks that succeeded since the first failure.
    succeeded: usize,
    /// Whether its failures are its own fault.
    blamed: bool,
}

impl Record {
    const HALF_LIFE: Duration = Duration::from_secs(4);
    const SLOWNESS_HALF_LIFE: Duration = Duration::from_secs(8);
    /// What a success takes off the score of failures. An instance that fails more than a fifth of
    /// its tasks gains score.
    const SUCCESS_CREDIT: f64 = 0.25;
    /// Score of failures at which an instance is ejected.
    const FAILURE_LIMIT: f64 = 3.0;
    /// Upper bound of the score, so that an instance returns soon after a fault.
    const MAX_FAILURES: f64 = 5.0;
    /// Score with which an instance returns to normal use, so that it leaves sooner if it fails
    /// again.
    const RETURN_FAILURES: f64 = 0.7;
    /// What each task takes off the score of slowness, and its slowness is added to, `ln 1.5`. An
    /// instance whose tasks take less than 1.5 times as long as those of its peers gains no score.
    const SLOWNESS_CREDIT: f64 = 0.405;
    /// Score of slowness at which an instance is ejected: two tasks at a fifth of the speed.
    const SLOWNESS_LIMIT: f64 = 2.2;
    const MAX_SLOWNESS: f64 = 4.0;
    /// Weight of the latest task in the average for the log.
    const MEAN_WEIGHT: f64 = 0.3;
    /// Share of the limits at which an instance is suspect.
    const SUSPECT: f64 = 0.5;
    /// Share of the limits below which an instance in doubt is healthy again.
    const CLEARED: f64 = 0.25;
    const EJECTION_MEMORY: Duration = Duration::from_secs(30);
    const BACKOFF: Duration = Duration::from_secs(1);
    const MAX_BACKOFF: Duration = Duration::from_secs(8);

    fn decay(&mut self, now: Time) {
        let elapsed = now.saturating_sub(self.at);
        self.at = self.at.max(now);
        let factor = decay_factor(elapsed, Self::HALF_LIFE);
        self.failures *= factor;
        self.failed *= factor;
        self.succeeded *= factor;
        self.slowness *= decay_factor(elapsed, Self::SLOWNESS_HALF_LIFE);
    }

    fn add_slowness(&mut self, slowness: f64, weight: f64) {
        let gained = weight * (slowness - Self::SLOWNESS_CREDIT);
        self.slowness = (self.slowness + gained).clamp(0.0, Self::MAX_SLOWNESS);
        self.mean_slowness += (slowness - self.mean_slowness) * weight * Self::MEAN_WEIGHT;
    }

    /// Evidence as a share of that which ejects an instance.
    fn severity(&self) -> f64 {
        self.severity_at(self.at)
    }

    /// Severity after the decay until `now`.
    fn severity_at(&self, now: Time) -> f64 {
        let elapsed = now.saturating_sub(self.at);
        let failures = self.failures * decay_factor(elapsed, Self::HALF_LIFE);
        let slowness = self.slowness * decay_factor(elapsed, Self::SLOWNESS_HALF_LIFE);
        (failures / Self::FAILURE_LIMIT).max(slowness / Self::SLOWNESS_LIMIT)
    }

    /// Limits the evidence to that of a suspect.
    fn limit_to_suspect(&mut self) {
        self.failures = self.failures.min(Self::FAILURE_LIMIT * Self::SUSPECT);
        self.slowness = self.slowness.min(Self::SLOWNESS_LIMIT * Self::SUSPECT);
    }

    fn backoff(&self) -> Duration {
        (Self::BACKOFF * (1 << self.ejections.saturating_sub(1).min(8))).min(Self::MAX_BACKOFF)
    }

    fn evidence(&self, now: Time) -> String {
        format!(
            "{:.1} failed and {:.1} ended well lately, score {:.1}; {:.1} times the run time of its \
             peers, score {:.1}; up for {:.1} s",
            self.failed,
            self.succeeded,
            self.failures,
            self.mean_slowness.exp(),
            self.slowness,
            now.saturating_sub(self.joined).as_secs_f64()
        )
    }
}

fn decay_factor(elapsed: Duration, half_life: Duration) -> f64 {
    (-elapsed.as_secs_f64() / half_life.as_secs_f64()).exp2()
}

impl Rack {
    /// Time within which failures of a rack count as one event.
    const WINDOW: Duration = Duration::from_secs(2);
    const EVENT_LENGTH: Duration = Duration::from_secs(4);
    const MIN_INSTANCES: usize = 3;

    /// Records that an instance went down or came into doubt. Returns whether that begins an event:
    /// three quarters of the rack are affected.
    fn record(&mut self, now: Time, machine: &Name) -> bool {
        self.recent.retain(|_, at| now <= *at + Self::WINDOW);
        self.recent.insert(machine.clone(), now);
        let gone = self.recent.keys().filter(|machine| !self.members.contains_key(*machine));
        let all = self.members.len() + gone.count();
        let affected = self.recent.len();
        let begins = affected >= Self::MIN_INSTANCES && affected * 4 >= all * 3;
        let begins = begins && now >= self.event_until;
        if begins {
            self.event_until = now + Self::EVENT_LENGTH;
        }
        begins
    }
}

impl Outliers {
    /// Weight of a refused start or a missing answer, as a share of a failure.
    const REFUSAL_WEIGHT: f64 = 0.5;
    /// Weight of a comparison with the expected run time, as a share of one with peers.
    const ESTIMATE_WEIGHT: f64 = 0.3;
    /// Run time that does not count, since ends are reported with a delay.
    const REPORT_DELAY: Duration = Duration::from_millis(50);
    /// A running task is not judged earlier than this.
    const MIN_ELAPSED: Duration = Duration::from_millis(300);
    /// A task that takes less than this many times as long as its peers, or as expected, runs at
    /// normal speed.
    const NORMAL_RATIO: f64 = 1.6;
    /// A task that takes this many times as long as its peers is slow.
    const SLOW_RATIO: f64 = 2.0;
    /// A task that takes this many times as long as expected is slow. Declared times alone are wrong
    /// by a factor of up to 1.9.
    const SLOW_ESTIMATE_RATIO: f64 = 4.0;
    const MAX_RATIO: f64 = 8.0;
    /// Good tasks after which a probed instance is healthy.
    const GOOD_PROBES: u32 = 2;
    /// Good tasks in a row after which a suspect is healthy.
    const GOOD_TASKS: u32 = 3;
    /// Tasks at a time on an instance that is probed.
    const PROBES: usize = 2;
    /// Reciprocal of the largest share of a pool that may be limited.
    const LIMITED_DIVISOR: usize = 4;
    /// Instances on which a task fails that is at fault itself.
    const TASK_FAILURES: usize = 2;
    /// Instances on which a job fails that is at fault itself.
    const JOB_FAILURES: usize = 3;
    /// How long a task waits for another instance than one where it failed. An instance that fails at
    /// once always has room, and would use up the attempts of a task while the others are full.
    const RETRY_WAIT: Duration = Duration::from_secs(2);
    /// Maximum number of failures kept for a task, and of tasks looked at for a job.
    const MAX_CHARGES: usize = 8;
    const MAX_TASKS: usize = 64;
    /// Maximum number of instances compared in a group.
    const MAX_PEERS: usize = 5;
    /// Share of its evidence with which the next instance of a machine starts.
    const CARRIED_SHARE: f64 = 0.5;
    /// Time after which the next instance of a machine starts without evidence.
    const CARRY_TIME: Duration = Duration::from_secs(6);
    const DEPARTURE_HALF_LIFE: Duration = Duration::from_secs(6);
    /// Score of each departure of a machine beyond the first. An instance that goes down every 1.4 s
    /// is suspect from the second on, and ejected from the third on.
    const DEPARTURE_WEIGHT: f64 = 1.8;
    const MAX_DEPARTURE_AGE: Duration = Duration::from_secs(30);
    /// Interval at which a suspect is checked for the decay of its evidence.
    const CHECK_INTERVAL: Duration = Duration::from_secs(1);

    /// Records the announcement of an instance.
    pub(crate) fn joined(&mut self, now: Time, announcement: &Announcement) {
        let Announcement { incarnation, machine, .. } = announcement;
        if self.records.contains_key(incarnation) {
            return;
        }
        let rack = announcement.rack().cloned();
        let mut record = Record {
            machine: machine.clone(),
            rack: rack.clone(),
            joined: now,
            at: now,
            failures: 0.0,
            failed: 0.0,
            succeeded: 0.0,
            slowness: 0.0,
            mean_slowness: 0.0,
            health: Health::Healthy,
            good: 0,
            ejections: 0,
            last_ejected: Time::ZERO,
            due: None,
        };
        let departure = self.departures.get(machine);
        if let Some(departure) = departure.filter(|d| now <= d.at + Self::CARRY_TIME) {
            let away = now.saturating_sub(departure.at);
            let count = departure.count * decay_factor(away, Self::DEPARTURE_HALF_LIFE);
            let carried = departure.failures * decay_factor(away, Record::HALF_LIFE);
            record.failures =
                carried * Self::CARRIED_SHARE + (count - 1.0).max(0.0) * Self::DEPARTURE_WEIGHT;
            record.failures = record.failures.min(Record::MAX_FAILURES);
            record.slowness = departure.slowness
                * decay_factor(away, Record::SLOWNESS_HALF_LIFE)
                * Self::CARRIED_SHARE;
            record.ejections = departure.ejections;
            record.last_ejected = departure.last_ejected;
        }
        self.records.insert(incarnation.clone(), record);
        if let Some(rack) = rack {
            let members = &mut self.racks.entry(rack).or_default().members;
            members.insert(machine.clone(), incarnation.clone());
        }
        self.judge(now, incarnation);
    }

    /// Records the end of an instance. `expected` tells whether it was ordered or announced.
    pub(crate) fn departed(&mut self, now: Time, incarnation: &Incarnation, expected: bool) {
        let Some(mut record) = self.records.remove(incarnation) else { return };
        record.decay(now);
        self.in_doubt.remove(incarnation);
        if let Some(due) = record.due {
            self.due.remove(&(due, incarnation.clone()));
        }
        let departure = self.departures.entry(record.machine.clone()).or_default();
        let away = now.saturating_sub(departure.at);
        let count = departure.count * decay_factor(away, Self::DEPARTURE_HALF_LIFE);
        *departure = Departure {
            at: now,
            count: count + if expected { 0.0 } else { 1.0 },
            failures: record.failures,
            slowness: record.slowness,
            ejections: record.ejections,
            last_ejected: record.last_ejected,
        };
        let Some(name) = record.rack else { return };
        let Some(rack) = self.racks.get_mut(&name) else { return };
        if rack.members.get(&record.machine) == Some(incarnation) {
            rack.members.remove(&record.machine);
        }
        if !expected {
            self.record_in_rack(now, &name, &record.machine);
        }
    }

    /// Records a task that ended well.
    pub(crate) fn succeeded(
        &mut self,
        now: Time,
        incarnation: &Incarnation,
        task: TaskId,
        run: Option<Run>,
    ) {
        if let Some(job) = self.jobs.get_mut(&task.job) {
            job.succeeded += 1;
        }
        let slowness =
            run.and_then(|run| self.compare(incarnation, task.group_id(), run, run.took));
        let peers = run.map(|_| self.run_times.entry(task.group_id()).or_default());
        if let Some((peers, run)) = peers.zip(run) {
            if let Some((_, took)) = peers.iter_mut().find(|(peer, _)| peer == incarnation) {
                *took = run.took;
            } else if peers.len() < Self::MAX_PEERS {
                peers.push((incarnation.clone(), run.took));
            }
        }
        let Some(record) = self.records.get_mut(incarnation) else { return };
        record.decay(now);
        record.succeeded += 1.0;
        record.failures = (record.failures - Record::SUCCESS_CREDIT).max(0.0);
        let slow = slowness.is_some_and(Self::is_slow);
        // A run that compares with nothing shows nothing about the speed.
        let good = match slowness {
            Some((slowness, _)) => slowness < Self::NORMAL_RATIO.ln(),
            None => run.is_none(),
        };
        if let Some((slowness, weight)) = slowness {
            record.add_slowness(slowness, weight);
        }
        if slow {
            self.observe_bad(now, incarnation);
        } else if good {
            self.observe_good(now, incarnation);
        }
        self.judge(now, incarnation);
    }

    /// Records the progress of a running task, in percent. Returns the weight with which its
    /// slowness has been counted.
    pub(crate) fn progressed(
        &mut self,
        now: Time,
        incarnation: &Incarnation,
        group_id: GroupId,
        run: Run,
        percent: u8,
    ) -> f64 {
        let reference = self.peers_median(incarnation, group_id).unwrap_or(run.expected);
        if run.took < Self::MIN_ELAPSED || run.took < reference / 2 {
            return run.counted;
        }
        let projected = match percent {
            0 => run.took,
            _ => run.took * 100 / u32::from(percent),
        };
        let slowness = self.compare(incarnation, group_id, run, projected);
        let slowness = slowness.filter(|(slowness, _)| *slowness >= Self::SLOW_RATIO.ln());
        let Some((slowness, weight)) = slowness else { return run.counted };
        let Some(record) = self.records.get_mut(incarnation) else { return run.counted };
        record.decay(now);
        record.add_slowness(slowness, weight);
        if Self::is_slow((slowness, weight)) {
            self.observe_bad(now, incarnation);
        }
        self.judge(now, incarnation);
        run.counted + weight
    }

    /// Whether a running task would end sooner if it were started anew elsewhere: its instance is in
    /// doubt, and by its progress it needs twice as long again as its peers needed in all.
    pub(crate) fn should_restart(
        &self,
        incarnation: &Incarnation,
        task: &TaskId,
        run: Run,
        percent: u8,
    ) -> bool {
        let median = self.peers_median(incarnation, task.group_id());
        let Some(median) = median.filter(|_| percent > 0 && !self.has_failed(task)) else {
            return false;
        };
        let left = (run.took * 100 / u32::from(percent)).saturating_sub(run.took);
        self.in_doubt.contains(incarnation) && left > median * 2
    }

    /// Records that a task is stopped on an instance, to be started elsewhere.
    pub(crate) fn restarted(&mut self, now: Time, incarnation: &Incarnation, task: TaskId) {
        let incarnation = incarnation.clone();
        self.add_charge(task, Charge { incarnation, at: now, weight: 0.0, against_job: false });
    }

    /// Whether a run was slow, by its slowness and the weight of the comparison.
    fn is_slow((slowness, weight): (f64, f64)) -> bool {
        let by_peers = weight > Self::ESTIMATE_WEIGHT;
        slowness >= if by_peers { Self::SLOW_RATIO } else { Self::SLOW_ESTIMATE_RATIO }.ln()
    }

    /// Slowness of a run that takes `took`, with the weight that has not been counted yet.
    fn compare(
        &self,
        incarnation: &Incarnation,
        group_id: GroupId,
        run: Run,
        took: Duration,
    ) -> Option<(f64, f64)> {
        let median = self.peers_median(incarnation, group_id);
        let known = self.run_times.get(&group_id);
        let is_known = known.is_some_and(|known| known.iter().any(|(peer, _)| peer == incarnation));
        let (reference, weight) = match median {
            Some(median) => (median, 1.0),
            // One wrong estimate must not count once for each task of its group.
            None if is_known => return None,
            None => (run.expected, Self::ESTIMATE_WEIGHT),
        };
        let weight = weight - run.counted;
        let ratio = took.as_secs_f64() / (reference + Self::REPORT_DELAY).as_secs_f64();
        (weight > 0.0).then(|| (ratio.clamp(1.0, Self::MAX_RATIO).ln(), weight))
    }

    /// Median of the run times of a group on other instances.
    fn peers_median(&self, incarnation: &Incarnation, group_id: GroupId) -> Option<Duration> {
        let peers = self.run_times.get(&group_id)?;
        let mut peers: Vec<_> =
            peers.iter().filter(|(peer, _)| peer != incarnation).map(|(_, took)| *took).collect();
        peers.sort();
        peers.get(peers.len() / 2).copied()
    }

    /// Records a task that failed.
    pub(crate) fn failed(&mut self, now: Time, incarnation: &Incarnation, task: TaskId) {
        let weight = self.charge_weight(incarnation, task);
        let against_job = !self.in_doubt.contains(incarnation);
        let charge = Charge { incarnation: incarnation.clone(), at: now, weight, against_job };
        self.add_charge(task, charge);
        if let Some(record) = self.records.get_mut(incarnation) {
            record.decay(now);
            record.failed += 1.0;
            record.failures = (record.failures + weight).min(Record::MAX_FAILURES);
        }
        self.blame(now, task);
        if weight > 0.0 && !self.is_blamed(task) {
            self.observe_bad(now, incarnation);
        }
        self.judge(now, incarnation);
    }

    /// Records a start that was refused or not answered, or a renewal that was not answered.
    pub(crate) fn refused(&mut self, now: Time, incarnation: &Incarnation, task: Option<TaskId>) {
        if let Some(task) = task {
            let incarnation = incarnation.clone();
            let charge = Charge { incarnation, at: now, weight: 0.0, against_job: false };
            self.add_charge(task, charge);
        }
        let Some(record) = self.records.get_mut(incarnation) else { return };
        record.decay(now);
        record.failed += Self::REFUSAL_WEIGHT;
        record.failures = (record.failures + Self::REFUSAL_WEIGHT).min(Record::MAX_FAILURES);
        self.observe_bad(now, incarnation);
        self.judge(now, incarnation);
    }

    /// Whether a task failed, or was refused, on some instance.
    pub(crate) fn has_failed(&self, task: &TaskId) -> bool {
        self.charges.contains_key(task)
    }

    /// Whether a task failed, or was refused, so lately that it waits for an instance where it did not
    /// and that is not limited.
    pub(crate) fn has_just_failed(&self, now: Time, task: &TaskId) -> bool {
        let last = self.charges.get(task).and_then(|charges| charges.last());
        last.is_some_and(|charge| now < charge.at + Self::RETRY_WAIT)
    }

    /// Whether a task failed, or was refused, on an instance.
    pub(crate) fn has_failed_on(&self, task: &TaskId, incarnation: &Incarnation) -> bool {
        let charges = self.charges.get(task);
        charges.is_some_and(|charges| charges.iter().any(|c| c.incarnation == *incarnation))
    }

    fn add_charge(&mut self, task: TaskId, charge: Charge) {
        let charges = self.charges.entry(task).or_default();
        if charges.len() >= Self::MAX_CHARGES {
            charges.remove(0);
        }
        charges.push(charge);
        self.jobs.entry(task.job).or_default();
    }

    /// Charges of a job.
    fn job_charges(&self, job: JobId) -> impl Iterator<Item = &Charge> {
        let first = TaskId { job, round: 0, group: 0, index: 0 };
        let of_job = self.charges.range(first..).take_while(move |(task, _)| task.job == job);
        of_job.take(Self::MAX_TASKS).flat_map(|(_, charges)| charges)
    }

    /// How much the next failure of a task counts against the instance: half as much as the last one
    /// of the same job there, and nothing if the job is at fault.
    fn charge_weight(&self, incarnation: &Incarnation, task: TaskId) -> f64 {
        if self.is_blamed(task) {
            return 0.0;
        }
        let charges = self.job_charges(task.job);
        let earlier = charges.filter(|c| c.weight > 0.0 && c.incarnation == *incarnation).count();
        0.5_f64.powi(earlier as i32)
    }

    /// Whether the failures of a task are the fault of it or of its job.
    fn is_blamed(&self, task: TaskId) -> bool {
        let charges = self.charges.get(&task).map(Vec::as_slice).unwrap_or_default();
        self.jobs.get(&task.job).is_some_and(|job| job.blamed)
            || count_instances(charges.iter()) >= Self::TASK_FAILURES
    }

    /// Takes back what a task or a job was charged if it is at fault itself.
    fn blame(&mut self, now: Time, task: TaskId) {
        let on = count_instances(self.job_charges(task.job));
        let Some(job) = self.jobs.get_mut(&task.job) else { return };
        job.blamed |= on >= Self::JOB_FAILURES && job.succeeded < on;
        let job_is_blamed = job.blamed;
        let last = TaskId { round: u32::MAX, group: u16::MAX, index: u16::MAX, ..task };
        let first = TaskId { round: 0, group: 0, index: 0, ..task };
        let at_fault = match job_is_blamed {
            true => first..=last,
            false if self.is_blamed(task) => task..=task,
            false => return,
        };
        let mut refunds = Vec::new();
        for (_, charges) in self.charges.range_mut(at_fault).take(Self::MAX_TASKS) {
            for charge in charges.iter_mut().filter(|charge| charge.weight > 0.0) {
                let weight = std::mem::take(&mut charge.weight);
                refunds.push((charge.incarnation.clone(), charge.at, weight));
            }
        }
        for (incarnation, at, weight) in refunds {
            let Some(record) = self.records.get_mut(&incarnation) else { continue };
            record.decay(now);
            let charged = weight * decay_factor(now.saturating_sub(at), Record::HALF_LIFE);
            record.failures = (record.failures - charged).max(0.0);
            self.judge(now, &incarnation);
        }
    }

    /// Counts a task that ended well and at normal speed.
    fn observe_good(&mut self, now: Time, incarnation: &Incarnation) {
        let Some(record) = self.records.get_mut(incarnation) else { return };
        record.good += 1;
        let enough = match record.health {
            Health::Healthy | Health::Ejected => return,
            Health::Suspect => Self::GOOD_TASKS,
            Health::Probing => Self::GOOD_PROBES,
        };
        if record.good < enough {
            return;
        }
        record.failures = record.failures.min(Record::RETURN_FAILURES);
        record.slowness = 0.0;
        self.set_health(now, incarnation, Health::Healthy);
    }

    /// Counts a task that failed or was slow.
    fn observe_bad(&mut self, now: Time, incarnation: &Incarnation) {
        let Some(record) = self.records.get_mut(incarnation) else { return };
        record.good = 0;
        if record.health == Health::Probing && !self.is_in_event(now, incarnation) {
            self.set_health(now, incarnation, Health::Ejected);
        }
    }

    /// Whether the rack of an instance has failed as a whole just now.
    fn is_in_event(&self, now: Time, incarnation: &Incarnation) -> bool {
        let rack = self.records.get(incarnation).and_then(|record| record.rack.as_ref());
        rack.and_then(|rack| self.racks.get(rack)).is_some_and(|rack| now < rack.event_until)
    }

    /// Changes the stage of an instance if the evidence asks for it.
    fn judge(&mut self, now: Time, incarnation: &Incarnation) {
        let in_event = self.is_in_event(now, incarnation);
        let Some(record) = self.records.get_mut(incarnation) else { return };
        record.decay(now);
        if in_event {
            record.limit_to_suspect();
        }
        let severity = record.severity();
        let health = match record.health {
            Health::Ejected if in_event => Health::Suspect,
            Health::Ejected if severity >= Record::CLEARED => return,
            Health::Probing if severity >= Record::CLEARED => return,
            Health::Healthy if severity < Record::SUSPECT => return,
            _ if severity < Record::CLEARED => Health::Healthy,
            _ if severity >= 1.0 && !in_event => Health::Ejected,
            _ => Health::Suspect,
        };
        if health != record.health {
            self.set_health(now, incarnation, health);
        }
    }

    fn set_health(&mut self, now: Time, incarnation: &Incarnation, health: Health) {
        let Some(record) = self.records.get_mut(incarnation) else { return };
        let former = std::mem::replace(&mut record.health, health);
        record.good = 0;
        if health == Health::Ejected {
            if now > record.last_ejected + Record::EJECTION_MEMORY {
                record.ejections = 0;
            }
            record.ejections += 1;
            record.last_ejected = now;
        }
        let due = match health {
            Health::Healthy => None,
            Health::Ejected => Some(now + record.backoff()),
            Health::Suspect | Health::Probing => Some(now + Self::CHECK_INTERVAL),
        };
        self.set_due(incarnation, due);
        if health == Health::Healthy {
            self.in_doubt.remove(incarnation);
        } else {
            self.in_doubt.insert(incarnation.clone());
        }
        let Some(record) = self.records.get(incarnation) else { return };
        let what = match health {
            Health::Healthy => "instance-healthy",
            Health::Suspect => "instance-suspect",
            Health::Ejected => "instance-ejected",
            Health::Probing => "instance-probing",
        };
        let doubted = self.in_doubt.len();
        let why = format!("was {former:?}: {}; {doubted} in doubt", record.evidence(now));
        self.notes.push(note(what, incarnation.to_string(), why));
        let (rack, machine) = (record.rack.clone(), record.machine.clone());
        if let Some(rack) = rack.filter(|_| former == Health::Healthy) {
            self.record_in_rack(now, &rack, &machine);
        }
    }

    fn set_due(&mut self, incarnation: &Incarnation, due: Option<Time>) {
        let Some(record) = self.records.get_mut(incarnation) else { return };
        if let Some(former) = std::mem::replace(&mut record.due, due) {
            self.due.remove(&(former, incarnation.clone()));
        }
        if let Some(due) = due {
            self.due.insert((due, incarnation.clone()));
        }
    }

    /// Records that an instance of a rack went down or came into doubt. If that is true of most of
    /// the rack, none of its instances is ejected for it.
    fn record_in_rack(&mut self, now: Time, rack: &Name, machine: &Name) {
        let Some(state) = self.racks.get_mut(rack) else { return };
        if !state.record(now, machine) {
            return;
        }
        let why = format!("{} of its instances went down or came into doubt", state.recent.len());
        self.notes.push(note("rack-failed", rack.to_string(), why));
        for machine in state.recent.keys() {
            if let Some(departure) = self.departures.get_mut(machine) {
                departure.count = 0.0;
                departure.failures = 0.0;
            }
        }
        let members: Vec<_> = state.members.values().cloned().collect();
        for member in members {
            self.judge(now, &member);
        }
    }

    /// Carries out the changes of stage that are due.
    pub(crate) fn advance(&mut self, now: Time) {
        while self.due.first().is_some_and(|(at, _)| *at <= now) {
            let Some((_, incarnation)) = self.due.pop_first() else { return };
            let Some(record) = self.records.get_mut(&incarnation) else { continue };
            record.due = None;
            match record.health {
                Health::Ejected => self.set_health(now, &incarnation, Health::Probing),
                _ => self.judge(now, &incarnation),
            }
            let record = self.records.get(&incarnation);
            if record.is_some_and(|r| r.due.is_none() && r.health != Health::Healthy) {
                self.set_due(&incarnation, Some(now + Self::CHECK_INTERVAL));
            }
        }
    }

    /// How each instance in doubt among the `usable` ones of a pool may be used.
    pub(crate) fn limits<'a>(
        &self,
        now: Time,
        usable: impl ExactSizeIterator<Item = &'a Incarnation>,
    ) -> BTreeMap<Incarnation, Limit> {
        if self.in_doubt.is_empty() {
            return BTreeMap::new();
        }
        let most = usable.len() / Self::LIMITED_DIVISOR;
        let in_doubt = usable.filter(|incarnation| self.in_doubt.contains(*incarnation));
        let mut in_doubt: Vec<_> = in_doubt
            .filter_map(|incarnation| {
                let record = self.records.get(incarnation)?;
                let is_ejected = record.health == Health::Ejected;
                Some((is_ejected, record.severity_at(now), incarnation, record.health))
            })
            .collect();
        in_doubt.sort_by(|a, b| (b.0.cmp(&a.0)).then(b.1.total_cmp(&a.1)).then(a.2.cmp(b.2)));
        let limits = in_doubt.into_iter().enumerate().map(|(rank, (_, _, incarnation, health))| {
            let limit = match health {
                _ if rank >= most => Limit::None,
                Health::Ejected => Limit::Tasks(0),
                Health::Probing => Limit::Tasks(Self::PROBES),
                Health::Healthy | Health::Suspect => Limit::Tasks(1),
            };
            (incarnation.clone(), limit)
        });
        limits.collect()
    }

    /// Drops what is known of jobs that have ended and of instances that are gone.
    pub(crate) fn forget(
        &mut self,
        now: Time,
        live: &BTreeSet<JobId>,
        is_known: impl Fn(&Incarnation) -> bool,
    ) {
        let gone: Vec<_> = self.records.keys().filter(|i| !is_known(i)).cloned().collect();
        for incarnation in gone {
            self.departed(now, &incarnation, true);
        }
        self.jobs.retain(|job, _| live.contains(job));
        self.charges.retain(|task, _| live.contains(&task.job));
        self.run_times.retain(|group_id, _| live.contains(&group_id.job));
        self.departures.retain(|_, departure| now < departure.at + Self::MAX_DEPARTURE_AGE);
        self.racks.retain(|_, rack| !rack.members.is_empty() || !rack.recent.is_empty());
        let most = 8 * self.records.len() + 64;
        while self.run_times.len() > most {
            self.run_times.pop_first();
        }
        while self.charges.len() > most {
            self.charges.pop_first();
        }
        while self.jobs.len() > most {
            self.jobs.pop_first();
        }
    }

    /// Whether an instance is ejected, also if the cap of its pool lets it get tasks.
    pub(crate) fn is_ejected(&self, incarnation: &Incarnation) -> bool {
        self.records.get(incarnation).is_some_and(|record| record.health == Health::Ejected)
    }

    /// Stage of an instance.
    #[cfg(test)]
    pub(crate) fn health(&self, incarnation: &Incarnation) -> Option<Health> {
        self.records.get(incarnation).map(|record| record.health)
    }

    /// Number of entries.
    #[cfg(test)]
    pub(crate) fn size(&self) -> usize {
        let charges = self.charges.values().map(Vec::len).sum::<usize>();
        let run_times = self.run_times.values().map(Vec::len).sum::<usize>();
        self.records.len() + self.departures.len() + self.jobs.len() + charges + run_times
    }

    /// Log entries about changes of stage since the last call.
    pub(crate) fn take_notes(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.notes)
    }
}

impl Scheduler {
    /// Whether an instance is ejected, so that its machine is of no use to another pool.
    pub(crate) fn avoids(&self, incarnation: &Incarnation) -> bool {
        self.uses(Mechanism::Avoidance) && self.outliers.is_ejected(incarnation)
    }

    /// Instances that get nothing, since they are ejected and within the cap of their pool.
    pub(crate) fn ejected(&self, now: Time) -> BTreeSet<Incarnation> {
        if !self.uses(Mechanism::Avoidance) || self.outliers.in_doubt.is_empty() {
            return BTreeSet::new();
        }
        let mut pools = BTreeMap::<&Name, Vec<&Incarnation>>::new();
        for (incarnation, instance) in &self.instances {
            let announcement = instance.announcement.as_ref().filter(|_| instance.is_sound(now));
            if let Some(announcement) = announcement {
                pools.entry(&announcement.pool).or_default().push(incarnation);
            }
        }
        let limits = pools.into_values().flat_map(|usable| {
            let limits = self.outliers.limits(now, usable.into_iter());
            limits.into_iter().filter(|(_, limit)| *limit == Limit::Tasks(0))
        });
        limits.map(|(incarnation, _)| incarnation).collect()
    }
}

/// Number of instances on which the charges happened that are evidence against the job.
fn count_instances<'a>(charges: impl Iterator<Item = &'a Charge>) -> usize {
    let against_job = charges.filter(|charge| charge.against_job);
    against_job.map(|charge| &charge.incarnation).collect::<BTreeSet<_>>().len()
}
