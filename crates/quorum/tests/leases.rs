//! View leases.

use {
    model::{Name, Time},
    quorum::{Effect, Event, Message, PersistentState, Role, Stamp, State},
    std::time::Duration,
};

fn observer(boot: u64) -> State {
    member("observer", boot)
}

fn member(id: &str, boot: u64) -> State {
    let roles = [("leader", Role::Voter), ("voter", Role::Voter), ("observer", Role::Observer)];
    let members = roles.map(|(name, role)| (Name::from(name), role)).into();
    let restored = PersistentState { disk: Some(1), ..PersistentState::default() };
    let mut state = State::new(id.into(), members, restored, boot);
    state.reduce(Time::ZERO, Event::Start);
    state
}

fn append(echo: Option<Stamp>) -> Event {
    let message = Message::Append {
        term: 1,
        prev_index: 0,
        prev_term: 0,
        entries: Vec::new(),
        commit: 0,
        forced: 0,
        sent: Time::ZERO,
        echo,
    };
    Event::Message { from: "leader".into(), message }
}

fn stamp(effects: &[Effect]) -> Option<Stamp> {
    effects.iter().find_map(|effect| match effect {
        Effect::Send { message: Message::Appended { stamp, .. }, .. } => Some(*stamp),
        _ => None,
    })
}

#[test]
fn a_restarted_member_ignores_a_lease_from_its_previous_start() {
    let second = Duration::from_secs(1);
    let previous = stamp(&observer(1).reduce(100 * second, append(None)));
    let mut restarted = observer(2);
    restarted.reduce(second, append(previous));
    assert!(!restarted.has_view_lease(second));
}

#[test]
fn a_lease_starts_at_the_echoed_timestamp_and_expires() {
    let second = Duration::from_secs(1);
    let mut state = observer(1);
    let stamp = stamp(&state.reduce(second, append(None)));
    state.reduce(2 * second, append(stamp));
    assert!(state.has_view_lease(2 * second));
    assert!(!state.has_view_lease(3 * second));
}

#[test]
fn a_message_of_an_outdated_term_is_rejected_without_an_acknowledgement() {
    let mut voter = member("voter", 1);
    let newer = Message::Ask { term: 2, pre: false, yielded: false, last_index: 9, last_term: 1 };
    let second = Duration::from_secs(1);
    voter.reduce(second, Event::Message { from: "leader".into(), message: newer });
    let effects = voter.reduce(2 * second, append(None));
    assert_eq!(stamp(&effects), None);
    let refused = Effect::Send { to: "leader".into(), message: Message::Refused { term: 2 } };
    assert_eq!(effects, [refused]);
}
