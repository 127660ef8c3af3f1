//! Throttles best-effort tasks before the tasks beside them miss their latency target, and
//! gradually restores their speed.

use super::*;
use scheduler::PendingCall;

impl Scheduler {
    /// Best-effort tasks are paused when latency exceeds this percentage of its target.
    const HIGH_PERCENT: u128 = 80;
    /// Best-effort tasks are sped up when latency is below this percentage of its target.
    const LOW_PERCENT: u128 = 55;
    /// Percentage points by which the speed is raised in one step.
    const STEP_PERCENT: u8 = 20;
    /// Minimum time between a change of the speed and the next step up.
    const STEP_INTERVAL: Duration = Duration::from_millis(1200);

    /// Adjusts the speed of the best-effort tasks on an instance to the latency reported there.
    pub(crate) fn throttle(
        &mut self,
        now: Time,
        table: &Table,
        incarnation: &Incarnation,
        effects: &mut Vec<Effect>,
    ) {
        let Some(instance) = self.instances.get_mut(incarnation) else { return };
        let group = |task: &TaskId| table.jobs.get(&task.job)?.group(*task);
        let mut worst = 0;
        for (task, attempt) in &instance.attempts {
            let latency_target = group(task).and_then(|group| group.latency_target);
            let Some(latency_target) = latency_target.filter(|_| attempt.stage == Stage::Running)
            else {
                continue;
            };
            let percent = u128::from(attempt.gauge) * 100 / latency_target.as_millis().max(1);
            worst = worst.max(percent);
        }
        let mut orders = Vec::new();
        for (task, attempt) in &mut instance.attempts {
            let is_best_effort = group(task).is_some_and(|group| group.best_effort);
            if !is_best_effort || attempt.stage != Stage::Running || attempt.needs_stop() {
                continue;
            }
            let percent = Self::new_speed(now, worst, attempt);
            let changes = percent != attempt.throttle;
            if changes {
                attempt.throttle = percent;
                attempt.throttle_set_at = now;
            }
            if changes || std::mem::take(&mut attempt.throttle_in_doubt) {
                orders.push((*task, attempt.number, percent));
            }
        }
        for (task, number, percent) in orders {
            let order = Order::Throttle { task, number, percent };
            self.call_instance(
                incarnation,
                PendingCall::Throttle(task, number),
                order,
                Self::ANSWER_TIMEOUT,
                effects,
            );
        }
    }

    /// New speed of a best-effort task, in percent, given the worst latency as a percentage of its
    /// target.
    fn new_speed(now: Time, worst: u128, attempt: &Attempt) -> u8 {
        if worst > Self::HIGH_PERCENT {
            return 0;
        }
        let too_soon = now < attempt.throttle_set_at + Self::STEP_INTERVAL;
        if worst >= Self::LOW_PERCENT || too_soon {
            return attempt.throttle;
        }
        (attempt.throttle + Self::STEP_PERCENT).min(100)
    }
}
