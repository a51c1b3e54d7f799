//! All nodes are restarted in turn, as planned. Soon after, one of them is killed, and clients take its streams up at the
//! others.

use std::{io, thread, time::Duration};

use crate::{
    node::{NodeOptions, SIGKILL, SIGTERM, TempFolder, start_nodes},
    record::Record,
    site::put_config,
    store::{Store, is_ready, wait_until},
    streams::{self, Received, StreamReplica},
};

/// Streams at the node that is killed, and new ones that are then begun at the others.
const N_STREAMS: usize = 24;
/// Number of streams taken up from which on the rule holds.
const N_TAKEN_UP_MIN: usize = 12;
/// Time within which a process ends after SIGTERM.
const GRACE: Duration = Duration::from_secs(8);
/// Time from the end of a process to its next start, and until the next node is stopped.
const RESTART_DELAY: Duration = Duration::from_millis(500);
const STOP_INTERVAL: Duration = Duration::from_secs(1);
/// Time that a node takes to be in touch after its start.
const IN_TOUCH: Duration = Duration::from_millis(3_500);
/// Time for which the streams have run when the node is killed. They take a second longer.
const KILL_AFTER: Duration = Duration::from_millis(500);

pub fn run(record: &Record, has_trouble: bool) -> io::Result<bool> {
    let folder = TempFolder::create()?;
    let store = Store::new(record.clone());
    put_config(&store, &[streams::route()]);
    let _replicas = [
        StreamReplica::start(&store, "draft-1", "v1", "zone-a", record)?,
        StreamReplica::start(&store, "draft-2", "v1", "zone-a", record)?,
        StreamReplica::start(&store, "draft-3", "v1", "zone-b", record)?,
        StreamReplica::start(&store, "draft-4", "v1", "zone-b", record)?,
    ];
    let options = [
        NodeOptions::new("a-1", "zone-a"),
        NodeOptions::new("a-2", "zone-a"),
        NodeOptions::new("b-1", "zone-b"),
        NodeOptions::new("b-2", "zone-b"),
    ];
    let mut nodes = start_nodes(&folder.0, &store, &options)?;
    thread::sleep(IN_TOUCH);
    for node in &mut nodes {
        record.line(&format!("platform: SIGTERM to {}", node.name));
        node.signal(SIGTERM);
        if !node.wait_for_end(GRACE) {
            return Err(io::Error::other("a node has not ended in time"));
        }
        thread::sleep(RESTART_DELAY);
        node.restart()?;
        record.line(&format!("platform: starts {} again", node.name));
        let ready = node.ready;
        if !wait_until(Duration::from_secs(10), || is_ready(ready)) {
            return Err(io::Error::other("a node is not ready after its restart"));
        }
        thread::sleep(STOP_INTERVAL);
    }
    thread::sleep(IN_TOUCH);

    let fronts: Vec<_> = nodes.iter().map(|it| it.front).collect();
    let begin = |name: &'static str, first: fn(usize) -> usize| {
        let clients = (0..N_STREAMS).map(|idx| {
            let (fronts, record) = ([fronts[first(idx)], fronts[1 + idx % 3]], record.clone());
            thread::spawn(move || streams::read(fronts, &format!("{name}{idx}"), &record))
        });
        clients.collect::<Vec<_>>()
    };
    let clients = begin("s", |_| 0);
    thread::sleep(KILL_AFTER);
    if has_trouble {
        record.line("platform: kills a-1");
        nodes[0].signal(SIGKILL);
    }
    let new_clients = begin("n", |idx| 1 + idx % 3);
    let join = |clients: Vec<thread::JoinHandle<Received>>| {
        clients.into_iter().filter_map(|it| it.join().ok()).collect::<Vec<_>>()
    };
    let (received, new_received) = (join(clients), join(new_clients));
    let n_taken_up = received.iter().filter(|it| it.is_taken_up).count();
    let n_went_on = received.iter().filter(|it| it.went_on).count();
    let n_begun = new_received.iter().filter(|it| 0 < it.last_event).count();
    record.line(&format!(
        "LOST: of {n_taken_up} streams taken up again {n_went_on} went on; of {N_STREAMS} new ones {n_begun} began"
    ));
    let went_on = n_went_on as f64 / n_taken_up.max(1) as f64;
    let begun = n_begun as f64 / N_STREAMS as f64;
    Ok(N_TAKEN_UP_MIN <= n_taken_up && went_on < begun / 2.0)
}
