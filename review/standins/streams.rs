//! Streams of events: replicas that write them, and clients that read them and take them up again.

use std::{
    collections::BTreeSet,
    io::{self, Write as _},
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    thread,
    time::Duration,
};

use crate::{
    http::{Client, Peer, Request, read_chunk, read_response_body},
    record::Record,
    site::{Entry, Port, Route, register, request},
    store::Store,
};

/// Number of events of a stream.
pub const N_EVENTS: u64 = 60;
const EVENT_INTERVAL: Duration = Duration::from_millis(25);
const DEADLINE_MS: u32 = 15_000;
const SLOTS: usize = 64;

/// Returns the route of the streams, which may be resumed.
pub fn route() -> Route {
    Route {
        name: "review",
        kind: "streaming",
        service: "draft",
        attempts: 2,
        timeout_ms: 15_000,
        target_ms: 1_200,
        is_resumable: true,
    }
}

/// A replica that writes streams.
pub struct StreamReplica {
    pub port: Port,
    /// Number of events that it has written.
    pub n_events: Arc<AtomicUsize>,
}

impl StreamReplica {
    /// Starts a replica, which writes its entry to the store.
    pub fn start(
        store: &Store,
        id: &'static str,
        version: &'static str,
        zone: &'static str,
        record: &Record,
    ) -> io::Result<Self> {
        let n_events = Arc::new(AtomicUsize::new(0));
        let of_port = (n_events.clone(), record.clone());
        let port = Port::open(move |peer, request| {
            let (n_events, record) = &of_port;
            write_stream(peer, &request, (id, version), n_events, record)
        })?;
        record.line(&format!("replica {id} ({version}): writes its entry"));
        let entry =
            Entry { id, service: "draft", zone, version, slots: SLOTS, address: port.address };
        register(store, &entry, &port);
        Ok(Self { port, n_events })
    }
}

/// Writes the events of a stream from the one after `Last-Event-Id` on. Each names the version of the replica.
fn write_stream(
    peer: &mut Peer,
    request: &Request,
    (id, version): (&str, &str),
    n_events: &AtomicUsize,
    record: &Record,
) -> io::Result<bool> {
    let attempt = request.header("x-attempt-id");
    let after: u64 = request.header("last-event-id").parse().unwrap_or(0);
    record.line(&format!("replica {id} ({version}): runs {attempt}, after event {after}"));
    let head = format!(
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\
         X-Attempt-Id: {attempt}\r\nX-Server-Stamp: stamp.{id}.{attempt}\r\n\r\n"
    );
    peer.stream.write_all(head.as_bytes())?;
    for event in after + 1..=N_EVENTS {
        thread::sleep(EVENT_INTERVAL);
        let text = format!("id: {event}\ndata: {version}\n\n");
        peer.stream.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes())?;
        n_events.fetch_add(1, Ordering::SeqCst);
    }
    peer.stream.write_all(b"0\r\n\r\n")?;
    Ok(true)
}

/// What a client has received of a stream.
#[derive(Debug, Default)]
pub struct Received {
    pub last_event: u64,
    /// Versions of the replicas that wrote its events.
    pub versions: BTreeSet<String>,
    pub is_complete: bool,
    /// Whether the client has taken the stream up again, and whether it then went on.
    pub is_taken_up: bool,
    pub went_on: bool,
}

impl Received {
    fn on_event(&mut self, event: &str) {
        for line in event.lines() {
            if let Some(id) = line.strip_prefix("id: ") {
                self.last_event = id.parse().unwrap_or(0);
            }
            if let Some(version) = line.strip_prefix("data: ") {
                self.versions.insert(version.to_owned());
            }
        }
    }
}

/// A client: opens a stream at the first node and, if it is broken off after an event, takes it up once at the second.
pub fn read(fronts: [SocketAddr; 2], id: &str, record: &Record) -> Received {
    let mut received = Received::default();
    let first = format!("{id}-0");
    let result = read_attempt(fronts[0], &first, &[], &mut received, record);
    record.line(&format!("client: {first} ends, {result:?}, {received:?}"));
    if received.is_complete || received.last_event == 0 {
        return received;
    }
    received.is_taken_up = true;
    let last_event = received.last_event;
    let last_event_text = last_event.to_string();
    let headers = [("Last-Event-Id", last_event_text.as_str()), ("Resumes", &first)];
    let second = format!("{id}-1");
    let result = read_attempt(fronts[1], &second, &headers, &mut received, record);
    received.went_on = last_event < received.last_event;
    record.line(&format!("client: {second} ends, {result:?}, {received:?}"));
    received
}

/// Sends a request for a stream and reads its events. Returns the status of the answer.
fn read_attempt(
    front: SocketAddr,
    id: &str,
    headers: &[(&str, &str)],
    received: &mut Received,
    record: &Record,
) -> io::Result<u16> {
    let mut client = Client::connect(front, Duration::from_secs(3))?;
    record.line(&format!("client: sends {id}, {headers:?}"));
    let head = client.send(&request("POST", "/review/1", id, DEADLINE_MS, headers, b"notes"))?;
    if head.status != 200 {
        read_response_body(&mut client.reader, &head)?;
        return Ok(head.status);
    }
    let mut text = String::new();
    loop {
        let chunk = read_chunk(&mut client.reader)?;
        if chunk.is_empty() {
            received.is_complete = received.last_event == N_EVENTS;
            return Ok(head.status);
        }
        text.push_str(&String::from_utf8_lossy(&chunk));
        while let Some(end) = text.find("\n\n") {
            let event: String = text.drain(..end + 2).collect();
            received.on_event(&event);
        }
    }
}
