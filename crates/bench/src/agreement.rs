//! What the agreement costs: bytes and messages a second by role, idle and with changes, and commits
//! a second. Reducers run in this process, with a network that takes a millisecond and disks that
//! take no time; bytes are those of the encoded messages, without what the transport adds.

use super::*;
use std::collections::BTreeMap;

/// Voters of every fleet.
const VOTERS: usize = 3;
/// Members of the fleets that are measured.
const SIZES: [usize; 3] = [10, 20, 40];
/// Changes of configuration a day at the planned size.
const CHANGES_A_DAY: u32 = 2_900;
/// Bytes of a change, a whole configuration.
const CHANGE_BYTES: usize = 20_000;
/// Time between two members.
const DELAY: Duration = Duration::from_millis(1);
/// Time before anything is counted.
const WARM_UP: Duration = Duration::from_secs(5);
/// Time that is counted.
const COUNTED: Duration = Duration::from_secs(600);
/// Commands in the measure of commits a second.
const COMMANDS: u32 = 20_000;

pub(crate) fn run() -> eyre::Result<()> {
    println!("| members | changes a day | role | sent B/s | received B/s | messages sent/s |");
    println!("|---|---|---|---|---|---|");
    for size in SIZES {
        for changes in [0, CHANGES_A_DAY] {
            traffic(size, changes)?;
        }
    }
    commits()
}

fn traffic(size: usize, changes: u32) -> eyre::Result<()> {
    let mut fleet = Members::new(size);
    fleet.run(WARM_UP)?;
    fleet.counts.clear();
    let end = fleet.now + COUNTED;
    let gap = Duration::from_secs(86_400).checked_div(changes).unwrap_or(COUNTED);
    while fleet.now < end {
        if changes > 0 {
            fleet.propose(vec![7; CHANGE_BYTES])?;
        }
        fleet.run(gap.min(end - fleet.now))?;
    }
    let leader = fleet.leader().ok_or_else(|| eyre::eyre!("nobody leads"))?;
    let roles = [("leader", leader), ("voter", (leader + 1) % VOTERS), ("observer", VOTERS)];
    for (role, member) in roles {
        let count = fleet.counts.get(&member).copied().unwrap_or_default();
        let a_second = |total: usize| total as f64 / COUNTED.as_secs_f64();
        let (sent, received) = (a_second(count.sent), a_second(count.received));
        let messages = a_second(count.messages);
        println!("| {size} | {changes} | {role} | {sent:.0} | {received:.0} | {messages:.1} |");
    }
    Ok(())
}

fn commits() -> eyre::Result<()> {
    let mut fleet = Members::new(SIZES[0]);
    fleet.run(WARM_UP)?;
    let leader = fleet.leader().ok_or_else(|| eyre::eyre!("nobody leads"))?;
    let before = fleet.states[leader].commit();
    let started = Instant::now();
    for _ in 0..COMMANDS {
        fleet.propose(vec![7; 100])?;
        fleet.run(DELAY)?;
    }
    fleet.run(WARM_UP)?;
    let committed = fleet.states[leader].commit() - before;
    let rate = committed as f64 / started.elapsed().as_secs_f64();
    println!("\n{committed} commands of 100 B committed, {rate:.0} a second of processor time");
    println!("by all {} members together", SIZES[0]);
    Ok(())
}

/// Traffic of a member.
#[derive(Debug, Clone, Copy, Default)]
struct Count {
    sent: usize,
    received: usize,
    messages: usize,
}

/// Members in this process.
struct Members {
    now: Duration,
    states: Vec<quorum::State>,
    agenda: BTreeMap<(Duration, u64), (usize, quorum::Event)>,
    /// Number of the latest subscription to each timer.
    timers: BTreeMap<(usize, quorum::Timer), u64>,
    sequence: u64,
    counts: BTreeMap<usize, Count>,
}

impl Members {
    fn new(size: usize) -> Self {
        let role = |i| if i < VOTERS { quorum::Role::Voter } else { quorum::Role::Observer };
        let roles: BTreeMap<_, _> = (0..size).map(|i| (name(i), role(i))).collect();
        let state = |i: usize| {
            let disk = (i < VOTERS).then_some(i as u64 + 1);
            let restored = quorum::PersistentState { disk, ..Default::default() };
            quorum::State::new(name(i), roles.clone(), restored, u64::MAX - i as u64)
        };
        let mut members = Self {
            now: Duration::ZERO,
            states: (0..size).map(state).collect(),
            agenda: BTreeMap::new(),
            timers: BTreeMap::new(),
            sequence: 0,
            counts: BTreeMap::new(),
        };
        for i in 0..size {
            members.schedule(Duration::ZERO, i, quorum::Event::Start);
        }
        members
    }

    fn leader(&self) -> Option<usize> {
        self.states.iter().position(quorum::State::is_leader)
    }

    fn propose(&mut self, command: Vec<u8>) -> eyre::Result<()> {
        let leader = self.leader().ok_or_else(|| eyre::eyre!("nobody leads"))?;
        self.step(leader, quorum::Event::Propose(command))
    }

    fn run(&mut self, duration: Duration) -> eyre::Result<()> {
        let end = self.now + duration;
        while let Some(first) = self.agenda.first_entry().filter(|first| first.key().0 <= end) {
            let ((at, sequence), (member, event)) = first.remove_entry();
            self.now = at;
            let replaced = matches!(&event, quorum::Event::Timer(timer)
                if self.timers.get(&(member, *timer)) != Some(&sequence));
            if !replaced {
                self.step(member, event)?;
            }
        }
        self.now = end;
        Ok(())
    }

    fn schedule(&mut self, after: Duration, member: usize, event: quorum::Event) {
        self.sequence += 1;
        self.agenda.insert((self.now + after, self.sequence), (member, event));
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
        let sender = self.counts.entry(from).or_default();
        sender.sent += bytes;
        sender.messages += 1;
        self.counts.entry(receiver).or_default().received += bytes;
        self.schedule(DELAY, receiver, quorum::Event::Message { from: name(from), message });
        Ok(())
    }
}

fn name(member: usize) -> model::Name {
    format!("d{member}").into()
}
