use super::*;

/// Calls that wait for a reply from the state machine, by ticket.
#[derive(Debug)]
pub(crate) struct PendingReplies<T> {
    next_ticket: Arc<AtomicU64>,
    waiting: Arc<Mutex<Map<Ticket, Sender<T>>>>,
}

impl<T> Clone for PendingReplies<T> {
    fn clone(&self) -> Self {
        Self { next_ticket: self.next_ticket.clone(), waiting: self.waiting.clone() }
    }
}

impl<T> Default for PendingReplies<T> {
    fn default() -> Self {
        Self { next_ticket: Arc::default(), waiting: Arc::default() }
    }
}

impl<T> PendingReplies<T> {
    /// Maximum time to wait for a reply.
    const TIMEOUT: Duration = Duration::from_secs(15);

    /// Creates a ticket, sends the event that `event` builds with it, and waits for the reply.
    /// `None` if none arrives within [`Self::TIMEOUT`].
    pub(crate) fn call(
        &self,
        events: &Sender<Event>,
        event: impl FnOnce(Ticket) -> Event,
    ) -> Option<T> {
        let ticket = self.next_ticket.fetch_add(1, Ordering::Relaxed);
        let (sender, receiver) = bounded(1);
        lock(&self.waiting).insert(ticket, sender);
        events.send(event(ticket)).ok();
        let reply = receiver.recv_timeout(Self::TIMEOUT).ok();
        lock(&self.waiting).remove(&ticket);
        reply
    }

    /// Passes `reply` to the call that waits for `ticket`; drops it if the call has timed out.
    pub(crate) fn resolve(&self, ticket: Ticket, reply: T) {
        if let Some(sender) = lock(&self.waiting).remove(&ticket) {
            sender.send(reply).ok();
        }
    }
}
