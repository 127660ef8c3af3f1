//! Messages that wait to be sent. Those to one daemon share a frame, since each frame costs both
//! sides about as much processor time as handling its message. Messages that come in numbers and are
//! not urgent are held for a moment, so that more of them share a frame.

use super::*;

/// Messages by receiver.
#[derive(Debug, Default)]
pub(crate) struct Outbox {
    bundles: BTreeMap<Name, Bundle>,
    /// When the first bundle is due.
    next_due: Option<Time>,
}

#[derive(Debug)]
struct Bundle {
    due: Time,
    messages: Vec<Message>,
}

impl Outbox {
    /// How long orders to instances and their results are held.
    const ORDER_HOLD: Duration = Duration::from_millis(8);
    /// The same for results that only confirm an order: the task runs, and nothing waits for them.
    const CONFIRMATION_HOLD: Duration = Duration::from_millis(40);
    /// How long announcements of instances are held on their way to the leader; the instance waits
    /// for the answer, but does nothing else meanwhile.
    const ANNOUNCEMENT_HOLD: Duration = Duration::from_millis(60);
    /// How long announcements are held on their way from the leader to the other members.
    const COPY_HOLD: Duration = Duration::from_millis(400);
    /// Number of messages that is not held any longer.
    const MAX_HELD: usize = 256;

    fn hold(message: &Message) -> Duration {
        match message {
            Message::OrderResult { result: Ok(job::Reply::Done { .. }), .. } => {
                Self::CONFIRMATION_HOLD
            }
            Message::Order { .. } | Message::OrderResult { .. } => Self::ORDER_HOLD,
            Message::Forward { call: Call::Announce(_), .. } => Self::ANNOUNCEMENT_HOLD,
            Message::Announced(_) => Self::COPY_HOLD,
            _ => Duration::ZERO,
        }
    }

    pub(crate) fn push(&mut self, now: Time, to: &Name, message: Message) {
        let due = now + Self::hold(&message);
        let bundle = match self.bundles.get_mut(to) {
            Some(bundle) => bundle,
            None => self
                .bundles
                .entry(to.clone())
                .or_insert(Bundle { due, messages: Vec::with_capacity(1) }),
        };
        bundle.messages.push(message);
        let full = bundle.messages.len() >= Self::MAX_HELD;
        bundle.due = if full { now } else { bundle.due.min(due) };
        self.next_due = Some(self.next_due.map_or(bundle.due, |next| next.min(bundle.due)));
    }

    /// When the first bundle is due.
    pub(crate) fn next_due(&self) -> Option<Time> {
        self.next_due
    }

    /// Takes the bundles that are due.
    pub(crate) fn take_due(&mut self, now: Time) -> Vec<(Name, Vec<Message>)> {
        if self.next_due.is_none_or(|due| due > now) {
            return Vec::new();
        }
        let due = self.bundles.extract_if(.., |_, bundle| bundle.due <= now);
        let due = due.map(|(to, bundle)| (to, bundle.messages)).collect();
        self.next_due = self.bundles.values().map(|bundle| bundle.due).min();
        due
    }
}
