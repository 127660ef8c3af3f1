use super::*;

/// Handle of a thread that writes records to disk, one batch at a time.
pub(crate) struct Disk {
    /// Distinguishes this disk from earlier ones that failed.
    pub(crate) number: u64,
    batches: crossbeam::channel::Sender<Vec<quorum::Record>>,
    /// Records for the next batch.
    waiting: Vec<quorum::Record>,
    /// Last log entry of the batch being written, if any; `None` while no batch is being written.
    writing: Option<Option<(quorum::Term, Index)>>,
    /// Messages to send once the current batch is durable.
    after_writing: Vec<(Name, Message)>,
    /// Messages to send once the next batch is durable.
    after_waiting: Vec<(Name, Message)>,
}

/// Number of the disk that wrote a batch, and the result.
pub(crate) type Synced = (u64, Result<(), String>);

/// Result of a durable batch.
pub(crate) struct Durable {
    /// Messages that may be sent now.
    pub(crate) messages: Vec<(Name, Message)>,
    /// Last log entry of the batch.
    pub(crate) last: Option<(quorum::Term, Index)>,
}

impl Disk {
    pub(crate) fn start(
        mut store: store::Store,
        number: u64,
        synced: mpsc::UnboundedSender<Synced>,
    ) -> Self {
        let (batches, inbox) = crossbeam::channel::unbounded::<Vec<quorum::Record>>();
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
            batches,
            waiting: Vec::new(),
            writing: None,
            after_writing: Vec::new(),
            after_waiting: Vec::new(),
        }
    }

    pub(crate) fn persist(&mut self, record: quorum::Record) {
        self.waiting.push(record);
    }

    /// Holds a message until every record so far is durable; returns it if none is pending.
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

    /// Starts to write the next batch unless one is being written.
    pub(crate) fn flush(&mut self) {
        if self.writing.is_some() || self.waiting.is_empty() {
            return;
        }
        let records = std::mem::take(&mut self.waiting);
        self.writing = Some(records.iter().rev().find_map(last_entry));
        self.after_writing = std::mem::take(&mut self.after_waiting);
        self.batches.send(records).ok();
    }

    /// Handles the completion of the current batch.
    pub(crate) fn synced(&mut self) -> Durable {
        let last = self.writing.take().flatten();
        Durable { messages: std::mem::take(&mut self.after_writing), last }
    }
}

fn last_entry(record: &quorum::Record) -> Option<(quorum::Term, Index)> {
    let quorum::Record::Entries { first, entries } = record else { return None };
    Some((entries.last()?.term, first + entries.len() as Index - 1))
}
