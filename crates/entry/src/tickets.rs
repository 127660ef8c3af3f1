use super::*;

/// Calls that clients of this daemon wait for. Peers answer by the id of a call alone, so its first
/// number is random: an answer to a call of an earlier process has no call here.
#[derive(Debug)]
pub(crate) struct Tickets {
    last: CallTicket,
    waiting: BTreeMap<CallTicket, oneshot::Sender<Answer>>,
}

impl Tickets {
    /// No calls yet; `boot` is the random number of this process.
    pub(crate) fn new(boot: u64) -> Self {
        Self { last: boot, waiting: BTreeMap::new() }
    }

    /// Adds a call whose answer goes to `sender`.
    pub(crate) fn insert(&mut self, sender: oneshot::Sender<Answer>) -> CallTicket {
        self.last = self.last.wrapping_add(1);
        self.waiting.insert(self.last, sender);
        self.last
    }

    /// Where the answer to a call goes.
    pub(crate) fn take(&mut self, ticket: CallTicket) -> Option<oneshot::Sender<Answer>> {
        self.waiting.remove(&ticket)
    }

    /// Number of calls without an answer.
    pub(crate) fn len(&self) -> usize {
        self.waiting.len()
    }
}
