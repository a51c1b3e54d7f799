//! Quarantines in the store: nodes that all start at once take them over, none lasts longer by that, and the record is
//! written only when it changes.

use lentilhitch_policy::{
    quarantine_register::{Now, QuarantineRecord, QuarantineRegister},
    suspects::{QuarantinedRequest, Suspects, segments::Settings},
};
use lentilhitch_types::{Fingerprint, SegmentId, StoreEra};

const SETTINGS: Settings = Settings {
    n_crashes: 3,
    moment_ms: 300,
    objection_ms: 1_000,
    quarantine_ms: 300_000,
    reminder_interval_ms: 1_000,
};
const SEGMENT: SegmentId = SegmentId(0xCAFE);
const REQUEST: Fingerprint = Fingerprint(7);
const ERA: StoreEra = StoreEra(1);
/// Local time of a node when the tests begin, and the synchronized time then.
const START_MS: u64 = 3_600_000;
const SYNCED_START_MS: u64 = 1_800_000_000_000;

/// A node, whose clock has its own start.
struct Node {
    suspects: Suspects,
    register: QuarantineRegister,
    clock_offset_ms: u64,
}

impl Node {
    fn new(clock_offset_ms: u64) -> Self {
        Self {
            suspects: Suspects::new(SETTINGS),
            register: QuarantineRegister::default(),
            clock_offset_ms,
        }
    }

    /// Returns the time on this node's clocks.
    fn now(&self, elapsed_ms: u64) -> Now {
        let local_ms = START_MS + elapsed_ms - self.clock_offset_ms;
        Now { local_ms, synced_ms: SYNCED_START_MS + elapsed_ms }
    }

    fn due(&mut self, elapsed_ms: u64) -> Option<QuarantineRecord> {
        let now = self.now(elapsed_ms);
        self.suspects.segments.decide(now.local_ms);
        self.suspects.end_adopted_quarantines(now.local_ms);
        self.register.due_record(&self.suspects, ERA, now)
    }

    /// Writes the record if it is due. Returns whether it was.
    fn write(&mut self, store: &mut Option<QuarantineRecord>, elapsed_ms: u64) -> bool {
        let Some(record) = self.due(elapsed_ms) else { return false };
        self.register.on_written(record.clone());
        *store = Some(record);
        true
    }

    fn read(&mut self, store: Option<&QuarantineRecord>, elapsed_ms: u64) {
        let now = self.now(elapsed_ms);
        self.register.on_read(store.cloned(), &mut self.suspects, now);
    }

    fn is_quarantined(&mut self, elapsed_ms: u64) -> (bool, bool) {
        let _ = self.due(elapsed_ms);
        (self.suspects.segments.is_quarantined(SEGMENT), self.suspects.is_quarantined(REQUEST))
    }
}

/// Returns a node at which a segment and a request are quarantined 2 s after the start, and the store that has both.
fn node_with_quarantines() -> (Node, Option<QuarantineRecord>) {
    let mut node = Node::new(0);
    // At other crashes, since a quarantined request explains its own.
    for crash in 0..3 {
        node.suspects.segments.record_crash(crash, &[SEGMENT], START_MS + crash * 400);
        node.suspects.insert_evidence(REQUEST, 100 + crash);
    }
    let mut store = None;
    assert!(node.write(&mut store, 2_000));
    assert_eq!(node.is_quarantined(2_000), (true, true));
    (node, store)
}

/// Guards against what crashes upstreams being forgotten with the last node, and being found again by further crashes.
#[test]
fn nodes_that_all_start_at_once_take_quarantines_over() {
    let (_, store) = node_with_quarantines();
    for started_ms in [3_000, 100_000] {
        let mut node = Node::new(started_ms);
        node.read(store.as_ref(), started_ms);
        assert_eq!(node.is_quarantined(started_ms), (true, true), "started at {started_ms} ms");
        assert_eq!(node.due(started_ms), None, "the store has them already");
    }
}

/// Guards against a wrong quarantine that each loss of all nodes makes longer.
#[test]
fn quarantine_ends_at_the_same_time_at_nodes_that_take_it_over() {
    let (mut first, mut store) = node_with_quarantines();
    let end_ms = 2_000 + SETTINGS.quarantine_ms;
    for started_ms in [50_000, 150_000, 250_000] {
        let mut node = Node::new(started_ms);
        node.read(store.as_ref(), started_ms);
        node.write(&mut store, started_ms);
        assert_eq!(node.is_quarantined(end_ms - 1), (true, true), "started at {started_ms} ms");
        assert_eq!(node.is_quarantined(end_ms), (false, false), "started at {started_ms} ms");
    }
    assert_eq!(first.is_quarantined(end_ms), (false, true));
    let mut late = Node::new(end_ms);
    late.read(store.as_ref(), end_ms);
    assert_eq!(late.is_quarantined(end_ms), (false, false));
}

/// Guards against nodes that extend a quarantine that they have from the store by reminding each other of it.
#[test]
fn request_that_is_taken_over_is_not_reported_to_others() {
    let (_, store) = node_with_quarantines();
    let mut node = Node::new(10_000);
    node.read(store.as_ref(), 10_000);
    let now_ms = node.now(20_000).local_ms;
    assert_eq!(node.suspects.take_reminders(now_ms), []);
    node.suspects.on_quarantined(QuarantinedRequest(REQUEST));
    assert_eq!(node.suspects.take_reminders(now_ms + 10_000).len(), 1, "a peer has found it");
}

/// Guards against a quarantine that was found to be wrong and that nodes take over again from the store.
#[test]
fn quarantine_that_an_answer_has_ended_leaves_the_store() {
    let (mut node, mut store) = node_with_quarantines();
    let old = store.clone();
    node.suspects.segments.record_answer(&[SEGMENT], node.now(5_000).local_ms);
    assert!(node.write(&mut store, 5_000));
    let mut started = Node::new(6_000);
    started.read(store.as_ref(), 6_000);
    assert_eq!(started.is_quarantined(6_000), (false, true));

    // The store returns from a copy that has the earlier record.
    node.read(old.as_ref(), 7_000);
    assert_eq!(node.is_quarantined(7_000), (false, true));
    let now = node.now(7_000);
    let due = node.register.due_record(&node.suspects, StoreEra(2), now);
    assert!(due.is_some(), "the record of the new era is out of date");
}

/// Guards against writes without a change.
#[test]
fn record_is_written_once_for_each_change() {
    let mut store = None;
    let mut idle = Node::new(0);
    assert!(!idle.write(&mut store, 1_000), "nothing is quarantined");
    let (mut node, mut store) = node_with_quarantines();
    let n_writes = (3..400_u64).filter(|it| node.write(&mut store, it * 1_000)).count();
    assert_eq!(n_writes, 0, "quarantines that are over are no change");
}
