//! How a configuration travels from the daemon that its operator calls to all voters.

use super::*;

/// Messages to other daemons.
fn sent(effects: &[Effect]) -> impl Iterator<Item = &Message> {
    effects.iter().filter_map(|effect| match effect {
        Effect::Send { message, .. } | Effect::SendDurable { message, .. } => Some(message),
        _ => None,
    })
}

/// Guards against entries that are larger than the bound on requests lets expect.
#[test]
fn an_entry_holds_the_text_of_a_configuration_alone() {
    let mut state = leader_of_two(ms(0));
    let call = configuration(config(2));
    let Call::Configure(config) = &call else { panic!("{call:?}") };
    let text = config.text.len();
    let effects = run(&mut state, ms(10), Event::Call { ticket: 1, call, timeout: ms(900) });
    let entries = sent(&effects).find_map(|message| match message {
        Message::Quorum(quorum::Message::Append { entries, .. }) => entries.first(),
        _ => None,
    });
    let bytes = entries.expect("the entry is replicated").command.len();
    assert!(bytes <= text + 16, "{bytes} bytes for a text of {text}");
}

/// Text of a configuration, as the leader holds it.
fn state_text(version: u64) -> std::sync::Arc<str> {
    let Call::Configure(config) = configuration(config(version)) else { unreachable!() };
    config.text
}

fn call(state: &mut State, now: Time, ticket: CallTicket, call: Call) -> Vec<Effect> {
    state.reduce(now, 0, Event::Call { ticket, call, timeout: ms(4000) })
}

/// Guards against copies of a configuration in the log, one for each time that its operator sends it.
#[test]
fn a_configuration_on_its_way_to_the_log_is_proposed_once() {
    let mut state = leader();
    let before = state.quorum.as_ref().expect("the state has a log").last_index();
    let mut effects = Vec::new();
    for ticket in 1..=3 {
        effects.extend(call(&mut state, ms(3100), ticket, configuration(config(2))));
    }
    let last = state.quorum.as_ref().expect("the state has a log").last_index();
    assert_eq!(last, before + 1);
    let settled = access::settle(&mut state, effects);
    assert_eq!(answers(&settled), [Answer::Done, Answer::Done, Answer::Done]);
    assert_eq!(state.version(), Some(2));
}

/// Guards against reads that carry the whole configuration between daemons.
#[test]
fn a_read_of_the_newest_configuration_carries_no_text() {
    let leader_name: Name = "10.0.0.1:1".into();
    let mut asking = gateway(&leader_name);
    let newest = job::Config { text: state_text(1), ..config(1) };
    asking.table.apply(Command::Configure(newest));
    let effects = call(&mut asking, ms(10), 5, Call::Config);
    let forwarded = sent(&effects).find_map(|message| match message {
        Message::Forward { call, .. } => Some(call.clone()),
        _ => None,
    });
    assert_eq!(forwarded, Some(Call::ConfigSince(1)));

    let mut state = leader();
    let mut answer_to = |call| {
        let (ticket, deadline) = (5, Some(Reading { boot: 7, at: ms(9000) }));
        let message = Message::Forward { ticket, call, deadline };
        let effects = peer(&mut state, ms(3100), &"10.0.0.9:1".into(), message);
        sent(&effects).find_map(|message| match message {
            Message::Answer { answer, .. } => Some(answer.clone()),
            _ => None,
        })
    };
    assert_eq!(answer_to(Call::ConfigSince(1)), Some(Answer::Current));
    let text = state_text(1);
    assert_eq!(answer_to(Call::ConfigSince(0)), Some(Answer::Config(text.clone())));

    let message = Message::Answer { ticket: 5, answer: Answer::Current };
    let effects = peer(&mut asking, ms(20), &leader_name, message);
    assert_eq!(answers(&effects), [Answer::Config(text)]);
}

/// Guards against copies of a large call that fill the link on which the first one is carried.
#[test]
fn a_large_call_is_not_sent_again_before_it_can_have_arrived() {
    let leader: Name = "10.0.0.1:1".into();
    let mut state = gateway(&leader);
    let large = job::Config { text: "x".repeat(500_000).into(), ..config(2) };
    let first = call(&mut state, ms(10), 5, Call::Configure(Box::new(large)));
    assert_eq!(forwarded(&first).len(), 1);
    let mut copies = 0;
    for at in (100..2900).step_by(100) {
        pong(&mut state, ms(at), &leader, ms(5000 + at));
        copies += forwarded(&state.reduce(ms(at), 0, Event::Timer(Timer::Tick))).len();
    }
    assert_eq!(copies, 0);
    pong(&mut state, ms(3050), &leader, ms(8050));
    assert_eq!(forwarded(&state.reduce(ms(3050), 0, Event::Timer(Timer::Tick))).len(), 1);
}
