//! Messages to one daemon share a frame; none is held for long.

use super::*;

fn order_result(id: job::CallId) -> Message {
    Message::OrderResult { id, boot: 7, result: Err(job::CallError::Timeout) }
}

#[test]
fn results_of_a_moment_share_a_frame() {
    let mut outbox = Outbox::default();
    let leader: Name = "10.0.0.1:1".into();
    for id in 0..5 {
        outbox.push(ms(id), &leader, order_result(id));
    }
    let due = outbox.next_due().expect("results wait");
    assert!(due <= ms(10));
    assert!(outbox.take_due(ms(4)).is_empty());
    let sent = outbox.take_due(due);
    assert_eq!(sent.len(), 1);
    assert_eq!(sent[0].1.len(), 5);
    assert_eq!(outbox.next_due(), None);
}

#[test]
fn an_urgent_message_takes_along_what_waits_for_the_same_daemon() {
    let mut outbox = Outbox::default();
    let (leader, other): (Name, Name) = ("10.0.0.1:1".into(), "10.0.0.2:1".into());
    outbox.push(ms(0), &leader, order_result(1));
    outbox.push(ms(0), &other, order_result(2));
    outbox.push(ms(1), &leader, ping());
    let sent = outbox.take_due(ms(1));
    assert_eq!(sent.len(), 1);
    assert_eq!(sent[0].1.len(), 2);
    assert!(outbox.next_due().is_some(), "the other bundle still waits");
}

#[test]
fn a_full_bundle_is_not_held() {
    let mut outbox = Outbox::default();
    let leader: Name = "10.0.0.1:1".into();
    for id in 0..300 {
        outbox.push(ms(0), &leader, order_result(id));
    }
    assert_eq!(outbox.take_due(ms(0))[0].1.len(), 300);
}

#[test]
fn a_confirmation_waits_for_other_results_but_not_for_long() {
    let mut outbox = Outbox::default();
    let leader: Name = "10.0.0.1:1".into();
    let result = Ok(job::Reply::Done { clock: 5 });
    let confirmation = Message::OrderResult { id: 1, boot: 7, result };
    outbox.push(ms(0), &leader, confirmation.clone());
    assert_eq!(outbox.next_due(), Some(ms(40)));
    outbox.push(ms(20), &leader, order_result(2));
    let sent = outbox.take_due(ms(28));
    assert_eq!(sent[0].1.len(), 2, "it goes along with the next result");
    outbox.push(ms(50), &leader, confirmation);
    assert_eq!(outbox.take_due(ms(90)).len(), 1);
}

fn append(prev_index: Index, entries: Vec<quorum::Entry>) -> Message {
    Message::Quorum(quorum::Message::Append {
        term: 1,
        prev_index,
        prev_term: 1,
        entries,
        commit: 1,
        forced: 0,
        sent: ms(0),
        echo: None,
    })
}

fn entry(bytes: usize) -> quorum::Entry {
    quorum::Entry { term: 1, command: vec![1; bytes], members: None }
}

#[test]
fn the_news_of_a_commit_waits_for_the_next_entries_but_not_for_long() {
    let mut outbox = Outbox::default();
    let member: Name = "10.0.0.2:1".into();
    outbox.push(ms(0), &member, append(1, Vec::new()));
    assert_eq!(outbox.next_due(), Some(ms(10)));
    outbox.push(ms(4), &member, append(1, vec![entry(1)]));
    let sent = outbox.take_due(ms(4));
    let [Message::Quorum(quorum::Message::Append { entries, .. })] = &sent[0].1[..] else {
        panic!("{sent:?}")
    };
    assert_eq!(entries.len(), 1);
}

/// Numbers of messages in the urgent and in the bulk frame.
fn frames(messages: Vec<Message>, matched: Index, bulk_is_idle: bool) -> [usize; 2] {
    Outbox::split(messages, matched, bulk_is_idle).map(|(_, messages)| messages.len())
}

/// Guards against heartbeats and answers that wait for a configuration to the same daemon.
#[test]
fn urgent_messages_share_no_frame_with_what_delays_them() {
    let heartbeat = || append(0, Vec::new());
    let configuration = || append(4, vec![entry(2_000_000)]);
    assert_eq!(frames(vec![configuration(), heartbeat(), ping()], 4, true), [2, 1]);
    let after_it = || append(5, Vec::new());
    assert_eq!(frames(vec![heartbeat(), after_it(), order_result(1)], 4, false), [2, 1]);
    let text: std::sync::Arc<str> = " ".repeat(2_000_000).into();
    let forward = |text| {
        let call = Call::Publish(job::Document { version: 1, text });
        Message::Forward { ticket: 1, call, deadline: None }
    };
    let answer = Message::Answer { ticket: 1, answer: Answer::Config(text.clone()) };
    assert_eq!(frames(vec![forward(text), answer, ping()], 0, true), [1, 2]);
    assert_eq!(frames(vec![forward("{}".into()), ping()], 0, false), [2, 0]);
}

/// Guards against more frames on days without large messages.
#[test]
fn messages_share_a_frame_while_no_bulk_is_on_its_way() {
    let entries = || append(5, vec![entry(100)]);
    assert_eq!(frames(vec![entries(), order_result(1)], 5, true), [2, 0]);
    assert_eq!(
        frames(vec![entries(), order_result(1)], 4, true),
        [0, 2],
        "entries keep their order"
    );
}
