//! Events that wait for the state machine, taken by class: agreement first, new jobs last. Under
//! load, the work that keeps promises already given goes before work that would add new ones.

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

/// Queues of events, by class.
#[derive(Debug, Default)]
pub(crate) struct Inbox {
    queues: BTreeMap<Class, VecDeque<(Time, Event)>>,
}

impl Inbox {
    pub(crate) fn push(&mut self, now: Time, event: Event) {
        self.queues.entry(Class::of(&event)).or_default().push_back((now, event));
    }

    /// Takes the next event, with the time for which it has waited.
    pub(crate) fn pop(&mut self, now: Time) -> Option<(Duration, Event)> {
        let (since, event) = self.queues.values_mut().find_map(VecDeque::pop_front)?;
        Some((now.saturating_sub(since), event))
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.queues.values().all(VecDeque::is_empty)
    }
}
