//! Events that wait for the state machine, taken by class: agreement first, new jobs last. Under
//! load, the work that keeps promises already given goes before work that would add new ones.
//!
//! A class other than agreement never waits for all of the classes before it. It gets a turn after a
//! number of their events, and every second turn once it has waited too long: a job that is to be
//! refused for its wait has to be refused while its caller still listens.

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
}

impl Class {
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
                | Message::FounderOffer
                | Message::FounderVote(_)
                | Message::Join
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
            Class::Jobs => Self::Jobs,
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
    /// Number of events of earlier classes after which an event is taken.
    const MAX_PASSED_OVER: u32 = 32;

    fn is_due(&self, now: Time) -> bool {
        let overdue =
            |(since, _): &(Time, Event)| Overload::is_too_long(now.saturating_sub(*since));
        self.passed_over >= Self::MAX_PASSED_OVER || self.events.front().is_some_and(overdue)
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
    pub(crate) fn push(&mut self, now: Time, event: Event) {
        self.queues.entry(Class::of(&event)).or_default().events.push_back((now, event));
    }

    /// Takes the next event, with the time for which it has waited.
    pub(crate) fn pop(&mut self, now: Time) -> Option<(Duration, Event)> {
        let mut waiting = self.queues.iter().filter(|(_, queue)| !queue.events.is_empty());
        let (first, _) = waiting.next()?;
        let due = waiting.find(|(_, queue)| queue.is_due(now)).map(|(class, _)| class);
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
        Some((now.saturating_sub(since), event))
    }

    /// For how long the first event of instances has waited; zero if none waits.
    pub(crate) fn lag(&self, now: Time) -> Duration {
        let first = self.queues.get(&Class::Instances).and_then(|queue| queue.events.front());
        first.map_or(Duration::ZERO, |(since, _)| now.saturating_sub(*since))
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.queues.values().all(|queue| queue.events.is_empty())
    }
}
