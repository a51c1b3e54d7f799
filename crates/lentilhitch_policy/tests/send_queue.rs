//! The queue of datagrams under a burst of updates.

use lentilhitch_policy::send_queue::{SendQueue, Urgency};

/// Load pattern: all replicas of a zone are replaced, which is some megabytes of updates to the nodes of a zone, and a new
/// configuration is announced in the middle of it.
#[test]
fn announcement_does_not_wait_behind_updates() {
    const N_NODES: usize = 52;
    const N_UPDATES: usize = 12;
    const UPDATE_BYTES: usize = 3_600;
    let mut queue = SendQueue::new(1_024 * 1_024);
    for update in 0..N_UPDATES {
        for node in 0..N_NODES {
            queue.push(("update", update, node), UPDATE_BYTES, Urgency::Normal);
        }
    }
    let first = queue.pop().map(|it| it.0);
    assert_eq!(first, Some(("update", 0, 0)));
    for node in 0..N_NODES {
        assert!(queue.push(("announcement", 0, node), 20, Urgency::Urgent), "a full queue");
    }
    for node in 0..N_NODES {
        assert_eq!(queue.pop(), Some((("announcement", 0, node), 20)));
    }
    let next = queue.pop().map(|it| it.0);
    assert_eq!(next, Some(("update", 0, 1)), "updates keep their order");
}

#[test]
fn updates_are_dropped_when_too_many_bytes_wait() {
    let mut queue = SendQueue::new(100);
    assert!(queue.push("a", 60, Urgency::Normal));
    assert!(!queue.push("b", 60, Urgency::Normal));
    assert_eq!(queue.pop(), Some(("a", 60)));
    assert!(queue.push("b", 60, Urgency::Normal));
    assert_eq!(queue.pop(), Some(("b", 60)));
    assert_eq!(queue.pop(), None);
}
