//! Decisions on usage windows: sums of counts, killed nodes, changes of the holder.

use lentilhitch_policy::usage::{
    Counts, Decision, NodeCounts, Settings, UsageCounter, UsageLedger,
};
use lentilhitch_types::InstanceName;

const WINDOW_MS: u64 = 5_000;

fn counts(node: &str, incarnation: u64, through_ms: u64, windows: &[(u64, u64)]) -> NodeCounts {
    let team = |n: u64| Counts::from([("etna".parse().unwrap(), n)]);
    NodeCounts {
        node: Some(node.parse().unwrap()),
        incarnation,
        through_ms,
        windows: windows.iter().map(|(window, n)| (*window, team(*n))).collect(),
    }
}

#[test]
fn a_window_is_decided_once_all_nodes_have_counted_past_its_end() {
    struct Case {
        name: &'static str,
        records: Vec<NodeCounts>,
        synced_ms: u64,
        n_nodes: usize,
        /// Requests of window 2, if it is decided.
        expected: Option<u64>,
    }
    let cases = [
        Case {
            name: "all nodes have counted past the end",
            records: vec![counts("a", 1, 15_400, &[(2, 5)]), counts("b", 1, 15_500, &[(2, 7)])],
            synced_ms: 15_600,
            n_nodes: 1,
            expected: Some(12),
        },
        Case {
            name: "one node has not counted past the end",
            records: vec![counts("a", 1, 15_400, &[(2, 5)]), counts("b", 1, 14_000, &[(2, 7)])],
            synced_ms: 15_600,
            n_nodes: 1,
            expected: None,
        },
        Case {
            name: "one running node has not sent any counts yet",
            records: vec![counts("a", 1, 15_400, &[(2, 5)])],
            synced_ms: 15_600,
            n_nodes: 2,
            expected: None,
        },
        Case {
            name: "one node never counts past the end, and the wait limit has passed",
            records: vec![counts("a", 1, 15_400, &[(2, 5)]), counts("b", 1, 14_000, &[(2, 7)])],
            synced_ms: 20_100,
            n_nodes: 1,
            expected: Some(12),
        },
        Case {
            name: "later counts replace earlier ones",
            records: vec![
                counts("a", 1, 14_000, &[(2, 5)]),
                counts("a", 1, 15_400, &[(2, 9)]),
                counts("a", 1, 13_000, &[(2, 3)]),
            ],
            synced_ms: 15_600,
            n_nodes: 1,
            expected: Some(9),
        },
        Case {
            name: "incarnations of one node add up",
            records: vec![counts("a", 1, 12_000, &[(2, 5)]), counts("a", 2, 15_400, &[(2, 2)])],
            synced_ms: 20_100,
            n_nodes: 1,
            expected: Some(7),
        },
        Case {
            name: "an earlier incarnation of a node that runs again is not waited for",
            records: vec![counts("a", 1, 14_900, &[(2, 5)]), counts("a", 2, 15_400, &[(2, 2)])],
            synced_ms: 15_600,
            n_nodes: 1,
            expected: Some(7),
        },
        Case {
            name: "counts of a window are kept when later counts omit the window",
            records: vec![counts("a", 1, 15_400, &[(2, 5)]), counts("a", 1, 15_500, &[(3, 1)])],
            synced_ms: 15_600,
            n_nodes: 1,
            expected: Some(5),
        },
    ];
    for case in cases {
        let mut ledger = UsageLedger::new(Settings { window_ms: WINDOW_MS, ..Settings::default() });
        // Earlier windows are decided already.
        for window in 0..2 {
            ledger.insert_decision(Decision { window, counts: Counts::new() });
        }
        for record in case.records {
            ledger.insert_counts(record);
        }
        let decided = ledger.next_decision(case.n_nodes, case.synced_ms).map(|it| {
            assert_eq!(it.window, 2, "{}", case.name);
            it.counts.values().sum::<u64>()
        });
        assert_eq!(decided, case.expected, "{}", case.name);
    }
}

#[test]
fn the_first_decision_on_a_window_is_final() {
    let mut ledger = UsageLedger::new(Settings { window_ms: WINDOW_MS, ..Settings::default() });
    let decision = |n| Decision { window: 2, counts: Counts::from([("etna".parse().unwrap(), n)]) };
    ledger.insert_decision(decision(4));
    ledger.insert_decision(decision(5));
    assert_eq!(ledger.next_report(16_000), Some(decision(4)));
    ledger.mark_reported(2);
    assert_eq!(ledger.next_report(16_000), None);
}

#[test]
fn a_write_is_due_after_a_count_or_the_end_of_a_window() {
    let node: InstanceName = "a".parse().unwrap();
    let mut usage_counter = UsageCounter::new(WINDOW_MS);
    assert!(usage_counter.take_write_due(10_000), "the first window ended");
    assert!(!usage_counter.take_write_due(10_100), "no new count");
    usage_counter.count(&"etna".parse().unwrap(), 10_200);
    assert!(usage_counter.take_write_due(10_300), "a new count");
    assert!(!usage_counter.take_write_due(10_400), "no new count since");
    usage_counter.mark_unwritten();
    assert!(usage_counter.take_write_due(10_500), "the last write failed");
    assert!(usage_counter.take_write_due(15_000), "a window ended");
    let counted = usage_counter.counts(&node, 7, 15_000);
    assert_eq!(counted.windows[&2].values().sum::<u64>(), 1);
}
