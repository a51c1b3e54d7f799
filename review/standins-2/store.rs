//! Stand-in of the platform's store and of its API for duties.

use std::{
    collections::{BTreeMap, HashMap, VecDeque},
    io::BufReader,
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{Request, read_request, respond},
    record::Record,
};

/// Time for which the records of a topic are kept.
const KEEP: Duration = Duration::from_secs(20);
/// Time that an answer takes.
const ANSWER_TIME: Duration = Duration::from_millis(4);

struct Kept {
    bytes: Vec<u8>,
    at: Instant,
}

#[derive(Default)]
struct Topic {
    first: u64,
    records: VecDeque<Kept>,
    /// Newest record of each key.
    newest: BTreeMap<String, (u64, Vec<u8>)>,
}

impl Topic {
    fn end(&self) -> u64 {
        self.first + self.records.len() as u64
    }

    fn expire(&mut self) {
        while self.records.front().is_some_and(|it| KEEP < it.at.elapsed()) {
            self.records.pop_front();
            self.first += 1;
        }
    }

    fn append(&mut self, content: &[u8], is_keyed: bool) {
        let offset = self.end();
        if is_keyed && !content.is_empty() {
            let key_end = 1 + content[0] as usize;
            let key = String::from_utf8_lossy(&content[1..key_end]).into_owned();
            let value = content[key_end..].to_vec();
            if value.is_empty() {
                self.newest.remove(&key);
            } else {
                self.newest.insert(key, (offset, value));
            }
        }
        let mut bytes = (content.len() as u32).to_be_bytes().to_vec();
        bytes.extend_from_slice(content);
        self.records.push_back(Kept { bytes, at: Instant::now() });
    }
}

#[derive(Default)]
pub struct Store {
    topics: Mutex<HashMap<String, Topic>>,
    appended: Condvar,
}

impl Store {
    /// Starts the store at an address.
    pub fn start(address: SocketAddr) -> Arc<Self> {
        let store = Arc::new(Self::default());
        let listener = TcpListener::bind(address).expect("the store's address is free");
        let served = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = served.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        store
    }

    /// Writes a record of the operator or of a server. Without a value, the key is dropped.
    pub fn write(&self, topic: &str, key: &str, value: &str) {
        let mut content = vec![key.len() as u8];
        content.extend_from_slice(key.as_bytes());
        content.extend_from_slice(value.as_bytes());
        let mut topics = self.topics.lock().unwrap();
        topics.entry(topic.to_owned()).or_default().append(&content, true);
        self.appended.notify_all();
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        while let Ok(Some(request)) = read_request(&mut reader) {
            let (status, content_type, body) = self.answer(&request);
            thread::sleep(ANSWER_TIME);
            let headers =
                [("Content-Type", content_type.to_owned()), ("Store-Era", "0".to_owned())];
            if respond(&mut writer, status, &headers, &body).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Request) -> (u16, &'static str, Vec<u8>) {
        let json = "application/json";
        let name = request.query("topic").unwrap_or("").to_owned();
        match request.path() {
            "/lentilhitch/log-append" => {
                let mut topics = self.topics.lock().unwrap();
                let topic = topics.entry(name.clone()).or_default();
                topic.expire();
                let end = topic.end();
                let at = request.query("at").and_then(|it| it.parse::<u64>().ok());
                if at.is_some_and(|it| it != end) {
                    return (412, json, format!("{{\"end\":{end}}}").into_bytes());
                }
                let mut rest = request.body.as_slice();
                while 4 <= rest.len() {
                    let n_bytes = u32::from_be_bytes(rest[..4].try_into().unwrap()) as usize;
                    topic.append(&rest[4..4 + n_bytes], name.starts_with("keyed."));
                    rest = &rest[4 + n_bytes..];
                }
                let text = format!("{{\"offset\":{end},\"end\":{}}}", topic.end());
                self.appended.notify_all();
                (200, json, text.into_bytes())
            }
            "/lentilhitch/log-read" => self.read(request, &name),
            "/lentilhitch/log-newest" => {
                let mut topics = self.topics.lock().unwrap();
                let topic = topics.entry(name).or_default();
                topic.expire();
                let items = topic.newest.iter().map(|(key, (offset, value))| {
                    let value = base64(value);
                    format!("{{\"key\":\"{key}\",\"value\":\"{value}\",\"offset\":{offset}}}")
                });
                let items = items.collect::<Vec<_>>().join(",");
                let end = topic.end();
                let text = format!("{{\"items\":[{items}],\"truncated\":false,\"end\":{end}}}");
                (200, json, text.into_bytes())
            }
            _ => (404, json, b"{}".to_vec()),
        }
    }

    fn read(&self, request: &Request, name: &str) -> (u16, &'static str, Vec<u8>) {
        let number = |name| request.query(name).and_then(|it| it.parse::<u64>().ok());
        let from = number("from").unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(number("waitMs").unwrap_or(0));
        let mut topics = self.topics.lock().unwrap();
        loop {
            let topic = topics.entry(name.to_owned()).or_default();
            topic.expire();
            if from < topic.first || topic.end() < from {
                let text = format!("{{\"first\":{}}}", topic.first);
                return (410, "application/json", text.into_bytes());
            }
            let now = Instant::now();
            if from < topic.end() || until <= now {
                let mut body = topic.end().to_be_bytes().to_vec();
                body.extend_from_slice(&topic.first.to_be_bytes());
                for it in topic.records.iter().skip((from - topic.first) as usize) {
                    body.extend_from_slice(&it.bytes);
                }
                return (200, "application/octet-stream", body);
            }
            topics = self.appended.wait_timeout(topics, until - now).unwrap().0;
        }
    }
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let mut three = [0; 3];
        three[..group.len()].copy_from_slice(group);
        let bits = u32::from_be_bytes([0, three[0], three[1], three[2]]);
        for position in 0..4 {
            if position <= group.len() {
                text.push(char::from(DIGITS[(bits >> (18 - 6 * position)) as usize & 63]));
            } else {
                text.push('=');
            }
        }
    }
    text
}

/// Starts the API for duties, which refuses calls with an outdated fencing token.
pub fn start_cloud(address: SocketAddr, record: Arc<Record>) {
    let listener = TcpListener::bind(address).expect("the address of the API is free");
    let fences: Arc<Mutex<HashMap<String, u64>>> = Arc::default();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (fences, record) = (fences.clone(), record.clone());
            thread::spawn(move || {
                let Ok(mut writer) = stream.try_clone() else { return };
                let mut reader = BufReader::new(stream);
                while let Ok(Some(request)) = read_request(&mut reader) {
                    let fence = request.header("x-fencing-token").and_then(|it| it.parse().ok());
                    let holder = request.header("x-duty-holder").unwrap_or("");
                    let is_accepted = {
                        let mut fences = fences.lock().unwrap();
                        let highest = fences.entry(request.path().to_owned()).or_default();
                        let fence = fence.unwrap_or(0);
                        *highest = fence.max(*highest);
                        *highest == fence
                    };
                    let status = if is_accepted { 200 } else { 409 };
                    let body = String::from_utf8_lossy(&request.body);
                    record.line(&format!("duty {} of {holder}: {status} {body}", request.path()));
                    let answer: &[u8] = if is_accepted {
                        b"{}"
                    } else {
                        b"{\"reason\":\"a higher fence was seen\"}"
                    };
                    if respond(&mut writer, status, &[], answer).is_err() {
                        return;
                    }
                }
            });
        }
    });
}
