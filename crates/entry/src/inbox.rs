//! Events that wait for the state machine, taken by class: agreement first, new jobs last. Under
//! load, the work that keeps promises already given goes before work that would add new ones.
//!
//! A class other than agreement never waits for all of the classes before it. It gets a turn after a
//! number of their events, and every second turn once it has waited too long: a job that is to be
//! refused for its wait has to be refused while its caller still listens.
//!
//! A job that arrives while others wait for long, or that would wait for longer than its caller, is to
//! be refused, and overtakes the jobs that may still be accepted.

use super::*;

/// Class of an event; lower classes are taken first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Class {
    /// Consensus, membership, and who leads.
    Agreement,
    /// Answers and announcements of instances, and answers of the platform.
    Instances,
    /// Calls that change or read what was accepted earlier.
    Calls,
    /// Jobs that are handed in.
    Jobs,
    /// Jobs that are to be refused.
    ExcessJobs,
}

impl Class {
    /// Number of events of earlier classes after which an event is taken.
    fn max_passed_over(self) -> u32 {
        match self {
            // A refusal costs little, and its caller can try again the sooner it comes.
            Self::ExcessJobs => 8,
            _ => 32,
        }
    }

    fn of(event: &Event) -> Self {
        match event {
            Event::InstanceAnswered { .. }
            | Event::PlatformAnswered { .. }
            | Event::AdmissionAnswered { .. } => Self::Instances,
            Event::Call { call, .. } => Self::of_call(call),
            Event::Peer { message, .. } => match message {
                Message::Forward { call, .. } => Self::of_call(call),
                Message::Announced(_)
                | Message::Order { .. }
                | Message::OrderResult { .. }
                | Message::AdmissionQuery { .. }
                | Message::AdmissionAnswer { .. } => Self::Instances,
                Message::Answer { .. }
                | Message::NotLeader { .. }
                | Message::ClockUnknown { .. } => Self::Calls,
                Message::Quorum(_)
                | Message::Founding(_)
                | Message::Join
                | Message::Leaving { .. }
                | Message::Ping { .. }
                | Message::Pong { .. } => Self::Agreement,
            },
            Event::Start
            | Event::Timer(_)
            | Event::Synced { .. }
            | Event::DiskLost
            | Event::DiskOpened { .. }
            | Event::SeedsChanged(_)
            | Event::Stop => Self::Agreement,
        }
    }

    fn of_call(call: &Call) -> Self {
        match call {
            Call::Announce(_) | Call::Leave { .. } => Self::Instances,
            Call::Submit { .. } => Self::Jobs,
            _ => Self::Calls,
        }
    }
}

impl From<&Event> for Activity {
    fn from(event: &Event) -> Self {
        match Class::of(event) {
            _ if matches!(event, Event::Timer(Timer::Tick)) => Self::Checks,
            Class::Agreement => Self::Agreement,
            Class::Instances => Self::Instances,
            Class::Calls => Self::Calls,
            Class::Jobs | Class::ExcessJobs => Self::Jobs,
        }
    }
}

/// Events of one class.
#[derive(Debug, Default)]
struct Queue {
    events: VecDeque<(Time, Event)>,
    /// Number of events of earlier classes that were taken since the last of this one, while one
    /// waited.
    passed_over: u32,
}

impl Queue {
    fn is_due(&self, class: Class, now: Time) -> bool {
        let overdue = class != Class::ExcessJobs && Overload::is_too_long(self.first_wait(now));
        overdue || self.passed_over >= class.max_passed_over()
    }

    /// For how long the first event has waited; zero if none waits.
    fn first_wait(&self, now: Time) -> Duration {
        let first = self.events.front();
        first.map_or(Duration::ZERO, |(since, _)| now.saturating_sub(*since))
    }
}

/// Queues of events, by class.
#[derive(Debug, Default)]
pub(crate) struct Inbox {
    queues: BTreeMap<Class, Queue>,
    /// Whether the last event was one of the first class that waited, other than agreement; the next
    /// may then be of a later class.
    in_order: bool,
}

impl Inbox {
    /// A job is refused if an earlier one has waited for this long when it arrives.
    const MAX_JOB_WAIT: Duration = Duration::from_millis(150);

    pub(crate) fn push(&mut self, now: Time, event: Event) {
        let class = match Class::of(&event) {
            Class::Jobs if self.is_excess(now, &event) => Class::ExcessJobs,
            class => class,
        };
        self.queues.entry(class).or_default().events.push_back((now, event));
    }

    /// Whether a job that arrives now is to be refused.
    fn is_excess(&self, now: Time, event: &Event) -> bool {
        let wait = self.first_wait(Class::Jobs, now);
        let deadline = match event {
            Event::Peer { message: Message::Forward { deadline, .. }, .. } => *deadline,
            _ => None,
        };
        wait > Self::MAX_JOB_WAIT
            || Overload::is_behind(self.lag(now))
            || deadline.is_some_and(|deadline| now + wait >= deadline.at)
    }

    /// For how long the first event of a class has waited; zero if none waits.
    fn first_wait(&self, class: Class, now: Time) -> Duration {
        self.queues.get(&class).map_or(Duration::ZERO, |queue| queue.first_wait(now))
    }

    /// Takes the next event, with the time for which it has waited. A job to be refused counts as one
    /// that has waited too long.
    pub(crate) fn pop(&mut self, now: Time) -> Option<(Duration, Event)> {
        let mut waiting = self.queues.iter().filter(|(_, queue)| !queue.events.is_empty());
        let (first, _) = waiting.next()?;
        let due = waiting.find(|(class, queue)| queue.is_due(**class, now)).map(|(class, _)| class);
        let may_precede = *first != Class::Agreement && self.in_order;
        let due = due.filter(|_| may_precede);
        let class = *due.unwrap_or(first);
        self.in_order = due.is_none() && class != Class::Agreement;
        for (_, queue) in self.queues.range_mut(class..).skip(1) {
            queue.passed_over += u32::from(!queue.events.is_empty());
        }
        let queue = self.queues.get_mut(&class)?;
        queue.passed_over = 0;
        let (since, event) = queue.events.pop_front()?;
        let waited = now.saturating_sub(since);
        let is_excess = class == Class::ExcessJobs;
        Some((if is_excess { waited + Overload::TOO_LONG } else { waited }, event))
    }

    /// For how long the first event of instances has waited; zero if none waits.
    pub(crate) fn lag(&self, now: Time) -> Duration {
        self.first_wait(Class::Instances, now)
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.queues.values().all(|queue| queue.events.is_empty())
    }
}
