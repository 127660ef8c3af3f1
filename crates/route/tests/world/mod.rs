//! Dispatchers of several daemons over one log and a network, with an oracle that records what
//! reached an upstream. Every step is the test's: nothing happens by itself.

#![allow(dead_code)]

mod daemon;
mod entry;
mod flight;

pub use {daemon::Daemon, entry::Entry, flight::Flight};
use {
    model::{Announcement, Config, Kind, Labels, Location, Name, Service, Time},
    route::{Answer, Command, Effect, Event, Fate, Fingerprint, Message, Outcome, Report, Request},
    std::{
        collections::{BTreeMap, VecDeque},
        sync::Arc,
        time::Duration,
    },
};

/// A send of a request to a daemon: number of the daemon, its start, number of the request there.
pub type Send = (usize, u64, u64);

/// How long a daemon may act without having applied what is committed.
const VIEW_LEASE: Duration = Duration::from_secs(2);

/// Daemons with what is between them.
pub struct World {
    pub now: Time,
    pub daemons: Vec<Daemon>,
    pub log: Vec<Entry>,
    pub proposals: VecDeque<Entry>,
    pub messages: VecDeque<(usize, usize, Message)>,
    pub flights: Vec<Flight>,
    /// Body of each send.
    pub sent: BTreeMap<Send, String>,
    /// Final answers.
    pub answers: BTreeMap<Send, Outcome>,
    /// Bodies that callers got.
    pub bodies: BTreeMap<Send, String>,
    /// How often each body ran.
    pub runs: BTreeMap<String, u32>,
    /// When each entry was committed.
    pub committed: Vec<Time>,
    /// Slots that each upstream declared.
    pub slots: BTreeMap<Name, u32>,
    next_request: u64,
}

impl World {
    pub fn new(daemons: usize) -> Self {
        let mut world = Self {
            now: Duration::from_secs(1),
            daemons: (0..daemons).map(Daemon::new).collect(),
            log: Vec::new(),
            proposals: VecDeque::new(),
            messages: VecDeque::new(),
            flights: Vec::new(),
            sent: BTreeMap::new(),
            answers: BTreeMap::new(),
            bodies: BTreeMap::new(),
            runs: BTreeMap::new(),
            committed: Vec::new(),
            slots: BTreeMap::new(),
            next_request: 0,
        };
        world.log.push(Entry::Config(Arc::new(config())));
        for daemon in 0..daemons {
            world.join(daemon);
        }
        world
    }

    /// Has a daemon's present start dispatch.
    pub fn join(&mut self, daemon: usize) {
        let Daemon { name, boot, .. } = &self.daemons[daemon];
        let command = Command::Join { daemon: name.clone(), boot: *boot };
        self.proposals.push_back(Entry::Route(command));
    }

    /// Sends a payout with `key` and `body` to a daemon.
    pub fn pay(&mut self, daemon: usize, key: &str, body: &str) -> Send {
        self.send(daemon, "shop", "payout", Some(key), "/", body)
    }

    pub fn send(
        &mut self,
        daemon: usize,
        tenant: &str,
        kind: &str,
        key: Option<&str>,
        path: &str,
        body: &str,
    ) -> Send {
        self.next_request += 1;
        let request = Request {
            id: self.next_request,
            service: "bank".into(),
            kind: kind.into(),
            tenant: tenant.into(),
            key: key.map(Into::into),
            fingerprint: Fingerprint::new("POST", "bank", path, body.as_bytes()),
            timeout: None,
        };
        let send = (daemon, self.daemons[daemon].boot, request.id);
        self.sent.insert(send, body.to_owned());
        self.reduce(daemon, Event::Arrive(request));
        send
    }

    pub fn reduce(&mut self, daemon: usize, event: Event) {
        let now = self.now;
        for effect in self.daemons[daemon].state.reduce(now, event) {
            self.carry_out(daemon, effect);
        }
    }

    fn carry_out(&mut self, daemon: usize, effect: Effect) {
        let boot = self.daemons[daemon].boot;
        match effect {
            Effect::Propose(command) => self.proposals.push_back(Entry::Route(command)),
            Effect::Send { to, message } => {
                let to = self.number(&to);
                self.messages.push_back((daemon, to, message));
            }
            Effect::Subscribe { timer, after } => {
                self.daemons[daemon].timers.insert(timer, self.now + after);
            }
            Effect::Attempt(attempt) => {
                assert!(self.daemons[daemon].view, "a daemon without a view sent a request");
                self.flights.push(Flight::new(daemon, boot, attempt));
            }
            Effect::Keep { request, attempt } => self.daemons[daemon].keep(request, attempt),
            Effect::Share { to, question } => {
                let to = self.number(&to);
                let fate = Fate::Run(self.daemons[daemon].kept[&question.first].clone());
                self.messages.push_back((daemon, to, Message::Tell { question, fate }));
            }
            Effect::Answer { request, outcome } => self.answer((daemon, boot, request), outcome),
        }
    }

    fn number(&self, name: &Name) -> usize {
        self.daemons.iter().position(|it| it.name == *name).expect("every daemon is known")
    }

    fn answer(&mut self, send: Send, outcome: Outcome) {
        let daemon = &self.daemons[send.0];
        let body = match &outcome {
            Outcome::Run(attempt) => Some(&daemon.answers[attempt]),
            Outcome::Kept(first) => Some(&daemon.kept[first]),
            Outcome::Passed(answer) => Some(answer),
            _ => None,
        };
        if matches!(outcome, Outcome::NotRun { .. }) {
            let body = &self.sent[&send];
            assert_eq!(self.runs.get(body), None, "`not-run` was said of {body}, which ran");
        }
        if let Some(body) = body {
            self.bodies.insert(send, String::from_utf8_lossy(&body.body).into_owned());
        }
        let former = self.answers.insert(send, outcome);
        assert_eq!(former, None, "a request got two final answers");
    }

    /// Commits the oldest proposal.
    pub fn commit(&mut self) -> bool {
        let Some(entry) = self.proposals.pop_front() else { return false };
        self.log.push(entry);
        true
    }

    /// Has a daemon apply its next entry.
    pub fn apply(&mut self, daemon: usize) -> bool {
        let it = &mut self.daemons[daemon];
        let Some(entry) = self.log.get(it.applied).cloned() else { return false };
        it.applied += 1;
        for event in it.apply(entry) {
            self.reduce(daemon, event);
        }
        true
    }

    /// Delivers the message at `index`.
    pub fn deliver(&mut self, index: usize) -> bool {
        let Some((from, to, message)) = self.messages.remove(index) else { return false };
        let from = self.daemons[from].name.clone();
        self.reduce(to, Event::Message { from, message });
        true
    }

    /// Commits, applies and delivers until nothing is left to, batches of notes included.
    pub fn settle(&mut self) {
        while self.settle_now() {
            self.pass(Duration::from_millis(1));
        }
    }

    /// Commits, applies and delivers what there is; whether there was anything.
    fn settle_now(&mut self) -> bool {
        let mut moved = false;
        loop {
            let mut more = self.commit();
            for daemon in 0..self.daemons.len() {
                while self.apply(daemon) {
                    more = true;
                }
            }
            more |= self.deliver(0);
            if !more {
                return moved;
            }
            moved = true;
        }
    }

    /// Has time pass, and fires what falls due.
    pub fn pass(&mut self, time: Duration) {
        let until = self.now + time;
        loop {
            let due = self.daemons.iter().enumerate().filter_map(|(i, daemon)| {
                daemon.timers.iter().map(|(timer, at)| (*at, i, *timer)).min()
            });
            let Some((at, daemon, timer)) = due.min().filter(|(at, ..)| *at <= until) else {
                break;
            };
            self.now = self.now.max(at);
            self.daemons[daemon].timers.remove(&timer);
            self.reduce(daemon, Event::Timer(timer));
        }
        self.now = until;
    }

    /// Lets the oldest attempt reach its upstream, and end as `report` says.
    pub fn end(&mut self, report: Report) {
        let flight = self.flights.remove(0);
        let send = (flight.daemon, flight.boot, flight.attempt.request);
        let body = self.sent[&send].clone();
        if !matches!(report, Report::NotSent | Report::Refused) {
            *self.runs.entry(body.clone()).or_default() += 1;
        }
        let daemon = &mut self.daemons[flight.daemon];
        if daemon.boot != flight.boot {
            return;
        }
        if report == Report::Answered {
            let answer = Answer { status: 200, headers: Vec::new(), body: body.into_bytes() };
            daemon.answers.insert(flight.attempt.id, answer);
        }
        self.reduce(flight.daemon, Event::AttemptEnded { attempt: flight.attempt.id, report });
    }

    /// Gives or takes the view of a daemon; one that is behind gets none.
    pub fn look(&mut self, daemon: usize, view: bool) {
        let view = view && self.daemons[daemon].applied == self.log.len();
        self.daemons[daemon].view = view;
        self.reduce(daemon, Event::View(view));
    }

    /// Takes the view of daemons that have not applied what was committed a view lease ago.
    pub fn lapse(&mut self) {
        self.committed.resize(self.log.len(), self.now);
        for daemon in 0..self.daemons.len() {
            let next = self.committed.get(self.daemons[daemon].applied);
            if next.is_some_and(|at| *at + VIEW_LEASE <= self.now) && self.daemons[daemon].view {
                self.look(daemon, false);
            }
        }
    }

    /// Lets an attempt reach its upstream, which checks its slots.
    pub fn reach(&mut self, index: usize) {
        let Flight { daemon, boot, attempt, .. } = &self.flights[index];
        let (send, instance) = ((*daemon, *boot, attempt.request), attempt.instance.clone());
        if self.flights[index].reached || self.now >= attempt.lease {
            return;
        }
        self.flights[index].reached = true;
        let body = self.sent[&send].clone();
        let runs = self.runs.entry(body.clone()).or_default();
        *runs += 1;
        assert!(!body.starts_with("payout") || *runs == 1, "{body} ran twice");
        let busy = self.flights.iter().filter(|it| it.reached && it.attempt.instance == instance);
        let (busy, slots) = (busy.count(), self.slots[&instance]);
        assert!(busy <= slots as usize, "{busy} slots of {instance} are in use, not {slots}");
    }

    /// Ends an attempt at its edge; one that has not reached its upstream was not sent.
    pub fn end_at(&mut self, index: usize, report: Report) {
        let flight = self.flights.remove(index);
        let send = (flight.daemon, flight.boot, flight.attempt.request);
        let daemon = &mut self.daemons[flight.daemon];
        if daemon.boot != flight.boot {
            return;
        }
        let report = if flight.reached { report } else { Report::NotSent };
        if report == Report::Answered {
            let body = self.sent[&send].clone().into_bytes();
            let answer = Answer { status: 200, headers: Vec::new(), body };
            daemon.answers.insert(flight.attempt.id, answer);
        }
        self.reduce(flight.daemon, Event::AttemptEnded { attempt: flight.attempt.id, report });
    }

    /// Ends attempts whose deadline has come, those of daemons that are gone included.
    pub fn time_out(&mut self) {
        while let Some(index) =
            self.flights.iter().position(|flight| flight.attempt.deadline <= self.now)
        {
            self.end_at(index, Report::Late);
        }
    }

    /// Ends a daemon without warning, and starts it anew.
    pub fn crash(&mut self, daemon: usize) {
        self.daemons[daemon].crash();
    }
}

pub fn announcement(instance: &str, rack: &str, slots: u32) -> Announcement {
    Announcement {
        instance: instance.into(),
        service: "bank".into(),
        address: "127.0.0.1:1".into(),
        slots,
        connections: 64,
        incarnation: 1,
        location: Location { region: "r".into(), data_center: "d".into(), rack: rack.into() },
        labels: Labels::default(),
    }
}

fn config() -> Config {
    let kind = |idempotent, weight| Kind { idempotent, weight, deadline: Duration::from_secs(2) };
    Config {
        services: [(Name::from("bank"), Service { queue: 64 })].into(),
        kinds: [("quote".into(), kind(true, 1)), ("payout".into(), kind(false, 5))].into(),
        ..Config::default()
    }
}
