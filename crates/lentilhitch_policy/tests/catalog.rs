//! The catalog against outages of the list, restarts under one name, and entries in any order.

use std::collections::BTreeMap;

use proptest::prelude::*;

use lentilhitch_policy::{
    catalog::{Catalog, Change, Settings},
    traffic::{EntryState, UpstreamEntry},
};
use lentilhitch_types::LogOffset;

const READ_EVERY_MS: u64 = 400;
const OUTAGE_MS: u64 = 1_200;

fn listed(id: &str, started_ms: u64, state: EntryState) -> UpstreamEntry {
    UpstreamEntry {
        id: id.parse().unwrap(),
        service: "draft".parse().unwrap(),
        address: "10.0.0.1:80".parse().unwrap(),
        zone: "a".parse().unwrap(),
        state,
        slots: 4,
        started_ms,
        is_spot: false,
        leaves_in_ms: None,
    }
}

enum Step {
    Ready(&'static str, u64),
    Draining(&'static str, u64),
    Gone(&'static str),
    /// The list was read.
    Read,
    /// The list could not be read for so long; then it was.
    ReadAfter(u64),
    /// Nobody read the list for so long; then it was read.
    ReadLate(u64),
    /// A reading failed.
    Failed,
    /// A peer that reads the list knows the same.
    Vouched,
    Tick(u64),
}

struct Case {
    name: &'static str,
    steps: Vec<Step>,
    ready: Vec<&'static str>,
}

fn cases() -> Vec<Case> {
    use Step::{Draining, Failed, Gone, Read, ReadAfter, ReadLate, Ready, Tick, Vouched};
    vec![
        Case { name: "listed", steps: vec![Ready("u", 1)], ready: vec!["u"] },
        Case { name: "leaving", steps: vec![Ready("u", 1), Draining("u", 1)], ready: vec![] },
        Case {
            name: "a late word that it is ready does not undo leaving",
            steps: vec![Ready("u", 1), Draining("u", 1), Ready("u", 1)],
            ready: vec![],
        },
        Case {
            name: "a new life is ready again",
            steps: vec![Ready("u", 1), Draining("u", 1), Ready("u", 2)],
            ready: vec!["u"],
        },
        Case {
            name: "an older life says nothing",
            steps: vec![Ready("u", 2), Draining("u", 1)],
            ready: vec!["u"],
        },
        Case { name: "gone", steps: vec![Ready("u", 1), Read, Gone("u")], ready: vec![] },
        Case {
            name: "lapsed while the list was away: kept for the grace",
            steps: vec![Ready("u", 1), Read, ReadAfter(5_000), Gone("u"), Tick(1_000)],
            ready: vec!["u"],
        },
        Case {
            name: "a pause between readings is no outage, however long",
            steps: vec![Ready("u", 1), Read, ReadLate(5_000), Gone("u")],
            ready: vec![],
        },
        Case {
            name: "a failure of long ago is over when a peer vouches for the list",
            steps: vec![Ready("u", 1), Failed, Vouched, ReadLate(30_000), Gone("u")],
            ready: vec![],
        },
        Case {
            name: "and dropped after it",
            steps: vec![Ready("u", 1), Read, ReadAfter(5_000), Gone("u"), Tick(1_800)],
            ready: vec![],
        },
        Case {
            name: "unless it is listed again",
            steps: vec![
                Ready("u", 1),
                Read,
                ReadAfter(5_000),
                Gone("u"),
                Tick(1_000),
                Ready("u", 1),
                Tick(2_000),
            ],
            ready: vec!["u"],
        },
        Case {
            name: "a leaving one that ends around an outage ends at once",
            steps: vec![Ready("u", 1), Read, Draining("u", 1), ReadAfter(5_000), Gone("u")],
            ready: vec![],
        },
    ]
}

#[test]
fn what_may_get_requests() {
    use Step::{Draining, Failed, Gone, Read, ReadAfter, ReadLate, Ready, Tick, Vouched};
    for case in cases() {
        let mut catalog = Catalog::new(Settings::default());
        let mut now_ms = 10_000;
        let mut at = LogOffset(0);
        for step in case.steps {
            at = at.next();
            match step {
                Ready(id, started_ms) => {
                    catalog.insert(listed(id, started_ms, EntryState::Ready), at, now_ms);
                }
                Draining(id, started_ms) => {
                    catalog.insert(listed(id, started_ms, EntryState::Draining), at, now_ms);
                }
                Gone(id) => {
                    catalog.remove(&id.parse().unwrap(), at, now_ms);
                }
                Read => {
                    now_ms += READ_EVERY_MS;
                    catalog.begin_reading(now_ms, OUTAGE_MS);
                }
                ReadAfter(ms) => {
                    catalog.note_failure(now_ms);
                    now_ms += ms;
                    catalog.begin_reading(now_ms, OUTAGE_MS);
                }
                Failed => catalog.note_failure(now_ms),
                Vouched => catalog.vouch(now_ms),
                ReadLate(ms) => {
                    now_ms += ms;
                    catalog.begin_reading(now_ms, OUTAGE_MS);
                }
                Tick(ms) => {
                    now_ms += ms;
                    catalog.tick(now_ms);
                }
            }
        }
        let service = "draft".parse().unwrap();
        let ready: Vec<_> = catalog.ready(&service).map(|it| it.listed.id.as_str()).collect();
        assert_eq!(ready, case.ready, "{}", case.name);
    }
}

#[test]
fn a_list_ends_what_it_does_not_hold() {
    let mut catalog = Catalog::new(Settings::default());
    catalog.insert(listed("kept", 1, EntryState::Ready), LogOffset(1), 0);
    catalog.insert(listed("ended", 1, EntryState::Ready), LogOffset(2), 0);
    catalog.begin_reading(100, OUTAGE_MS);
    let list = vec![(listed("kept", 1, EntryState::Ready), LogOffset(5))];
    let changes = catalog.replace(list, LogOffset(6), 100);
    let id = "ended".parse().unwrap();
    assert_eq!(changes, [Change::Removed { id, started_ms: 1, was_leaving: false }]);
    let late = catalog.insert(listed("ended", 1, EntryState::Ready), LogOffset(3), 200);
    assert_eq!(late, None, "an entry of before the list was taken does not come back");
}

#[test]
fn a_topic_that_begins_anew_is_followed() {
    let mut catalog = Catalog::new(Settings::default());
    catalog.insert(listed("u", 1, EntryState::Ready), LogOffset(900), 0);
    let list = vec![(listed("u", 2, EntryState::Ready), LogOffset(1))];
    let changes = catalog.replace(list, LogOffset(2), 100);
    assert_eq!(changes, [Change::Restarted("u".parse().unwrap(), 1)]);
}

#[derive(Clone, Debug)]
enum Entry {
    Ready(u64),
    Gone,
}

proptest! {
    /// Whatever the order in which entries come, the one written last holds.
    #[test]
    fn the_order_of_arrival_does_not_matter(
        entries in proptest::collection::vec((0_usize..4, proptest::option::of(1_u64..4)), 1..24),
        shuffle in any::<proptest::sample::Index>(),
    ) {
        let written: Vec<_> = entries
            .iter()
            .enumerate()
            .map(|(at, (upstream, started_ms))| {
                // Lives of one upstream begin in the order in which they are written.
                let entry = started_ms.map_or(Entry::Gone, |it| Entry::Ready(at as u64 * 10 + it));
                (LogOffset(at as u64 + 1), format!("u{upstream}"), entry)
            })
            .collect();
        let mut naive: BTreeMap<String, Entry> = BTreeMap::new();
        for (_, id, entry) in &written {
            naive.insert(id.clone(), entry.clone());
        }
        let mut arrived = written.clone();
        arrived.rotate_left(shuffle.index(written.len()));
        arrived.extend(written.iter().cloned().rev());
        let mut catalog = Catalog::new(Settings::default());
        for (at, id, entry) in arrived {
            match entry {
                Entry::Ready(started_ms) => {
                    catalog.insert(listed(&id, started_ms, EntryState::Ready), at, 0);
                }
                Entry::Gone => {
                    catalog.remove(&id.parse().unwrap(), at, 0);
                }
            }
        }
        for (id, entry) in naive {
            let known = catalog.get(&id.parse().unwrap()).map(|it| it.listed.started_ms);
            let expected = match entry {
                Entry::Ready(started_ms) => Some(started_ms),
                Entry::Gone => None,
            };
            prop_assert_eq!(known, expected, "{}", id);
        }
    }
}
