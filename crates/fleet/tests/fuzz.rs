//! Stateful fuzzing of the fleet against a simple oracle: correlated failures, changes of leader,
//! concurrent requests of operators, and answers of the platform that are delayed, duplicated or
//! lost. `SARDINEVALVE_FUZZ_STEPS` sets the total number of steps.

use {
    fleet::{Action, Change, Command, Edit, Effect, Order, Phase, Planner, Purpose, State, Step},
    model::{Announcement, Config, Labels, Location, Name},
    proptest::{
        collection::vec,
        prelude::*,
        test_runner::{Config as Runs, RngAlgorithm, TestRng, TestRunner},
    },
    std::{collections::BTreeMap, time::Duration},
};

const TOTAL_STEPS: u32 = 40_000;
const STEPS_PER_CASE: u32 = 250;
const SEED: [u8; 32] = [7; 32];
/// Planning rounds after the last event within which every wave must end or wait.
const REST_ROUNDS: usize = 100;
const INSTANCES: usize = 12;
const RACKS: usize = 4;

const CONFIGS: [&str; 5] = [
    "[pool a]\nselector = tier=a\n[pool b]\nselector = tier=b\n[pool s]\nselector = tier=s\n\
     spare = true\n[budget a]\nselector = pool=a\nmax-unavailable = 2\n[budget all]\n\
     selector = region=r\nmax-unavailable = 40%\nreserve = 1\n[policy]\nsoak-ms = 2000\n\
     max-failures = 3\n",
    "[pool a]\nselector = tier=a\n[pool b]\nselector = tier!=a\n\
     [budget b]\nselector = pool=b\nmax-unavailable = 25%\n\
     [budget rack]\nselector = rack=rack-1\nmax-unavailable = 1\n",
    "[pool a]\nselector = service=a\n[pool s]\nselector = tier=s, service!=a\nspare = true\n\
     [budget none]\nselector = region=r\nmax-unavailable = 0\n",
    "[pool a]\nselector = tier=a\n[pool b]\nselector = tier=b\n[pool s]\nselector = tier=s\n\
     spare = true\n[instance i-0]\nlabels = tier=b\n[instance i-5]\nlabels = tier=s\n\
     [budget all]\nselector = region=r\nmax-unavailable = 3\n[policy]\nperiod-ms = 60000\n",
    "",
];

/// A step of the simulation.
#[derive(Debug, Clone)]
enum Event {
    Announce {
        instance: usize,
        restarted: bool,
        tier: Option<u8>,
    },
    Leave {
        instance: usize,
    },
    LapseRack {
        rack: usize,
    },
    Apply {
        config: usize,
        stale: bool,
        resend: bool,
    },
    Wave {
        wave: usize,
        edit: u8,
    },
    Forget {
        instance: usize,
    },
    Lend {
        instance: usize,
        recall: bool,
    },
    /// The leader plans; its proposals wait to be committed.
    Plan,
    /// A proposal is committed, and possibly a duplicate of it later.
    Commit {
        at: usize,
        twice: bool,
    },
    /// A new leader plans. The uncommitted proposals of the former one are lost, or may still be
    /// committed.
    ChangeLeader {
        loses_proposals: bool,
    },
    AdvanceTime {
        seconds: u64,
    },
    StartRequest {
        instance: usize,
    },
    FinishRequests {
        instance: usize,
    },
    /// The platform carries out a call. Its answer may be lost, and the call may be carried out
    /// again later.
    Reboot {
        at: usize,
        lost: bool,
        again: bool,
    },
    /// A rebooted instance comes back.
    ComeBack {
        instance: usize,
    },
}

fn event() -> impl Strategy<Value = Event> {
    let i = 0..INSTANCES;
    prop_oneof![
        3 => (i.clone(), any::<bool>(), prop::option::of(0..3u8))
            .prop_map(|(instance, restarted, tier)| Event::Announce { instance, restarted, tier }),
        1 => i.clone().prop_map(|instance| Event::Leave { instance }),
        1 => (0..RACKS).prop_map(|rack| Event::LapseRack { rack }),
        1 => (0..CONFIGS.len(), any::<bool>(), any::<bool>())
            .prop_map(|(config, stale, resend)| Event::Apply { config, stale, resend }),
        2 => (0..4usize, 0..8u8).prop_map(|(wave, edit)| Event::Wave { wave, edit }),
        1 => i.clone().prop_map(|instance| Event::Forget { instance }),
        2 => (i.clone(), any::<bool>())
            .prop_map(|(instance, recall)| Event::Lend { instance, recall }),
        8 => Just(Event::Plan),
        16 => (any::<prop::sample::Index>(), prop::bool::weighted(0.2))
            .prop_map(|(at, twice)| Event::Commit { at: at.index(64), twice }),
        1 => any::<bool>().prop_map(|loses_proposals| Event::ChangeLeader { loses_proposals }),
        3 => (0..30u64).prop_map(|seconds| Event::AdvanceTime { seconds }),
        4 => i.clone().prop_map(|instance| Event::StartRequest { instance }),
        8 => i.clone().prop_map(|instance| Event::FinishRequests { instance }),
        5 => (0..64usize, prop::bool::weighted(0.2), prop::bool::weighted(0.2))
            .prop_map(|(at, lost, again)| Event::Reboot { at, lost, again }),
        5 => i.prop_map(|instance| Event::ComeBack { instance }),
    ]
}

/// True state of an instance, as opposed to what the fleet state knows.
#[derive(Debug, Clone)]
struct Machine {
    incarnation: u64,
    tier: u8,
    down: bool,
    in_flight: u32,
    serving: bool,
}

/// A reboot call that the platform has not carried out, or may carry out again.
#[derive(Debug, Clone)]
struct Call {
    instance: usize,
    epoch: u64,
    incarnation: u64,
}

struct World {
    state: State,
    now: Duration,
    machines: Vec<Machine>,
    /// Commands that are proposed but not committed.
    proposals: Vec<Command>,
    calls: Vec<Call>,
    /// Number of reboots, by instance and epoch.
    reboots: BTreeMap<(usize, u64), u32>,
    requests: u64,
}

impl World {
    fn new() -> Self {
        let tier = |i: usize| (i % 3) as u8;
        let machine = |i| Machine {
            incarnation: 1,
            tier: tier(i),
            down: false,
            in_flight: 0,
            serving: false,
        };
        Self {
            state: State::default(),
            now: Duration::ZERO,
            machines: (0..INSTANCES).map(machine).collect(),
            proposals: Vec::new(),
            calls: Vec::new(),
            reboots: BTreeMap::new(),
            requests: 0,
        }
    }

    fn announcement(&self, i: usize) -> Announcement {
        let machine = &self.machines[i];
        let mut labels = Labels::default();
        labels.set("tier".into(), ["a", "b", "s"][machine.tier as usize].into());
        Announcement {
            instance: name(i),
            service: "a".into(),
            address: "127.0.0.1:1".into(),
            slots: 1,
            connections: 1,
            incarnation: machine.incarnation,
            location: Location {
                region: "r".into(),
                data_center: "d".into(),
                rack: format!("rack-{}", i % RACKS).into(),
            },
            labels,
        }
    }

    fn request(&mut self) -> Name {
        self.requests += 1;
        self.requests.to_string().into()
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Announce { instance, restarted, tier } => {
                let machine = &mut self.machines[instance];
                machine.tier = tier.unwrap_or(machine.tier);
                if restarted {
                    machine.incarnation += 1;
                    machine.in_flight = 0;
                    machine.down = false;
                }
                if !machine.down {
                    self.apply(Command::Announce(self.announcement(instance)));
                }
            }
            Event::Leave { instance } => {
                let incarnation = self.machines[instance].incarnation;
                self.apply(Command::Leave { instance: name(instance), incarnation });
            }
            Event::LapseRack { rack } => {
                for i in (rack..INSTANCES).step_by(RACKS) {
                    let incarnation = self.machines[i].incarnation;
                    self.apply(Command::Lapse { instance: name(i), incarnation });
                }
            }
            Event::Apply { config, stale, resend } => self.change(config, stale, resend),
            Event::Wave { wave, edit } => self.wave(wave, edit),
            Event::Forget { instance } => {
                let (request, author) = (self.request(), "ada".into());
                self.apply(Command::Forget { request, author, instance: name(instance) });
            }
            Event::Lend { instance, recall } => self.lend(instance, recall),
            Event::Plan => self.plan(),
            Event::Commit { at, twice } => self.commit(at, twice),
            Event::ChangeLeader { loses_proposals } => {
                if loses_proposals {
                    self.proposals.clear();
                }
                self.plan();
            }
            Event::AdvanceTime { seconds } => self.now += Duration::from_secs(seconds),
            Event::StartRequest { instance } => {
                let machine = &mut self.machines[instance];
                machine.in_flight += u32::from(machine.serving);
            }
            Event::FinishRequests { instance } => self.machines[instance].in_flight = 0,
            Event::Reboot { at, lost, again } => self.reboot(at, lost, again),
            Event::ComeBack { instance } => self.come_back(instance),
        }
    }

    fn change(&mut self, config: usize, stale: bool, resend: bool) {
        let config = settings::config("fuzz", CONFIGS[config]).expect("configurations are valid");
        let base = self.state.revision() - u64::from(stale && self.state.revision() > 0);
        let request = self.request();
        let change = Change { request, author: "ada".into(), base, config };
        self.apply(Command::Change(change.clone()));
        if resend {
            let before = self.state.revision();
            self.apply(Command::Change(change));
            assert_eq!(self.state.revision(), before, "a resend changed something");
        }
    }

    fn wave(&mut self, wave: usize, edit: u8) {
        let edit = match edit {
            0..4 => Edit::Start(["tier=a", "tier=b", "region=r"][wave % 3].parse().expect("valid")),
            4 => Edit::Pause,
            5 | 6 => Edit::Resume,
            _ => Edit::Cancel,
        };
        let (request, author) = (self.request(), "ada".into());
        let wave = Name::from(format!("w{}-{wave}", self.requests / 64));
        self.apply(Command::Maintain(Order { request, author, wave, edit }));
    }

    fn lend(&mut self, i: usize, recall: bool) {
        let action = match recall {
            true => Action::Recall,
            false => Action::Grant(Purpose::Loan("a".into())),
        };
        self.propose(i, action);
    }

    fn propose(&mut self, i: usize, action: Action) {
        let Some(upstream) = self.state.upstreams().get(&name(i)) else { return };
        let step = Step { instance: name(i), epoch: upstream.epoch, action, at: self.now };
        self.proposals.push(Command::Step(step));
    }

    /// What the leader does periodically: it plans, and calls the platform.
    fn plan(&mut self) {
        let plan = Planner::plan(&self.state, self.now.max(self.state.now()));
        let waits = Planner::waits(&self.state);
        for (wave, known) in self.state.waves() {
            let running = known.standing == fleet::Standing::Running && known.left() > 0;
            let acts = plan.iter().any(|command| matches!(command, Command::Step(_)));
            let reports_wait = waits.contains_key(wave);
            assert!(!running || acts || reports_wait, "wave `{wave}` reports no reason to wait");
        }
        self.proposals.extend(plan);
        for i in 0..INSTANCES {
            let Some(upstream) = self.state.upstreams().get(&name(i)) else { continue };
            if upstream.is_draining() && self.machines[i].in_flight == 0 {
                self.propose(i, Action::Drained);
            }
            self.call_platform(i);
        }
    }

    fn call_platform(&mut self, i: usize) {
        let upstream = &self.state.upstreams()[&name(i)];
        let Some(grant) = &upstream.grant else { return };
        if let Phase::Rebooting { incarnation, accepted: false } = grant.phase {
            self.calls.push(Call { instance: i, epoch: upstream.epoch, incarnation });
        }
    }

    fn commit(&mut self, at: usize, twice: bool) {
        if self.proposals.is_empty() {
            return;
        }
        let command = self.proposals.remove(at % self.proposals.len());
        self.apply(command.clone());
        if twice {
            self.proposals.push(command);
        }
    }

    fn reboot(&mut self, at: usize, lost: bool, again: bool) {
        if self.calls.is_empty() {
            return;
        }
        let at = at % self.calls.len();
        let call = if again { self.calls[at].clone() } else { self.calls.remove(at) };
        let machine = &mut self.machines[call.instance];
        let seen = self.reboots.contains_key(&(call.instance, call.epoch));
        if !seen && machine.incarnation == call.incarnation {
            assert_eq!(machine.in_flight, 0, "a reboot interrupted requests in flight");
            machine.down = true;
            *self.reboots.entry((call.instance, call.epoch)).or_default() += 1;
        }
        if !lost && let Some(upstream) = self.state.upstreams().get(&name(call.instance)) {
            let epoch = upstream.epoch;
            if epoch == call.epoch {
                self.propose(call.instance, Action::Rebooted);
            }
        }
    }

    fn come_back(&mut self, i: usize) {
        if std::mem::take(&mut self.machines[i].down) {
            self.machines[i].incarnation += 1;
            self.apply(Command::Announce(self.announcement(i)));
        }
    }

    /// Applies a committed command, and checks the result against the oracle.
    fn apply(&mut self, command: Command) {
        let before = self.state.clone();
        let effects = self.state.apply(command.clone());
        for effect in effects {
            match effect {
                Effect::Serving(a) => self.machines[number(&a.instance)].serving = true,
                Effect::NotServing(instance) => self.machines[number(&instance)].serving = false,
                _ => {}
            }
        }
        self.check_pools(&before);
        self.check_budgets(&before, &command);
        self.check_routing();
        assert!(self.state.now() >= before.now(), "fleet time went back");
    }

    /// An instance moves between pools only without requests in flight, and joins one only if no
    /// other pool matches it.
    fn check_pools(&self, before: &State) {
        for (instance, upstream) in self.state.upstreams() {
            let former = before.upstreams().get(instance).and_then(|u| u.tenure.as_ref());
            let Some(tenure) = &upstream.tenure else { continue };
            if former.is_some_and(|former| former.pool == tenure.pool) {
                continue;
            }
            let machine = &self.machines[number(instance)];
            assert!(former.is_none() || machine.in_flight == 0, "`{instance}` moved while busy");
            assert!(former.is_none_or(|former| former.epoch < tenure.epoch));
            if tenure.pool == tenure.home && former.is_none() {
                assert_eq!(
                    matching(self.state.config(), upstream),
                    std::slice::from_ref(&tenure.pool)
                );
            }
        }
    }

    /// A grant on an available instance exceeds no budget.
    fn check_budgets(&self, before: &State, command: &Command) {
        let Command::Step(Step { instance, .. }) = command else { return };
        let Some(after) = self.state.upstreams().get(instance) else { return };
        let former = &before.upstreams()[instance];
        if after.grant.is_none() || former.grant.is_some() || !before.is_available(former) {
            return;
        }
        for (name, budget) in &self.state.config().budgets {
            let selected = self.state.upstreams().values();
            let selected = selected.filter(|u| budget.selector.matches(&self.state.labels(u)));
            let selected: Vec<_> = selected.collect();
            if !selected.iter().any(|u| u.announcement.instance == *instance) {
                continue;
            }
            let serves =
                |u: &fleet::Upstream| self.machines[number(&u.announcement.instance)].serving;
            let unavailable =
                selected.iter().filter(|u| u.grant.is_some() || !serves(u)).count() as u32;
            let total = selected.len() as u32;
            let allowed =
                budget.max_unavailable.resolve_floor(total) - budget.reserve.resolve_ceil(total);
            assert!(
                unavailable <= allowed,
                "grant for `{instance}` exceeds budget `{name}`: {unavailable} > {allowed}"
            );
        }
    }

    /// The effects so far route requests to exactly the instances that the state says are serving.
    fn check_routing(&self) {
        for (i, machine) in self.machines.iter().enumerate() {
            let upstream = self.state.upstreams().get(&name(i));
            assert_eq!(
                machine.serving,
                upstream.is_some_and(|u| self.state.is_serving(u)),
                "i-{i}"
            );
        }
    }

    fn has_steps_to_propose(&self) -> bool {
        let plan = Planner::plan(&self.state, self.now.max(self.state.now()));
        plan.iter().any(|command| matches!(command, Command::Step(_)))
    }

    /// Runs without further faults; each wave must end, or report what it waits for.
    fn run_to_rest(&mut self) {
        for _ in 0..REST_ROUNDS {
            self.now += Duration::from_secs(15);
            self.plan();
            while !self.proposals.is_empty() {
                self.commit(0, false);
            }
            while !self.calls.is_empty() {
                self.reboot(0, false, false);
            }
            for i in 0..INSTANCES {
                self.machines[i].in_flight = 0;
                self.come_back(i);
            }
        }
        let waits = Planner::waits(&self.state);
        for (name, wave) in self.state.waves() {
            let scheduled = *wave.author == *Planner::SCHEDULE;
            let held = matches!(wave.standing, fleet::Standing::Paused | fleet::Standing::Stopped);
            let reports_wait = held || waits.contains_key(name);
            let reports_wait = reports_wait || scheduled && self.has_steps_to_propose();
            assert!(
                wave.left() == 0 || reports_wait,
                "wave `{name}` neither ended nor waits: {wave:?}"
            );
        }
    }
}

fn name(i: usize) -> Name {
    format!("i-{i}").into()
}

fn number(instance: &str) -> usize {
    instance[2..].parse().expect("instances are numbered")
}

fn matching(config: &Config, upstream: &fleet::Upstream) -> Vec<Name> {
    let mut labels = Labels::default();
    let announced = &upstream.announcement;
    labels.set("service".into(), announced.service.clone());
    labels.set("region".into(), announced.location.region.clone());
    labels.set("rack".into(), announced.location.rack.clone());
    labels.merge(&announced.labels);
    if let Some(instance) = config.instances.get(&announced.instance) {
        labels.merge(&instance.labels);
    }
    let pools = config.pools.iter().filter(|(_, pool)| pool.selector.matches(&labels));
    pools.map(|(name, _)| name.clone()).collect()
}

fn run(events: Vec<Event>) {
    let mut world = World::new();
    for i in 0..INSTANCES {
        world.apply(Command::Announce(world.announcement(i)));
    }
    world.change(0, false, false);
    for event in events {
        world.handle(event);
    }
    world.run_to_rest();
}

#[test]
fn invariants_hold_under_random_events() {
    let steps = std::env::var("SARDINEVALVE_FUZZ_STEPS").ok().and_then(|steps| steps.parse().ok());
    let cases = steps.unwrap_or(TOTAL_STEPS) / STEPS_PER_CASE;
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &SEED);
    let runs = Runs { cases, failure_persistence: None, max_shrink_iters: 200, ..Runs::default() };
    let events = vec(event(), STEPS_PER_CASE as usize);
    TestRunner::new_with_rng(runs, rng)
        .run(&events, |events| {
            run(events);
            Ok(())
        })
        .unwrap();
}
