//! Stand-in for the platform: its store, and the API for the duties.

use std::{
    collections::BTreeMap,
    io,
    net::SocketAddr,
    sync::{Arc, Condvar, Mutex},
    time::{Duration, Instant},
};

use crate::http::{self, Request, respond};

#[derive(Clone, Default)]
struct Topic {
    records: Vec<Vec<u8>>,
    /// Offset and value of the newest record of each key.
    newest: BTreeMap<String, (usize, Vec<u8>)>,
}

#[derive(Default)]
struct State {
    topics: BTreeMap<String, Topic>,
    fences: BTreeMap<String, u64>,
}

#[derive(Default)]
struct Shared {
    state: Mutex<State>,
    written: Condvar,
}

#[derive(Clone)]
pub struct Store {
    shared: Arc<Shared>,
    pub address: SocketAddr,
    pub cloud_address: SocketAddr,
}

impl Store {
    pub fn start(ip: std::net::IpAddr) -> io::Result<Self> {
        let shared = Arc::new(Shared::default());
        let of_server = shared.clone();
        let address = http::serve(SocketAddr::new(ip, 0), move |request, stream| {
            let (status, body) = of_server.handle(request);
            let json = ("Content-Type", "application/json".to_owned());
            respond(stream, status, &[json, ("Store-Era", "0".to_owned())], &body)
        })?;
        let of_server = shared.clone();
        let cloud_address = http::serve(SocketAddr::new(ip, 0), move |request, stream| {
            let (status, body) = of_server.handle_duty(request);
            respond(stream, status, &[], body.as_bytes())
        })?;
        Ok(Self { shared, address, cloud_address })
    }

    /// Writes a record of a key, as operators and replicas do.
    pub fn put(&self, topic: &str, key: &str, value: &str) {
        let mut content = vec![key.len() as u8];
        content.extend_from_slice(key.as_bytes());
        content.extend_from_slice(value.as_bytes());
        let mut state = self.shared.state.lock().unwrap();
        state.topics.entry(topic.to_owned()).or_default().append(content, true);
        drop(state);
        self.shared.written.notify_all();
    }

    /// Removes a key.
    pub fn delete(&self, topic: &str, key: &str) {
        self.put(topic, key, "");
    }

    /// Returns the newest value of a key, or an empty one.
    pub fn get(&self, topic: &str, key: &str) -> String {
        let state = self.shared.state.lock().unwrap();
        let value = state.topics.get(topic).and_then(|it| it.newest.get(key));
        value.map_or(String::new(), |it| String::from_utf8_lossy(&it.1).into_owned())
    }
}

impl Topic {
    fn append(&mut self, content: Vec<u8>, is_keyed: bool) {
        if is_keyed {
            let n_key = usize::from(content[0]);
            let key = String::from_utf8_lossy(&content[1..=n_key]).into_owned();
            let value = content[1 + n_key..].to_vec();
            if value.is_empty() {
                self.newest.remove(&key);
            } else {
                self.newest.insert(key, (self.records.len(), value));
            }
        }
        self.records.push(content);
    }
}

impl Shared {
    fn handle(&self, request: &Request) -> (u16, Vec<u8>) {
        let topic = request.query("topic").unwrap_or_default().to_owned();
        match (request.method.as_str(), request.path()) {
            ("POST", "/lentilhitch/log-append") => self.append(request, &topic),
            ("GET", "/lentilhitch/log-read") => self.read(request, &topic),
            ("GET", "/lentilhitch/log-newest") => self.newest(&topic),
            _ => (404, b"{}".to_vec()),
        }
    }

    fn append(&self, request: &Request, name: &str) -> (u16, Vec<u8>) {
        if matches!(name, "keyed.op" | "keyed.servers") {
            return (403, b"{}".to_vec());
        }
        let mut state = self.state.lock().unwrap();
        let topic = state.topics.entry(name.to_owned()).or_default();
        let offset = topic.records.len();
        let at: Option<usize> = request.query("at").and_then(|it| it.parse().ok());
        if at.is_some_and(|it| it != offset) {
            return (412, format!("{{\"end\":{offset}}}").into_bytes());
        }
        let mut rest = &request.body[..];
        while 4 <= rest.len() {
            let n = u32::from_be_bytes([rest[0], rest[1], rest[2], rest[3]]) as usize;
            topic.append(rest[4..4 + n].to_vec(), name.starts_with("keyed."));
            rest = &rest[4 + n..];
        }
        let end = topic.records.len();
        drop(state);
        self.written.notify_all();
        (200, format!("{{\"offset\":{offset},\"end\":{end}}}").into_bytes())
    }

    fn read(&self, request: &Request, name: &str) -> (u16, Vec<u8>) {
        let number = |name| request.query(name).and_then(|it| it.parse::<u64>().ok()).unwrap_or(0);
        let from = number("from") as usize;
        let until = Instant::now() + Duration::from_millis(number("waitMs"));
        let mut state = self.state.lock().unwrap();
        loop {
            let records = state.topics.get(name).map_or(&[][..], |it| &it.records[..]);
            if records.len() < from {
                return (410, b"{\"first\":0}".to_vec());
            }
            let left = until.saturating_duration_since(Instant::now());
            if from < records.len() || left.is_zero() {
                let mut bytes = (records.len() as u64).to_be_bytes().to_vec();
                bytes.extend(0_u64.to_be_bytes());
                for it in &records[from..] {
                    bytes.extend((it.len() as u32).to_be_bytes());
                    bytes.extend(it);
                }
                return (200, bytes);
            }
            state = self.written.wait_timeout(state, left).unwrap().0;
        }
    }

    fn newest(&self, name: &str) -> (u16, Vec<u8>) {
        let state = self.state.lock().unwrap();
        let empty = Topic::default();
        let topic = state.topics.get(name).unwrap_or(&empty);
        let items: Vec<_> = topic
            .newest
            .iter()
            .map(|(key, (offset, value))| {
                let value = base64(value);
                format!("{{\"key\":\"{key}\",\"value\":\"{value}\",\"offset\":{offset}}}")
            })
            .collect();
        let (items, end) = (items.join(","), topic.records.len());
        (200, format!("{{\"items\":[{items}],\"truncated\":false,\"end\":{end}}}").into_bytes())
    }

    fn handle_duty(&self, request: &Request) -> (u16, String) {
        let body = String::from_utf8_lossy(&request.body).into_owned();
        let fence = request.header("x-fencing-token").and_then(|it| it.parse().ok()).unwrap_or(0);
        let subject = match request.path() {
            "/scale" => format!("scale {body}").split("\"desired\"").next().unwrap().to_owned(),
            path => path.to_owned(),
        };
        let mut state = self.state.lock().unwrap();
        let highest = state.fences.entry(subject).or_default();
        let status = if fence < *highest { 409 } else { 200 };
        *highest = fence.max(*highest);
        let reason = if status == 409 { "{\"reason\":\"fence\"}" } else { "{}" };
        (status, reason.to_owned())
    }
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let byte = |idx: usize| u32::from(chunk.get(idx).copied().unwrap_or(0));
        let bits = byte(0) << 16 | byte(1) << 8 | byte(2);
        for idx in 0..4 {
            let digit = DIGITS[(bits >> (18 - 6 * idx) & 63) as usize];
            text.push(if idx <= chunk.len() { char::from(digit) } else { '=' });
        }
    }
    text
}
