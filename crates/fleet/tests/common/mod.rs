//! Simulated fleet whose instances drain and reboot as soon as they are told to.
#![allow(dead_code)]

use {
    fleet::{Action, Change, Command, Edit, Effect, Order, Phase, Planner, State, Step, Verdict},
    model::{Announcement, Config, Labels, Location, Name},
    std::time::Duration,
};

/// The fleet state together with its simulated instances.
#[derive(Default)]
pub struct World {
    pub state: State,
    pub now: Duration,
    requests: u64,
}

impl World {
    pub fn apply(&mut self, command: Command) -> Vec<Effect> {
        self.state.apply(command)
    }

    pub fn configure(&mut self, text: &str) -> Verdict {
        let config = settings::config("test", text).expect("the test gives a valid configuration");
        self.change(config)
    }

    pub fn change(&mut self, config: Config) -> Verdict {
        let base = self.state.revision();
        let request = self.request();
        let change = Change { request, author: "ada".into(), base, config };
        verdict(self.apply(Command::Change(change)))
    }

    pub fn order(&mut self, wave: &str, edit: Edit) -> Verdict {
        let (request, author) = (self.request(), "ada".into());
        let order = Order { request, author, wave: wave.into(), edit };
        verdict(self.apply(Command::Maintain(order)))
    }

    pub fn announce(&mut self, name: &str, service: &str, incarnation: u64) -> Vec<Effect> {
        self.apply(Command::Announce(announcement(name, service, incarnation)))
    }

    pub fn add(&mut self, service: &str, count: usize) {
        for i in 0..count {
            self.announce(&format!("{service}-{i}"), service, 1);
        }
    }

    pub fn step(&mut self, instance: &str, action: Action) -> Vec<Effect> {
        let epoch = self.state.upstreams()[instance].epoch;
        self.step_at(instance, epoch, action)
    }

    pub fn step_at(&mut self, instance: &str, epoch: u64, action: Action) -> Vec<Effect> {
        let at = self.now;
        self.apply(Command::Step(Step { instance: instance.into(), epoch, action, at }))
    }

    pub fn lapse(&mut self, instance: &str) {
        let incarnation = self.state.upstreams()[instance].announcement.incarnation;
        self.apply(Command::Lapse { instance: instance.into(), incarnation });
    }

    /// Applies the commands that the planner proposes, and returns them.
    pub fn plan(&mut self) -> Vec<Command> {
        let commands = Planner::plan(&self.state, self.now);
        for command in commands.clone() {
            self.apply(command);
        }
        commands
    }

    /// Advances every grant by one phase: draining instances are drained, and rebooted ones come
    /// back if they are `healthy`.
    pub fn advance_grants(&mut self, mut healthy: impl FnMut(&str) -> bool) {
        let names: Vec<Name> = self.state.upstreams().keys().cloned().collect();
        for name in names {
            let upstream = &self.state.upstreams()[&name];
            let Some(grant) = &upstream.grant else { continue };
            let next = upstream.announcement.incarnation + 1;
            let mut announcement = upstream.announcement.clone();
            match grant.phase {
                Phase::Draining | Phase::Returning => {
                    self.step(&name, Action::Drained);
                }
                Phase::Rebooting { accepted: false, .. } => {
                    self.step(&name, Action::Rebooted);
                    if healthy(&name) {
                        announcement.incarnation = next;
                        self.apply(Command::Announce(announcement));
                    }
                }
                _ => {}
            }
        }
    }

    /// Plans and advances grants `steps` times, 5 s apart.
    pub fn run(&mut self, steps: usize, mut healthy: impl FnMut(&str) -> bool) {
        for _ in 0..steps {
            self.plan();
            self.advance_grants(&mut healthy);
            self.now += Duration::from_secs(5);
        }
    }

    /// The journal entries about `subject`, one per line.
    pub fn explain(&self, subject: &fleet::Subject) -> String {
        let entries = self.state.journal().entries_for(subject);
        entries.iter().map(|e| format!("{} s: {}\n", e.at.as_secs(), e.reason)).collect()
    }

    /// The pool of each instance.
    pub fn pools(&self) -> Vec<(String, Option<String>)> {
        let pool = |u: &fleet::Upstream| u.tenure.as_ref().map(|t| t.pool.to_string());
        self.state.upstreams().iter().map(|(n, u)| (n.to_string(), pool(u))).collect()
    }

    fn request(&mut self) -> Name {
        self.requests += 1;
        format!("request-{}", self.requests).into()
    }
}

pub fn verdict(effects: Vec<Effect>) -> Verdict {
    let verdict = effects.into_iter().find_map(|effect| match effect {
        Effect::Verdict { verdict, .. } => Some(verdict),
        _ => None,
    });
    verdict.expect("every request gets a verdict")
}

pub fn announcement(name: &str, service: &str, incarnation: u64) -> Announcement {
    let number: usize = name.rsplit('-').next().and_then(|n| n.parse().ok()).unwrap_or(0);
    Announcement {
        instance: name.into(),
        service: service.into(),
        address: "127.0.0.1:1".into(),
        slots: 8,
        connections: 64,
        incarnation,
        location: Location {
            region: "r".into(),
            data_center: format!("dc-{}", number % 3).into(),
            rack: format!("rack-{}", number / 4).into(),
        },
        labels: Labels::default(),
    }
}
