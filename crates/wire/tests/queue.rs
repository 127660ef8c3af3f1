//! Order and bounds of the frames that wait for one peer.

use {
    std::time::Duration,
    wire::{Class, Expired, Queue},
};

const NOW: Duration = Duration::from_secs(9);
const HEARTBEAT: usize = 40;

fn pop(queue: &mut Queue, now: Duration, class: Class) -> Option<usize> {
    queue.pop(now, class, &mut Expired::default()).map(|body| body.len())
}

/// Guards against a heartbeat that waits for a configuration.
#[test]
fn a_heartbeat_goes_before_what_was_queued_earlier() {
    let mut queue = Queue::default();
    assert!(queue.push(NOW, Class::Bulk, vec![0; 2_000_000]));
    assert!(queue.push(NOW, Class::Bulk, vec![0; 100]));
    assert!(queue.push(NOW, Class::Urgent, vec![0; HEARTBEAT]));
    // Also while the transport takes the first frame.
    assert_eq!(pop(&mut queue, NOW, Class::Bulk), Some(2_000_000));
    assert_eq!(pop(&mut queue, NOW, Class::Urgent), Some(HEARTBEAT));
    queue.written(Class::Urgent);
    assert!(queue.is_idle(Class::Urgent) && !queue.is_idle(Class::Bulk));
    queue.written(Class::Bulk);
    assert_eq!(pop(&mut queue, NOW, Class::Bulk), Some(100));
    assert!(!queue.is_idle(Class::Bulk));
    queue.written(Class::Bulk);
    assert!(queue.is_idle(Class::Bulk));
}

#[test]
fn the_bytes_of_a_class_are_bounded_but_an_empty_class_takes_any_frame() {
    for class in Class::ALL {
        let mut queue = Queue::default();
        assert!(queue.push(NOW, class, vec![0; wire::Frame::MAX_BYTES]));
        assert!(!queue.push(NOW, class, vec![0]), "{class:?} is full");
        for other in Class::ALL.into_iter().filter(|other| *other != class) {
            assert!(queue.push(NOW, other, vec![0]), "{other:?} has bounds of its own");
        }
        assert_eq!(pop(&mut queue, NOW, class), Some(wire::Frame::MAX_BYTES));
        let mut bytes = 0;
        while queue.push(NOW, class, vec![0; 1000]) {
            bytes += 1000;
        }
        assert!(bytes <= Queue::max_bytes(class));
        assert!(bytes + 1000 > Queue::max_bytes(class) || bytes == 4096 * 1000);
    }
}

#[test]
fn frames_that_have_waited_for_too_long_are_dropped_and_counted() {
    for class in Class::ALL {
        let mut queue = Queue::default();
        assert!(queue.push(NOW, class, vec![0; 10]));
        assert!(queue.push(NOW, class, vec![0; 20]));
        let late = NOW + Queue::max_wait(class) + Duration::from_millis(1);
        assert!(queue.push(late, class, vec![0; 30]));
        let mut expired = Expired::default();
        assert_eq!(queue.pop(late, class, &mut expired).map(|body| body.len()), Some(30));
        assert_eq!(expired, Expired { frames: 2, bytes: 30 });
    }
}
