//! The store returns from a copy while the holder of the usage duty is restarted as planned. Its successor reports a window
//! once more.

use std::{
    collections::BTreeMap,
    io::{self, Write as _},
    net::SocketAddr,
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use crate::{
    http::{Client, Peer, Request, response},
    node::{Node, NodeOptions, SIGTERM, TempFolder, start_nodes},
    record::Record,
    site::{Entry, Port, Route, put_config, register, request},
    store::{Store, wait_until},
};

const WINDOW_MS: u64 = 5_000;
/// Time before the end of a window at which the store's copy is taken.
const COPY_LEAD: Duration = Duration::from_millis(500);
/// Time for which the store is away.
const AWAY: Duration = Duration::from_millis(2_900);
/// Time within which a process ends after SIGTERM.
const GRACE: Duration = Duration::from_secs(8);
/// Time from the end of a process to its next start.
const RESTART_DELAY: Duration = Duration::from_millis(500);
/// Time between two requests to one node.
const REQUEST_INTERVAL: Duration = Duration::from_millis(50);

fn wall_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |it| it.as_millis() as u64)
}

fn sleep_until_wall(at_ms: u64) {
    thread::sleep(Duration::from_millis(at_ms.saturating_sub(wall_ms())));
}

fn answer(peer: &mut Peer, request: &Request) -> io::Result<bool> {
    let id = request.header("x-attempt-id");
    let stamp = format!("stamp.filing-1.{id}");
    let headers = [("X-Attempt-Id", id), ("X-Server-Stamp", &stamp), ("X-Server-Load", "0,0,6")];
    peer.stream.write_all(&response(200, &headers, b"status"))?;
    Ok(true)
}

/// Sends requests to a node at a steady rate, and goes on when the node is back after it was killed.
fn send_requests(front: SocketAddr, name: &str) {
    let mut connection = None;
    for turn in 0_u64.. {
        thread::sleep(REQUEST_INTERVAL);
        let client =
            connection.take().map_or_else(|| Client::connect(front, Duration::from_secs(2)), Ok);
        let Ok(mut client) = client else { continue };
        let id = format!("{name}-{turn}");
        if client.call(&request("GET", "/status/1", &id, 3_000, &[], b"")).is_ok() {
            connection = Some(client);
        }
    }
}

/// Returns the holder and the window of the last accepted usage report.
fn last_report(store: &Store) -> Option<(String, u64)> {
    store.usage_reports().last().map(|it| (it.holder.clone(), it.window))
}

fn holder<'a>(nodes: &'a mut [Node], name: &str) -> io::Result<&'a mut Node> {
    nodes.iter_mut().find(|it| it.name == name).ok_or_else(|| io::Error::other("unknown holder"))
}

pub fn run(record: &Record, has_trouble: bool) -> io::Result<bool> {
    let folder = TempFolder::create()?;
    let store = Store::new(record.clone());
    let status = Route {
        name: "status",
        kind: "idempotent",
        service: "filing",
        attempts: 2,
        timeout_ms: 1_500,
        target_ms: 300,
        is_resumable: false,
    };
    put_config(&store, &[status]);
    let port = Port::open(|peer, request| answer(peer, &request))?;
    let entry = Entry {
        id: "filing-1",
        service: "filing",
        zone: "zone-a",
        version: "v1",
        slots: 6,
        address: port.address,
    };
    register(&store, &entry, &port);
    let options = [
        NodeOptions::new("edge-a-1", "zone-a"),
        NodeOptions::new("edge-b-1", "zone-b"),
        NodeOptions::new("edge-c-1", "zone-c"),
    ];
    let mut nodes = start_nodes(&folder.0, &store, &options)?;
    for node in &nodes {
        let (front, name) = (node.front, node.name.clone());
        thread::spawn(move || send_requests(front, &name));
    }
    // Two windows are reported before the disruption.
    let is_reporting = wait_until(Duration::from_secs(40), || 2 <= store.usage_reports().len());
    let Some((name, reported)) = last_report(&store).filter(|_| is_reporting) else {
        return Err(io::Error::other("no usage is reported"));
    };
    let window = (reported + 1).max(wall_ms() / WINDOW_MS);
    let end_ms = (window + 1) * WINDOW_MS;
    if has_trouble {
        sleep_until_wall(end_ms - COPY_LEAD.as_millis() as u64);
        record.line(&format!(
            "platform: takes a copy of the store, {COPY_LEAD:?} before the end of window {window}"
        ));
        store.take_copy();
    }
    let is_reported = || store.usage_reports().iter().any(|it| it.window == window);
    if !wait_until(Duration::from_millis(end_ms.saturating_sub(wall_ms()) + 10_000), is_reported) {
        return Err(io::Error::other("the window is not reported"));
    }
    record.line(&format!("platform: SIGTERM to {name}"));
    let stopped = Instant::now();
    holder(&mut nodes, &name)?.signal(SIGTERM);
    if has_trouble {
        record.line("platform: the store goes away");
        store.go_away();
        thread::sleep(AWAY);
        store.return_from_copy();
        let after_ms = wall_ms().saturating_sub(end_ms);
        record.line(&format!(
            "platform: the store is back from its copy, {after_ms} ms after the end of the window"
        ));
    }
    let node = holder(&mut nodes, &name)?;
    if !node.wait_for_end(GRACE.saturating_sub(stopped.elapsed())) {
        return Err(io::Error::other("the node has not ended in time"));
    }
    record.line(&format!(
        "platform: {name} has ended, {} ms after SIGTERM",
        stopped.elapsed().as_millis()
    ));
    thread::sleep(RESTART_DELAY);
    node.restart()?;
    record.line(&format!("platform: starts {name} again"));
    sleep_until_wall(end_ms + 22_000);
    let mut by_window: BTreeMap<u64, Vec<String>> = BTreeMap::new();
    for it in store.usage_reports() {
        record.line(&format!(
            "accepted: window {} from {}, fence {}: {}",
            it.window, it.holder, it.fencing_token, it.body
        ));
        by_window.entry(it.window).or_default().push(it.body);
    }
    let mut n_broken = 0;
    for (window, bodies) in by_window {
        if bodies.iter().any(|it| *it != bodies[0]) {
            n_broken += 1;
            record.line(&format!(
                "ONE: window {window} is reported with different counts: {}",
                bodies.join(" and ")
            ));
        }
    }
    Ok(0 < n_broken)
}
