//! Origins of streams that only the store remembers: all nodes are killed at once, at each step of a release.

use lentilhitch_policy::{
    stream_archive::{OriginArchive, OriginBatch},
    stream_origins::{StreamKey, StreamOrigin, StreamOrigins},
    traffic::{EntryState, UpstreamEntry},
};
use lentilhitch_types::SoftwareVersion;
use rand::{RngExt as _, SeedableRng as _, rngs::SmallRng};

const LIFETIME_MS: u64 = 30_000;
const START_MS: u64 = 1_000;
/// Interval at which nodes pass origins on and write them.
const WRITE_INTERVAL_MS: u64 = 250;
const STEP_MS: u64 = 50;

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

/// Nodes of one zone, the first of which writes for all, and the store.
struct Fleet {
    nodes: Vec<StreamOrigins>,
    archive: OriginArchive,
    store: Vec<OriginBatch>,
    versions: Vec<&'static str>,
    now_ms: u64,
}

impl Fleet {
    fn start(n_nodes: usize) -> Self {
        let (nodes, archive) = (vec![new_origins(); n_nodes], OriginArchive::default());
        let mut fleet =
            Self { nodes, archive, store: Vec::new(), versions: Vec::new(), now_ms: START_MS };
        fleet.set_versions(&["v1"], true);
        fleet
    }

    fn set_versions(&mut self, versions: &[&'static str], is_first_start: bool) {
        self.versions = versions.to_vec();
        let upstreams: Vec<_> = versions.iter().map(|it| upstream(it)).collect();
        for it in &mut self.nodes {
            it.on_upstreams_changed(upstreams.iter(), is_first_start, self.now_ms);
        }
    }

    /// Passes origins on and writes them, if the store takes them.
    fn write(&mut self, is_store_away: bool) {
        for it in &mut self.nodes {
            self.archive.push(it.take_unwritten(self.now_ms));
        }
        let Some(batch) = self.archive.next_batch(self.now_ms) else { return };
        if !is_store_away {
            self.store.push(batch);
            self.archive.on_written();
        }
    }

    /// Kills all nodes and starts them again. They know what the store has, and the upstreams that serve now. One node
    /// stands for all of them, since all know the same.
    fn kill_all(&mut self) {
        self.archive = OriginArchive::default();
        self.nodes = vec![new_origins()];
        for node in &mut self.nodes {
            let batches = self.store.iter().cloned();
            for it in batches.flat_map(|it| it.into_records(self.now_ms)) {
                node.insert(it, self.now_ms);
            }
        }
        let versions = self.versions.clone();
        self.set_versions(&versions, false);
    }
}

fn new_origins() -> StreamOrigins {
    let mut origins = StreamOrigins::default();
    origins.set_timeout_max_ms(LIFETIME_MS / 2, 0);
    origins
}

/// Guards against streams that go on at another version, or not at all, after all nodes were lost at once while two
/// versions served or just after the servers of one had left.
#[test]
fn streams_go_on_at_their_version_after_all_nodes_were_killed_during_a_release() {
    /// Streams that each node begins in a second, and how long they last.
    const STREAMS_PER_S: f64 = 5.0;
    const STREAM_MS: u64 = 4_000;
    /// The second version appears, and the first one is gone.
    const APPEARS_MS: u64 = 3_000;
    const GONE_MS: u64 = 9_000;
    const END_MS: u64 = 12_000;
    for n_nodes in [8, 74, 295, 340] {
        for killed_ms in (APPEARS_MS..END_MS).step_by(500) {
            let mut rng = SmallRng::seed_from_u64(killed_ms);
            let mut fleet = Fleet::start(n_nodes);
            let mut streams: Vec<(StreamKey, StreamOrigin, u64)> = Vec::new();
            for elapsed_ms in (0..killed_ms).step_by(STEP_MS as usize) {
                fleet.now_ms = START_MS + elapsed_ms;
                match elapsed_ms {
                    APPEARS_MS => fleet.set_versions(&["v1", "v2"], true),
                    GONE_MS => fleet.set_versions(&["v2"], true),
                    _ => {}
                }
                for node in &mut fleet.nodes {
                    if rng.random_bool(STREAMS_PER_S * STEP_MS as f64 / 1_000.0) {
                        let key = StreamKey::of(&rng.random::<u64>().to_string());
                        let version = fleet.versions[rng.random_range(0..fleet.versions.len())];
                        let origin = StreamOrigin::of(&upstream(version));
                        node.on_first_event(key, origin, fleet.now_ms);
                        streams.push((key, origin, fleet.now_ms));
                    }
                }
                if elapsed_ms.is_multiple_of(WRITE_INTERVAL_MS) {
                    fleet.write(false);
                }
            }
            fleet.now_ms = START_MS + killed_ms;
            fleet.kill_all();
            let name = format!("{n_nodes} nodes, killed after {killed_ms} ms");
            let (mut n_running, mut n_found) = (0, 0);
            let running = streams.iter().filter(|it| fleet.now_ms < it.2 + STREAM_MS);
            let node = &fleet.nodes[0];
            for (key, origin, _) in running {
                let found =
                    node.get(*key).or_else(|| node.sole_origin(origin.service, fleet.now_ms));
                assert!(found.is_none_or(|it| it == *origin), "{name}: another version");
                n_running += 1;
                n_found += usize::from(found.is_some());
            }
            let unnamed = node.sole_origin(streams[0].1.service, fleet.now_ms);
            assert_eq!(unnamed, None, "{name}: a stream that its client doesn't name");
            if APPEARS_MS < killed_ms {
                assert!(n_running < 2 * n_found, "{name}: {n_found} of {n_running} known");
            }
        }
    }
}

/// Guards against origins that are lost because the store was away when they were to be written.
#[test]
fn origins_wait_while_the_store_is_away() {
    let mut fleet = Fleet::start(1);
    fleet.set_versions(&["v1", "v2"], true);
    let origin = StreamOrigin::of(&upstream("v2"));
    let keys: Vec<_> = (0..5_000).map(|it| StreamKey::of(&format!("{it}"))).collect();
    for it in &keys[..3] {
        fleet.nodes[0].on_first_event(*it, origin, fleet.now_ms);
    }
    fleet.write(true);
    for it in &keys[3..] {
        fleet.nodes[0].on_first_event(*it, origin, fleet.now_ms);
    }
    fleet.write(true);
    assert_eq!(fleet.store, []);
    fleet.write(false);
    fleet.write(false);
    fleet.kill_all();
    let n_known = keys.iter().filter(|it| fleet.nodes[0].get(**it) == Some(origin)).count();
    assert_eq!(n_known, keys.len());
}

/// Guards against calls to the store for services that have a single version.
#[test]
fn nothing_is_written_while_a_service_has_one_version() {
    let mut fleet = Fleet::start(1);
    let origin = StreamOrigin::of(&upstream("v1"));
    fleet.nodes[0].on_first_event(StreamKey::of("s"), origin, fleet.now_ms);
    fleet.write(false);
    assert_eq!(fleet.store, []);
}
