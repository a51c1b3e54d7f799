//! Stand-in for the platform: its log store, and the API of the singleton duties.

use std::{
    collections::BTreeMap,
    io::{self, Write as _},
    net::{SocketAddr, TcpListener},
    sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError},
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{self, Request, response, serve},
    record::Record,
};

#[derive(Clone, Default)]
struct Topic {
    records: Vec<Vec<u8>>,
    /// Offset and value of the newest record of each key.
    newest: BTreeMap<String, (usize, Vec<u8>)>,
}

impl Topic {
    fn append(&mut self, record: Vec<u8>, is_keyed: bool) {
        if is_keyed && !record.is_empty() {
            let key_end = (1 + usize::from(record[0])).min(record.len());
            let key = String::from_utf8_lossy(&record[1..key_end]).into_owned();
            let value = record[key_end..].to_vec();
            if value.is_empty() {
                self.newest.remove(&key);
            } else {
                self.newest.insert(key, (self.records.len(), value));
            }
        }
        self.records.push(record);
    }
}

/// A usage report that the platform has accepted.
#[derive(Clone, Debug)]
pub struct UsageReport {
    pub holder: String,
    pub fencing_token: u64,
    pub window: u64,
    pub body: String,
}

/// A read of a topic that has been answered.
#[derive(Clone, Debug)]
pub struct Read {
    pub node: String,
    pub topic: String,
    pub answered: Instant,
}

#[derive(Default)]
struct State {
    topics: BTreeMap<String, Topic>,
    era: u32,
    copy: BTreeMap<String, Topic>,
    /// Whether every call is turned away with 503.
    is_away: bool,
    reads: Vec<Read>,
    usage_reports: Vec<UsageReport>,
    /// Highest fencing token by duty and subject.
    fencing_tokens: BTreeMap<String, u64>,
}

struct Shared {
    state: Mutex<State>,
    written: Condvar,
    record: Record,
}

/// Handle of the store and the duties API.
#[derive(Clone)]
pub struct Store(Arc<Shared>);

impl Store {
    pub fn new(record: Record) -> Self {
        Self(Arc::new(Shared { state: Mutex::default(), written: Condvar::new(), record }))
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.0.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Opens an address of the store for one node, so that the caller of each read is known.
    pub fn listen(&self, node: &str) -> io::Result<SocketAddr> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let (store, node) = (self.clone(), node.to_owned());
        serve(listener, move |peer, request| {
            let response = store.respond(&node, &request);
            peer.stream.write_all(&response)?;
            Ok(true)
        });
        Ok(address)
    }

    /// Opens the address of the duties API.
    pub fn listen_for_duties(&self) -> io::Result<SocketAddr> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let store = self.clone();
        serve(listener, move |peer, request| {
            let response = store.on_duty_call(&request);
            peer.stream.write_all(&response)?;
            Ok(true)
        });
        Ok(address)
    }

    /// Writes a record of a key, as the operator and the replicas do.
    pub fn put(&self, topic: &str, key: &str, value: &str) {
        let mut record = vec![key.len() as u8];
        record.extend(key.as_bytes());
        record.extend(value.as_bytes());
        self.state().topics.entry(topic.to_owned()).or_default().append(record, true);
        self.0.written.notify_all();
    }

    /// Takes the copy from which the store can return.
    pub fn take_copy(&self) {
        let mut state = self.state();
        state.copy = state.topics.clone();
    }

    /// Turns every call away from now on.
    pub fn go_away(&self) {
        self.state().is_away = true;
    }

    /// Returns from the copy.
    pub fn return_from_copy(&self) {
        let mut state = self.state();
        state.topics = state.copy.clone();
        state.era += 1;
        state.is_away = false;
        drop(state);
        self.0.written.notify_all();
    }

    pub fn usage_reports(&self) -> Vec<UsageReport> {
        self.state().usage_reports.clone()
    }

    /// Returns the reads of a topic that have been answered.
    pub fn reads(&self, topic: &str) -> Vec<Read> {
        self.state().reads.iter().filter(|it| it.topic == topic).cloned().collect()
    }

    fn respond(&self, node: &str, request: &Request) -> Vec<u8> {
        let era = self.state().era.to_string();
        let (status, body) = self.handle(node, request);
        response(status, &[("Store-Era", &era), ("Content-Type", "application/json")], &body)
    }

    fn handle(&self, node: &str, request: &Request) -> (u16, Vec<u8>) {
        if self.state().is_away {
            return (503, b"{}".to_vec());
        }
        let topic = request.query("topic").unwrap_or_default();
        match (request.method.as_str(), request.path()) {
            ("POST", "/lentilhitch/log-append") => self.append(topic, request),
            ("GET", "/lentilhitch/log-read") => self.read(node, topic, request),
            ("GET", "/lentilhitch/log-newest") => self.newest(topic),
            _ => (404, b"{}".to_vec()),
        }
    }

    fn append(&self, name: &str, request: &Request) -> (u16, Vec<u8>) {
        if matches!(name, "keyed.op" | "keyed.servers") {
            return (403, b"{}".to_vec());
        }
        let mut state = self.state();
        let topic = state.topics.entry(name.to_owned()).or_default();
        let offset = topic.records.len();
        let at: Option<usize> = request.query("at").and_then(|it| it.parse().ok());
        if at.is_some_and(|it| it != offset) {
            return (412, format!("{{\"end\":{offset}}}").into_bytes());
        }
        let mut rest = request.body.as_slice();
        while let Some((length, content)) = rest.split_first_chunk::<4>() {
            let n_bytes = (u32::from_be_bytes(*length) as usize).min(content.len());
            topic.append(content[..n_bytes].to_vec(), name.starts_with("keyed."));
            rest = &content[n_bytes..];
        }
        let end = topic.records.len();
        drop(state);
        self.0.written.notify_all();
        (200, format!("{{\"offset\":{offset},\"end\":{end}}}").into_bytes())
    }

    fn read(&self, node: &str, name: &str, request: &Request) -> (u16, Vec<u8>) {
        let number = |name: &str| request.query(name).and_then(|it| it.parse().ok()).unwrap_or(0);
        let from = number("from") as usize;
        let deadline = Instant::now() + Duration::from_millis(number("waitMs"));
        let mut state = self.state();
        loop {
            let topic = state.topics.entry(name.to_owned()).or_default();
            if topic.records.len() < from {
                return (410, b"{\"first\":0}".to_vec());
            }
            let wait = deadline.saturating_duration_since(Instant::now());
            if from < topic.records.len() || wait.is_zero() {
                let mut page = (topic.records.len() as u64).to_be_bytes().to_vec();
                page.extend(0_u64.to_be_bytes());
                for it in &topic.records[from..] {
                    page.extend((it.len() as u32).to_be_bytes());
                    page.extend(it);
                }
                let read = Read {
                    node: node.to_owned(),
                    topic: name.to_owned(),
                    answered: Instant::now(),
                };
                state.reads.push(read);
                return (200, page);
            }
            let waited = self.0.written.wait_timeout(state, wait);
            state = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
    }

    fn newest(&self, name: &str) -> (u16, Vec<u8>) {
        let mut state = self.state();
        let topic = state.topics.entry(name.to_owned()).or_default();
        let items = topic.newest.iter().map(|(key, (offset, value))| {
            let value = base64(value);
            format!("{{\"key\":\"{key}\",\"value\":\"{value}\",\"offset\":{offset}}}")
        });
        let items = items.collect::<Vec<_>>().join(",");
        let end = topic.records.len();
        (200, format!("{{\"items\":[{items}],\"truncated\":false,\"end\":{end}}}").into_bytes())
    }

    fn on_duty_call(&self, request: &Request) -> Vec<u8> {
        let body = String::from_utf8_lossy(&request.body).into_owned();
        let holder = request.header("x-duty-holder").to_owned();
        let fencing_token: u64 = request.header("x-fencing-token").parse().unwrap_or_default();
        let field = |name: &str| json_field(&body, name).unwrap_or_default();
        let subject = match request.path() {
            "/scale" => format!("/scale {} {}", field("service"), field("zone")),
            path => path.to_owned(),
        };
        let mut state = self.state();
        let highest = state.fencing_tokens.entry(subject).or_default();
        let is_accepted = *highest <= fencing_token;
        *highest = fencing_token.max(*highest);
        self.0.record.line(&format!(
            "platform: {} from {holder}, fence {fencing_token}, accepted {is_accepted}: {body}",
            request.path()
        ));
        if !is_accepted {
            return response(409, &[], b"{\"reason\":\"fenced\"}");
        }
        if request.path() == "/usage" {
            let window = field("windowId").parse().unwrap_or_default();
            state.usage_reports.push(UsageReport { holder, fencing_token, window, body });
        }
        response(200, &[], b"{}")
    }
}

/// Returns the value of a field of a flat JSON object, without quotes.
fn json_field<'a>(json: &'a str, name: &str) -> Option<&'a str> {
    let rest = json.split_once(&format!("\"{name}\":"))?.1;
    let end = rest.find([',', '}']).unwrap_or(rest.len());
    Some(rest[..end].trim_matches('"'))
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let mut padded = [0; 3];
        padded[..group.len()].copy_from_slice(group);
        let bits = u32::from_be_bytes([0, padded[0], padded[1], padded[2]]);
        for idx in 0..4 {
            let digit = DIGITS[(bits >> (18 - 6 * idx) & 63) as usize];
            text.push(if idx <= group.len() { digit as char } else { '=' });
        }
    }
    text
}

/// Waits until a condition holds. Returns whether it did in time.
pub fn wait_until(limit: Duration, condition: impl Fn() -> bool) -> bool {
    let end = Instant::now() + limit;
    while Instant::now() < end {
        if condition() {
            return true;
        }
        thread::sleep(Duration::from_millis(2));
    }
    condition()
}

/// Returns whether a node answers the status check of the balancer with 200.
pub fn is_ready(address: SocketAddr) -> bool {
    let call = || -> io::Result<u16> {
        let mut client = http::Client::connect(address, Duration::from_secs(1))?;
        let request = http::request("GET", "/lentilhitch/readiness", &[("Host", "node")], b"");
        Ok(client.call(&request)?.0.status)
    };
    call().is_ok_and(|it| it == 200)
}
