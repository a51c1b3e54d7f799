//! The register of software versions: after the loss of all nodes, it has each version at which a stream may have begun.

use std::collections::BTreeSet;

use lentilhitch_policy::{
    stream_origins::{StreamKey, StreamOrigin, StreamOrigins},
    traffic::{EntryState, UpstreamEntry},
    version_register::{VersionRecord, VersionRegister},
};
use lentilhitch_types::{SoftwareVersion, StoreEra};
use rand::{RngExt as _, SeedableRng as _, rngs::SmallRng};

const TIMEOUT_MS: u64 = 15_000;

fn upstream(version: &str) -> UpstreamEntry {
    UpstreamEntry {
        id: "engine".parse().unwrap(),
        service: "draft".parse().unwrap(),
        address: "10.0.0.1:80".parse().unwrap(),
        zone: "a".parse().unwrap(),
        version: SoftwareVersion::from(version.to_owned()),
        state: EntryState::Ready,
        slots: 8,
        started_ms: 1,
        is_spot: false,
        leaves_in_ms: None,
    }
}

fn origin(version: &str) -> StreamOrigin {
    StreamOrigin::of(&upstream(version))
}

/// The record in the store, which may return from a copy.
#[derive(Clone, Default)]
struct Store {
    record: Option<VersionRecord>,
    era: StoreEra,
}

struct Node {
    origins: StreamOrigins,
    register: VersionRegister,
}

impl Node {
    fn start(is_first_start: bool, store: &Store, listed: &[&str], now_ms: u64) -> Self {
        let mut node =
            Self { origins: StreamOrigins::default(), register: VersionRegister::default() };
        node.origins.set_timeout_max_ms(TIMEOUT_MS, now_ms);
        node.list(listed, is_first_start, now_ms);
        if let (false, Some(record)) = (is_first_start, &store.record) {
            node.origins.adopt_waits(&record.histories.waits, now_ms);
            node.register.on_found_at_start(record.clone());
        }
        if let Some(found) = node.register.found_at_start(store.era) {
            node.origins.adopt(&found.clone(), now_ms);
        }
        node
    }

    fn list(&mut self, listed: &[&str], is_first_start: bool, now_ms: u64) {
        let upstreams: Vec<_> = listed.iter().map(|it| upstream(it)).collect();
        self.origins.on_upstreams_changed(upstreams.iter(), is_first_start, now_ms);
    }

    /// Reads the record and writes it if it is due. Returns whether it was written.
    fn maintain(&mut self, store: &mut Store, now_ms: u64) -> bool {
        if !self.register.is_due(&self.origins, store.era, now_ms) {
            return false;
        }
        self.register.on_read(store.record.clone(), &mut self.origins, now_ms);
        if !self.register.is_due(&self.origins, store.era, now_ms) {
            return false;
        }
        let histories = self.origins.histories(now_ms).unwrap();
        let record = VersionRecord { era: store.era, histories };
        store.record = Some(encode_and_decode(&record));
        self.register.on_written(record);
        true
    }

    fn sole(&self, now_ms: u64) -> Option<StreamOrigin> {
        self.origins.sole_origin(origin("v1").service, now_ms)
    }
}

fn encode_and_decode(record: &VersionRecord) -> VersionRecord {
    let mut bytes = Vec::new();
    ciborium::into_writer(record, &mut bytes).unwrap();
    ciborium::from_reader(&bytes[..]).unwrap()
}

/// Guards against streams of a service with one version that nobody lets go on after all nodes were lost at once.
#[test]
fn versions_are_known_after_all_nodes_were_lost() {
    struct Case {
        name: &'static str,
        /// Versions that have upstreams from each time on, until all nodes are lost at 100 s.
        changes: &'static [(u64, &'static [&'static str])],
        is_store_restored: bool,
        /// Versions that have upstreams when the nodes start again.
        now: &'static [&'static str],
        sole: Option<&'static str>,
    }
    let cases = [
        Case {
            name: "one version",
            changes: &[(0, &["v1"])],
            is_store_restored: false,
            now: &["v1"],
            sole: Some("v1"),
        },
        Case {
            name: "two versions",
            changes: &[(0, &["v1"]), (99_000, &["v1", "v2"])],
            is_store_restored: false,
            now: &["v1", "v2"],
            sole: None,
        },
        Case {
            name: "a new version that is gone when the nodes start again",
            changes: &[(0, &["v1"]), (99_000, &["v1", "v2"])],
            is_store_restored: false,
            now: &["v1"],
            sole: None,
        },
        Case {
            name: "a version that has been gone for long",
            changes: &[(0, &["v1"]), (50_000, &["v1", "v2"]), (60_000, &["v2"])],
            is_store_restored: false,
            now: &["v2"],
            sole: Some("v2"),
        },
        Case {
            name: "a version that has been gone for less than a stream may last",
            changes: &[(0, &["v1"]), (50_000, &["v1", "v2"]), (75_000, &["v2"])],
            is_store_restored: false,
            now: &["v2"],
            sole: None,
        },
        Case {
            name: "replaced while no node ran",
            changes: &[(0, &["v1"])],
            is_store_restored: false,
            now: &["v2"],
            sole: None,
        },
        Case {
            name: "the store has returned from a copy since",
            changes: &[(0, &["v1"])],
            is_store_restored: true,
            now: &["v1"],
            sole: None,
        },
    ];
    for case in cases {
        let mut store = Store::default();
        let mut nodes: Vec<_> =
            (0..4).map(|_| Node::start(true, &store, case.changes[0].1, 0)).collect();
        let mut now_ms = 0;
        while now_ms < 100_000 {
            for node in &mut nodes {
                if let Some((_, listed)) = case.changes.iter().find(|it| it.0 == now_ms) {
                    node.list(listed, true, now_ms);
                }
                node.maintain(&mut store, now_ms);
            }
            now_ms += 1_000;
        }
        if case.is_store_restored {
            store.era = StoreEra(1);
        }
        drop(nodes);
        for restart in 0..2 {
            let node = Node::start(false, &store, case.now, now_ms);
            let name = format!("{}, loss {restart}", case.name);
            assert_eq!(node.sole(now_ms), case.sole.map(origin), "{name}");
        }
    }
}

/// Guards against a register that nodes write again and again while nothing changes, at the price of calls to the store.
#[test]
fn record_is_written_once_for_each_change() {
    let mut store = Store::default();
    let mut nodes: Vec<_> = (0..31).map(|_| Node::start(true, &store, &["v1"], 0)).collect();
    let mut n_writes = 0;
    for now_ms in (0..200_000).step_by(1_000) {
        for (idx, node) in nodes.iter_mut().enumerate() {
            // Lists differ by up to two seconds, and so does what clients have said.
            let seen_ms = u64::saturating_sub(now_ms, (idx as u64 % 3) * 1_000);
            let listed: &[_] = match seen_ms {
                0..50_000 => &["v1"],
                50_000..60_000 => &["v1", "v2"],
                _ => &["v2"],
            };
            node.list(listed, true, now_ms);
            if now_ms == 120_000 + 1_000 * idx as u64 {
                node.origins.record_client_wait(20_000, now_ms);
            }
            n_writes += u32::from(node.maintain(&mut store, now_ms));
        }
    }
    // Both versions at the start, the new one, without the old one, and the longer wait.
    assert_eq!(n_writes, 4);
    let record = store.record.unwrap();
    assert_eq!(record.histories.versions().collect::<Vec<_>>(), [origin("v2")]);
}

/// Guards against a stream that goes on at another version after all nodes were lost at any moment of releases, whose
/// versions come and go, with a store that returns from copies.
#[test]
fn no_stream_goes_on_at_another_version_after_losses_of_all_nodes() {
    let versions = ["v1", "v2", "v3"];
    let (mut n_known, mut n_asked) = (0, 0);
    for seed in 0..400 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut listed: BTreeSet<&str> = ["v1"].into();
        let as_list = |it: &BTreeSet<&'static str>| it.iter().copied().collect::<Vec<_>>();
        let mut store = Store::default();
        let mut copy = store.clone();
        let start = |is_first, store: &Store, listed: &BTreeSet<&'static str>, now_ms| {
            (0..3).map(|_| Node::start(is_first, store, &as_list(listed), now_ms)).collect()
        };
        let mut nodes: Vec<Node> = start(true, &store, &listed, 0);
        let mut streams: Vec<(u64, &str)> = Vec::new();
        for now_ms in (500..120_000).step_by(500) {
            if rng.random_bool(0.03) {
                let version = versions[rng.random_range(0..3)];
                if !listed.remove(version) || listed.is_empty() {
                    listed.insert(version);
                }
            }
            for node in &mut nodes {
                node.list(&as_list(&listed), true, now_ms);
                node.maintain(&mut store, now_ms);
            }
            for version in &listed {
                streams.push((now_ms, version));
                let key = StreamKey::of(&format!("{now_ms} {version}"));
                nodes[0].origins.on_first_event(key, origin(version), now_ms);
            }
            if rng.random_bool(0.02) {
                copy = store.clone();
            }
            if rng.random_bool(0.005) {
                store = Store { record: copy.record.clone(), era: StoreEra(store.era.0 + 1) };
            }
            if rng.random_bool(0.03) {
                nodes = start(false, &store, &listed, now_ms);
            }
            streams.retain(|it| now_ms < it.0 + TIMEOUT_MS);
            for node in &nodes {
                let sole = node.sole(now_ms);
                let began: BTreeSet<_> = streams.iter().map(|it| it.1).collect();
                if began.len() == 1 {
                    n_asked += 1;
                    n_known += u32::from(sole.is_some());
                }
                let Some(sole) = sole else { continue };
                assert!(
                    began.iter().all(|it| origin(it) == sole),
                    "seed {seed}, at {now_ms} ms: streams of {began:?}"
                );
            }
        }
    }
    assert!(n_asked < 2 * n_known, "a single version is known {n_known} of {n_asked} times");
}
