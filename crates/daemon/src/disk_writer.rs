use super::*;

/// Thread that writes records to the store, and sends the messages that must wait for them.
#[derive(Debug)]
pub(crate) struct DiskWriter {
    sender: Sender<Job>,
}

/// A job of the thread; jobs are done in order.
#[derive(Debug)]
enum Job {
    Persist(quorum::Record),
    Send(Name, Vec<u8>),
}

impl DiskWriter {
    /// Starts the thread; without a store, records are not persisted.
    pub(crate) fn start(
        store: Option<store::Store>,
        transport: Arc<wire::Transport>,
        events: Sender<Event>,
    ) -> Self {
        let (sender, inbox) = unbounded();
        thread::spawn(move || {
            if let Err(error) = write_records(store, transport, events, inbox) {
                let error = eyre::Report::from(error);
                log::error!("data folder failed; exiting: {error:#}");
                std::process::exit(EXIT_DISK_FAILED);
            }
        });
        Self { sender }
    }

    pub(crate) fn persist(&self, record: quorum::Record) {
        self.sender.send(Job::Persist(record)).ok();
    }

    /// Sends `body` once all records passed before it are durable.
    pub(crate) fn send(&self, to: Name, body: Vec<u8>) {
        self.sender.send(Job::Send(to, body)).ok();
    }
}

/// Exit code after a failure of the data folder.
const EXIT_DISK_FAILED: i32 = 3;

/// Writes all queued records with one sync, then sends the messages that waited for them.
fn write_records(
    mut store: Option<store::Store>,
    transport: Arc<wire::Transport>,
    events: Sender<Event>,
    inbox: Receiver<Job>,
) -> store::Result {
    while let Ok(first) = inbox.recv() {
        let mut sends = Vec::new();
        let mut last = None;
        let mut dirty = false;
        for job in std::iter::once(first).chain(inbox.try_iter()) {
            match job {
                Job::Send(to, body) => sends.push((to, body)),
                Job::Persist(record) => {
                    last = synced(&record).or(last);
                    dirty = true;
                    if let Some(store) = &mut store {
                        store.append(record);
                    }
                }
            }
        }
        if let Some(store) = store.as_mut().filter(|_| dirty) {
            store.sync()?;
        }
        for (to, body) in sends {
            transport.send(&to, body);
        }
        if let Some(event) = last {
            events.send(event).ok();
        }
    }
    Ok(())
}

/// The event that reports the last entry in `record` as durable.
fn synced(record: &quorum::Record) -> Option<Event> {
    let quorum::Record::Entries { first, entries } = record else { return None };
    let term = entries.last()?.term;
    Some(Event::Synced { term, index: first + entries.len() as u64 - 1 })
}
