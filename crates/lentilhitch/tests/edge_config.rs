//! How nodes follow the configuration while the store misbehaves.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
};

use lentilhitch_adapter::{PlatformAdapter, PlatformSettings, read_settings};
use lentilhitch_gateway::platform::{Store as _, Topic};
use lentilhitch_standin::{
    harness::until,
    users_platform::{Site, SiteOptions, StoreFault},
};
use serde_json::json;
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::{TcpListener, TcpStream},
    sync::Barrier,
};

const TOPIC: &str = "keyed.op";
/// Time after a disruption within which nodes know of changes again, if the settings do not state it.
const CONTACT_MS: u64 = 3_000;

/// Guards against a node that learns of a new configuration seconds after the store has returned, because its read
/// waits on a connection on which the store answers nothing any more.
#[tokio::test]
async fn reads_do_not_wait_at_a_store_that_has_fallen_silent() {
    const N_UNANSWERED: usize = 3;
    let mut site = Site::start(SiteOptions::default()).await.unwrap();
    let store = site.store.clone();
    until("a read waits", || async { store.reads(TOPIC).iter().any(|it| 0 < it.wait_ms) })
        .await
        .unwrap();
    store.set_fault(StoreFault::Unresponsive);
    let unanswered = || store.reads(TOPIC).into_iter().filter(|it| !it.is_answered);
    until("reads get no answer", || async { N_UNANSWERED < unanswered().count() }).await.unwrap();

    let waits_ms: Vec<_> = store.reads(TOPIC).iter().map(|it| it.wait_ms).collect();
    assert!(waits_ms.iter().all(|it| *it < CONTACT_MS / 2), "{waits_ms:?}");
    let unanswered_ms: Vec<_> = unanswered().map(|it| it.wait_ms).collect();
    assert!(unanswered_ms[1..].iter().all(|it| *it == 0), "{unanswered_ms:?}");

    store.set_fault(StoreFault::None);
    site.put_config(|it| it["tenants"][0]["apiKeys"] = json!(["another-key"]));
    until("the old key is rejected", || async {
        site.call(0, "k", "/book/x").await.unwrap().status == 401
    })
    .await
    .unwrap();
    until("reads wait again", || async {
        store.reads(TOPIC).last().is_some_and(|it| 0 < it.wait_ms)
    })
    .await
    .unwrap();
}

/// Guards against nodes that reject requests by an older configuration, because the store turns them away and they query
/// nodes that do not have the newer one.
#[tokio::test]
async fn nodes_that_the_store_turns_away_get_the_configuration_from_the_one_that_has_it() {
    const N_NODES: usize = 4;
    let options =
        SiteOptions { n_nodes: N_NODES, n_refusable: N_NODES - 1, ..SiteOptions::default() };
    let mut site = Site::start(options).await.unwrap();
    let old_version = site.put_config(|_| {});
    site.turn_nodes_away();
    let version = site.put_config(|it| it["tenants"][0]["apiKeys"] = json!(["another-key"]));
    for node in 0..N_NODES {
        until("the old key is rejected", || async {
            site.call(node, "k", "/book/x").await.unwrap().status == 401
        })
        .await
        .unwrap();
    }

    let config_after = async |version: &str| {
        let url = format!("http://{}/v1/config-after/{version}", site.nodes[0].exchange);
        let response = site.http.get(url).send().await.unwrap();
        (response.status().as_u16(), response.bytes().await.unwrap())
    };
    let (status, config) = config_after(&old_version.to_string()).await;
    let config: serde_json::Value = serde_json::from_slice(&config).unwrap();
    assert_eq!((status, &config["version"]), (200, &json!(version)));
    assert_eq!(config_after(&version.to_string()).await.0, 204);
    assert_eq!(config_after("newest").await.0, 400);
}

/// Guards against calls that hang one after the other on idle connections that have fallen silent.
#[tokio::test]
async fn one_call_at_most_hangs_after_connections_to_the_store_have_fallen_silent() {
    const N_CONNECTIONS: usize = 3;
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let n_silent = Arc::new(AtomicUsize::new(0));
    let all_called = Arc::new(Barrier::new(N_CONNECTIONS));
    let server = tokio::spawn({
        let n_silent = n_silent.clone();
        async move {
            for number in 1.. {
                let (stream, _) = listener.accept().await.unwrap();
                let is_awaited = number <= N_CONNECTIONS;
                let barrier = is_awaited.then(|| all_called.clone());
                tokio::spawn(serve_connection(stream, number, n_silent.clone(), barrier));
            }
        }
    });
    let adapter = PlatformAdapter::new(&settings(address)).unwrap();
    // The server answers only once all connections are in use.
    let list = || adapter.list(Topic::Nodes);
    let (first, second, third) = tokio::join!(list(), list(), list());
    assert!(first.is_ok() && second.is_ok() && third.is_ok(), "{first:?} {second:?} {third:?}");

    n_silent.store(N_CONNECTIONS, Ordering::Relaxed);
    let hanging = list().await;
    assert!(hanging.is_err(), "{hanging:?}");
    let next = list().await;
    assert!(next.is_ok(), "{next:?}");
    server.abort();
}

/// Answers calls on a connection as an empty topic does, the first one when the barrier allows. The connection is silent
/// while `n_silent` is at least its number.
async fn serve_connection(
    mut stream: TcpStream,
    number: usize,
    n_silent: Arc<AtomicUsize>,
    barrier: Option<Arc<Barrier>>,
) {
    let mut barrier = barrier;
    let mut received = Vec::new();
    loop {
        let mut buffer = [0; 1_024];
        let n_bytes = stream.read(&mut buffer).await.unwrap_or_default();
        if n_bytes == 0 {
            return;
        }
        received.extend_from_slice(&buffer[..n_bytes]);
        if !received.ends_with(b"\r\n\r\n") {
            continue;
        }
        received.clear();
        if number <= n_silent.load(Ordering::Relaxed) {
            continue;
        }
        if let Some(barrier) = barrier.take() {
            barrier.wait().await;
        }
        let body = r#"{"items":[],"truncated":false,"end":0}"#;
        let response = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{body}", body.len());
        stream.write_all(response.as_bytes()).await.unwrap();
    }
}

fn settings(store: SocketAddr) -> PlatformSettings {
    let settings = json!({
        "nodeName": "edge-a-0", "zone": "a", "ip": "127.0.0.1", "portRange": [7_600, 7_615],
        "listen": { "frontend": "127.0.0.1:8221", "ready": "127.0.0.1:8224" },
        "limits": { "memoryMb": 260 }, "bounds": {}, "platform": { "address": store.to_string() },
    });
    let file = tempfile::NamedTempFile::new().unwrap();
    std::fs::write(file.path(), settings.to_string()).unwrap();
    read_settings(file.path()).unwrap()
}
