//! Messages that wait to be sent. Those to one daemon share a frame, since each frame costs both
//! sides about as much processor time as handling its message. Messages that come in numbers and are
//! not urgent are held for a moment, so that more of them share a frame.

use {super::*, wire::Class};

/// Messages by receiver.
#[derive(Debug, Default)]
pub(crate) struct Outbox {
    bundles: BTreeMap<Name, Bundle>,
    /// When the first bundle is due.
    next_due: Option<Time>,
    /// How long orders to instances and their results are held, if longer than `ORDER_HOLD`.
    order_hold: Duration,
}

#[derive(Debug)]
struct Bundle {
    due: Time,
    messages: Vec<Message>,
}

impl Outbox {
    /// How long orders to instances and their results are held at least.
    pub(crate) const ORDER_HOLD: Duration = Duration::from_millis(8);
    /// The same for results that only confirm an order: the task runs, and nothing waits for them.
    const CONFIRMATION_HOLD: Duration = Duration::from_millis(40);
    /// How long heartbeats of the leader and the news of a commit are held; the next entries take them
    /// along. Entries are held only while many orders are on their way: half of the time that orders are
    /// held for longer then.
    const COMMIT_HOLD: Duration = Duration::from_millis(10);
    /// How long announcements of instances are held on their way to the leader; the instance waits
    /// for the answer, but does nothing else meanwhile.
    const ANNOUNCEMENT_HOLD: Duration = Duration::from_millis(60);
    /// How long announcements are held on their way from the leader to the other members.
    const COPY_HOLD: Duration = Duration::from_millis(400);
    /// Number of messages that is not held any longer.
    const MAX_HELD: usize = 256;

    /// Sets how long orders to instances and their results are held.
    pub(crate) fn set_order_hold(&mut self, hold: Duration) {
        self.order_hold = hold;
    }

    fn hold(&self, message: &Message) -> Duration {
        match message {
            Message::OrderResult { result: Ok(job::Reply::Done { .. }), .. } => {
                Self::CONFIRMATION_HOLD.max(self.order_hold)
            }
            Message::Order { .. } | Message::OrderResult { .. } => {
                Self::ORDER_HOLD.max(self.order_hold)
            }
            Message::Quorum(quorum::Message::Append { entries, .. }) => {
                let hold = self.order_hold.saturating_sub(Self::ORDER_HOLD) / 2;
                if entries.is_empty() { hold.max(Self::COMMIT_HOLD) } else { hold }
            }
            Message::Forward { call: Call::Announce(_), .. } => Self::ANNOUNCEMENT_HOLD,
            Message::Announced(_) => Self::COPY_HOLD,
            _ => Duration::ZERO,
        }
    }

    pub(crate) fn push(&mut self, now: Time, to: &Name, message: Message) {
        let due = now + self.hold(&message);
        let bundle = match self.bundles.get_mut(to) {
            Some(bundle) => bundle,
            None => self
                .bundles
                .entry(to.clone())
                .or_insert(Bundle { due, messages: Vec::with_capacity(1) }),
        };
        if let Some(message) = merge(&mut bundle.messages, message) {
            bundle.messages.push(message);
        }
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

    /// Splits the messages to one daemon into urgent ones and bulk, if the former would wait otherwise;
    /// messages share a frame as long as no bulk is on its way. `matched` is as in [`Message::class`].
    pub(crate) fn split(
        messages: Vec<Message>,
        matched: Index,
        bulk_is_idle: bool,
    ) -> [(Class, Vec<Message>); 2] {
        let is_urgent = |message: &Message| message.class(matched) == Class::Urgent;
        let delays = !bulk_is_idle || messages.iter().any(Message::is_large);
        let (urgent, bulk) = if messages.iter().all(is_urgent) {
            (messages, Vec::new())
        } else if delays {
            messages.into_iter().partition(is_urgent)
        } else {
            (Vec::new(), messages)
        };
        [(Class::Urgent, urgent), (Class::Bulk, bulk)]
    }
}

/// Adds a message to the last one of the consensus protocol, if both append entries; returns it
/// otherwise.
fn merge(messages: &mut [Message], message: Message) -> Option<Message> {
    let Message::Quorum(later) = message else { return Some(message) };
    let last = messages.iter_mut().rev().find_map(|message| match message {
        Message::Quorum(message) => Some(message),
        _ => None,
    });
    let Some(last) = last else { return Some(Message::Quorum(later)) };
    last.merge(later).err().map(Message::Quorum)
}
