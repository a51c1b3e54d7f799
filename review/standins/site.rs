//! A small deployment: configuration, entries of replicas, and requests of clients.

use std::{
    io,
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use crate::{http, store::Store};

pub const HOST: &str = "estate.example";
pub const KEY: &str = "key-of-etna";
const AUTHORIZATION: &str = "Bearer key-of-etna";

/// A route of the configuration.
pub struct Route {
    pub name: &'static str,
    pub kind: &'static str,
    pub service: &'static str,
    pub attempts: u32,
    pub timeout_ms: u32,
    pub target_ms: u32,
    pub is_resumable: bool,
}

/// Writes the first configuration, as the operator does before the traffic starts.
pub fn put_config(store: &Store, routes: &[Route]) {
    let routes = routes.iter().map(|it| {
        format!(
            r#"{{"name":"{name}","host":"{HOST}","pathPrefix":"/{name}/","routeKind":"{kind}","timeoutMs":{timeout},
"ttftTargetMs":{target},"priority":1,"service":"{service}","attempts":{attempts},"anonymous":false,"sticky":false,
"resumable":{resumable},"itlTargetMs":600}}"#,
            name = it.name,
            kind = it.kind,
            service = it.service,
            attempts = it.attempts,
            timeout = it.timeout_ms,
            target = it.target_ms,
            resumable = it.is_resumable,
        )
    });
    let config = format!(
        r#"{{"version":7,"routes":[{routes}],
"services":[{{"name":"draft","healthPath":"/health","maxConns":370}},{{"name":"filing","healthPath":"/health","maxConns":110}}],
"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}},
"tenants":[{{"name":"etna","apiKeys":["{KEY}"],"priority":1,"unit":"token_count","uncachedTokens":200,
"ratePerS":1000000,"burst":1000000}}]}}"#,
        routes = routes.collect::<Vec<_>>().join(","),
    );
    store.put("keyed.op", "config", &config);
}

/// What a replica says of itself in the store.
#[derive(Clone)]
pub struct Entry<'a> {
    pub id: &'a str,
    pub service: &'a str,
    pub zone: &'a str,
    pub version: &'a str,
    pub slots: usize,
    pub address: SocketAddr,
}

impl Entry<'_> {
    fn json(&self, seq: u64, born: u64) -> String {
        format!(
            r#"{{"service":"{}","address":"{}","zone":"{}","version":"{}","slots":{},"state":"ready","warmupLeftMs":0,"seq":{seq},"born":{born}}}"#,
            self.service, self.address, self.zone, self.version, self.slots
        )
    }
}

/// Interval at which a replica writes its entry, and the number of intervals of silence after which the store removes it.
const HEARTBEAT: Duration = Duration::from_millis(1_200);
const SILENT_HEARTBEATS: u32 = 3;

/// Writes the entry of a replica now and at every heartbeat. After a crash, the entry is removed.
pub fn register(store: &Store, entry: &Entry<'static>, port: &Port) {
    let born = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |it| it.as_millis() as u64);
    store.put("keyed.servers", entry.id, &entry.json(1, born));
    let (store, entry, has_crashed) = (store.clone(), entry.clone(), port.has_crashed.clone());
    thread::spawn(move || {
        for seq in 2.. {
            thread::sleep(HEARTBEAT);
            if has_crashed.load(Ordering::SeqCst) {
                thread::sleep((SILENT_HEARTBEATS - 1) * HEARTBEAT);
                store.put("keyed.servers", entry.id, "");
                return;
            }
            store.put("keyed.servers", entry.id, &entry.json(seq, born));
        }
    });
}

/// Returns a request of the tenant.
pub fn request(
    method: &str,
    target: &str,
    id: &str,
    deadline_ms: u32,
    extra: &[(&str, &str)],
    body: &[u8],
) -> Vec<u8> {
    let deadline = deadline_ms.to_string();
    let mut headers = vec![
        ("Host", HOST),
        ("Authorization", AUTHORIZATION),
        ("X-Attempt-Id", id),
        ("X-Deadline-Ms", deadline.as_str()),
    ];
    headers.extend(extra);
    http::request(method, target, &headers, body)
}

/// The port of a replica, which can crash: its port and all its connections are closed.
pub struct Port {
    pub address: SocketAddr,
    has_crashed: Arc<AtomicBool>,
    connections: Arc<Mutex<Vec<TcpStream>>>,
}

impl Port {
    /// Opens a port and serves it with the handler.
    pub fn open<F>(handler: F) -> io::Result<Self>
    where
        F: Fn(&mut http::Peer, http::Request) -> io::Result<bool> + Send + Sync + 'static,
    {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        listener.set_nonblocking(true)?;
        let port = Self {
            address: listener.local_addr()?,
            has_crashed: Arc::default(),
            connections: Arc::default(),
        };
        let handler = Arc::new(handler);
        let (has_crashed, connections) = (port.has_crashed.clone(), port.connections.clone());
        thread::spawn(move || {
            while !has_crashed.load(Ordering::SeqCst) {
                let Ok((stream, _)) = listener.accept() else {
                    thread::sleep(Duration::from_millis(1));
                    continue;
                };
                if stream.set_nonblocking(false).is_err() {
                    continue;
                }
                if let Ok(clone) = stream.try_clone() {
                    connections.lock().unwrap_or_else(PoisonError::into_inner).push(clone);
                }
                let handler = handler.clone();
                thread::spawn(move || {
                    // The other side may close or reset the connection at any time.
                    let _ = http::serve_connection(stream, &*handler);
                });
            }
        });
        Ok(port)
    }

    pub fn crash(&self) {
        self.has_crashed.store(true, Ordering::SeqCst);
        thread::sleep(Duration::from_millis(5));
        for it in self.connections.lock().unwrap_or_else(PoisonError::into_inner).drain(..) {
            let _ = it.shutdown(std::net::Shutdown::Both);
        }
    }
}
