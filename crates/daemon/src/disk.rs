use super::*;

/// The thread that writes records, and sends what must wait for them.
#[derive(Debug)]
pub(crate) struct Disk {
    orders: Sender<Order>,
}

/// What the thread is to do, in order.
#[derive(Debug)]
enum Order {
    Persist(quorum::Record),
    Send(Name, Vec<u8>),
}

impl Disk {
    /// Starts the thread; without a store, records are kept in memory alone.
    pub(crate) fn start(
        store: Option<store::Store>,
        transport: Arc<wire::Transport>,
        events: Sender<Event>,
    ) -> Self {
        let (orders, inbox) = unbounded();
        thread::spawn(move || {
            if let Err(error) = work(store, transport, events, inbox) {
                let error = eyre::Report::from(error);
                log::error!("data folder failed, the daemon ends: {error:#}");
                std::process::exit(EXIT_DISK);
            }
        });
        Self { orders }
    }

    pub(crate) fn persist(&self, record: quorum::Record) {
        self.orders.send(Order::Persist(record)).ok();
    }

    /// Sends `body` once every record before it is durable.
    pub(crate) fn send(&self, to: Name, body: Vec<u8>) {
        self.orders.send(Order::Send(to, body)).ok();
    }
}

/// Exit code after the data folder has failed.
const EXIT_DISK: i32 = 3;

fn work(
    mut store: Option<store::Store>,
    transport: Arc<wire::Transport>,
    events: Sender<Event>,
    inbox: Receiver<Order>,
) -> store::Result {
    while let Ok(first) = inbox.recv() {
        let mut sends = Vec::new();
        let mut last = None;
        let mut dirty = false;
        for order in std::iter::once(first).chain(inbox.try_iter()) {
            match order {
                Order::Send(to, body) => sends.push((to, body)),
                Order::Persist(record) => {
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

/// The event that tells the reducer of the last entry in `record`.
fn synced(record: &quorum::Record) -> Option<Event> {
    let quorum::Record::Entries { first, entries } = record else { return None };
    let term = entries.last()?.term;
    Some(Event::Synced { term, index: first + entries.len() as u64 - 1 })
}
