//! Tests of the catalog: outages of the list, restarts under the same name, and entries in any order.

use std::collections::BTreeMap;

use proptest::prelude::*;
use rand::{SeedableRng as _, rngs::SmallRng};

use lentilhitch_policy::{
    catalog::{Catalog, Change, Settings},
    traffic::{EntryState, UpstreamEntry},
};
use lentilhitch_types::{LogPosition, SoftwareVersion, StoreEra};

const READ_INTERVAL_MS: u64 = 400;
const OUTAGE_MS: u64 = 1_200;

fn upstream_entry(id: &str, started_ms: u64, state: EntryState) -> UpstreamEntry {
    UpstreamEntry {
        id: id.parse().unwrap(),
        service: "draft".parse().unwrap(),
        address: "10.0.0.1:80".parse().unwrap(),
        zone: "a".parse().unwrap(),
        state,
        slots: 4,
        started_ms,
        is_spot: false,
        version: SoftwareVersion::default(),
        leaves_in_ms: None,
    }
}

enum Step {
    Ready(&'static str, u64),
    Draining(&'static str, u64),
    /// The incarnation states in a response that it is leaving.
    StatedLeaving(&'static str, u64),
    Removed(&'static str),
    /// The store returns from a copy, and the first list of the new era contains these ready upstreams.
    Restored(&'static [(&'static str, u64)]),
    /// A read of the list after the usual interval.
    Read,
    /// A read of the list after reads have failed for this time in milliseconds.
    ReadAfterOutage(u64),
    /// A read of the list after an interval without reads, in milliseconds.
    ReadAfterDelay(u64),
    /// A read of the list failed.
    Failed,
    /// A peer that reads the list confirms the entries.
    Confirmed,
    Tick(u64),
}

struct Case {
    name: &'static str,
    steps: Vec<Step>,
    ready: Vec<&'static str>,
}

fn cases() -> Vec<Case> {
    use Step::{
        Confirmed, Draining, Failed, Read, ReadAfterDelay, ReadAfterOutage, Ready, Removed, Tick,
    };
    vec![
        Case { name: "listed", steps: vec![Ready("u", 1)], ready: vec!["u"] },
        Case { name: "leaving", steps: vec![Ready("u", 1), Draining("u", 1)], ready: vec![] },
        Case {
            name: "a late ready entry does not undo leaving",
            steps: vec![Ready("u", 1), Draining("u", 1), Ready("u", 1)],
            ready: vec![],
        },
        Case {
            name: "a new incarnation is ready again",
            steps: vec![Ready("u", 1), Draining("u", 1), Ready("u", 2)],
            ready: vec!["u"],
        },
        Case {
            name: "an entry of an older incarnation is ignored",
            steps: vec![Ready("u", 2), Draining("u", 1)],
            ready: vec!["u"],
        },
        Case { name: "removed", steps: vec![Ready("u", 1), Read, Removed("u")], ready: vec![] },
        Case {
            name: "expired during an outage of the list: kept for the grace period",
            steps: vec![Ready("u", 1), Read, ReadAfterOutage(5_000), Removed("u"), Tick(1_000)],
            ready: vec!["u"],
        },
        Case {
            name: "a long interval between reads is no outage",
            steps: vec![Ready("u", 1), Read, ReadAfterDelay(5_000), Removed("u")],
            ready: vec![],
        },
        Case {
            name: "an earlier failure no longer counts after a peer has confirmed the list",
            steps: vec![Ready("u", 1), Failed, Confirmed, ReadAfterDelay(30_000), Removed("u")],
            ready: vec![],
        },
        Case {
            name: "expired during an outage of the list: dropped after the grace period",
            steps: vec![Ready("u", 1), Read, ReadAfterOutage(5_000), Removed("u"), Tick(1_800)],
            ready: vec![],
        },
        Case {
            name: "expired during an outage of the list: kept if it is listed again",
            steps: vec![
                Ready("u", 1),
                Read,
                ReadAfterOutage(5_000),
                Removed("u"),
                Tick(1_000),
                Ready("u", 1),
                Tick(2_000),
            ],
            ready: vec!["u"],
        },
        Case {
            name: "a leaving upstream that ends around an outage is removed at once",
            steps: vec![
                Ready("u", 1),
                Read,
                Draining("u", 1),
                ReadAfterOutage(5_000),
                Removed("u"),
            ],
            ready: vec![],
        },
    ]
}

/// Lists of a store that has returned from a copy.
fn restore_cases() -> Vec<Case> {
    use Step::{Draining, Read, Ready, Removed, Restored, StatedLeaving, Tick};
    vec![
        Case {
            name: "removed since the copy, which lists it as ready",
            steps: vec![Ready("u", 1), Read, Removed("u"), Restored(&[("u", 1)])],
            ready: vec![],
        },
        Case {
            name: "removed since the copy and written again by the upstream",
            steps: vec![Ready("u", 1), Read, Removed("u"), Restored(&[("u", 1)]), Ready("u", 1)],
            ready: vec!["u"],
        },
        Case {
            name: "removed since the copy, which lists another incarnation",
            steps: vec![Ready("u", 1), Read, Removed("u"), Restored(&[("u", 2)])],
            ready: vec!["u"],
        },
        Case {
            name: "leaving since the copy, which lists it as ready",
            steps: vec![Ready("u", 1), Draining("u", 1), Restored(&[("u", 1)]), Ready("u", 1)],
            ready: vec![],
        },
        Case {
            name: "stated to be leaving since the copy, and removed",
            steps: vec![
                Ready("u", 1),
                StatedLeaving("u", 1),
                Removed("u"),
                Restored(&[("u", 1)]),
                Ready("u", 1),
            ],
            ready: vec![],
        },
        Case {
            name: "started since the copy, which lacks it",
            steps: vec![Ready("u", 1), Restored(&[]), Tick(1_000)],
            ready: vec!["u"],
        },
        Case {
            name: "started since the copy and written again",
            steps: vec![Ready("u", 1), Restored(&[]), Tick(1_000), Ready("u", 1), Tick(2_000)],
            ready: vec!["u"],
        },
        Case {
            name: "started since the copy and not written again",
            steps: vec![Ready("u", 1), Restored(&[]), Tick(1_800)],
            ready: vec![],
        },
        Case {
            name: "removed since the copy, which lists an earlier incarnation",
            steps: vec![Ready("u", 2), Read, Removed("u"), Restored(&[("u", 1)])],
            ready: vec![],
        },
        Case {
            name: "two restores in a row",
            steps: vec![
                Ready("u", 1),
                Read,
                Removed("u"),
                Restored(&[("u", 1)]),
                Restored(&[("u", 1)]),
            ],
            ready: vec![],
        },
    ]
}

/// Upstreams that state that they are leaving, or whose entries do, and that the list then contains as ready.
fn leaving_cases() -> Vec<Case> {
    use Step::{Draining, Ready, Removed, StatedLeaving};
    vec![
        Case {
            name: "leaving according to a response, while the list still says ready",
            steps: vec![Ready("u", 1), StatedLeaving("u", 1), Ready("u", 1)],
            ready: vec![],
        },
        Case {
            name: "leaving according to a response, then removed and listed as ready again",
            steps: vec![Ready("u", 1), StatedLeaving("u", 1), Removed("u"), Ready("u", 1)],
            ready: vec![],
        },
        Case {
            name: "leaving according to its entry, then removed and listed as ready again",
            steps: vec![Ready("u", 1), Draining("u", 1), Removed("u"), Ready("u", 1)],
            ready: vec![],
        },
        Case {
            name: "leaving, then removed and listed again without the start of its incarnation",
            steps: vec![Ready("u", 0), Draining("u", 0), Removed("u"), Ready("u", 0)],
            ready: vec!["u"],
        },
        Case {
            name: "stated to be leaving before it is listed",
            steps: vec![StatedLeaving("u", 1), Ready("u", 1)],
            ready: vec![],
        },
        Case {
            name: "a new incarnation after one that stated that it was leaving",
            steps: vec![Ready("u", 1), StatedLeaving("u", 1), Ready("u", 2)],
            ready: vec!["u"],
        },
        Case {
            name: "an older incarnation that stated that it was leaving",
            steps: vec![Ready("u", 2), StatedLeaving("u", 1)],
            ready: vec!["u"],
        },
    ]
}

#[test]
fn only_ready_upstreams_get_requests() {
    use Step::{
        Confirmed, Draining, Failed, Read, ReadAfterDelay, ReadAfterOutage, Ready, Removed,
        Restored, StatedLeaving, Tick,
    };
    for case in cases().into_iter().chain(leaving_cases()).chain(restore_cases()) {
        let mut catalog = Catalog::new(Settings::default());
        let mut now_ms = 10_000;
        let mut position = LogPosition::from(0);
        for step in case.steps {
            position = position.next();
            match step {
                Ready(id, started_ms) => {
                    catalog.insert(
                        upstream_entry(id, started_ms, EntryState::Ready),
                        position,
                        now_ms,
                    );
                }
                Draining(id, started_ms) => {
                    catalog.insert(
                        upstream_entry(id, started_ms, EntryState::Draining),
                        position,
                        now_ms,
                    );
                }
                StatedLeaving(id, started_ms) => {
                    catalog.set_leaving(&id.parse().unwrap(), started_ms, None, now_ms);
                }
                Restored(upstreams) => {
                    position = LogPosition::new(StoreEra(position.era().0 + 1), 3);
                    catalog.on_store_restored(now_ms);
                    let list = upstreams.iter().map(|(id, started_ms)| {
                        let entry = upstream_entry(id, *started_ms, EntryState::Ready);
                        (entry, LogPosition::new(position.era(), 1))
                    });
                    catalog.replace(list.collect(), position, now_ms);
                }
                Removed(id) => {
                    catalog.remove(&id.parse().unwrap(), position, now_ms);
                }
                Read => {
                    now_ms += READ_INTERVAL_MS;
                    catalog.on_read_succeeded(now_ms, OUTAGE_MS);
                }
                ReadAfterOutage(ms) => {
                    catalog.on_read_failed(now_ms);
                    now_ms += ms;
                    catalog.on_read_succeeded(now_ms, OUTAGE_MS);
                }
                Failed => catalog.on_read_failed(now_ms),
                Confirmed => catalog.confirm(now_ms),
                ReadAfterDelay(ms) => {
                    now_ms += ms;
                    catalog.on_read_succeeded(now_ms, OUTAGE_MS);
                }
                Tick(ms) => {
                    now_ms += ms;
                    catalog.tick(now_ms);
                }
            }
        }
        let service = "draft".parse().unwrap();
        let ready: Vec<_> = catalog.ready(&service).map(|it| it.entry.id.as_str()).collect();
        assert_eq!(ready, case.ready, "{}", case.name);
    }
}

#[test]
fn a_list_removes_upstreams_that_are_not_in_it() {
    let mut catalog = Catalog::new(Settings::default());
    catalog.insert(upstream_entry("kept", 1, EntryState::Ready), LogPosition::from(1), 0);
    catalog.insert(upstream_entry("ended", 1, EntryState::Ready), LogPosition::from(2), 0);
    catalog.on_read_succeeded(100, OUTAGE_MS);
    let list = vec![(upstream_entry("kept", 1, EntryState::Ready), LogPosition::from(5))];
    let changes = catalog.replace(list, LogPosition::from(6), 100);
    let id = "ended".parse().unwrap();
    assert_eq!(changes, [Change::Removed { id, started_ms: 1, was_leaving: false }]);
    let late =
        catalog.insert(upstream_entry("ended", 1, EntryState::Ready), LogPosition::from(3), 200);
    assert_eq!(late, None, "an entry older than the list is ignored");
}

#[test]
fn a_topic_that_was_created_again_is_followed() {
    let mut catalog = Catalog::new(Settings::default());
    catalog.insert(upstream_entry("u", 1, EntryState::Ready), LogPosition::from(900), 0);
    let list = vec![(upstream_entry("u", 2, EntryState::Ready), LogPosition::from(1))];
    let changes = catalog.replace(list, LogPosition::from(2), 100);
    assert_eq!(changes, [Change::Restarted("u".parse().unwrap(), 1)]);
}

#[derive(Clone, Debug)]
enum Entry {
    Ready(u64),
    Removed,
}

proptest! {
    /// The entry that was written last wins, whatever the order of arrival.
    #[test]
    fn the_order_of_arrival_does_not_matter(
        entries in proptest::collection::vec((0_usize..4, proptest::option::of(1_u64..4)), 1..24),
        shuffle in any::<proptest::sample::Index>(),
    ) {
        let entries_in_order: Vec<_> = entries
            .iter()
            .enumerate()
            .map(|(offset, (upstream, started_ms))| {
                // Incarnations of one upstream start in the order in which they are written.
                let entry = started_ms.map_or(Entry::Removed, |it| Entry::Ready(offset as u64 * 10 + it));
                (LogPosition::from(offset as u64 + 1), format!("u{upstream}"), entry)
            })
            .collect();
        let mut naive: BTreeMap<String, Entry> = BTreeMap::new();
        for (_, id, entry) in &entries_in_order {
            naive.insert(id.clone(), entry.clone());
        }
        let mut arrivals = entries_in_order.clone();
        arrivals.rotate_left(shuffle.index(entries_in_order.len()));
        arrivals.extend(entries_in_order.iter().cloned().rev());
        let mut catalog = Catalog::new(Settings::default());
        for (offset, id, entry) in arrivals {
            match entry {
                Entry::Ready(started_ms) => {
                    catalog.insert(upstream_entry(&id, started_ms, EntryState::Ready), offset, 0);
                }
                Entry::Removed => {
                    catalog.remove(&id.parse().unwrap(), offset, 0);
                }
            }
        }
        for (id, entry) in naive {
            let known = catalog.get(&id.parse().unwrap()).map(|it| it.entry.started_ms);
            let expected = match entry {
                Entry::Ready(started_ms) => Some(started_ms),
                Entry::Removed => None,
            };
            prop_assert_eq!(known, expected, "{}", id);
        }
    }
}

/// Guards against a digest that is not updated with each change: nodes with equal lists would then take their lists for
/// different ones.
#[test]
fn the_digest_depends_on_the_upstreams_in_use_only() {
    let mut rng = SmallRng::seed_from_u64(1);
    let mut catalog = Catalog::new(Settings::default());
    for step in 1..2_000_u64 {
        let id = format!("u{}", rng.random_range(0..6));
        let started_ms = rng.random_range(1..4);
        let position = LogPosition::from(step);
        let state = if rng.random_bool(0.2) { EntryState::Draining } else { EntryState::Ready };
        let mut entry = upstream_entry(&id, started_ms, state);
        entry.address.set_port(rng.random_range(80..82));
        match rng.random_range(0..6) {
            0 => catalog.remove(&entry.id, position, step),
            1 => catalog.set_leaving(&entry.id, started_ms, None, step),
            2 => catalog.replace(vec![(entry, position)], position, step).pop(),
            _ => catalog.insert(entry, position, step),
        };
        let mut copy = Catalog::new(Settings::default());
        for it in catalog.iter() {
            copy.insert(it.entry.clone(), LogPosition::from(1), 0);
        }
        assert_eq!(catalog.digest(), copy.digest(), "step {step}");
    }
}
