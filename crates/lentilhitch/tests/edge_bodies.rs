//! Long bodies: a node stays within its memory, and each response arrives whole, also at a slow client and in a planned stop.

use std::time::{Duration, Instant};

use futures_util::future::join_all;
use lentilhitch_standin::{
    harness::until,
    users_platform::{
        Behavior, RawEnd, RawResponse, RawScript, RawUpstream, Site, SiteOptions, StoreFault,
    },
};
use serde_json::json;
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::{TcpSocket, TcpStream},
};

/// Memory of a node in its settings, of which it may take nine tenths.
const RESIDENT_KIB_MAX: u64 = 260 * 1024 / 10 * 9;
const GRACE: Duration = Duration::from_secs(6);
const LONG_RESPONSE_BYTES: usize = 11_000_000;
/// Speed at which a slow client reads.
const SLOW_BYTES_PER_S: usize = 2_000_000;
/// Receive buffer of a slow client, so that the response waits at the node.
const SLOW_WINDOW_BYTES: u32 = 32 * 1024;

/// A response with a body of [`LONG_RESPONSE_BYTES`].
fn long_response() -> RawResponse {
    let head = format!(
        "HTTP/1.1 200 OK\r\nx-attempt-id: {{id}}\r\nx-server-stamp: s\r\ncontent-length: {LONG_RESPONSE_BYTES}\r\n\r\n"
    );
    RawResponse { start: (head + &"r".repeat(LONG_RESPONSE_BYTES)).leak(), end: RawEnd::KeepOpen }
}

/// Starts a node whose only upstream sends long responses.
async fn start_with_long_responses(idle_timeout_ms: u64) -> (Site, RawUpstream) {
    let options = SiteOptions { n_engines: 0, n_applications: 0, ..SiteOptions::default() };
    let mut site = Site::start_without_waiting(options).await.unwrap();
    site.put_config(|config| config["limits"]["idleTimeoutMs"] = json!(idle_timeout_ms));
    let script = RawScript::new(vec![long_response()]);
    let upstream = RawUpstream::start(&site.store, "raw-0", "filing", script).await.unwrap();
    site.until_ready().await.unwrap();
    (site, upstream)
}

/// Sends a request and reads the response slowly. Returns the number of bytes received.
async fn read_slowly(mut stream: TcpStream, id: &str) -> usize {
    let request = format!(
        "GET /open/x HTTP/1.1\r\nhost: estate.example\r\nx-attempt-id: {id}\r\nx-deadline-ms: 8000\r\n\r\n"
    );
    stream.write_all(request.as_bytes()).await.unwrap();
    let mut buffer = vec![0; SLOW_WINDOW_BYTES as usize];
    let (start, mut n_bytes) = (Instant::now(), 0);
    while let Ok(n_read @ 1..) = stream.read(&mut buffer).await {
        n_bytes += n_read;
        if LONG_RESPONSE_BYTES <= n_bytes {
            break;
        }
        let due = Duration::from_secs_f64(n_bytes as f64 / SLOW_BYTES_PER_S as f64);
        tokio::time::sleep(due.saturating_sub(start.elapsed())).await;
    }
    n_bytes
}

async fn connect_slowly(site: &Site) -> TcpStream {
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_recv_buffer_size(SLOW_WINDOW_BYTES).unwrap();
    socket.connect(site.nodes[0].front).await.unwrap()
}

/// Guards against a planned stop that cuts responses which the node has read and a slow client has not received yet.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn planned_stop_cuts_no_response_of_a_slow_client() {
    let (mut site, upstream) = start_with_long_responses(15_000).await;
    let mut clients = Vec::new();
    for idx in 0..4 {
        let stream = connect_slowly(&site).await;
        clients.push(tokio::spawn(async move { read_slowly(stream, &format!("d{idx}")).await }));
    }
    until("the upstream has run all requests", || async { upstream.n_requests() == 4 })
        .await
        .unwrap();
    let stopped = Instant::now();
    site.nodes[0].process.terminate();
    for it in join_all(clients).await {
        assert!(LONG_RESPONSE_BYTES <= it.unwrap(), "a response was cut");
    }
    assert_eq!(site.nodes[0].process.wait().unwrap(), Some(0));
    assert!(stopped.elapsed() < GRACE, "{:?}", stopped.elapsed());
}

/// Guards against the idle timeout of a connection that begins while a response is still being written.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn idle_time_begins_when_the_response_was_written() {
    const IDLE_TIMEOUT_MS: u64 = 1_000;
    let (site, _upstream) = start_with_long_responses(IDLE_TIMEOUT_MS).await;
    let stream = connect_slowly(&site).await;
    let n_bytes = read_slowly(stream, "d0").await;
    assert!(LONG_RESPONSE_BYTES <= n_bytes, "the response ends after {n_bytes} bytes");
    // The connection is closed once it was idle for that time.
    let mut stream = connect_slowly(&site).await;
    let request = "GET /absent HTTP/1.1\r\nhost: estate.example\r\nx-attempt-id: a\r\n\r\n";
    stream.write_all(request.as_bytes()).await.unwrap();
    let mut response = Vec::new();
    stream.read_to_end(&mut response).await.unwrap();
    assert!(response.starts_with(b"HTTP/1.1 404"), "{}", String::from_utf8_lossy(&response));
}

const N_UPLOADS: usize = 160;

/// Sends uploads at an interval, together more than the memory of the node, beside small requests. Returns how many uploads
/// were served.
async fn upload_beside_small_requests(interval: Duration) -> usize {
    const UPLOAD_BYTES: usize = 2_000_000;
    const N_SMALL: usize = 90;
    const SMALL_INTERVAL: Duration = Duration::from_millis(50);
    let options = SiteOptions { n_applications: 4, ..SiteOptions::default() };
    let mut site = Site::start(options).await.unwrap();
    let version = site.put_config(|config| config["limits"]["maxBodyBytes"] = json!(4 << 20));
    let in_force = format!("\"version\":\"{version}\"");
    until("the configuration is in force", || async {
        site.nodes[0].process.log_text().contains(&in_force)
    })
    .await
    .unwrap();
    for it in &site.applications {
        it.set(Behavior::Serve { work_ms: 4_000 });
    }
    let body = vec![b'u'; UPLOAD_BYTES];
    let uploads = join_all((0..N_UPLOADS).map(|idx| {
        let request = site.request(0, &format!("u{idx}"), "/book/x").body(body.clone());
        let site = &site;
        async move {
            tokio::time::sleep(idx as u32 * interval).await;
            site.send(request).await.unwrap()
        }
    }));
    let small = join_all((0..N_SMALL).map(|idx| {
        let site = &site;
        async move {
            tokio::time::sleep(idx as u32 * SMALL_INTERVAL).await;
            let response = site.call(0, &format!("s{idx}"), "/review/x").await.unwrap();
            (response, site.nodes[0].process.resident_kib())
        }
    }));
    let (uploads, small) = tokio::join!(uploads, small);
    for (idx, (response, resident_kib)) in small.into_iter().enumerate() {
        assert!(response.status == 200 && response.is_complete, "s{idx}: {response:?}");
        assert!(resident_kib < RESIDENT_KIB_MAX, "{resident_kib} KiB at s{idx}");
    }
    for (idx, response) in uploads.iter().enumerate() {
        let (n_runs, status) = (site.n_runs(&format!("u{idx}")), response.status);
        assert_eq!(n_runs, usize::from(status == 200), "u{idx} is answered {status}");
        assert!(status == 200 || !response.header("retry-after").is_empty(), "{response:?}");
    }
    uploads.iter().filter(|it| it.status == 200).count()
}

/// Guards against a node that holds the bodies of all requests until they have ended, and is killed for the memory that it
/// takes. These requests are not sent a second time, so their bodies are not needed once they are written.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn bodies_that_are_not_sent_again_are_not_held() {
    let n_served = upload_beside_small_requests(Duration::from_millis(20)).await;
    assert_eq!(n_served, N_UPLOADS);
}

/// Guards against uploads that arrive at once, more than there is memory for, and end the process or leave no room for small
/// requests.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn uploads_beyond_the_memory_are_rejected_and_small_requests_served() {
    let n_served = upload_beside_small_requests(Duration::ZERO).await;
    assert!((1..N_UPLOADS).contains(&n_served), "{n_served} uploads are served");
}

/// Guards against a process that outlives its grace period because the store does not answer.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn planned_stop_ends_within_its_grace_period_while_the_store_is_silent() {
    let mut site = Site::start(SiteOptions::default()).await.unwrap();
    let (n_events, interval_ms) = (200, 100);
    site.engines[0].set(Behavior::Stream { n_events, interval_ms, break_after: None });
    let mut stream = site.request(0, "s", "/review/x").send().await.unwrap();
    stream.chunk().await.unwrap();
    site.store.set_fault(StoreFault::Unresponsive);
    let stopped = Instant::now();
    site.nodes[0].process.terminate();
    assert_eq!(site.nodes[0].process.wait().unwrap(), Some(0));
    assert!(stopped.elapsed() < GRACE, "{:?}", stopped.elapsed());
}
