//! Nodes on the users' platform over time: configuration changes, store faults, shutdowns, crashes, duties and rates.

use lentilhitch_standin::{
    harness::until,
    users_platform::{Behavior, Site, SiteOptions, StoreFault},
};
use serde_json::json;
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::TcpStream,
};

#[tokio::test]
async fn configuration_takes_effect_at_all_nodes_and_is_not_replaced_by_an_older_version() {
    let mut site = Site::start(SiteOptions { n_nodes: 3, ..SiteOptions::default() }).await.unwrap();
    site.put_config(|it| {
        it["tenants"][0]["apiKeys"] = json!(["another-key"]);
    });
    for node in 0..3 {
        until("the old key is rejected", || async {
            site.call(node, "k", "/book/x").await.unwrap().status == 401
        })
        .await
        .unwrap();
    }
    // An older version of the configuration does not take effect, although it is written later.
    let mut old_config = json!({ "version": 1, "routes": [], "services": [], "tenants": [] });
    old_config["limits"] = json!({});
    site.store.put("keyed.op", "config", &old_config);
    let n_calls = site.store.n_calls();
    until("the nodes have polled the store again", || async {
        n_calls + 20 < site.store.n_calls()
    })
    .await
    .unwrap();
    for node in 0..3 {
        let response = site.call(node, "k", "/book/x").await.unwrap();
        assert_eq!(response.status, 401, "node {node}: {response:?}");
    }
}

#[tokio::test]
async fn nodes_keep_serving_while_the_store_is_unavailable() {
    for fault in [StoreFault::Unavailable, StoreFault::Unresponsive, StoreFault::LostResponses] {
        let site = Site::start(SiteOptions { n_nodes: 2, ..SiteOptions::default() }).await.unwrap();
        site.store.set_fault(fault);
        let started = std::time::Instant::now();
        while started.elapsed() < std::time::Duration::from_secs(3) {
            for (node, path) in [(0, "/book/x"), (1, "/review/x"), (1, "/status/x")] {
                let response = site.call(node, "f", path).await.unwrap();
                assert_eq!(response.status, 200, "{fault:?} {path}: {response:?}");
            }
        }
        for node in &site.nodes {
            assert!(site.is_ready(node).await, "{fault:?}");
        }
    }
}

#[tokio::test]
async fn internal_connections_stay_open_while_requests_are_answered_on_them() {
    /// Longer than a node waits for a request head on these addresses.
    const DURATION: std::time::Duration = std::time::Duration::from_secs(4);
    const REQUEST_INTERVAL: std::time::Duration = std::time::Duration::from_millis(250);
    let site = Site::start(SiteOptions::default()).await.unwrap();
    let node = &site.nodes[0];
    for (address, path) in [
        (node.ready, "/lentilhitch/readiness"),
        (node.metrics, "/v1/status"),
        (node.exchange, "/v1/status"),
    ] {
        let mut connection = TcpStream::connect(address).await.unwrap();
        let started = std::time::Instant::now();
        while started.elapsed() < DURATION {
            let request = format!("GET {path} HTTP/1.1\r\nhost: node\r\n\r\n");
            connection.write_all(request.as_bytes()).await.unwrap();
            let mut response = vec![0; 4_096];
            let n_bytes = connection.read(&mut response).await.unwrap();
            let response = String::from_utf8_lossy(&response[..n_bytes]);
            let elapsed = started.elapsed();
            assert!(response.starts_with("HTTP/1.1 200 "), "{path} after {elapsed:?}: {response}");
            tokio::time::sleep(REQUEST_INTERVAL).await;
        }
    }
}

#[tokio::test]
async fn node_without_configuration_responds_503_until_the_store_is_available() {
    let mut site = Site::start(SiteOptions::default()).await.unwrap();
    site.store.set_fault(StoreFault::Unavailable);
    site.nodes[0].process.kill();
    site.restart(0).unwrap();
    until("the node responds", || async {
        let Ok(response) = site.call(0, "e", "/book/x").await else { return false };
        assert_eq!(response.status, 503, "{response:?}");
        assert!(!response.header("retry-after").is_empty());
        true
    })
    .await
    .unwrap();
    assert!(!site.is_ready(&site.nodes[0]).await);
    site.store.set_fault(StoreFault::None);
    site.until_ready().await.unwrap();
    assert_eq!(site.call(0, "e2", "/book/x").await.unwrap().status, 200);
}

#[tokio::test]
async fn nodes_continue_from_the_newest_records_after_the_log_was_truncated() {
    let mut site = Site::start(SiteOptions::default()).await.unwrap();
    for turn in 0..3 {
        site.applications[0].write_entry(&site.store, &json!({ "seq": turn }));
        site.store.truncate_history("keyed.servers");
        site.store.truncate_history("keyed.op");
    }
    site.put_config(|it| it["routes"][2]["pathPrefix"] = json!("/reserve/"));
    until("the new route is served", || async {
        site.call(0, "h", "/reserve/x").await.unwrap().status == 200
    })
    .await
    .unwrap();
}

#[tokio::test]
async fn leaving_upstream_gets_no_new_requests() {
    let site = Site::start(SiteOptions { n_applications: 2, n_nodes: 2, ..SiteOptions::default() })
        .await
        .unwrap();
    let leaving = &site.applications[0];
    leaving.write_entry(&site.store, &json!({ "state": "draining", "seq": 2 }));
    until("both nodes know that the upstream is leaving", || async {
        site.nodes.iter().all(|it| it.process.log_text().contains("upstream is leaving"))
    })
    .await
    .unwrap();
    let n_before = leaving.executed().len();
    for turn in 0..20 {
        let response = site.call(turn % 2, &format!("l{turn}"), "/book/x").await.unwrap();
        assert_eq!(response.status, 200);
    }
    assert_eq!(leaving.executed().len(), n_before);
}

#[tokio::test]
async fn shutdown_completes_open_streams_and_rejects_later_requests() {
    let mut site = Site::start(SiteOptions { n_nodes: 1, ..SiteOptions::default() }).await.unwrap();
    site.engines[0].set(Behavior::Stream { n_events: 60, interval_ms: 50, break_after: None });
    let stream = site.request(0, "p1", "/ask/x").send().await.unwrap();
    site.nodes[0].process.terminate();
    until("the node reports that it is not ready", || async {
        !site.is_ready(&site.nodes[0]).await
    })
    .await
    .unwrap();
    // A request on a separate connection is still served. Its response closes the connection, so that the client
    // connects to another node for its next request.
    let response = site.call(0, "p2", "/book/x").await.unwrap();
    assert_eq!(response.status, 200);
    assert_eq!(response.header("connection"), "close");
    let text = stream.text().await.unwrap();
    assert!(text.ends_with("id: 60\ndata: 60\n\n"), "{text}");
    // Later requests are rejected as not run, or the port is closed.
    until("new requests are rejected", || async {
        match site.call(0, "p3", "/ask/x").await {
            Ok(response) => response.status == 503 && !response.header("retry-after").is_empty(),
            Err(_) => true,
        }
    })
    .await
    .unwrap();
    assert_eq!(site.nodes[0].process.wait().unwrap(), Some(0));
}

#[tokio::test]
async fn usage_is_reported_once_per_window_also_after_the_duty_holder_is_killed() {
    let mut site = Site::start(SiteOptions { n_nodes: 3, ..SiteOptions::default() }).await.unwrap();
    let holder_idx = |site: &Site| {
        let (holder, ..) = site.store.duty_calls("usage").last().cloned()?;
        site.nodes.iter().position(|it| it.process.name == holder)
    };
    let mut n_sent = 0;
    for _ in 0..10 {
        for node in 0..3 {
            let id = format!("u{n_sent}");
            assert_eq!(site.call(node, &id, "/book/x").await.unwrap().status, 200);
            n_sent += 1;
        }
    }
    let reported_windows = |site: &Site| {
        let calls = site.store.duty_calls("usage");
        let counts =
            calls.iter().map(|it| (it.2["windowId"].clone(), it.2["counts"]["etna"].clone()));
        let mut counts: Vec<_> =
            counts.map(|it| (it.0.to_string(), it.1.as_u64().unwrap_or(0))).collect();
        counts.sort();
        counts.dedup();
        counts
    };
    until("all requests are reported", || async {
        reported_windows(&site).iter().map(|it| it.1).sum::<u64>() == n_sent
    })
    .await
    .unwrap();
    let first_holder = holder_idx(&site).unwrap();
    let n_calls = site.store.duty_calls("usage").len();
    site.nodes[first_holder].process.kill();
    until("another node reports usage", || async {
        holder_idx(&site).is_some_and(|it| it != first_holder)
    })
    .await
    .unwrap();
    let calls = site.store.duty_calls("usage");
    assert!(calls[..n_calls].iter().all(|it| it.1 < calls.last().unwrap().1), "{calls:?}");
    let windows: Vec<_> = reported_windows(&site).into_iter().map(|it| it.0).collect();
    let mut unique = windows.clone();
    unique.dedup();
    assert_eq!(windows, unique, "two reports of the same window differ");
}

#[tokio::test]
async fn rate_of_a_team_applies_to_all_nodes_together() {
    const RATE_PER_S: f64 = 30.0;
    const BURST: f64 = 60.0;
    /// Fraction by which the users allow the rate to be exceeded.
    const OVERRUN_FRACTION: f64 = 0.1;
    /// Further allowance, for the requests that are in progress at the same time.
    const N_IN_PROGRESS: f64 = 6.0;
    /// Number of served requests after which the rate is checked. Three nodes that did not share the rate would serve
    /// as many within two seconds.
    const N_SERVED: u32 = 180;
    let mut site = Site::start(SiteOptions { n_nodes: 3, ..SiteOptions::default() }).await.unwrap();
    // A request without a prompt counts as one token in this test.
    let version = site.put_config(|it| {
        let team = &mut it["tenants"][0];
        team["uncachedTokens"] = json!(1);
        team["ratePerS"] = json!(RATE_PER_S);
        team["burst"] = json!(BURST);
    });
    for node in &site.nodes {
        until("the rate is in force", || async {
            node.process.log_text().contains(&format!("\"version\":\"{version}\""))
        })
        .await
        .unwrap();
    }
    let started = std::time::Instant::now();
    let n_served = std::cell::Cell::new(0);
    until("enough requests are served", || async {
        for node in 0..3 {
            match site.call(node, "r", "/book/x").await.unwrap().status {
                200 => n_served.set(n_served.get() + 1),
                429 => {}
                status => panic!("{status}"),
            }
        }
        N_SERVED <= n_served.get()
    })
    .await
    .unwrap();
    let n_served: u32 = n_served.get();
    let accrued_tokens = RATE_PER_S * started.elapsed().as_secs_f64() + BURST;
    let n_allowed = accrued_tokens * (1.0 + OVERRUN_FRACTION) + N_IN_PROGRESS;
    assert!(f64::from(n_served) <= n_allowed, "{n_served} served, {n_allowed} allowed");
}
