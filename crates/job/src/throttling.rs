//! Fillers are throttled before the tasks beside them miss their latency target, and get their speed
//! back slowly.

use super::*;
use scheduler::Pending;

impl Scheduler {
    /// Share of the target, in percent, above which fillers are held down.
    const HIGH_PERCENT: u32 = 80;
    /// Share of the target, in percent, below which fillers get some speed back.
    const LOW_PERCENT: u32 = 55;
    /// Step in which fillers get their speed back.
    const STEP_PERCENT: u8 = 20;
    /// Between two steps up.
    const STEP_INTERVAL: Duration = Duration::from_millis(1200);

    /// Looks at the latency on an instance, and throttles its fillers to suit.
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
            worst = worst.max(attempt.gauge * 100 / (latency_target.as_millis() as u32).max(1));
        }
        let mut orders = Vec::new();
        for (task, attempt) in &mut instance.attempts {
            let fills = group(task).is_some_and(|group| group.best_effort);
            if !fills || attempt.stage != Stage::Running || attempt.stop {
                continue;
            }
            let percent = Self::share(now, worst, attempt);
            if percent != attempt.throttle {
                attempt.throttle = percent;
                attempt.throttled = now;
                orders.push((*task, attempt.number, percent));
            }
        }
        for (task, number, percent) in orders {
            let order = Order::Throttle { task, number, percent };
            self.call(incarnation, Pending::Throttle, order, Self::ANSWER, effects);
        }
    }

    /// Share at which a filler may work where the worst latency is at `worst` percent of its target.
    fn share(now: Time, worst: u32, attempt: &Attempt) -> u8 {
        if worst > Self::HIGH_PERCENT {
            return 0;
        }
        let rests = now < attempt.throttled + Self::STEP_INTERVAL;
        if worst >= Self::LOW_PERCENT || rests {
            return attempt.throttle;
        }
        (attempt.throttle + Self::STEP_PERCENT).min(100)
    }
}
