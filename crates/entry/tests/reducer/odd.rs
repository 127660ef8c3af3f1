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
