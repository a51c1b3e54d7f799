//! Replicas send second copies of answers, late. A client is told that its booking has not run, and it has.

use std::{
    collections::{HashMap, HashSet},
    io::{self, Write as _},
    net::SocketAddr,
    sync::{
        Arc, Condvar, Mutex, PoisonError,
        atomic::{AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{Client, Peer, Request, response},
    node::{NodeOptions, TempFolder, start_nodes},
    record::Record,
    site::{Entry, Port, Route, put_config, register, request},
    store::Store,
};

const SLOTS: usize = 2;
const QUEUE: usize = 1;
const WORK: Duration = Duration::from_millis(10);
const N_CLIENTS: usize = 40;
/// Length of the traffic. The replica spoils answers for the first five seconds of it.
const TRAFFIC: Duration = Duration::from_secs(7);
const SPOILING: Duration = Duration::from_secs(5);
/// Number of replicas that spoil answers, of four.
const N_SPOILING: usize = 2;
/// Share of the answers that are sent twice. They are answers by which the replica turns a request away.
const SPOILED_SHARE: f64 = 0.03;
const DEADLINE_MS: u32 = 3_000;

#[derive(Default)]
struct Load {
    n_running: usize,
    n_waiting: usize,
}

struct Replica {
    id: &'static str,
    load: Mutex<Load>,
    freed: Condvar,
    /// Whether answers are spoiled while the disruption lasts.
    is_spoiled: bool,
    spoiled_until: Instant,
    n_answers: AtomicUsize,
    n_copies: AtomicUsize,
    runs: Arc<Mutex<Vec<String>>>,
    record: Record,
}

impl Replica {
    /// Takes a slot, after a wait in the queue if there is room. Returns whether there was one.
    fn enter(&self) -> bool {
        let mut load = self.load.lock().unwrap_or_else(PoisonError::into_inner);
        if SLOTS <= load.n_running {
            if QUEUE <= load.n_waiting {
                return false;
            }
            load.n_waiting += 1;
            while SLOTS <= load.n_running {
                load = self.freed.wait(load).unwrap_or_else(PoisonError::into_inner);
            }
            load.n_waiting -= 1;
        }
        load.n_running += 1;
        true
    }

    fn leave(&self) {
        self.load.lock().unwrap_or_else(PoisonError::into_inner).n_running -= 1;
        self.freed.notify_one();
    }

    fn load_text(&self) -> String {
        let load = self.load.lock().unwrap_or_else(PoisonError::into_inner);
        format!("{},{},{SLOTS}", load.n_running, load.n_waiting)
    }

    fn handle(&self, peer: &mut Peer, request: &Request) -> io::Result<bool> {
        let id = request.header("x-attempt-id");
        if let Some(copy) = peer.late_copy.take() {
            self.record
                .line(&format!("replica {}: repeats an answer before that to {id}", self.id));
            peer.stream.write_all(&copy)?;
        }
        let expected = request.header("x-expect-instance");
        if !expected.is_empty() && expected != self.id {
            peer.stream.write_all(&response(421, &[("X-Attempt-Id", id)], b""))?;
            return Ok(true);
        }
        let has_run = self.enter();
        let answer = if has_run {
            self.runs.lock().unwrap_or_else(PoisonError::into_inner).push(id.to_owned());
            self.record.line(&format!("replica {}: runs {id}", self.id));
            thread::sleep(WORK);
            self.leave();
            let stamp = format!("stamp.{}.{id}", self.id);
            let load = self.load_text();
            let headers =
                [("X-Attempt-Id", id), ("X-Server-Stamp", &stamp), ("X-Server-Load", &load)];
            response(200, &headers, b"booked")
        } else {
            let load = self.load_text();
            let headers = [("X-Attempt-Id", id), ("X-Not-Executed", "1"), ("X-Server-Load", &load)];
            response(503, &headers, b"full")
        };
        peer.stream.write_all(&answer)?;
        if self.is_spoiled && Instant::now() < self.spoiled_until {
            let n_answers = self.n_answers.fetch_add(1, Ordering::SeqCst) + 1;
            let n_copies_max = (n_answers as f64 * SPOILED_SHARE) as usize;
            if !has_run && self.n_copies.load(Ordering::SeqCst) < n_copies_max {
                self.n_copies.fetch_add(1, Ordering::SeqCst);
                self.record.line(&format!("replica {}: will repeat its answer to {id}", self.id));
                peer.late_copy = Some(answer);
            }
        }
        Ok(true)
    }
}

/// Answer that a client got to one attempt.
struct Answer {
    id: String,
    booking: String,
    status: u16,
    retry_after: Option<Duration>,
}

/// A client: sends one booking after the other on a kept connection. It repeats a booking once if it is told that it has not
/// run, with a new id and on a new connection, when it was told to come back.
fn client(idx: usize, front: SocketAddr, end: Instant, record: &Record) -> Vec<Answer> {
    let mut answers = Vec::new();
    let mut connection = None;
    for turn in 0.. {
        if end <= Instant::now() {
            break;
        }
        let booking = format!("b{idx}-{turn}");
        for attempt in 0..2 {
            let id = format!("{booking}-{attempt}");
            if 0 < attempt {
                connection = None;
            }
            let Some(answer) = send(&mut connection, front, &booking, &id, record) else { break };
            let retry_after = answer.retry_after.filter(|_| matches!(answer.status, 429 | 503));
            answers.push(answer);
            let Some(wait) = retry_after else { break };
            thread::sleep(wait.min(Duration::from_millis(u64::from(DEADLINE_MS) / 3)));
        }
    }
    answers
}

fn send(
    connection: &mut Option<Client>,
    front: SocketAddr,
    booking: &str,
    id: &str,
    record: &Record,
) -> Option<Answer> {
    let mut client = match connection.take() {
        Some(it) => it,
        None => Client::connect(front, Duration::from_secs(5)).ok()?,
    };
    let target = format!("/book/{booking}");
    record.line(&format!("client: sends {id}"));
    let result = client.call(&request("POST", &target, id, DEADLINE_MS, &[], b"visit on friday"));
    let (head, _) = match result {
        Ok(it) => it,
        Err(err) => {
            record.line(&format!("client: no answer to {id}: {err}"));
            return None;
        }
    };
    let has_stamp = !head.header("x-server-stamp").is_empty();
    record.line(&format!("client: {id} is answered {}, stamp {has_stamp}", head.status));
    let retry_after: Option<f64> = head.header("retry-after").parse().ok();
    if !head.header("connection").eq_ignore_ascii_case("close") {
        *connection = Some(client);
    }
    Some(Answer {
        id: id.to_owned(),
        booking: booking.to_owned(),
        status: head.status,
        retry_after: retry_after.map(Duration::from_secs_f64),
    })
}

pub fn run(record: &Record, has_trouble: bool) -> io::Result<bool> {
    let folder = TempFolder::create()?;
    let store = Store::new(record.clone());
    let book = Route {
        name: "book",
        kind: "non_idempotent",
        service: "filing",
        attempts: 1,
        timeout_ms: 1_500,
        target_ms: 300,
        is_resumable: false,
    };
    put_config(&store, &[book]);
    let runs = Arc::new(Mutex::new(Vec::new()));
    let start = Instant::now() + Duration::from_secs(6);
    let mut replicas = Vec::new();
    for (idx, id) in ["filing-1", "filing-2", "filing-3", "filing-4"].into_iter().enumerate() {
        let replica = Arc::new(Replica {
            id,
            load: Mutex::default(),
            freed: Condvar::new(),
            is_spoiled: has_trouble && idx < N_SPOILING,
            spoiled_until: start + SPOILING,
            n_answers: AtomicUsize::new(0),
            n_copies: AtomicUsize::new(0),
            runs: runs.clone(),
            record: record.clone(),
        });
        let of_port = replica.clone();
        let port = Port::open(move |peer, request| of_port.handle(peer, &request))?;
        let entry = Entry {
            id,
            service: "filing",
            zone: "zone-a",
            version: "v1",
            slots: SLOTS,
            address: port.address,
        };
        register(&store, &entry, &port);
        replicas.push((replica, port));
    }
    let nodes = start_nodes(&folder.0, &store, &[NodeOptions::new("edge-a-1", "zone-a")])?;
    let front = nodes[0].front;
    thread::sleep(start.saturating_duration_since(Instant::now()));
    let end = start + TRAFFIC;
    let clients = (0..N_CLIENTS).map(|idx| {
        let record = record.clone();
        thread::spawn(move || client(idx, front, end, &record))
    });
    let clients: Vec<_> = clients.collect();
    let answers: Vec<Answer> =
        clients.into_iter().flat_map(|it| it.join().unwrap_or_default()).collect();
    thread::sleep(Duration::from_secs(1));

    let runs = runs.lock().unwrap_or_else(PoisonError::into_inner).clone();
    let mut n_runs: HashMap<&str, usize> = HashMap::new();
    for id in &runs {
        *n_runs.entry(id).or_default() += 1;
    }
    let n_twice = n_runs.values().filter(|it| 1 < **it).count();
    let is_promise = |it: &&Answer| matches!(it.status, 408 | 421 | 429 | 503);
    let broken: Vec<_> = answers
        .iter()
        .filter(is_promise)
        .filter(|it| n_runs.contains_key(it.id.as_str()))
        .collect();
    let bookings: HashSet<_> = broken.iter().map(|it| it.booking.as_str()).collect();
    for it in &broken {
        record.line(&format!("REFUSED: {} is answered {} and has run", it.id, it.status));
    }
    let n_doubled = bookings.iter().filter(|it| {
        n_runs.contains_key(format!("{it}-0").as_str())
            && n_runs.contains_key(format!("{it}-1").as_str())
    });
    for (replica, _) in &replicas {
        record.line(&format!(
            "replica {}: {} answers during the disruption, {} of them sent twice",
            replica.id,
            replica.n_answers.load(Ordering::SeqCst),
            replica.n_copies.load(Ordering::SeqCst)
        ));
    }
    record.line(&format!(
        "{} attempts answered, {} runs; TWICE {n_twice}; REFUSED {}; bookings that ran twice after a promise {}",
        answers.len(),
        runs.len(),
        broken.len(),
        n_doubled.count()
    ));
    Ok(!broken.is_empty() || 0 < n_twice)
}
