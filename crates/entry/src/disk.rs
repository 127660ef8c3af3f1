use super::*;

/// Records and messages that wait for the disk; a [`Writer`] writes one batch at a time.
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
    /// Starts a thread that writes to `store`.
    pub(crate) fn start(
        store: store::Store,
        number: u64,
        synced: mpsc::UnboundedSender<Synced>,
    ) -> Self {
        let (disk, writer) = Self::new(store, number);
        std::thread::spawn(move || writer.run(number, &synced));
        disk
    }

    pub(crate) fn new<M: store::Medium>(store: store::Store<M>, number: u64) -> (Self, Writer<M>) {
        let (batches, inbox) = crossbeam::channel::unbounded();
        let disk = Self {
            number,
            batches,
            waiting: Vec::new(),
            writing: None,
            after_writing: Vec::new(),
            after_waiting: Vec::new(),
        };
        (disk, Writer { store, batches: inbox })
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

/// Writes batches to the store.
pub(crate) struct Writer<M> {
    store: store::Store<M>,
    pub(crate) batches: crossbeam::channel::Receiver<Vec<quorum::Record>>,
}

impl<M: store::Medium> Writer<M> {
    /// Writes batches until one fails or the disk is given up.
    fn run(mut self, number: u64, synced: &mpsc::UnboundedSender<Synced>) {
        while let Ok(records) = self.batches.recv() {
            let result = self.write(records);
            let failed = result.is_err();
            if synced.send((number, result)).is_err() || failed {
                return;
            }
        }
    }

    /// Makes a batch durable.
    pub(crate) fn write(&mut self, records: Vec<quorum::Record>) -> Result<(), String> {
        for record in records {
            self.store.append(record);
        }
        self.store.sync().map_err(|error| error.to_string())
    }
}

fn last_entry(record: &quorum::Record) -> Option<(quorum::Term, Index)> {
    let quorum::Record::Entries { first, entries } = record else { return None };
    Some((entries.last()?.term, first + entries.len() as Index - 1))
}
