//! Messages and announcements with values that no daemon and no instance of the fleet sends.

use super::*;

/// Wall clock of the tests.
const UNIX: job::UnixMs = 1_796_434_962_142;

fn announcement(born: job::UnixMs, sequence: u64) -> job::Announcement {
    job::Announcement {
        incarnation: job::Incarnation { name: "i-1".into(), born },
        machine: "m-1".into(),
        pool: "p".into(),
        address: "10.0.1.1:80".into(),
        data_center: "dc-0".into(),
        capacity: model::Resources { millicores: 16_000, memory_mb: 1000, accelerators: 0 },
        labels: Vec::new().into(),
        condition: job::Condition::Ready,
        clock: 700,
        sequence,
    }
}

/// Announces an instance to `state`, and returns the effects.
fn announce(state: &mut State, announcement: job::Announcement) -> Vec<Effect> {
    let event = Event::Call { ticket: 1, call: Call::Announce(announcement), timeout: ms(900) };
    state.reduce(ms(3000), UNIX, event)
}

/// Start times of the incarnations that were called.
fn called(effects: &[Effect]) -> Vec<job::UnixMs> {
    let called = effects.iter().filter_map(|effect| match effect {
        Effect::CallInstance { call, .. } => Some(call.incarnation.born),
        _ => None,
    });
    called.collect()
}

/// Guards against an entry under the name of an instance that hides the instance, since it claims to
/// have started later.
#[test]
fn an_announcement_from_the_far_future_is_refused_and_hides_no_instance() {
    let mut state = leader();
    for born in [u64::MAX, u64::MAX - 1, UNIX + 25 * 3_600_000] {
        let effects = announce(&mut state, announcement(born, 9));
        assert!(matches!(&answers(&effects)[..], [Answer::Invalid(_)]), "{effects:?}");
        assert!(called(&effects).is_empty());
    }
    let effects = announce(&mut state, announcement(UNIX - 5, 1));
    assert_eq!((answers(&effects), called(&effects)), (vec![Answer::Done], vec![UNIX - 5]));
}

/// Guards against a clock of a daemon that is behind by hours and refuses every instance.
#[test]
fn an_announcement_from_the_near_future_is_accepted() {
    let mut state = leader();
    let effects = announce(&mut state, announcement(UNIX + 3 * 3_600_000, 1));
    assert_eq!(answers(&effects), [Answer::Done]);
}

/// Guards against the overflow of a clock that another daemon reports.
#[test]
fn a_clock_of_a_daemon_of_any_size_ends_no_process() {
    let leader: Name = "10.0.0.1:1".into();
    let mut state = gateway(&leader);
    pong(&mut state, ms(10), &leader, Duration::MAX);
    assert_eq!(forwarded(&submit(&mut state, ms(20), 1)).len(), 1);
    pong(&mut state, ms(30), &leader, Duration::MAX);
}

/// Guards against the overflow of the time for which messages are held.
#[test]
fn a_hold_of_any_length_that_a_daemon_reports_ends_no_process() {
    let leader: Name = "10.0.0.1:1".into();
    let mut state = gateway(&leader);
    let message = Message::Pong {
        leader: Some(leader.clone()),
        members: vec![leader.clone()],
        serves: true,
        large_fleet: false,
        order_hold: Duration::MAX,
        clock: Reading { boot: 7, at: ms(10) },
    };
    peer(&mut state, ms(10), &leader, message);
    let mut outbox = Outbox::default();
    outbox.set_order_hold(state.order_hold());
    let message = Message::OrderResult { id: 1, boot: 7, result: Err(job::CallError::Timeout) };
    outbox.push(ms(20), &leader, message);
    assert_eq!(
        outbox.take_due(ms(120)).len(),
        1,
        "results go on while the instance holds its lease"
    );
}
