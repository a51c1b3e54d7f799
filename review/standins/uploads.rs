//! One tenant sends many times its usual: requests with long bodies. Nodes hold these bodies without a limit.

use std::{
    io::{self, Write as _},
    net::SocketAddr,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{Client, Peer, Request, response},
    node::{MEMORY_MB, NodeOptions, SIGKILL, TempFolder, start_nodes},
    record::Record,
    site::{Entry, Port, Route, put_config, register, request},
    store::{Store, is_ready, wait_until},
};

/// Length of a body, which is half of what the configuration allows.
const BODY_BYTES: usize = 2_000_000;
/// Time that a replica works on a request.
const WORK: Duration = Duration::from_secs(5);
const DEADLINE_MS: u32 = 15_000;
/// Requests per second of the tenant usually, and by how much it sends more during the disruption.
const USUAL_PER_S: f64 = 4.0;
const HOT_FACTOR: f64 = 7.5;
const HOT_FROM: Duration = Duration::from_secs(6);
const HOT_FOR: Duration = Duration::from_millis(6_500);
const TRAFFIC: Duration = Duration::from_secs(14);
/// Interval at which the platform looks at the memory of a process.
const MEMORY_INTERVAL: Duration = Duration::from_millis(20);
const RESTART_DELAY: Duration = Duration::from_millis(500);
const SLOTS: &str = "64";

fn serve_upload(
    peer: &mut Peer,
    request: &Request,
    id: &str,
    record: &Record,
    runs: &Mutex<Vec<String>>,
) -> io::Result<bool> {
    let attempt = request.header("x-attempt-id");
    if !attempt.ends_with("-first") {
        record.line(&format!("replica {id}: runs {attempt}, {} bytes", request.body.len()));
        runs.lock().unwrap_or_else(PoisonError::into_inner).push(attempt.to_owned());
        thread::sleep(WORK);
    }
    let stamp = format!("stamp.{id}.{attempt}");
    let headers = [("X-Attempt-Id", attempt), ("X-Server-Stamp", &stamp)];
    peer.stream.write_all(&response(200, &headers, b"filed"))?;
    Ok(true)
}

/// Sends a short request and then a long one on the same connection. Returns the status of the second, if it was answered.
fn upload(front: SocketAddr, id: &str, body: &[u8], record: &Record) -> io::Result<u16> {
    let mut client = Client::connect(front, Duration::from_secs(16))?;
    client.call(&request(
        "POST",
        "/file/short",
        &format!("{id}-first"),
        DEADLINE_MS,
        &[],
        b"note",
    ))?;
    record.line(&format!("client: sends {id}"));
    let (head, _) = client.call(&request("POST", "/file/long", id, DEADLINE_MS, &[], body))?;
    Ok(head.status)
}

pub fn run(record: &Record, has_trouble: bool) -> io::Result<bool> {
    let folder = TempFolder::create()?;
    let store = Store::new(record.clone());
    let file = Route {
        name: "file",
        kind: "non_idempotent",
        service: "filing",
        attempts: 1,
        timeout_ms: 15_000,
        target_ms: 6_000,
        is_resumable: false,
    };
    put_config(&store, &[file]);
    let runs = Arc::new(Mutex::new(Vec::new()));
    let mut ports = Vec::new();
    for id in ["filing-1", "filing-2", "filing-3", "filing-4"] {
        let (record, runs) = (record.clone(), runs.clone());
        let port =
            Port::open(move |peer, request| serve_upload(peer, &request, id, &record, &runs))?;
        let entry = Entry {
            id,
            service: "filing",
            zone: "zone-a",
            version: "v1",
            slots: SLOTS.parse().unwrap_or(64),
            address: port.address,
        };
        register(&store, &entry, &port);
        ports.push(port);
    }
    let options = NodeOptions::new("edge-a-1", "zone-a");
    let mut nodes = start_nodes(&folder.0, &store, &[options])?;
    thread::sleep(Duration::from_secs(4));
    let (front, ready) = (nodes[0].front, nodes[0].ready);

    let start = Instant::now();
    let (n_killed, peak_kib) = (Arc::new(AtomicUsize::new(0)), Arc::new(AtomicUsize::new(0)));
    let is_over = Arc::new(AtomicBool::new(false));
    let platform = {
        let (record, n_killed, peak_kib, is_over) =
            (record.clone(), n_killed.clone(), peak_kib.clone(), is_over.clone());
        let mut node = nodes.remove(0);
        // The process ends with the thread that has started it, so this one also holds it to the end.
        thread::spawn(move || -> io::Result<()> {
            while !is_over.load(Ordering::SeqCst) {
                thread::sleep(MEMORY_INTERVAL);
                let resident_kib = node.resident_kib();
                peak_kib.fetch_max(resident_kib as usize, Ordering::SeqCst);
                if MEMORY_MB * 1024 < resident_kib {
                    record.line(&format!(
                        "platform: kills edge-a-1, which takes {} MiB",
                        resident_kib / 1024
                    ));
                    n_killed.fetch_add(1, Ordering::SeqCst);
                    node.signal(SIGKILL);
                    thread::sleep(RESTART_DELAY);
                    node.restart()?;
                    wait_until(Duration::from_secs(10), || is_ready(ready));
                }
            }
            Ok(())
        })
    };

    let body: Arc<[u8]> = vec![b'u'; BODY_BYTES].into();
    let mut clients = Vec::new();
    let mut due = start;
    for idx in 0.. {
        thread::sleep(due.saturating_duration_since(Instant::now()));
        let elapsed = start.elapsed();
        if TRAFFIC < elapsed {
            break;
        }
        let is_hot = has_trouble && (HOT_FROM..HOT_FROM + HOT_FOR).contains(&elapsed);
        due += Duration::from_secs_f64(1.0 / (USUAL_PER_S * if is_hot { HOT_FACTOR } else { 1.0 }));
        let (body, record) = (body.clone(), record.clone());
        clients.push(thread::spawn(move || {
            let id = format!("u{idx}");
            let result = upload(front, &id, &body, &record);
            match &result {
                Ok(status) => record.line(&format!("client: {id} is answered {status}")),
                Err(err) => record.line(&format!("client: no answer to {id}: {err}")),
            }
            (id, result.ok())
        }));
    }
    let results: Vec<_> = clients.into_iter().filter_map(|it| it.join().ok()).collect();
    is_over.store(true, Ordering::SeqCst);
    platform.join().unwrap_or_else(|_| Err(io::Error::other("the platform has failed")))?;

    let runs = runs.lock().unwrap_or_else(PoisonError::into_inner);
    let n_lost = results.iter().filter(|it| it.1.is_none() && runs.contains(&it.0)).count();
    let n_answered = results.iter().filter(|it| it.1 == Some(200)).count();
    record.line(&format!(
        "{} requests, {} run, {n_answered} answered 200; memory at its peak {} MiB of {MEMORY_MB}, processes killed {}; LOST {n_lost}",
        results.len(),
        runs.len(),
        peak_kib.load(Ordering::SeqCst) / 1024,
        n_killed.load(Ordering::SeqCst)
    ));
    Ok(3 < n_lost)
}
