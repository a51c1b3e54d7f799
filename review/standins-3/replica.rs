//! Stand-in for a replica. Its server is a process of its own, so that it can crash. The process that starts it registers
//! it in the store and renews its entry, as the replica itself would do.

use std::{
    io::{self, BufRead as _, BufReader, Write as _},
    net::{SocketAddr, TcpStream},
    process::{Child, Command, Stdio},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use crate::{
    http::{self, Request, respond, start_chunks, write_chunk},
    store::Store,
};

const HEARTBEAT: Duration = Duration::from_millis(1_200);
/// Silence after which the store removes an entry: three intervals.
const ENTRY_LIFE: Duration = Duration::from_millis(3_600);

/// Stream that a replica sends for a request.
#[derive(Clone, Copy, Debug)]
pub struct Work {
    pub n_events: u64,
    pub interval_ms: u64,
}

/// A run of a request.
#[derive(Clone, Debug)]
pub struct Run {
    pub at: Instant,
    pub replica: String,
    pub id: String,
    /// First event that the run sends.
    pub first_event: u64,
}

#[derive(Clone, Debug)]
pub struct Options {
    pub id: String,
    pub service: &'static str,
    pub zone: &'static str,
    pub version: &'static str,
    pub slots: usize,
    pub work: Work,
    /// Prefix of the paths of shorter streams, and the number of their events.
    pub short: Option<(&'static str, u64)>,
    /// Part of a prompt that crashes the replica when it has begun to write an answer on it.
    pub crashing_part: Option<&'static str>,
}

pub struct Replica {
    child: Mutex<Child>,
    is_up: Arc<AtomicBool>,
    pub crashed_at: Arc<Mutex<Option<Instant>>>,
}

impl Replica {
    /// Starts a replica, whose entry is in the store while it runs, and for a time after it has crashed.
    pub fn start(
        store: &Store,
        address: SocketAddr,
        options: &Options,
        runs: &Arc<Mutex<Vec<Run>>>,
    ) -> io::Result<Arc<Self>> {
        let Work { n_events, interval_ms } = options.work;
        let (short_prefix, short_events) = options.short.unwrap_or_default();
        let mut child = Command::new(std::env::current_exe()?)
            .args(["replica", &address.to_string(), &options.id, &options.slots.to_string()])
            .args([n_events.to_string(), interval_ms.to_string()])
            .args([short_prefix, &short_events.to_string()])
            .arg(options.crashing_part.unwrap_or_default())
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .spawn()?;
        let output = child.stdout.take().ok_or(io::ErrorKind::BrokenPipe)?;
        let mut lines = BufReader::new(output).lines();
        // The first line tells that the replica listens.
        lines.next().ok_or(io::ErrorKind::BrokenPipe)??;
        let replica = Arc::new(Self {
            child: Mutex::new(child),
            is_up: Arc::new(AtomicBool::new(true)),
            crashed_at: Arc::default(),
        });
        let (is_up, crashed_at) = (replica.is_up.clone(), replica.crashed_at.clone());
        let (runs, id) = (runs.clone(), options.id.clone());
        thread::spawn(move || {
            for line in lines.map_while(Result::ok) {
                let mut words = line.split(' ');
                let (request, first) = (words.next(), words.next());
                runs.lock().unwrap().push(Run {
                    at: Instant::now(),
                    replica: id.clone(),
                    id: request.unwrap_or_default().to_owned(),
                    first_event: first.and_then(|it| it.parse().ok()).unwrap_or(0),
                });
            }
            is_up.store(false, Ordering::SeqCst);
            *crashed_at.lock().unwrap() = Some(Instant::now());
        });
        let (of_heartbeat, store, options) = (replica.clone(), store.clone(), options.clone());
        let born = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis();
        thread::spawn(move || {
            let mut seq = 1;
            while of_heartbeat.is_up.load(Ordering::SeqCst) {
                store.put("keyed.servers", &options.id, &entry(&options, address, seq, born));
                seq += 1;
                thread::sleep(HEARTBEAT);
            }
            thread::sleep(ENTRY_LIFE - HEARTBEAT);
            store.delete("keyed.servers", &options.id);
        });
        Ok(replica)
    }

    /// Ends the replica's process.
    pub fn kill(&self) {
        let mut child = self.child.lock().unwrap();
        let _ = child.kill();
        let _ = child.wait();
    }
}

fn entry(options: &Options, address: SocketAddr, seq: u32, born: u128) -> String {
    let Options { service, zone, version, slots, .. } = options;
    format!(
        "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"{zone}\",\
         \"version\":\"{version}\",\"slots\":{slots},\"state\":\"ready\",\
         \"warmupLeftMs\":0,\"seq\":{seq},\"born\":{born}}}"
    )
}

/// Runs the server of a replica until the process ends. Prints the id and the first event of each run.
pub fn run_server(args: &[String]) -> io::Result<()> {
    let [address, id, slots, n_events, interval_ms, short_prefix, short_events, crashing_part] =
        args
    else {
        return Err(io::ErrorKind::InvalidInput.into());
    };
    let number = |it: &String| it.parse::<u64>().map_err(|_| io::ErrorKind::InvalidInput);
    let server = Arc::new(Server {
        id: id.clone(),
        slots: number(slots)? as usize,
        work: Work { n_events: number(n_events)?, interval_ms: number(interval_ms)? },
        short: (!short_prefix.is_empty()).then_some((short_prefix.clone(), number(short_events)?)),
        crashing_part: (!crashing_part.is_empty()).then(|| crashing_part.clone()),
        n_running: AtomicUsize::new(0),
    });
    let address = address.parse().map_err(|_| io::ErrorKind::InvalidInput)?;
    http::serve(address, move |request, stream| server.handle(request, stream))?;
    print_line("listening")?;
    // Ends with the process that has started it.
    let parent = std::os::unix::process::parent_id();
    while std::os::unix::process::parent_id() == parent {
        thread::sleep(Duration::from_millis(500));
    }
    Ok(())
}

fn print_line(text: &str) -> io::Result<()> {
    let mut out = io::stdout().lock();
    writeln!(out, "{text}")?;
    out.flush()
}

struct Server {
    id: String,
    slots: usize,
    work: Work,
    short: Option<(String, u64)>,
    crashing_part: Option<String>,
    n_running: AtomicUsize,
}

impl Server {
    fn handle(&self, request: &Request, stream: &mut TcpStream) -> io::Result<()> {
        let id = request.header("x-attempt-id").unwrap_or_default().to_owned();
        let load = format!("{},0,{}", self.n_running.load(Ordering::SeqCst), self.slots);
        let mut headers = vec![("X-Attempt-Id", id.clone()), ("X-Server-Load", load)];
        if request.path() == "/health" {
            headers.push(("X-Instance-Id", self.id.clone()));
            return respond(stream, 200, &headers, b"");
        }
        if request.path().starts_with("/lentilhitch/") {
            return respond(stream, 404, &headers, b"{}");
        }
        if request.header("x-expect-instance").is_some_and(|it| it != self.id) {
            return respond(stream, 421, &headers, b"");
        }
        if self.slots <= self.n_running.load(Ordering::SeqCst) {
            headers.push(("X-Not-Executed", "1".to_owned()));
            return respond(stream, 503, &headers, b"");
        }
        let after = request.header("last-event-id").and_then(|it| it.parse().ok()).unwrap_or(0);
        print_line(&format!("{id} {}", after + 1))?;
        headers.push(("X-Server-Stamp", format!("stamp.{}.{id}", self.id)));
        headers.push(("Content-Type", "text/event-stream".to_owned()));
        self.n_running.fetch_add(1, Ordering::SeqCst);
        let result = self.stream_events(request, stream, &headers, after);
        self.n_running.fetch_sub(1, Ordering::SeqCst);
        result
    }

    fn stream_events(
        &self,
        request: &Request,
        stream: &mut TcpStream,
        headers: &[(&str, String)],
        after: u64,
    ) -> io::Result<()> {
        let parts = request.header("x-prompt-prefix").unwrap_or_default().split(',');
        let mut parts = parts.map(|it| it.split(':').next().unwrap_or_default());
        let is_crashing =
            self.crashing_part.as_deref().is_some_and(|it| parts.any(|part| part == it));
        start_chunks(stream, 200, headers)?;
        let short = self.short.as_ref().filter(|it| request.path().starts_with(&it.0));
        let n_events = short.map_or(self.work.n_events, |it| it.1);
        for event in after + 1..=n_events {
            thread::sleep(Duration::from_millis(self.work.interval_ms));
            write_chunk(stream, format!("id: {event}\ndata: {event}\n\n").as_bytes())?;
            if is_crashing {
                std::process::exit(1);
            }
        }
        write_chunk(stream, b"")
    }
}
