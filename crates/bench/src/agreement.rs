//! Cost of consensus: bytes and messages per second by role, idle and with changes, and commits per
//! second. All members run in this process, with a network delay of 1 ms and disks without latency.
//! Bytes are those of the encoded messages, without the overhead of the transport.

use super::*;
use std::collections::BTreeMap;

/// Voters in every fleet.
const VOTERS: usize = 3;
/// Numbers of members of the measured fleets.
const FLEET_SIZES: [usize; 3] = [10, 20, 40];
/// Configuration changes per day at the planned fleet size.
const CHANGES_A_DAY: u32 = 2_900;
/// Size of a change, which holds a whole configuration.
const CHANGE_BYTES: usize = 20_000;
/// One-way network delay between two members.
const DELAY: Duration = Duration::from_millis(1);
/// Time before the measurement starts.
const WARM_UP: Duration = Duration::from_secs(5);
/// Length of the measurement.
const MEASURED: Duration = Duration::from_secs(600);
/// Commands proposed to measure commits per second.
const COMMANDS: u32 = 20_000;

pub(crate) fn run() -> eyre::Result<()> {
    println!("| members | changes a day | role | sent B/s | received B/s | messages sent/s |");
    println!("|---|---|---|---|---|---|");
    for size in FLEET_SIZES {
        for changes in [0, CHANGES_A_DAY] {
            measure_traffic(size, changes)?;
        }
    }
    measure_commits()
}

fn measure_traffic(size: usize, changes: u32) -> eyre::Result<()> {
    let mut fleet = SimulatedFleet::new(size);
    fleet.run(WARM_UP)?;
    fleet.traffic.clear();
    let end = fleet.now + MEASURED;
    let interval = Duration::from_secs(86_400).checked_div(changes).unwrap_or(MEASURED);
    while fleet.now < end {
        if changes > 0 {
            fleet.propose(vec![7; CHANGE_BYTES])?;
        }
        fleet.run(interval.min(end - fleet.now))?;
    }
    let leader = fleet.leader().ok_or_else(|| eyre::eyre!("no member leads"))?;
    let roles = [("leader", leader), ("voter", (leader + 1) % VOTERS), ("observer", VOTERS)];
    for (role, member) in roles {
        let count = fleet.traffic.get(&member).copied().unwrap_or_default();
        let per_second = |total: usize| total as f64 / MEASURED.as_secs_f64();
        let (sent, received) = (per_second(count.sent), per_second(count.received));
        let messages = per_second(count.messages);
        println!("| {size} | {changes} | {role} | {sent:.0} | {received:.0} | {messages:.1} |");
    }
    Ok(())
}

fn measure_commits() -> eyre::Result<()> {
    let mut fleet = SimulatedFleet::new(FLEET_SIZES[0]);
    fleet.run(WARM_UP)?;
    let leader = fleet.leader().ok_or_else(|| eyre::eyre!("no member leads"))?;
    let before = fleet.states[leader].commit_index();
    let started = Instant::now();
    for _ in 0..COMMANDS {
        fleet.propose(vec![7; 100])?;
        fleet.run(DELAY)?;
    }
    fleet.run(WARM_UP)?;
    let committed = fleet.states[leader].commit_index() - before;
    let rate = committed as f64 / started.elapsed().as_secs_f64();
    println!("\n{committed} commands of 100 B committed, {rate:.0} a second of processor time");
    println!("by all {} members together", FLEET_SIZES[0]);
    Ok(())
}

/// Traffic of a member: bytes sent and received, and messages sent.
#[derive(Debug, Clone, Copy, Default)]
struct Traffic {
    sent: usize,
    received: usize,
    messages: usize,
}

/// The members of a fleet on simulated time.
struct SimulatedFleet {
    now: Duration,
    states: Vec<quorum::State>,
    /// Scheduled events, by time and then by the order in which they were scheduled.
    events: BTreeMap<(Duration, u64), (usize, quorum::Event)>,
    /// Sequence number of the latest event of each timer; earlier ones are replaced by it.
    timers: BTreeMap<(usize, quorum::Timer), u64>,
    sequence: u64,
    traffic: BTreeMap<usize, Traffic>,
}

impl SimulatedFleet {
    fn new(size: usize) -> Self {
        let role = |i| if i < VOTERS { quorum::Role::Voter } else { quorum::Role::Observer };
        let roles: BTreeMap<_, _> = (0..size).map(|i| (name(i), role(i))).collect();
        let state = |i: usize| {
            let disk = (i < VOTERS).then_some(i as u64 + 1);
            let restored = quorum::PersistentState { disk, ..Default::default() };
            quorum::State::new(name(i), roles.clone(), restored, u64::MAX - i as u64)
        };
        let mut fleet = Self {
            now: Duration::ZERO,
            states: (0..size).map(state).collect(),
            events: BTreeMap::new(),
            timers: BTreeMap::new(),
            sequence: 0,
            traffic: BTreeMap::new(),
        };
        for i in 0..size {
            fleet.schedule(Duration::ZERO, i, quorum::Event::Start);
        }
        fleet
    }

    fn leader(&self) -> Option<usize> {
        self.states.iter().position(quorum::State::is_leader)
    }

    fn propose(&mut self, command: Vec<u8>) -> eyre::Result<()> {
        let leader = self.leader().ok_or_else(|| eyre::eyre!("no member leads"))?;
        self.step(leader, quorum::Event::Propose(command))
    }

    fn run(&mut self, duration: Duration) -> eyre::Result<()> {
        let end = self.now + duration;
        while let Some(first) = self.events.first_entry().filter(|first| first.key().0 <= end) {
            let ((at, sequence), (member, event)) = first.remove_entry();
            self.now = at;
            let superseded = matches!(&event, quorum::Event::Timer(timer)
                if self.timers.get(&(member, *timer)) != Some(&sequence));
            if !superseded {
                self.step(member, event)?;
            }
        }
        self.now = end;
        Ok(())
    }

    fn schedule(&mut self, after: Duration, member: usize, event: quorum::Event) {
        self.sequence += 1;
        self.events.insert((self.now + after, self.sequence), (member, event));
    }

    fn step(&mut self, member: usize, event: quorum::Event) -> eyre::Result<()> {
        for effect in self.states[member].reduce(self.now, event) {
            match effect {
                quorum::Effect::Send { to, message } => self.send(member, &to, message)?,
                quorum::Effect::Subscribe { timer, after } => {
                    self.schedule(after, member, quorum::Event::Timer(timer));
                    self.timers.insert((member, timer), self.sequence);
                }
                quorum::Effect::Persist(quorum::Record::Entries { first, entries }) => {
                    let Some(last) = entries.last() else { continue };
                    let (term, index) = (last.term, first + entries.len() as u64 - 1);
                    self.schedule(Duration::ZERO, member, quorum::Event::Synced { term, index });
                }
                quorum::Effect::Snapshot { index } => {
                    let state = vec![7; CHANGE_BYTES];
                    let event = quorum::Event::Snapshot { index, state };
                    self.schedule(Duration::ZERO, member, event);
                }
                _ => {}
            }
        }
        Ok(())
    }

    fn send(
        &mut self,
        from: usize,
        to: &model::Name,
        message: quorum::Message,
    ) -> eyre::Result<()> {
        let bytes = postcard::to_stdvec(&message)?.len();
        let receiver = to[1..].parse()?;
        let sender = self.traffic.entry(from).or_default();
        sender.sent += bytes;
        sender.messages += 1;
        self.traffic.entry(receiver).or_default().received += bytes;
        self.schedule(DELAY, receiver, quorum::Event::Message { from: name(from), message });
        Ok(())
    }
}

fn name(member: usize) -> model::Name {
    format!("d{member}").into()
}
