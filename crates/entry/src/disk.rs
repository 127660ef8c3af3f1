use super::*;

/// The thread that makes records durable, one batch at a time.
pub(crate) struct Disk {
    /// Tells this disk from those that failed before.
    pub(crate) number: u64,
    orders: crossbeam::channel::Sender<Vec<quorum::Record>>,
    /// Records that wait for the batch under way.
    waiting: Vec<quorum::Record>,
    /// Last entry of the batch under way.
    writing: Option<Option<(quorum::Term, Index)>>,
    /// Messages that may go once the batch under way is durable.
    after_writing: Vec<(Name, Message)>,
    /// Messages that may go once what waits now is durable.
    after_waiting: Vec<(Name, Message)>,
}

/// Which disk has written a batch, and whether it could.
pub(crate) type Synced = (u64, Result<(), String>);

/// What follows once a batch is durable.
pub(crate) struct Durable {
    /// Messages that may go now.
    pub(crate) messages: Vec<(Name, Message)>,
    /// Last entry of the batch.
    pub(crate) last: Option<(quorum::Term, Index)>,
}

impl Disk {
    pub(crate) fn start(
        mut store: store::Store,
        number: u64,
        synced: mpsc::UnboundedSender<Synced>,
    ) -> Self {
        let (orders, inbox) = crossbeam::channel::unbounded::<Vec<quorum::Record>>();
        std::thread::spawn(move || {
            for records in inbox {
                for record in records {
                    store.append(record);
                }
                let result = store.sync().map_err(|error| error.to_string());
                let failed = result.is_err();
                if synced.send((number, result)).is_err() || failed {
                    return;
                }
            }
        });
        Self {
            number,
            orders,
            waiting: Vec::new(),
            writing: None,
            after_writing: Vec::new(),
            after_waiting: Vec::new(),
        }
    }

    pub(crate) fn persist(&mut self, record: quorum::Record) {
        self.waiting.push(record);
    }

    /// Takes a message that must wait for every record so far; returns it if none does.
    pub(crate) fn hold(&mut self, to: Name, message: Message) -> Option<(Name, Message)> {
        if !self.waiting.is_empty() {
            self.after_waiting.push((to, message));
        } else if self.writing.is_some() {
            self.after_writing.push((to, message));
        } else {
            return Some((to, message));
        }
        None
    }

    /// Begins to write what waits, if nothing is being written.
    pub(crate) fn flush(&mut self) {
        if self.writing.is_some() || self.waiting.is_empty() {
            return;
        }
        let records = std::mem::take(&mut self.waiting);
        self.writing = Some(records.iter().rev().find_map(last_entry));
        self.after_writing = std::mem::take(&mut self.after_waiting);
        self.orders.send(records).ok();
    }

    /// Takes word that the batch under way is durable: messages that may go, and the last entry.
    pub(crate) fn synced(&mut self) -> Durable {
        let last = self.writing.take().flatten();
        Durable { messages: std::mem::take(&mut self.after_writing), last }
    }
}

fn last_entry(record: &quorum::Record) -> Option<(quorum::Term, Index)> {
    let quorum::Record::Entries { first, entries } = record else { return None };
    Some((entries.last()?.term, first + entries.len() as Index - 1))
}
