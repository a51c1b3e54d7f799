//! The first replica of a new version crashes soon after its start. Clients take up its streams at nodes of another zone,
//! which have not read of the new version yet.

use std::{
    io,
    sync::atomic::Ordering,
    thread,
    time::{Duration, Instant},
};

use crate::{
    node::{NodeOptions, TempFolder, start_nodes},
    record::Record,
    site::put_config,
    store::{Read, Store, wait_until},
    streams::{self, StreamReplica},
};

const N_STREAMS: usize = 90;
/// Time between the requests for two streams.
const STREAM_INTERVAL: Duration = Duration::from_millis(1);
/// Number of events that the new replica writes before it crashes, summed over its streams.
const EVENTS_BEFORE_CRASH: usize = 40;
const SERVERS: &str = "keyed.servers";

/// Returns the reads of the list of replicas by nodes of a zone, the latest last.
fn reads_of(store: &Store, zone: &str) -> Vec<Read> {
    store.reads(SERVERS).into_iter().filter(|it| it.node.starts_with(zone)).collect()
}

/// Returns the time since the last read of the list of replicas by a node of the zone.
fn read_age(store: &Store, zone: &str) -> Duration {
    reads_of(store, zone).last().map_or(Duration::MAX, |it| it.answered.elapsed())
}

pub fn run(record: &Record, has_trouble: bool) -> io::Result<bool> {
    let folder = TempFolder::create()?;
    let store = Store::new(record.clone());
    put_config(&store, &[streams::route()]);
    let _replicas = [
        StreamReplica::start(&store, "draft-1", "v1", "zone-a", record)?,
        StreamReplica::start(&store, "draft-2", "v1", "zone-a", record)?,
        StreamReplica::start(&store, "draft-3", "v1", "zone-b", record)?,
        StreamReplica::start(&store, "draft-4", "v1", "zone-b", record)?,
        StreamReplica::start(&store, "draft-5", "v1", "zone-b", record)?,
    ];
    let options = [
        NodeOptions::new("b-1", "zone-b"),
        NodeOptions::new("b-2", "zone-b"),
        NodeOptions::new("b-3", "zone-b"),
        // All machines start within 0.3 s. With this delay the zones soon read the list in the order that is waited for.
        NodeOptions { delay: Duration::from_millis(250), ..NodeOptions::new("a-1", "zone-a") },
    ];
    let nodes = start_nodes(&folder.0, &store, &options)?;
    // By then the nodes are in touch, and one of each zone reads the list for all.
    thread::sleep(Duration::from_secs(8));
    // The new replica starts when zone-b has just read the list and zone-a is about to.
    let is_due = || {
        read_age(&store, "b-") < Duration::from_millis(30)
            && Duration::from_millis(550) < read_age(&store, "a-")
    };
    if !wait_until(Duration::from_secs(80), is_due) {
        return Err(io::Error::other("the zones have not read the list in that order"));
    }
    let new_replica = StreamReplica::start(&store, "draft-6", "v2", "zone-a", record)?;
    let written = Instant::now();
    let has_read = || reads_of(&store, "a-").last().is_some_and(|it| written < it.answered);
    if !wait_until(Duration::from_secs(3), has_read) {
        return Err(io::Error::other("zone-a has not read the list"));
    }
    let after_ms = written.elapsed().as_millis();
    record.line(&format!("a-1 has read the list {after_ms} ms after the entry"));
    let clients: Vec<_> = (0..N_STREAMS)
        .map(|idx| {
            thread::sleep(STREAM_INTERVAL);
            let fronts = [nodes[3].front, nodes[idx % 3].front];
            let record = record.clone();
            thread::spawn(move || streams::read(fronts, &format!("s{idx}"), &record))
        })
        .collect();
    if has_trouble {
        let is_due = || EVENTS_BEFORE_CRASH <= new_replica.n_events.load(Ordering::SeqCst);
        if !wait_until(Duration::from_secs(2), is_due) {
            return Err(io::Error::other("the new replica got no streams"));
        }
        let after_ms = written.elapsed().as_millis();
        record.line(&format!("replica draft-6 (v2): crashes {after_ms} ms after its entry"));
        new_replica.port.crash();
    }
    let received: Vec<_> = clients.into_iter().filter_map(|it| it.join().ok()).collect();
    if let Some(it) = reads_of(&store, "b-").iter().find(|it| written < it.answered) {
        let after_ms = it.answered.duration_since(written).as_millis();
        record.line(&format!("{} has read the list {after_ms} ms after the entry", it.node));
    }
    let n_taken_up = received.iter().filter(|it| it.is_taken_up).count();
    let n_mixed = received.iter().filter(|it| 1 < it.versions.len()).count();
    record.line(&format!(
        "{N_STREAMS} streams, {n_taken_up} taken up again; ORDER: {n_mixed} hold events of two versions"
    ));
    Ok(2 < n_mixed)
}
