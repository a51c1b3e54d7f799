//! Stand-in of a replica: a model engine that streams events.

use std::{
    io::{self, BufReader, Write as _},
    net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use crate::{
    http::{Request, read_request, respond},
    process::reset_on_close,
    record::Record,
    store::Store,
};

/// Interval at which a replica writes its entry.
const HEARTBEAT: Duration = Duration::from_millis(1_200);
/// Heartbeats without which the platform removes an entry.
const SILENT_HEARTBEATS: u32 = 3;
const SLOTS: usize = 64;
/// Paths of requests whose answers are streams.
const STREAM_PATHS: &str = "/stream/";
/// Time that it takes to look something up.
const LOOK_UP_TIME: Duration = Duration::from_millis(60);

/// What a replica is and how it answers.
#[derive(Clone)]
pub struct Settings {
    pub service: String,
    pub zone: String,
    pub version: String,
    pub ip: Ipv4Addr,
    pub event_interval: Duration,
    /// Whether streams are sent in chunks. Otherwise they end with their connection.
    pub is_framed: bool,
    /// Part of a prompt that crashes the replica when it begins to write an answer on it.
    pub deadly_part: Option<String>,
}

pub struct Replica {
    pub id: String,
    pub settings: Settings,
    pub address: SocketAddr,
    pub n_running: AtomicUsize,
    pub has_ended: AtomicBool,
    is_crash: AtomicBool,
    is_listed: AtomicBool,
    /// Streams that run, the newest last.
    streams: Mutex<Vec<String>>,
    /// Streams that are preempted, and until when.
    preempted: Mutex<Option<(Vec<String>, Instant)>>,
    born: u128,
    store: Arc<Store>,
    record: Arc<Record>,
    /// Called when the replica crashes by itself.
    on_crash: Mutex<Option<Box<dyn FnOnce() + Send>>>,
}

static N_STARTED: AtomicUsize = AtomicUsize::new(0);

impl Replica {
    /// Starts a replica under a new id, and registers it.
    pub fn start(settings: Settings, store: &Arc<Store>, record: &Arc<Record>) -> Arc<Self> {
        let listener = TcpListener::bind((settings.ip, 0)).expect("a port is free");
        let number = N_STARTED.fetch_add(1, Ordering::Relaxed);
        let replica = Arc::new(Self {
            id: format!("i-{number:08x}"),
            address: listener.local_addr().unwrap(),
            settings,
            n_running: AtomicUsize::new(0),
            has_ended: AtomicBool::new(false),
            is_crash: AtomicBool::new(false),
            is_listed: AtomicBool::new(true),
            streams: Mutex::default(),
            preempted: Mutex::default(),
            born: SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis(),
            store: store.clone(),
            record: record.clone(),
            on_crash: Mutex::new(None),
        });
        let Settings { service, version, zone, .. } = &replica.settings;
        record.line(&format!("replica {} of {service} {version} starts in {zone}", replica.id));
        listener.set_nonblocking(true).unwrap();
        let accepting = replica.clone();
        thread::spawn(move || accepting.accept(listener));
        let beating = replica.clone();
        thread::spawn(move || beating.beat());
        replica
    }

    pub fn set_on_crash(&self, f: impl FnOnce() + Send + 'static) {
        *self.on_crash.lock().unwrap() = Some(Box::new(f));
    }

    /// Ends the replica as a kill does: its connections are reset, and its entry expires.
    pub fn crash(&self, why: &str) {
        if self.has_ended.swap(true, Ordering::SeqCst) {
            return;
        }
        self.is_crash.store(true, Ordering::SeqCst);
        self.record.line(&format!("replica {} crashes: {why}", self.id));
        if let Some(f) = self.on_crash.lock().unwrap().take() {
            f();
        }
    }

    /// Returns the number of streams that run.
    pub fn n_streams(&self) -> usize {
        self.streams.lock().unwrap().len()
    }

    /// Preempts the newest streams, as an engine does that has no memory left. They go on after some time.
    pub fn preempt(&self, n_newest: usize, time: Duration) {
        let ids: Vec<_> =
            self.streams.lock().unwrap().iter().rev().take(n_newest).cloned().collect();
        self.record.line(&format!("replica {} preempts {} streams", self.id, ids.len()));
        *self.preempted.lock().unwrap() = Some((ids, Instant::now() + time));
    }

    fn is_preempted(&self, id: &str) -> bool {
        let preempted = self.preempted.lock().unwrap();
        preempted
            .as_ref()
            .is_some_and(|it| Instant::now() < it.1 && it.0.iter().any(|other| other == id))
    }

    /// Removes the entry of the replica, which continues to serve.
    pub fn unlist(&self) {
        self.is_listed.store(false, Ordering::SeqCst);
        self.record.line(&format!("replica {} leaves: its entry is removed", self.id));
        self.store.write("keyed.servers", &self.id, "");
    }

    /// Ends a replica that has left.
    pub fn exit(&self) {
        self.record.line(&format!("replica {} exits", self.id));
        self.has_ended.store(true, Ordering::SeqCst);
    }

    fn beat(&self) {
        let mut seq = 0;
        while !self.has_ended.load(Ordering::SeqCst) && self.is_listed.load(Ordering::SeqCst) {
            seq += 1;
            let Self { settings, address, born, .. } = self;
            let Settings { service, zone, version, .. } = settings;
            let entry = format!(
                "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"{zone}\",\
                 \"version\":\"{version}\",\"slots\":{SLOTS},\"state\":\"ready\",\
                 \"warmupLeftMs\":0,\"seq\":{seq},\"born\":{born}}}"
            );
            self.store.write("keyed.servers", &self.id, &entry);
            let next = Instant::now() + HEARTBEAT;
            while Instant::now() < next && !self.has_ended.load(Ordering::SeqCst) {
                thread::sleep(Duration::from_millis(10));
            }
        }
        if self.is_crash.load(Ordering::SeqCst) {
            thread::sleep(HEARTBEAT * SILENT_HEARTBEATS);
            self.store.write("keyed.servers", &self.id, "");
        }
    }

    fn accept(self: Arc<Self>, listener: TcpListener) {
        while !self.has_ended.load(Ordering::SeqCst) {
            match listener.accept() {
                Ok((stream, _)) => {
                    let replica = self.clone();
                    thread::spawn(move || {
                        let _ = replica.serve(stream);
                    });
                }
                Err(_) => thread::sleep(Duration::from_millis(2)),
            }
        }
    }

    fn serve(&self, stream: TcpStream) -> io::Result<()> {
        stream.set_nonblocking(false)?;
        stream.set_nodelay(true)?;
        let mut writer = stream.try_clone()?;
        let mut reader = BufReader::new(stream);
        loop {
            // Waits for a request, unless the replica ends before.
            reader.get_ref().set_read_timeout(Some(Duration::from_millis(5)))?;
            let mut byte = [0];
            match reader.get_ref().peek(&mut byte) {
                Ok(0) => return Ok(()),
                Ok(_) => {}
                Err(_) if self.has_ended.load(Ordering::SeqCst) => {
                    return reset_if(&writer, self.is_crash.load(Ordering::SeqCst));
                }
                Err(_) => continue,
            }
            reader.get_ref().set_read_timeout(Some(Duration::from_secs(5)))?;
            let Some(request) = read_request(&mut reader)? else { return Ok(()) };
            if !self.answer(&request, &mut writer)? {
                return Ok(());
            }
        }
    }

    /// Answers a request. Returns whether the connection is kept.
    fn answer(&self, request: &Request, writer: &mut TcpStream) -> io::Result<bool> {
        let id = request.header("x-attempt-id").unwrap_or("").to_owned();
        let echo = ("X-Attempt-Id", id.clone());
        if request.header("x-expect-instance").is_some_and(|it| it != self.id) {
            let instance = ("X-Instance-Id", self.id.clone());
            respond(writer, 421, &[echo, instance], b"")?;
            return Ok(true);
        }
        if id.is_empty() {
            respond(writer, 404, &[], b"")?;
            return Ok(true);
        }
        let n_running = self.n_running.fetch_add(1, Ordering::SeqCst);
        if SLOTS <= n_running {
            self.n_running.fetch_sub(1, Ordering::SeqCst);
            respond(writer, 503, &[echo, ("X-Not-Executed", "1".to_owned())], b"")?;
            return Ok(true);
        }
        let result = if request.path().starts_with(STREAM_PATHS) {
            self.streams.lock().unwrap().push(id.clone());
            let result = self.stream(request, &id, writer);
            self.streams.lock().unwrap().retain(|it| *it != id);
            result
        } else {
            self.look_up(request, &id, writer)
        };
        self.n_running.fetch_sub(1, Ordering::SeqCst);
        result
    }

    /// Answers a request that reads something, with a length.
    fn look_up(&self, request: &Request, id: &str, writer: &mut TcpStream) -> io::Result<bool> {
        let Request { method, target, .. } = request;
        self.record.line(&format!("replica {} runs {id}: {method} {target}", self.id));
        let end = Instant::now() + LOOK_UP_TIME;
        while Instant::now() < end {
            if self.has_ended.load(Ordering::SeqCst) {
                reset_if(writer, self.is_crash.load(Ordering::SeqCst))?;
                self.record.line(&format!("replica {} stops {id}", self.id));
                return Ok(false);
            }
            thread::sleep(Duration::from_millis(2));
        }
        let load = self.n_running.load(Ordering::SeqCst);
        let headers = [
            ("X-Attempt-Id", id.to_owned()),
            ("X-Server-Stamp", format!("{}.{id}", self.id)),
            ("X-Server-Load", format!("{load},0,{SLOTS}")),
        ];
        respond(writer, 200, &headers, format!("state of {target}").as_bytes())?;
        Ok(true)
    }

    fn stream(&self, request: &Request, id: &str, writer: &mut TcpStream) -> io::Result<bool> {
        let Settings { version, event_interval, is_framed, deadly_part, .. } = &self.settings;
        // One event for each output token.
        let usage = request.header("x-token-usage").and_then(|it| it.split_once(','));
        let n_events = usage.and_then(|it| it.1.trim().parse().ok()).unwrap_or(1);
        let after = request.header("last-event-id").and_then(|it| it.parse::<u64>().ok());
        let resumes = request.header("resumes").unwrap_or("-");
        self.record.line(&format!(
            "replica {} {version} runs {id}, after event {after:?}, resumes {resumes}",
            self.id
        ));
        thread::sleep(Duration::from_millis(50));
        let parts = request.header("x-prompt-prefix").unwrap_or("");
        let is_part = |part: &str| parts.split(',').any(|it| it.split(':').next() == Some(part));
        if deadly_part.as_ref().is_some_and(|it| is_part(it)) {
            self.crash(&format!("it begins to answer {id}"));
        }
        let framing = if *is_framed { "Transfer-Encoding: chunked" } else { "Connection: close" };
        let load = self.n_running.load(Ordering::SeqCst);
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Attempt-Id: {id}\r\n\
             X-Server-Stamp: {}.{id}\r\nX-Server-Load: {load},0,{SLOTS}\r\n{framing}\r\n\r\n",
            self.id
        );
        let mut is_head_sent = false;
        for number in after.map_or(0, |it| it + 1)..n_events {
            let next = Instant::now() + *event_interval;
            while number != 0 && (Instant::now() < next || self.is_preempted(id)) {
                if self.has_ended.load(Ordering::SeqCst) {
                    break;
                }
                thread::sleep(Duration::from_millis(5));
            }
            if self.has_ended.load(Ordering::SeqCst) {
                if self.is_crash.load(Ordering::SeqCst) {
                    reset_on_close(writer);
                }
                self.record.line(&format!("replica {} stops {id} before event {number}", self.id));
                return Ok(false);
            }
            if !std::mem::replace(&mut is_head_sent, true) {
                writer.write_all(head.as_bytes())?;
            }
            let event = format!("id: {number}\ndata: {version} {number}\n\n");
            let written = if *is_framed {
                writer.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())
            } else {
                writer.write_all(event.as_bytes())
            };
            if written.is_err() {
                self.record.line(&format!("replica {} stops {id}: the caller has left", self.id));
                return Ok(false);
            }
        }
        if *is_framed {
            writer.write_all(b"0\r\n\r\n")?;
        }
        self.record.line(&format!("replica {} has run {id} to its end", self.id));
        Ok(*is_framed)
    }
}

fn reset_if(stream: &TcpStream, is_crash: bool) -> io::Result<()> {
    if is_crash {
        reset_on_close(stream);
    }
    Ok(())
}
