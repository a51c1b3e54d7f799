//! A node is stopped as planned while clients read long answers at the speed of their links.

use std::{
    io::{self, Read as _, Write as _},
    net::{SocketAddr, TcpStream},
    os::fd::AsRawFd as _,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{Client, Peer, Request, response},
    node::{NodeOptions, SIGTERM, TempFolder, start_nodes},
    record::Record,
    site::{Entry, Port, Route, put_config, register, request},
    store::{Store, wait_until},
};

const N_CLIENTS: usize = 4;
/// Length of an answer.
const ANSWER_BYTES: usize = 14_000_000;
/// Speed at which a client reads, as over a link of 16 Mbit/s with a small window.
const CLIENT_BYTES_PER_S: f64 = 2_000_000.0;
static CLIENT_WINDOW_BYTES: i32 = 64 * 1024;
const DEADLINE_MS: u32 = 15_000;
/// Time from the requests to the planned stop.
const STOP_AFTER: Duration = Duration::from_millis(500);
/// Time from SIGTERM to SIGKILL.
const GRACE: Duration = Duration::from_secs(8);

unsafe extern "C" {
    fn setsockopt(socket: i32, level: i32, option: i32, value: *const i32, n_bytes: u32) -> i32;
}

/// Limits what the system receives for the client in advance.
fn set_window(stream: &TcpStream) -> io::Result<()> {
    const SOL_SOCKET: i32 = 1;
    const SO_RCVBUF: i32 = 8;
    let result = unsafe {
        setsockopt(stream.as_raw_fd(), SOL_SOCKET, SO_RCVBUF, &raw const CLIENT_WINDOW_BYTES, 4)
    };
    if result == 0 { Ok(()) } else { Err(io::Error::last_os_error()) }
}

/// Sends a request on a kept connection and reads the answer. Returns whether it was complete.
fn download(front: SocketAddr, id: &str, record: &Record) -> bool {
    let mut n_bytes = 0;
    let result = read_answer(front, id, record, &mut n_bytes);
    match &result {
        Ok(status) => {
            record.line(&format!("client: {id} is answered {status}, {n_bytes} bytes, complete"))
        }
        Err(err) => {
            record.line(&format!("client: the answer to {id} ends after {n_bytes} bytes: {err}"))
        }
    }
    result.is_ok_and(|it| it == 200) && n_bytes == ANSWER_BYTES
}

fn read_answer(
    front: SocketAddr,
    id: &str,
    record: &Record,
    n_bytes: &mut usize,
) -> io::Result<u16> {
    let mut client = Client::connect(front, Duration::from_secs(5))?;
    set_window(&client.stream)?;
    let (head, _) = client.call(&request(
        "GET",
        "/report/short",
        &format!("{id}-first"),
        DEADLINE_MS,
        &[],
        b"",
    ))?;
    record.line(&format!("client: {id}-first is answered {}", head.status));
    record.line(&format!("client: sends {id}"));
    let head = client.send(&request("GET", "/report/long", id, DEADLINE_MS, &[], b""))?;
    let length = head.header("content-length").parse().unwrap_or(0);
    let start = Instant::now();
    let mut buffer = vec![0; 32 * 1024];
    while *n_bytes < length {
        let n_read = client.reader.read(&mut buffer)?;
        if n_read == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        *n_bytes += n_read;
        let due = start + Duration::from_secs_f64(*n_bytes as f64 / CLIENT_BYTES_PER_S);
        thread::sleep(due.saturating_duration_since(Instant::now()));
    }
    Ok(head.status)
}

fn serve_report(
    peer: &mut Peer,
    request: &Request,
    n_runs: &AtomicUsize,
    record: &Record,
) -> io::Result<bool> {
    let id = request.header("x-attempt-id");
    let is_long = request.path() == "/report/long";
    record.line(&format!("replica filing-1: runs {id}"));
    let stamp = format!("stamp.filing-1.{id}");
    let body = vec![b'r'; if is_long { ANSWER_BYTES } else { 800 }];
    let headers = [("X-Attempt-Id", id), ("X-Server-Stamp", &stamp), ("X-Server-Load", "1,0,6")];
    peer.stream.write_all(&response(200, &headers, &body))?;
    if is_long {
        n_runs.fetch_add(1, Ordering::SeqCst);
        record.line(&format!("replica filing-1: has sent its whole answer to {id}"));
    }
    Ok(true)
}

pub fn run(record: &Record, has_trouble: bool) -> io::Result<bool> {
    let folder = TempFolder::create()?;
    let store = Store::new(record.clone());
    let report = Route {
        name: "report",
        kind: "idempotent",
        service: "filing",
        attempts: 2,
        timeout_ms: 15_000,
        target_ms: 300,
        is_resumable: false,
    };
    put_config(&store, &[report]);
    let n_runs = Arc::new(AtomicUsize::new(0));
    let of_port = (n_runs.clone(), record.clone());
    let port =
        Port::open(move |peer, request| serve_report(peer, &request, &of_port.0, &of_port.1))?;
    let entry = Entry {
        id: "filing-1",
        service: "filing",
        zone: "zone-a",
        version: "v1",
        slots: 6,
        address: port.address,
    };
    register(&store, &entry, &port);
    let options = NodeOptions::new("edge-a-1", "zone-a");
    let mut nodes = start_nodes(&folder.0, &store, &[options])?;
    // A node that was started is in touch after three seconds.
    thread::sleep(Duration::from_secs(4));
    let front = nodes[0].front;
    let start = Instant::now();
    let clients: Vec<_> = (0..N_CLIENTS)
        .map(|idx| {
            let record = record.clone();
            thread::spawn(move || download(front, &format!("d{idx}"), &record))
        })
        .collect();
    if !wait_until(Duration::from_secs(3), || n_runs.load(Ordering::SeqCst) == N_CLIENTS) {
        return Err(io::Error::other("the replica has not run all requests"));
    }
    thread::sleep((start + STOP_AFTER).saturating_duration_since(Instant::now()));
    if has_trouble {
        record.line("platform: SIGTERM to edge-a-1");
        nodes[0].signal(SIGTERM);
        let stopped = Instant::now();
        nodes[0].wait_for_end(GRACE);
        record.line(&format!(
            "platform: edge-a-1 has ended, {} ms after SIGTERM",
            stopped.elapsed().as_millis()
        ));
    }
    let n_complete = clients.into_iter().filter_map(|it| it.join().ok()).filter(|it| *it).count();
    record.line(&format!(
        "{N_CLIENTS} requests read and run, {n_complete} answers complete; LOST {}",
        N_CLIENTS - n_complete
    ));
    Ok(n_complete < N_CLIENTS)
}
