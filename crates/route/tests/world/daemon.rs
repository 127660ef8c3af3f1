use {super::*, route::Timer};

/// A daemon's dispatcher with its edge.
pub struct Daemon {
    pub name: Name,
    pub boot: u64,
    pub view: bool,
    pub state: route::State,
    pub ledger: route::ReplicatedState,
    pub applied: usize,
    pub timers: BTreeMap<Timer, Time>,
    /// Answers by attempt.
    pub answers: BTreeMap<u64, Answer>,
    /// Kept answers by request.
    pub kept: BTreeMap<u64, Answer>,
}

impl Daemon {
    pub fn new(number: usize) -> Self {
        let mut daemon = Self::start(format!("daemon-{number}").into(), 1);
        daemon.state.reduce(Duration::ZERO, Event::View(true));
        daemon.view = true;
        daemon
    }

    pub fn crash(&mut self) {
        *self = Self::start(self.name.clone(), self.boot + 1);
    }

    fn start(name: Name, boot: u64) -> Self {
        let state = route::State::new(name.clone(), boot, route::Policy::Broker);
        Self {
            name,
            boot,
            view: false,
            state,
            ledger: route::ReplicatedState::default(),
            applied: 0,
            timers: BTreeMap::new(),
            answers: BTreeMap::new(),
            kept: BTreeMap::new(),
        }
    }

    pub fn keep(&mut self, request: u64, attempt: u64) {
        self.kept.insert(request, self.answers[&attempt].clone());
    }

    /// Events that follow from an entry of the log.
    pub fn apply(&mut self, entry: Entry) -> Vec<Event> {
        match entry {
            Entry::Config(config) => vec![Event::Configured(config)],
            Entry::Serving(announcement) => vec![Event::Serving(announcement)],
            Entry::Gone(instance) => vec![Event::NotServing(instance)],
            Entry::Route(command) => {
                self.ledger.apply(command).into_iter().map(Event::Decided).collect()
            }
        }
    }
}
