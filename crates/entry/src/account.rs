//! Where the time of the main thread goes, by activity. Times are elapsed times, so that they include
//! those in which the process had something to do but no processor; what keeps the thread busy and
//! is no activity of the main loop is spent on connections: HTTP, QUIC and the runtime.

use super::*;

/// What the main loop spends time on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Activity {
    /// Consensus and membership.
    Agreement,
    /// Beginning or ending a term as leader.
    Takeover,
    /// Snapshots of the replicated state.
    Snapshots,
    /// Answers and announcements of instances.
    Instances,
    /// Planning passes, with the event that caused each.
    Planning,
    /// Calls about what was accepted earlier.
    Calls,
    /// Jobs that are handed in.
    Jobs,
    /// Checks that are due by time: renewals, waves, moves of machines.
    Checks,
    /// Decoding of messages.
    Decoding,
    /// Encoding of messages.
    Encoding,
}

impl Activity {
    /// Name in metrics and log lines.
    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::Agreement => "agreement",
            Self::Takeover => "takeover",
            Self::Snapshots => "snapshots",
            Self::Instances => "instances",
            Self::Planning => "planning",
            Self::Calls => "calls",
            Self::Jobs => "jobs",
            Self::Checks => "checks",
            Self::Decoding => "decoding",
            Self::Encoding => "encoding",
        }
    }
}

/// Time spent on an activity.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct Spent {
    total: Duration,
    /// Longest step.
    longest: Duration,
    steps: u32,
    /// Longest time that an event waited for its turn.
    longest_wait: Duration,
}

/// Time by activity since the last report.
#[derive(Debug, Default)]
pub(crate) struct Account {
    spent: BTreeMap<Activity, Spent>,
    /// When the current step began.
    step_began: Time,
    began: Time,
    /// Time for which the thread had been busy when the last report was made.
    busy: Duration,
}

impl Account {
    const REPORT_INTERVAL: Duration = Duration::from_secs(5);

    /// Begins a step.
    pub(crate) fn begin(&mut self, now: Time) {
        self.step_began = now;
    }

    /// Charges the time since the last step to an activity, and begins the next step.
    pub(crate) fn charge(&mut self, now: Time, activity: Activity) {
        let took = now.saturating_sub(self.step_began);
        self.step_began = now;
        let spent = self.spent.entry(activity).or_default();
        spent.total += took;
        spent.longest = spent.longest.max(took);
        spent.steps += 1;
    }

    /// Records for how long an event waited for its turn.
    pub(crate) fn record_wait(&mut self, activity: Activity, waited: Duration) {
        let spent = self.spent.entry(activity).or_default();
        spent.longest_wait = spent.longest_wait.max(waited);
    }

    pub(crate) fn report_is_due(&self, now: Time) -> bool {
        now >= self.began + Self::REPORT_INTERVAL
    }

    /// The time spent since the last report. `busy` is the total time for which the thread has been
    /// busy.
    pub(crate) fn report(&mut self, now: Time, busy: Duration) -> Report {
        let report = Report {
            elapsed: now.saturating_sub(self.began),
            busy: busy.saturating_sub(self.busy),
            spent: std::mem::take(&mut self.spent),
        };
        self.began = now;
        self.busy = busy;
        report
    }
}

/// Time by activity in an interval.
#[derive(Debug)]
pub(crate) struct Report {
    elapsed: Duration,
    busy: Duration,
    spent: BTreeMap<Activity, Spent>,
}

impl Report {
    /// Time by the names of activities, with that spent on connections.
    pub(crate) fn parts(&self) -> impl Iterator<Item = (&'static str, Duration)> {
        let spent = self.spent.iter().map(|(activity, spent)| (activity.name(), spent.total));
        let accounted = self.spent.values().map(|spent| spent.total).sum();
        spent.chain([("connections", self.busy.saturating_sub(accounted))])
    }
}

impl std::fmt::Display for Report {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        let Self { elapsed, busy, spent } = self;
        write!(f, "busy {} of {} ms", busy.as_millis(), elapsed.as_millis())?;
        for (part, total) in self.parts() {
            write!(f, ", {part} {} ms", total.as_millis())?;
            let of_part = spent.iter().find(|(activity, _)| activity.name() == part);
            if let Some((_, Spent { longest, steps, longest_wait, .. })) = of_part {
                write!(f, " in {steps}, longest {}", longest.as_millis())?;
                write!(f, ", wait {}", longest_wait.as_millis())?;
            }
        }
        Ok(())
    }
}
