//! Stand-in for an upstream whose responses are given byte by byte, for framings and faults that an HTTP library does not
//! produce.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use parking_lot::Mutex;
use serde_json::{Value, json};
use socket2::SockRef;
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::{TcpListener, TcpStream},
    sync::watch,
};

use crate::users_platform::LogStore;

/// Maximum size of a request that the stand-in reads before it responds.
const REQUEST_BYTES_MAX: usize = 64 * 1024;
/// Size of the receive buffers of an upstream that leaves bodies unread, so that its peer is still writing a longer one.
const UNREAD_BYTES_MAX: usize = 4 * 1024;
/// Path of the request to transfer the KV cache of a run.
const KV_TRANSFER_PATH: &str = "/lentilhitch/kv-move";

/// What an upstream sends after it has read a request.
#[derive(Clone, Copy, Debug)]
pub struct RawResponse {
    /// Sent once. `{id}` stands for the id of the request.
    pub start: &'static str,
    pub end: RawEnd,
}

/// What an upstream does after the start of a response.
#[derive(Clone, Copy, Debug)]
pub enum RawEnd {
    /// Sends the text again and again until the node closes the connection.
    Repeat(&'static str),
    /// Closes the connection in order.
    Close,
    /// Resets the connection after [`RawUpstream::allow_resets`] was called.
    Reset,
    /// Closes the connection in order when the transfer of the run's KV cache has been requested.
    CloseOnTransfer,
    /// Keeps the connection open for the next request.
    KeepOpen,
    /// Keeps the connection open. When the next request has arrived on it, sends the response once more, before the
    /// response to that request.
    RepeatLate,
}

/// The responses of an upstream.
#[derive(Clone, Debug)]
pub struct RawScript {
    /// Responses to the first request, the second one and so on. The last one is also the response to later requests.
    pub responses: Vec<RawResponse>,
    /// Complete response to a request to transfer a KV cache.
    pub kv_transfer: &'static str,
    /// Whether the upstream responds to the head of a request and reads nothing of its body.
    pub leaves_body_unread: bool,
}

impl RawScript {
    /// A script for an upstream that knows no run whose KV cache it could transfer.
    pub fn new(responses: Vec<RawResponse>) -> Self {
        Self {
            responses,
            kv_transfer: "HTTP/1.1 404 Not Found\r\ncontent-length: 0\r\n\r\n",
            leaves_body_unread: false,
        }
    }
}

struct Shared {
    script: RawScript,
    state: Mutex<State>,
    is_transfer_requested: watch::Sender<bool>,
    are_resets_allowed: watch::Sender<bool>,
}

#[derive(Default)]
struct State {
    n_requests: usize,
    n_closed: usize,
}

/// An upstream with given responses that runs in the test's process.
pub struct RawUpstream {
    id: String,
    service: String,
    pub(super) address: SocketAddr,
    shared: Arc<Shared>,
    task: tokio::task::JoinHandle<()>,
}

impl RawUpstream {
    /// Starts an upstream of a service and writes its entry to the store.
    pub async fn start(
        store: &LogStore,
        id: &str,
        service: &str,
        script: RawScript,
    ) -> std::io::Result<Self> {
        let listener = TcpListener::bind((crate::harness::own_ip(), 0)).await?;
        if script.leaves_body_unread {
            SockRef::from(&listener).set_recv_buffer_size(UNREAD_BYTES_MAX)?;
        }
        let address = listener.local_addr()?;
        let shared = Arc::new(Shared {
            script,
            state: Mutex::default(),
            is_transfer_requested: watch::Sender::new(false),
            are_resets_allowed: watch::Sender::new(false),
        });
        let of_server = shared.clone();
        let task = tokio::spawn(async move {
            let mut connections = tokio::task::JoinSet::new();
            while let Ok((stream, _)) = listener.accept().await {
                let shared = of_server.clone();
                connections.spawn(async move {
                    // The node may close the connection at any time.
                    let _ = respond(stream, &shared).await;
                    shared.state.lock().n_closed += 1;
                });
            }
        });
        let (id, service) = (id.to_owned(), service.to_owned());
        let upstream = Self { id, service, address, shared, task };
        upstream.write_entry(store, &json!({}));
        Ok(upstream)
    }

    /// Writes the upstream's entry to the store, with the fields of `extra` added or replaced.
    pub fn write_entry(&self, store: &LogStore, extra: &Value) {
        self.write_entry_to(store, "keyed.servers", extra);
    }

    /// Writes the upstream's entry to a topic of the store.
    pub(super) fn write_entry_to(&self, store: &LogStore, topic: &str, extra: &Value) {
        let mut entry = json!({
            "service": self.service, "address": self.address.to_string(), "zone": "a",
            "version": "v1", "slots": 8, "state": "ready", "warmupLeftMs": 0, "seq": 1, "born": 1,
        });
        for (name, value) in extra.as_object().into_iter().flatten() {
            entry[name] = value.clone();
        }
        store.put(topic, &self.id, &entry);
    }

    /// Lets the upstream reset connections. A reset discards what its peer has not read yet, so a test calls this when
    /// the start of the response has been read.
    pub fn allow_resets(&self) {
        self.shared.are_resets_allowed.send_replace(true);
    }

    /// Returns the number of requests so far, without those to transfer a KV cache.
    pub fn n_requests(&self) -> usize {
        self.shared.state.lock().n_requests
    }

    /// Returns the number of connections that have ended.
    pub fn n_closed(&self) -> usize {
        self.shared.state.lock().n_closed
    }
}

impl Drop for RawUpstream {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Reads requests and sends the responses until one of them ends the connection, or the node does.
async fn respond(mut stream: TcpStream, shared: &Shared) -> std::io::Result<()> {
    let mut late_copy = String::new();
    loop {
        let request = read_request(&mut stream, shared.script.leaves_body_unread).await?;
        let Some(head) = request else { return Ok(()) };
        if head.contains(KV_TRANSFER_PATH) {
            stream.write_all(shared.script.kv_transfer.as_bytes()).await?;
            shared.is_transfer_requested.send_replace(true);
            return Ok(());
        }
        let responses = &shared.script.responses;
        let index = {
            let mut state = shared.state.lock();
            state.n_requests += 1;
            (state.n_requests - 1).min(responses.len() - 1)
        };
        let response = responses[index];
        let id = header(&head, "x-attempt-id").unwrap_or_default();
        let start = response.start.replace("{id}", id);
        let copy = std::mem::take(&mut late_copy);
        stream.write_all(format!("{copy}{start}").as_bytes()).await?;
        match response.end {
            RawEnd::Repeat(text) => loop {
                stream.write_all(text.as_bytes()).await?;
            },
            RawEnd::Close => return close(stream).await,
            RawEnd::Reset => {
                until_true(&shared.are_resets_allowed).await?;
                return SockRef::from(&stream).set_linger(Some(Duration::ZERO));
            }
            RawEnd::CloseOnTransfer => {
                until_true(&shared.is_transfer_requested).await?;
                return close(stream).await;
            }
            RawEnd::KeepOpen => {}
            RawEnd::RepeatLate => late_copy = start,
        }
    }
}

/// Reads a request with its body, unless that is left unread. Returns its head in lower case, or `None` if the connection
/// ends before.
async fn read_request(
    stream: &mut TcpStream,
    leaves_body_unread: bool,
) -> std::io::Result<Option<String>> {
    const HEAD_END: &[u8] = b"\r\n\r\n";
    let mut request = Vec::new();
    while request.len() < REQUEST_BYTES_MAX {
        if stream.read_buf(&mut request).await? == 0 {
            return Ok(None);
        }
        let Some(head_bytes) = request.windows(HEAD_END.len()).position(|it| it == HEAD_END) else {
            continue;
        };
        let head = String::from_utf8_lossy(&request[..head_bytes]).to_lowercase();
        let body_bytes = header(&head, "content-length").and_then(|it| it.parse().ok());
        let request_bytes = head_bytes + HEAD_END.len() + body_bytes.unwrap_or(0);
        if leaves_body_unread || request_bytes <= request.len() {
            return Ok(Some(head));
        }
    }
    Ok(None)
}

fn header<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    head.lines().find_map(|it| it.strip_prefix(name)?.strip_prefix(": "))
}

/// Closes a connection in order: the peer reads all bytes and then the end.
async fn close(mut stream: TcpStream) -> std::io::Result<()> {
    stream.shutdown().await?;
    let mut rest = Vec::new();
    stream.read_to_end(&mut rest).await?;
    Ok(())
}

async fn until_true(flag: &watch::Sender<bool>) -> std::io::Result<()> {
    let mut flag = flag.subscribe();
    flag.wait_for(|it| *it).await.map_err(std::io::Error::other)?;
    Ok(())
}
