use super::*;

/// Calls that wait for a reply of the state machine.
#[derive(Debug)]
pub(crate) struct PendingReplies<T> {
    next: Arc<AtomicU64>,
    waiting: Arc<Mutex<Map<Ticket, Sender<T>>>>,
}

impl<T> Clone for PendingReplies<T> {
    fn clone(&self) -> Self {
        Self { next: self.next.clone(), waiting: self.waiting.clone() }
    }
}

impl<T> Default for PendingReplies<T> {
    fn default() -> Self {
        Self { next: Arc::default(), waiting: Arc::default() }
    }
}

impl<T> PendingReplies<T> {
    /// Maximum wait for a reply.
    const TIMEOUT: Duration = Duration::from_secs(15);

    /// Creates a ticket, sends the event that `event` builds with it, and waits for the reply.
    pub(crate) fn call(
        &self,
        events: &Sender<Event>,
        event: impl FnOnce(Ticket) -> Event,
    ) -> Option<T> {
        let ticket = self.next.fetch_add(1, Ordering::Relaxed);
        let (sender, receiver) = bounded(1);
        lock(&self.waiting).insert(ticket, sender);
        events.send(event(ticket)).ok();
        let reply = receiver.recv_timeout(Self::TIMEOUT).ok();
        lock(&self.waiting).remove(&ticket);
        reply
    }

    /// Passes `reply` to the call that waits for `ticket`.
    pub(crate) fn resolve(&self, ticket: Ticket, reply: T) {
        if let Some(sender) = lock(&self.waiting).remove(&ticket) {
            sender.send(reply).ok();
        }
    }
}
