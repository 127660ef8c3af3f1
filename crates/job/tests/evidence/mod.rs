//! Tests of [`Outliers`] without a scheduler.

use super::*;
use outliers::Health;

const EXPECTED: Duration = Duration::from_secs(1);

/// A pool at a time that the tests advance.
struct Pool {
    outliers: Outliers,
    now: Time,
    incarnations: Vec<Incarnation>,
    jobs: JobId,
}

/// Announcement of an instance in a rack of eight.
fn announcement(i: usize, born: UnixMs) -> Announcement {
    Announcement {
        incarnation: Incarnation { name: format!("i{i:03}").into(), born },
        machine: format!("m{i:03}").into(),
        pool: "a".into(),
        address: "10.0.0.1:80".into(),
        data_center: "dc".into(),
        capacity: Resources { millicores: 32_000, memory_mb: 128_000, accelerators: 0 },
        labels: vec!["kind".into(), format!("r{}", i / 8).into()].into(),
        condition: Condition::Ready,
        clock: 0,
        sequence: 0,
    }
}

impl Pool {
    fn new(instances: usize) -> Self {
        Self::with(instances, |i| announcement(i, 1))
    }

    /// A pool in which each instance has a rack of its own.
    fn in_own_racks(instances: usize) -> Self {
        Self::with(instances, |i| {
            let labels = vec!["kind".into(), format!("r{i}").into()].into();
            Announcement { labels, ..announcement(i, 1) }
        })
    }

    fn with(instances: usize, announcement: impl Fn(usize) -> Announcement) -> Self {
        let now = Duration::from_secs(100);
        let mut outliers = Outliers::default();
        let announcements: Vec<_> = (0..instances).map(announcement).collect();
        announcements.iter().for_each(|announcement| outliers.joined(now, announcement));
        let incarnations = announcements.into_iter().map(|a| a.incarnation).collect();
        Self { outliers, now, incarnations, jobs: 0 }
    }

    fn wait(&mut self, ms: u64) {
        self.now += Duration::from_millis(ms);
        self.outliers.advance(self.now);
    }

    /// A task of a job that no other one belongs to.
    fn new_task(&mut self) -> TaskId {
        self.jobs += 1;
        TaskId { job: self.jobs, round: 0, group: 0, index: 0 }
    }

    fn fail(&mut self, i: usize) {
        let task = self.new_task();
        self.fail_task(i, task);
    }

    fn fail_task(&mut self, i: usize, task: TaskId) {
        self.outliers.failed(self.now, &self.incarnations[i], task);
    }

    fn succeed(&mut self, i: usize) {
        let task = self.new_task();
        self.outliers.succeeded(self.now, &self.incarnations[i], task, None);
    }

    /// A task of a group on an instance that took `percent` of the normal time.
    fn run_task(&mut self, i: usize, task: TaskId, percent: u32) {
        let run = Run { took: EXPECTED * percent / 100, expected: EXPECTED, counted: 0.0 };
        self.outliers.succeeded(self.now, &self.incarnations[i], task, Some(run));
    }

    /// Tasks of one group, on sound instances 1 to 3 and on instance 0.
    fn run_group(&mut self, percent: u32) {
        let task = self.new_task();
        for i in 1..4 {
            self.run_task(i, TaskId { index: i as u16, ..task }, 100);
        }
        self.run_task(0, task, percent);
    }

    fn limits(&self) -> BTreeMap<Incarnation, Limit> {
        self.outliers.limits(self.now, self.incarnations.iter())
    }

    fn limit(&self, i: usize) -> Option<Limit> {
        self.limits().get(&self.incarnations[i]).copied()
    }

    /// Replaces the instance of a machine by a later one.
    fn restart(&mut self, i: usize, expected: bool) {
        self.outliers.departed(self.now, &self.incarnations[i], expected);
        let later = announcement(i, self.incarnations[i].born + 1);
        self.outliers.joined(self.now, &later);
        self.incarnations[i] = later.incarnation;
    }

    fn health(&self, i: usize) -> Option<Health> {
        self.outliers.health(&self.incarnations[i])
    }
}

const EJECTED: Option<Limit> = Some(Limit::Tasks(0));
const SUSPECT: Option<Limit> = Some(Limit::Tasks(1));
const PROBING: Option<Limit> = Some(Limit::Tasks(2));

/// A long sound past must not hide the first failures of an instance.
#[test]
fn three_failures_eject_an_instance_after_any_past() {
    for successes in [0, 1000] {
        let mut pool = Pool::new(8);
        (0..successes).for_each(|_| pool.succeed(0));
        pool.fail(0);
        assert_eq!(pool.limit(0), None);
        pool.fail(0);
        assert_eq!(pool.limit(0), SUSPECT);
        pool.fail(0);
        assert_eq!(pool.limit(0), EJECTED);
        assert_eq!(pool.limits().len(), 1, "only one instance failed");
    }
}

/// Instances that fail now and then must not be taken for broken ones.
#[test]
fn rare_failures_are_normal() {
    let mut pool = Pool::new(8);
    for i in 0..600 {
        pool.wait(100);
        if i % 20 == 0 {
            pool.fail(0)
        } else {
            pool.succeed(0)
        }
        assert_eq!(pool.limit(0), None, "after {i} tasks, one in twenty failed");
    }
}

/// An instance that fails 45% of its tasks must be found within seconds, though it succeeds more
/// often than it fails.
#[test]
fn an_instance_that_fails_almost_half_comes_into_doubt() {
    let mut pool = Pool::new(8);
    (0..40).for_each(|_| pool.succeed(0));
    for i in 0..9 {
        pool.wait(250);
        if i % 20 * 45 % 100 < 45 { pool.fail(0) } else { pool.succeed(0) }
    }
    assert!(pool.limit(0).is_some());
}

/// An ejected instance must get work again once it is sound, and not be ejected for good.
#[test]
fn an_instance_returns_after_probes() {
    let mut pool = Pool::new(8);
    (0..4).for_each(|_| pool.fail(0));
    assert_eq!(pool.limit(0), EJECTED);
    pool.wait(900);
    assert_eq!(pool.limit(0), EJECTED);
    pool.wait(200);
    assert_eq!(pool.limit(0), PROBING);
    pool.succeed(0);
    assert_eq!(pool.limit(0), PROBING);
    pool.succeed(0);
    assert_eq!(pool.limit(0), None);
}

/// A broken instance must not get probes at a constant rate.
#[test]
fn the_backoff_doubles_while_probes_fail() {
    let mut pool = Pool::new(8);
    (0..4).for_each(|_| pool.fail(0));
    for backoff_ms in [1000, 2000, 4000, 8000, 8000] {
        pool.wait(backoff_ms - 100);
        assert_eq!(pool.limit(0), EJECTED, "{backoff_ms} ms");
        pool.wait(200);
        assert_eq!(pool.limit(0), PROBING, "{backoff_ms} ms");
        pool.fail(0);
        assert_eq!(pool.limit(0), EJECTED, "{backoff_ms} ms");
    }
}

/// An instance that gets no work in doubt must not stay there for ever.
#[test]
fn evidence_decays_without_tasks() {
    let mut pool = Pool::new(8);
    pool.fail(0);
    pool.fail(0);
    assert_eq!(pool.limit(0), SUSPECT);
    (0..12).for_each(|_| pool.wait(1000));
    assert_eq!(pool.limit(0), None);
}

/// Slowness must be found by comparison with peers, whatever was declared.
#[test]
fn slow_tasks_eject_an_instance() {
    let mut pool = Pool::new(8);
    (0..10).for_each(|_| pool.run_group(100));
    pool.run_group(500);
    assert_eq!(pool.limit(0), SUSPECT);
    pool.run_group(500);
    assert_eq!(pool.limit(0), EJECTED);
    assert_eq!(pool.limits().len(), 1, "the peers are not slow");
}

/// A slow instance must be found before its first task has ended.
#[test]
fn slow_progress_is_noticed_while_the_task_runs() {
    let mut pool = Pool::new(8);
    let task = pool.new_task();
    for i in 1..4 {
        pool.run_task(i, TaskId { index: i as u16, ..task }, 100);
    }
    let at = |percent_of_time: u32, counted| Run {
        took: EXPECTED * percent_of_time / 100,
        expected: EXPECTED,
        counted,
    };
    let incarnation = pool.incarnations[0].clone();
    let mut progress = |run, percent| {
        let group_id = task.group_id();
        pool.outliers.progressed(pool.now, &incarnation, group_id, run, percent)
    };
    assert_eq!(progress(at(40, 0.0), 8), 0.0, "too early");
    assert_eq!(progress(at(60, 0.0), 55), 0.0, "at normal speed");
    assert_eq!(progress(at(60, 0.0), 12), 1.0);
    assert_eq!(progress(at(80, 1.0), 16), 1.0, "counted once");
    assert_eq!(pool.limit(0), SUSPECT);
}

/// Declared times are wrong by a factor of up to 1.9, which must not bring an instance into doubt.
#[test]
fn wrong_estimates_are_not_slowness() {
    let mut pool = Pool::new(8);
    for i in 0..100 {
        pool.wait(300);
        let task = pool.new_task();
        pool.run_task(0, task, [190, 53, 100, 190][i % 4]);
        assert_eq!(pool.limit(0), None, "after {i} groups");
    }
}

/// The tasks of one group on one instance share one estimate, which must not count for each.
#[test]
fn one_wrong_estimate_counts_once() {
    let mut pool = Pool::new(8);
    let task = pool.new_task();
    for index in 0..24 {
        pool.run_task(0, TaskId { index, ..task }, 600);
    }
    assert_eq!(pool.limit(0), None);
}

/// A job whose tasks fail everywhere must not bring the instances into doubt where it ran.
#[test]
fn a_job_that_fails_everywhere_is_at_fault_itself() {
    let mut pool = Pool::new(16);
    for _ in 0..5 {
        let task = pool.new_task();
        for i in 0..16 {
            pool.fail_task(i, TaskId { index: i as u16, ..task });
        }
    }
    assert_eq!(pool.limits(), BTreeMap::new());
}

/// A single task that fails wherever it runs must not count against the instances, though the rest of
/// its job succeeds.
#[test]
fn a_task_that_fails_everywhere_is_at_fault_itself() {
    let mut pool = Pool::new(8);
    for _ in 0..5 {
        let task = pool.new_task();
        for i in 0..4 {
            pool.fail_task(i, task);
            let sibling = TaskId { index: 1, ..task };
            pool.outliers.succeeded(pool.now, &pool.incarnations[i], sibling, None);
        }
    }
    assert_eq!(pool.limits(), BTreeMap::new());
}

/// A job that runs on one instance only must not get it ejected.
#[test]
fn one_job_alone_ejects_no_instance() {
    let mut pool = Pool::new(8);
    let task = pool.new_task();
    for index in 0..50 {
        pool.fail_task(0, TaskId { index, ..task });
    }
    assert_ne!(pool.limit(0), EJECTED);
}

/// Jobs that fail on broken instances and succeed elsewhere must not hide these instances.
#[test]
fn a_job_that_succeeds_elsewhere_is_not_at_fault() {
    let mut pool = Pool::new(40);
    for _ in 0..4 {
        let task = pool.new_task();
        pool.fail_task(0, task);
        for i in 1..30 {
            let sibling = TaskId { index: i as u16, ..task };
            pool.outliers.succeeded(pool.now, &pool.incarnations[i], sibling, None);
        }
        pool.fail_task(10, TaskId { index: 40, ..task });
        pool.fail_task(20, TaskId { index: 41, ..task });
    }
    for i in [0, 10, 20] {
        assert!(pool.limit(i).is_some(), "instance {i}");
    }
}

/// A failed retry must be told apart from a first try.
#[test]
fn failed_attempts_are_known_by_instance() {
    let mut pool = Pool::new(8);
    let task = pool.new_task();
    pool.fail_task(3, task);
    assert!(pool.outliers.has_failed_on(&task, &pool.incarnations[3]));
    assert!(!pool.outliers.has_failed_on(&task, &pool.incarnations[4]));
    assert!(pool.outliers.has_just_failed(pool.now, &task));
    pool.wait(2100);
    assert!(!pool.outliers.has_just_failed(pool.now, &task));
    pool.outliers.forget(pool.now, &BTreeSet::new(), |_| true);
    assert!(!pool.outliers.has_failed(&task), "the job has ended");
}

/// A task on a slow instance must be started anew once, if that ends it sooner; never on an instance
/// that is not in doubt, and never for a wrong estimate alone.
#[test]
fn a_slow_task_is_restarted_once() {
    let mut pool = Pool::new(8);
    let slow = Run { took: EXPECTED, expected: EXPECTED, counted: 1.0 };
    let task = pool.new_task();
    let incarnation = pool.incarnations[0].clone();
    let should =
        |pool: &Pool, percent| pool.outliers.should_restart(&incarnation, &task, slow, percent);
    pool.fail(0);
    pool.fail(0);
    assert_eq!(pool.limit(0), SUSPECT);
    assert!(!should(&pool, 20), "no peer has ended");
    pool.run_task(1, TaskId { index: 1, ..task }, 100);
    assert!(should(&pool, 20));
    assert!(!should(&pool, 40), "the rest takes less than twice the time of its peers");
    assert!(!should(&pool, 0), "no progress is known");
    let sound = pool.incarnations[2].clone();
    assert!(!pool.outliers.should_restart(&sound, &task, slow, 20), "not in doubt");
    pool.outliers.restarted(pool.now, &incarnation, task);
    assert!(!should(&pool, 20), "restarted before");
}

/// An instance that goes down and up must get little work, though no incarnation lives long enough
/// to fail.
#[test]
fn an_instance_that_goes_down_and_up_is_ejected() {
    let mut pool = Pool::new(8);
    let mut limits = Vec::new();
    for _ in 0..5 {
        pool.wait(1400);
        pool.restart(0, false);
        limits.push(pool.limit(0));
    }
    assert_eq!(limits[..2], [None, SUSPECT]);
    assert_eq!(limits[2..], [EJECTED; 3]);
}

/// Moves and maintenance must not count as failures of the machine.
#[test]
fn ordered_departures_are_no_evidence() {
    let mut pool = Pool::new(8);
    for _ in 0..10 {
        pool.wait(1400);
        pool.restart(0, true);
        assert_eq!(pool.limit(0), None);
    }
}

/// A broken machine must not be trusted fully because its process restarted, nor for ever be doubted.
#[test]
fn a_new_incarnation_starts_with_a_part_of_the_evidence() {
    let mut pool = Pool::new(8);
    (0..4).for_each(|_| pool.fail(0));
    pool.restart(0, true);
    assert_eq!(pool.limit(0), SUSPECT);
    pool.outliers.departed(pool.now, &pool.incarnations[0], true);
    pool.wait(10_000);
    let later = announcement(0, 9);
    pool.outliers.joined(pool.now, &later);
    pool.incarnations[0] = later.incarnation;
    assert_eq!(pool.limit(0), None, "away for long");
}

/// A rack that fails as a whole, as by its switch, must not have its instances ejected after it.
#[test]
fn a_rack_that_fails_as_a_whole_ejects_no_instance() {
    let mut pool = Pool::new(64);
    for _ in 0..4 {
        (0..8).for_each(|i| pool.fail(i));
        pool.wait(100);
    }
    assert!((0..8).all(|i| pool.health(i) == Some(Health::Suspect)), "{:?}", pool.limits());
    let mut pool = Pool::new(64);
    for _ in 0..4 {
        pool.wait(1400);
        (0..8).for_each(|i| pool.restart(i, false));
    }
    assert!((0..8).all(|i| pool.health(i) != Some(Health::Ejected)));
}

/// Half a rack that fails is several bad instances, and must be ejected.
#[test]
fn half_a_rack_that_fails_is_ejected() {
    let mut pool = Pool::new(64);
    for _ in 0..4 {
        (0..4).for_each(|i| pool.fail(i));
        pool.wait(100);
    }
    assert!((0..4).all(|i| pool.limit(i) == EJECTED), "{:?}", pool.limits());
}

/// Whatever the evidence, three quarters of the usable instances must stay in full use, and the worst
/// ones must be the ones that are limited.
#[test]
fn at_most_a_quarter_is_limited_the_worst_first() {
    for instances in [1, 3, 4, 7, 40] {
        let mut pool = Pool::in_own_racks(instances);
        for i in 0..instances {
            pool.fail(i);
            pool.fail(i);
        }
        let last = instances - 1;
        pool.fail(last);
        pool.fail(last);
        let limits = pool.limits();
        let limited = limits.values().filter(|limit| **limit != Limit::None).count();
        assert_eq!(limited, instances / 4, "of {instances}");
        if limited > 0 {
            assert_ne!(pool.limit(last), Some(Limit::None), "of {instances}");
        }
    }
}

/// The instances that are unusable anyway must not raise the cap.
#[test]
fn the_cap_counts_usable_instances() {
    let mut pool = Pool::in_own_racks(40);
    for i in 0..40 {
        (0..4).for_each(|_| pool.fail(i));
    }
    let usable = &pool.incarnations[..8];
    let limits = pool.outliers.limits(pool.now, usable.iter());
    assert_eq!(limits.values().filter(|limit| **limit != Limit::None).count(), 2);
}

/// Refusals are weak evidence: several are needed, and an instance that refuses everything is found.
#[test]
fn refusals_are_weak_evidence() {
    let mut pool = Pool::new(8);
    let refuse = |pool: &mut Pool| {
        pool.wait(300);
        let task = pool.new_task();
        pool.outliers.refused(pool.now, &pool.incarnations[0], Some(task));
    };
    (0..2).for_each(|_| refuse(&mut pool));
    assert_eq!(pool.limit(0), None);
    (0..12).for_each(|_| refuse(&mut pool));
    assert_eq!(pool.limit(0), EJECTED);
}

/// State must not grow with the number of jobs.
#[test]
fn state_is_bounded_by_the_instances() {
    let mut pool = Pool::new(40);
    let mut live = BTreeSet::new();
    for i in 0..10_000 {
        let task = pool.new_task();
        live.insert(task.job);
        pool.run_task(i % 40, task, 100);
        pool.fail_task(i % 40, TaskId { index: 1, ..task });
        if i % 100 == 0 {
            pool.outliers.forget(pool.now, &live, |_| true);
        }
    }
    pool.outliers.forget(pool.now, &live, |_| true);
    assert!(pool.outliers.size() <= 40 * 40, "{}", pool.outliers.size());
}

/// Every change of stage must be logged with its evidence.
#[test]
fn changes_of_stage_are_logged() {
    let mut pool = Pool::new(8);
    (0..3).for_each(|_| pool.fail(0));
    pool.wait(1000);
    pool.succeed(0);
    pool.succeed(0);
    let notes = pool.outliers.take_notes();
    let whats: Vec<_> = notes
        .iter()
        .map(|effect| match effect {
            Effect::Note(note) => note.what,
            effect => panic!("{effect:?}"),
        })
        .collect();
    assert_eq!(
        whats,
        ["instance-suspect", "instance-ejected", "instance-probing", "instance-healthy"]
    );
    let Effect::Note(ejected) = &notes[1] else { panic!("a note") };
    assert_eq!(ejected.about, "i000/1");
    assert_eq!(
        ejected.why,
        "was Suspect: 3.0 failed and 0.0 ended well lately, score 3.0; 1.0 times the run time of its \
         peers, score 0.0; up for 0.0 s; 1 in doubt"
    );
}
