//! An answer belongs to one call of one process.

use super::*;

/// Guards against a false 200: a leader answers a call of the former process of a gateway.
#[test]
fn an_answer_to_a_call_of_the_former_process_is_not_taken_for_one_of_the_new() {
    let leader: Name = "10.0.0.1:1".into();
    let call = |boot| {
        let (sender, _) = oneshot::channel();
        let mut tickets = Tickets::new(boot);
        let ticket = tickets.insert(sender);
        let mut state = gateway(&leader);
        assert_eq!(forwarded(&submit(&mut state, ms(20), ticket)).len(), 1);
        (state, tickets, ticket)
    };
    let (_, _, former) = call(0x9c8c_ff04_4393_c2ad);
    let (mut state, mut tickets, ticket) = call(0x1760_4f64_54a5_a7cf);
    let answer = Message::Answer { ticket: former, answer: Answer::Done };
    assert_eq!(answers(&peer(&mut state, ms(500), &leader, answer)), []);
    assert!(tickets.take(former).is_none());
    let answer = Message::Answer { ticket, answer: Answer::Done };
    assert_eq!(answers(&peer(&mut state, ms(600), &leader, answer)), [Answer::Done]);
    assert!(tickets.take(ticket).is_some());
}
