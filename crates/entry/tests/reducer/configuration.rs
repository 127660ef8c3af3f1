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
