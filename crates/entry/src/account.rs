//! Processor time by activity. Reading the clock of a thread costs a system call, so only some of the
//! events are measured and count for the others. What is left of the time of the process is spent on
//! connections: HTTP, QUIC and the runtime.

use super::*;

/// What the main loop spends processor time on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Activity {
    /// Consensus and membership.
    Agreement,
    /// Answers and announcements of instances, with the planning that they cause.
    Instances,
    /// Calls about what was accepted earlier.
    Calls,
    /// Jobs that are handed in.
    Jobs,
    /// Checks that are due by time: renewals, waves, moves of machines, planning.
    Checks,
    /// Encoding of messages.
    Encoding,
}

impl Activity {
    /// Name in metrics and log lines.
    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::Agreement => "agreement",
            Self::Instances => "instances",
            Self::Calls => "calls",
            Self::Jobs => "jobs",
            Self::Checks => "checks",
            Self::Encoding => "encoding",
        }
    }
}

/// Processor time by activity since the last report.
#[derive(Debug, Default)]
pub(crate) struct Account {
    spent: BTreeMap<Activity, Duration>,
    events: u32,
    process_at_report: Duration,
    next_report: Time,
}

impl Account {
    /// One of this many events is measured.
    const SAMPLING: u32 = 16;
    const REPORT_INTERVAL: Duration = Duration::from_secs(5);

    /// Starts to measure, if it is the turn of this event.
    pub(crate) fn start(&mut self) -> Option<Duration> {
        self.events = self.events.wrapping_add(1);
        self.events.is_multiple_of(Self::SAMPLING).then(thread_time)
    }

    /// Ends the measurement of an event, and returns the time that it stands for.
    pub(crate) fn stop(
        &mut self,
        activity: Activity,
        started: Option<Duration>,
    ) -> Option<Duration> {
        let spent = thread_time().saturating_sub(started?) * Self::SAMPLING;
        *self.spent.entry(activity).or_default() += spent;
        Some(spent)
    }

    /// The time spent since the last report, if a report is due.
    pub(crate) fn report(&mut self, now: Time) -> Option<String> {
        if now < self.next_report {
            return None;
        }
        let first = self.next_report.is_zero();
        self.next_report = now + Self::REPORT_INTERVAL;
        let process = process_time();
        let total = process.saturating_sub(self.process_at_report);
        self.process_at_report = process;
        let spent = std::mem::take(&mut self.spent);
        let part = |(activity, spent): (&Activity, &Duration)| {
            format!("{} {} ms, ", activity.name(), spent.as_millis())
        };
        let parts: String = spent.iter().map(part).collect();
        (!first).then(|| format!("{parts}process {} ms in 5 s", total.as_millis()))
    }
}

fn thread_time() -> Duration {
    time(rustix::time::ClockId::ThreadCPUTime)
}

/// Processor time of the process since its start.
pub(crate) fn process_time() -> Duration {
    time(rustix::time::ClockId::ProcessCPUTime)
}

fn time(clock: rustix::time::ClockId) -> Duration {
    let time = rustix::time::clock_gettime(clock);
    Duration::new(time.tv_sec as u64, time.tv_nsec as u32)
}
