//! Stand-in for a faulty upstream that sends bytes which are no response, without end.

use std::{net::SocketAddr, sync::Arc};

use parking_lot::Mutex;
use serde_json::json;
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::{TcpListener, TcpStream},
};

use crate::users_platform::LogStore;

/// Maximum size of a request that the stand-in reads before it responds.
const REQUEST_BYTES_MAX: usize = 64 * 1024;

/// What a faulty upstream sends after it has read a request.
#[derive(Clone, Copy, Debug)]
pub struct RawResponse {
    /// Sent once. `{id}` stands for the id of the request.
    pub start: &'static str,
    /// Sent again and again until the node closes the connection.
    pub repeated: &'static str,
}

/// A faulty upstream that runs in the test's process.
pub struct RawUpstream {
    n_closed: Arc<Mutex<usize>>,
    task: tokio::task::JoinHandle<()>,
}

impl RawUpstream {
    /// Starts an upstream of a service and writes its entry to the store.
    pub async fn start(
        store: &LogStore,
        id: &str,
        service: &str,
        response: RawResponse,
    ) -> std::io::Result<Self> {
        let listener = TcpListener::bind((crate::harness::own_ip(), 0)).await?;
        let address: SocketAddr = listener.local_addr()?;
        let n_closed = Arc::new(Mutex::new(0));
        let shared = n_closed.clone();
        let task = tokio::spawn(async move {
            let mut connections = tokio::task::JoinSet::new();
            while let Ok((stream, _)) = listener.accept().await {
                let n_closed = shared.clone();
                connections.spawn(async move {
                    // The node is expected to close the connection.
                    let _ = send_without_end(stream, response).await;
                    *n_closed.lock() += 1;
                });
            }
        });
        let entry = json!({
            "service": service, "address": address.to_string(), "zone": "a", "version": "v1",
            "slots": 8, "state": "ready", "warmupLeftMs": 0, "seq": 1, "born": 1,
        });
        store.put("keyed.servers", id, &entry);
        Ok(Self { n_closed, task })
    }

    /// Returns the number of connections that the node has closed.
    pub fn n_closed(&self) -> usize {
        *self.n_closed.lock()
    }
}

impl Drop for RawUpstream {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn send_without_end(mut stream: TcpStream, response: RawResponse) -> std::io::Result<()> {
    let mut request = Vec::new();
    while !request.windows(4).any(|it| it == b"\r\n\r\n") && request.len() < REQUEST_BYTES_MAX {
        if stream.read_buf(&mut request).await? == 0 {
            return Ok(());
        }
    }
    let head = String::from_utf8_lossy(&request).to_lowercase();
    let id = head.lines().find_map(|it| it.strip_prefix("x-attempt-id: ")).unwrap_or_default();
    stream.write_all(response.start.replace("{id}", id).as_bytes()).await?;
    loop {
        stream.write_all(response.repeated.as_bytes()).await?;
    }
}
