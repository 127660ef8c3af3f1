//! What a leader sends again to a member that has missed messages, and leadership transfer.

use {
    model::Name,
    quorum::{
        Effect, Entry, Event, Limits, Log, Message, PersistentState, Role, State, Timer, Timing,
    },
    std::{collections::VecDeque, time::Duration},
};

fn member(id: &str) -> State {
    let members = ["a", "b"].map(|name| (Name::from(name), Role::Voter)).into();
    let disk = Some(id.len() as u64 + 1);
    let restored = PersistentState { disk, ..PersistentState::default() };
    State::new(id.into(), members, restored, 1)
}

/// Collects the messages among `effects`; records become durable at once.
fn handle_effects(
    state: &mut State,
    now: Duration,
    effects: Vec<Effect>,
    out: &mut VecDeque<Message>,
) {
    for effect in effects {
        match effect {
            Effect::Send { message, .. } => out.push_back(message),
            Effect::Persist(quorum::Record::Entries { first, entries }) => {
                let Some(last) = entries.last() else { continue };
                let index = first + entries.len() as u64 - 1;
                let synced = Event::Synced { term: last.term, index };
                let effects = state.reduce(now, synced);
                handle_effects(state, now, effects, out);
            }
            _ => {}
        }
    }
}

fn step(state: &mut State, now: Duration, event: Event) -> VecDeque<Message> {
    let mut out = VecDeque::new();
    let effects = state.reduce(now, event);
    handle_effects(state, now, effects, &mut out);
    out
}

/// Delivers messages in both directions until none are left; returns the number of entries sent.
fn exchange(a: &mut State, b: &mut State, now: Duration, mut to_b: VecDeque<Message>) -> usize {
    let mut entries = 0;
    while let Some(message) = to_b.pop_front() {
        if let Message::Append { entries: sent, .. } = &message {
            entries += sent.len();
        }
        for message in step(b, now, Event::Message { from: "a".into(), message }) {
            to_b.extend(step(a, now, Event::Message { from: "b".into(), message }));
        }
    }
    entries
}

const SECOND: Duration = Duration::from_secs(1);

/// Two voters, of which the first has been elected 5 s after the start.
fn leader_and_follower() -> (State, State) {
    let (mut a, mut b) = (member("a"), member("b"));
    a.reduce(Duration::ZERO, Event::Start);
    b.reduce(Duration::ZERO, Event::Start);
    let asked = step(&mut a, 5 * SECOND, Event::Timer(Timer::Election));
    exchange(&mut a, &mut b, 5 * SECOND, asked);
    assert!(a.is_leader());
    (a, b)
}

const COMMANDS: usize = 300;

#[test]
fn entries_after_a_lost_message_are_resent_once_however_many_were_in_flight() {
    let (mut a, mut b) = leader_and_follower();

    // The follower is paused, so that all messages are delivered late, and the first one is lost.
    let mut delayed = VecDeque::new();
    for i in 0..COMMANDS {
        let now = 6 * SECOND + Duration::from_millis(10 * i as u64);
        delayed.extend(step(&mut a, now, Event::Propose(vec![0; 4096])));
    }
    delayed.pop_front();
    let sent = exchange(&mut a, &mut b, 10 * SECOND, delayed);
    assert!(sent <= 3 * COMMANDS, "{sent} entries were sent for {COMMANDS}");
    let last = a.last_index();
    assert_eq!(b.last_index(), last);
}

/// Guards against a leader that steps down for entries that are still on their way.
#[test]
fn a_leader_keeps_its_lease_while_large_entries_are_on_their_way() {
    let (mut a, mut b) = leader_and_follower();
    let mut now = 5 * SECOND + Timing::HEARTBEAT_INTERVAL;
    let heartbeat = step(&mut a, now, Event::Timer(Timer::Heartbeat));
    assert_eq!(heartbeat.len(), 1, "a heartbeat to a member that has answered is one message");
    exchange(&mut a, &mut b, now, heartbeat);
    let known = b.last_index();
    let mut ordered = step(&mut a, now, Event::Propose(vec![0; 2_000_000]));
    let until = now + 6 * Timing::LEADER_LEASE;
    while now < until {
        now += Timing::HEARTBEAT_INTERVAL;
        let sent = step(&mut a, now, Event::Timer(Timer::Heartbeat));
        // Whatever follows the entries arrives after them.
        let is_ordered = |message: &Message| {
            matches!(message, Message::Append { prev_index, entries, .. }
                if *prev_index > known || !entries.is_empty())
        };
        let (later, overtaking): (VecDeque<_>, _) = sent.into_iter().partition(is_ordered);
        ordered.extend(later);
        exchange(&mut a, &mut b, now, overtaking);
        assert!(a.is_leader() && a.has_leader_lease(now));
        assert_eq!((b.last_index(), b.commit_index()), (known, known));
    }
    assert!(a.has_leader_lease(now));
    assert_eq!(a.commit_index(), known);
    assert_eq!(exchange(&mut a, &mut b, now, ordered), 1, "the entry is sent once");
    assert_eq!(a.commit_index(), known + 1);
    assert_eq!(b.last_index(), known + 1);
}

#[test]
fn leadership_transfer_elects_a_voter_with_a_complete_log_at_once() {
    let (mut a, mut b) = leader_and_follower();
    let now = 6 * SECOND;
    let proposed = step(&mut a, now, Event::Propose(vec![1]));
    assert!(step(&mut a, now, Event::Yield).is_empty(), "no other voter has a complete log yet");
    assert!(a.is_leader());
    exchange(&mut a, &mut b, now, proposed);
    let yielded = step(&mut a, now, Event::Yield);
    assert!(!a.is_leader() && !a.has_leader_lease(now));
    exchange(&mut a, &mut b, now, yielded);
    assert!(b.is_leader());
    assert_eq!(b.last_index(), a.last_index());
}

#[test]
fn a_leader_knows_the_run_of_a_member_once_it_has_answered_in_this_term() {
    let (mut a, mut b) = leader_and_follower();
    assert_eq!(a.boot_of(&"b".into()), Some(1));
    assert_eq!(b.boot_of(&"a".into()), None, "a follower does not know");

    // The leader loses its lease and is elected again; an answer to an earlier term does not count.
    let now = 6 * SECOND;
    let late = step(&mut a, now, Event::Propose(vec![1]))
        .into_iter()
        .flat_map(|message| step(&mut b, now, Event::Message { from: "a".into(), message }))
        .collect::<Vec<_>>();
    step(&mut a, 10 * SECOND, Event::Timer(Timer::Heartbeat));
    assert!(!a.is_leader());
    let members = ["a", "b"].map(|name| (Name::from(name), Role::Voter)).into();
    let restored = PersistentState { disk: Some(2), ..PersistentState::default() };
    let mut restarted = State::new("b".into(), members, restored, 2);
    restarted.reduce(11 * SECOND, Event::Start);
    let now = 16 * SECOND;
    let asked = step(&mut a, now, Event::Timer(Timer::Election));
    exchange(&mut a, &mut restarted, now, asked);
    assert!(a.is_leader());
    for message in late {
        step(&mut a, now, Event::Message { from: "b".into(), message });
    }
    assert_eq!(a.boot_of(&"b".into()), Some(2));
}

#[test]
fn a_leader_lease_ends_without_an_event() {
    let (a, b) = leader_and_follower();
    assert!(a.has_leader_lease(5 * SECOND));
    assert!(!a.has_leader_lease(5 * SECOND + Timing::LEADER_LEASE));
    assert!(!b.has_leader_lease(5 * SECOND));
}

#[test]
fn only_a_leader_that_is_the_only_voter_keeps_its_lease() {
    let members = [(Name::from("a"), Role::Voter)].into();
    let restored = PersistentState { disk: Some(2), ..PersistentState::default() };
    let mut alone = State::new("a".into(), members, restored, 1);
    alone.reduce(Duration::ZERO, Event::Start);
    step(&mut alone, 5 * SECOND, Event::Timer(Timer::Election));
    assert!(alone.has_leader_lease(60 * SECOND));
}

#[test]
fn appends_that_follow_each_other_can_be_sent_as_one() {
    let (mut a, mut b) = leader_and_follower();
    let now = 6 * SECOND;
    let mut proposed = VecDeque::new();
    for i in 0..3 {
        proposed.extend(step(&mut a, now + i * SECOND / 100, Event::Propose(vec![1])));
    }
    let mut first = proposed.pop_front().expect("an append");
    for later in proposed {
        first.merge(later).expect("it follows");
    }
    assert_eq!(exchange(&mut a, &mut b, now + SECOND / 10, [first].into()), 3);
    assert_eq!(b.last_index(), a.last_index());
    assert_eq!(a.commit_index(), a.last_index());
    assert!(a.has_leader_lease(now + SECOND / 50 + Timing::LEADER_LEASE - SECOND / 1000));
}

#[test]
fn appends_with_a_gap_are_not_sent_as_one() {
    let (mut a, _) = leader_and_follower();
    let mut first = step(&mut a, 6 * SECOND, Event::Propose(vec![1]));
    step(&mut a, 6 * SECOND, Event::Propose(vec![2]));
    let third = step(&mut a, 6 * SECOND, Event::Propose(vec![3])).pop_front();
    let third = third.expect("an append");
    let mut first = first.pop_front().expect("an append");
    assert_eq!(first.merge(third.clone()), Err(third));
}

/// Guards against a member that cannot catch up, since what it waits for is queued behind a message
/// for each proposal.
#[test]
fn a_member_that_receives_a_snapshot_gets_no_message_for_each_proposal() {
    let limits = Limits {
        snapshot_interval_bytes: 50,
        retained_entries: 1,
        retained_bytes: 1000,
        max_message_bytes: 60,
    };
    let (a, mut b) = leader_and_follower();
    let mut a = a.with_limits(limits);
    let now = 6 * SECOND;
    for _ in 0..10 {
        let proposed = step(&mut a, now, Event::Propose(vec![0; 10]));
        exchange(&mut a, &mut b, now, proposed);
    }
    let index = a.commit_index();
    step(&mut a, now, Event::Snapshot { index, state: vec![0; 500] });
    let disk = Some(9);
    let members = ["a", "b"].map(|name| (Name::from(name), Role::Voter)).into();
    let restored = PersistentState { disk, ..PersistentState::default() };
    let mut empty = State::new("b".into(), members, restored, 2);
    empty.reduce(now, Event::Start);
    let heartbeat = step(&mut a, now, Event::Timer(Timer::Heartbeat));
    let mut to_a = VecDeque::new();
    for message in heartbeat {
        to_a.extend(step(&mut empty, now, Event::Message { from: "a".into(), message }));
    }
    let mut sent = VecDeque::new();
    for message in to_a {
        sent.extend(step(&mut a, now, Event::Message { from: "b".into(), message }));
    }
    assert!(
        sent.iter()
            .any(|message| matches!(message, Message::Chunk { data, .. } if !data.is_empty()))
    );
    let mut more = 0;
    for i in 1..=100 {
        more += step(&mut a, now + SECOND * i / 1000, Event::Propose(vec![0; 10])).len();
    }
    assert!(more <= 1, "{more} messages in 100 ms");
}

/// Guards against memory that grows with the size of commands: entries are retained up to a number of
/// bytes as well.
#[test]
fn large_entries_before_a_snapshot_are_not_all_retained() {
    let entry = |bytes| Entry { term: 1, command: vec![0; bytes], members: None };
    let log = Log::new(None, vec![entry(10), entry(400), entry(400), entry(400), entry(10)]);
    assert_eq!(log.start_of_tail(5, 1000, 10_000), 0, "all");
    assert_eq!(log.start_of_tail(5, 1000, 1000), 2);
    assert_eq!(log.start_of_tail(5, 3, 10_000), 2);
    assert_eq!(log.start_of_tail(4, 1000, 400), 3);
    assert_eq!(log.start_of_tail(4, 1000, 10), 4, "none");
}
