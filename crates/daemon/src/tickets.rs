use super::*;

/// Calls that wait for a reply of the reducer.
#[derive(Debug)]
pub(crate) struct Tickets<T> {
    next: Arc<AtomicU64>,
    waiting: Arc<Mutex<Map<Ticket, Sender<T>>>>,
}

impl<T> Clone for Tickets<T> {
    fn clone(&self) -> Self {
        Self { next: self.next.clone(), waiting: self.waiting.clone() }
    }
}

impl<T> Default for Tickets<T> {
    fn default() -> Self {
        Self { next: Arc::default(), waiting: Arc::default() }
    }
}

impl<T> Tickets<T> {
    /// Longest wait for a reply.
    const TIMEOUT: Duration = Duration::from_secs(15);

    /// Sends the event that `event` makes of a new ticket, and waits for its reply.
    pub(crate) fn ask(
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

    /// Hands `reply` to whoever waits for `ticket`.
    pub(crate) fn resolve(&self, ticket: Ticket, reply: T) {
        if let Some(sender) = lock(&self.waiting).remove(&ticket) {
            sender.send(reply).ok();
        }
    }
}
