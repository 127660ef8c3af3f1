use super::*;

/// Small limits, so that snapshots are frequent and need several chunks.
const LIMITS: Limits = Limits {
    snapshot_interval_bytes: 500,
    retained_entries: 10,
    retained_bytes: 100,
    max_message_bytes: 60,
};

/// A simulated member with its disk, clock and timers.
pub struct Host {
    pub state: State,
    pub role: Role,
    pub up: bool,
    pub disk: DiskId,
    /// Number of the current start.
    pub boot: u64,
    /// Time until which the member handles no events.
    pub frozen_until: Time,
    pub applied: Index,
    /// Digest of the applied entries, which stands for the replicated state.
    pub digest: u64,
    /// Token of the latest subscription to each timer.
    pub timers: BTreeMap<Timer, u64>,
    /// Records that are not durable yet, and messages that must wait for them, in order.
    pub queue: VecDeque<Effect>,
    started: Time,
    /// Clock rate, in thousandths of true time.
    clock_rate: u32,
    /// Durable records.
    records: Vec<Record>,
}

impl Host {
    pub fn new(name: &Name, members: BTreeMap<Name, Role>, clock_rate: u32, disk: DiskId) -> Self {
        let role = members[name];
        Self {
            state: State::new(name.clone(), members, PersistentState::default(), 0),
            role,
            up: false,
            disk,
            boot: 0,
            frozen_until: Time::ZERO,
            applied: 0,
            digest: 0,
            timers: BTreeMap::new(),
            queue: VecDeque::new(),
            started: Time::ZERO,
            clock_rate,
            records: Vec::new(),
        }
    }

    /// The encoded replicated state.
    pub fn encode(&self) -> Vec<u8> {
        self.digest.to_le_bytes().repeat(20)
    }

    /// Time by the member's own clock.
    pub fn clock(&self, now: Time) -> Time {
        (now - self.started) * self.clock_rate / 1000
    }

    /// Converts a duration by the member's clock to true time.
    pub fn true_duration(&self, own: Duration) -> Duration {
        own * 1000 / self.clock_rate
    }

    pub fn has_view_lease(&self, now: Time) -> bool {
        self.up && self.state.has_view_lease(self.clock(now))
    }

    pub fn start(&mut self, now: Time, members: BTreeMap<Name, Role>, seed: u64) {
        let restored = self.restore();
        let state = State::new(self.state.id().clone(), members, restored, seed);
        self.state = state.with_limits(LIMITS);
        self.up = true;
        self.boot += 1;
        self.started = now;
        (self.applied, self.digest) = (0, 0);
    }

    /// Crashes the member; of the records not yet durable, only the first `written` survive.
    pub fn crash(&mut self, written: usize) {
        let queue = std::mem::take(&mut self.queue);
        let records = queue.into_iter().filter_map(|effect| match effect {
            Effect::Persist(record) => Some(record),
            _ => None,
        });
        let written: Vec<_> = records.take(written).collect();
        self.records.extend(written);
        self.up = false;
        self.timers.clear();
    }

    /// Replaces the disk with an empty one whose identity is `disk`.
    pub fn lose_disk(&mut self, disk: DiskId) {
        self.records.clear();
        self.disk = disk;
    }

    /// Makes all queued records durable; returns the messages that waited for them, and the
    /// resulting event.
    pub fn sync(&mut self) -> (Vec<(Name, Message)>, Option<Event>) {
        let mut sends = Vec::new();
        let mut event = None;
        for effect in std::mem::take(&mut self.queue) {
            match effect {
                Effect::Persist(record) => {
                    event = synced(&record).or(event);
                    self.records.push(record);
                }
                Effect::Send { to, message } => sends.push((to, message)),
                _ => {}
            }
        }
        (sends, event)
    }

    pub fn has_unsynced_records(&self) -> bool {
        self.queue.iter().any(|effect| matches!(effect, Effect::Persist(_)))
    }

    fn restore(&self) -> PersistentState {
        let mut restored = PersistentState::default();
        if self.role == Role::Observer {
            return restored;
        }
        restored.disk = Some(self.disk);
        for record in self.records.clone() {
            restored.apply_record(record);
        }
        restored
    }
}

fn synced(record: &Record) -> Option<Event> {
    let Record::Entries { first, entries } = record else { return None };
    let term = entries.last()?.term;
    Some(Event::Synced { term, index: first + entries.len() as Index - 1 })
}
