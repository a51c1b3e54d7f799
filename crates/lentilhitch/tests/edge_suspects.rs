//! Requests that crash upstreams: when one segment of their prompts is the cause, requests with that segment are no longer
//! sent to upstreams, and all others are.

use futures_util::future::join_all;
use lentilhitch_standin::{
    harness::until,
    users_platform::{Behavior, ClientResponse, Site, SiteOptions},
};

const N_NODES: usize = 3;
const N_ENGINES: usize = 9;
/// Crashes after which no more requests with the segment may reach upstreams, once the nodes had time to learn of them.
const N_CRASHES: usize = 5;
/// Prompt segment that crashes the engines, and one that all requests share.
const CRASHING_SEGMENT: &str = "c0ffee";
const SHARED_SEGMENT: &str = "5c";

/// Sends a request of a conversation whose prompt begins with the shared segment.
async fn ask(site: &Site, node: usize, id: &str, segments: &str) -> ClientResponse {
    let prefix = format!("{SHARED_SEGMENT}:800,{segments}:50");
    let request = site.request(node, id, "/ask/x").body(format!("question {id}"));
    let request = request.header("x-token-usage", "900,80").header("x-prompt-prefix", prefix);
    site.send(request).await.unwrap()
}

fn n_executed(site: &Site) -> usize {
    site.engines.iter().map(|it| it.executed().len()).sum()
}

fn n_quarantined(site: &Site, node: usize) -> usize {
    site.nodes[node].process.log_text().matches("prompt segment quarantined").count()
}

/// Waits until the log of the node, which all its processes append to, states the quarantine `n` times.
async fn until_quarantined(site: &Site, node: usize, n: usize) {
    let is_quarantined = || async { n_quarantined(site, node) == n };
    until("the node has quarantined the segment", is_quarantined).await.unwrap();
}

/// Returns the segments of a request that crashes the engines.
fn crashing(idx: usize) -> String {
    format!("{CRASHING_SEGMENT}:40,a{idx:x}")
}

/// Crashes engines by requests at all nodes, beside sound ones, until the nodes have quarantined the segment.
async fn crash_engines(site: &Site) {
    for it in &site.engines {
        it.set(Behavior::Stream { n_events: 5, interval_ms: 20, break_after: None });
        it.crash_on_segment(CRASHING_SEGMENT);
    }
    for idx in 0..N_CRASHES {
        let sound = ask(site, idx % N_NODES, &format!("sound-{idx}"), &format!("b{idx}")).await;
        assert!(sound.is_complete && sound.status == 200, "request {idx}: {sound:?}");
        let response = ask(site, idx % N_NODES, &format!("crash-{idx}"), &crashing(idx)).await;
        assert!(!response.is_complete || response.status != 200, "request {idx}: {response:?}");
    }
    for node in 0..N_NODES {
        until_quarantined(site, node, 1).await;
    }
}

/// Removes the entries of engines that have crashed.
fn remove_crashed_engines(site: &Site) {
    for it in &site.engines {
        if it.executed().iter().any(|it| it.header("x-prompt-prefix").contains(CRASHING_SEGMENT)) {
            site.store.delete("keyed.servers", &it.id);
        }
    }
}

/// Guards against requests that share a prompt segment and crash one upstream after the other, each request anew.
#[tokio::test]
async fn prompt_segment_that_crashes_upstreams_is_quarantined_at_all_nodes() {
    let options = SiteOptions { n_nodes: N_NODES, n_engines: N_ENGINES, ..SiteOptions::default() };
    let mut site = Site::start(options).await.unwrap();
    crash_engines(&site).await;
    remove_crashed_engines(&site);
    // A node that starts later learns of the segment from the others.
    site.nodes[0].process.kill();
    site.restart(0).unwrap();
    site.until_ready().await.unwrap();
    until_quarantined(&site, 0, 2).await;

    let n_before = n_executed(&site);
    for idx in 0..2 * N_NODES {
        let response =
            ask(&site, idx % N_NODES, &format!("late-{idx}"), &crashing(100 + idx)).await;
        assert_eq!(response.status, 500, "request {idx}: {response:?}");
    }
    assert_eq!(n_executed(&site), n_before, "a quarantined request reached an upstream");
    for idx in 0..2 * N_NODES {
        let sound = ask(&site, idx % N_NODES, &format!("after-{idx}"), &format!("d{idx}")).await;
        assert!(sound.is_complete && sound.status == 200, "request {idx}: {sound:?}");
    }
}

/// Guards against a node that starts after a request was quarantined and sends this request to upstreams.
#[tokio::test]
async fn quarantined_request_is_stopped_by_a_node_that_starts_later() {
    const N_REQUEST_CRASHES: usize = 3;
    let options = SiteOptions { n_nodes: N_NODES, n_engines: N_ENGINES, ..SiteOptions::default() };
    let mut site = Site::start(options).await.unwrap();
    crash_engines(&site).await;
    // The segment is the last one, so only the request as a whole can be the cause.
    let prefix = format!("{SHARED_SEGMENT}:800,{CRASHING_SEGMENT}:50");
    let request = |site: &Site, node: usize, id: &str| {
        let request = site.request(node, id, "/ask/x").header("x-token-usage", "900,80");
        request.header("x-prompt-prefix", prefix.clone())
    };
    for idx in 0..N_REQUEST_CRASHES {
        let response = site.send(request(&site, idx, &format!("r{idx}"))).await.unwrap();
        assert!(!response.is_complete || response.status != 200, "request {idx}: {response:?}");
    }
    let n_stopped = |site: &Site, node: usize| {
        site.nodes[node].process.log_text().matches("request stopped").count()
    };
    for node in 0..N_NODES {
        let is_stopped = || async { 0 < n_stopped(&site, node) };
        until("the node has quarantined the request", is_stopped).await.unwrap();
    }
    for it in &site.engines {
        if !it.executed().is_empty() {
            site.store.delete("keyed.servers", &it.id);
        }
    }
    site.nodes[0].process.kill();
    // The log continues that of the earlier process.
    let n_stopped_before = n_stopped(&site, 0);
    site.restart(0).unwrap();
    let is_stopped = || async { n_stopped_before < n_stopped(&site, 0) };
    until("the node has learned of the quarantine", is_stopped).await.unwrap();
    site.until_ready().await.unwrap();
    let n_before = n_executed(&site);
    let response = site.send(request(&site, 0, "late")).await.unwrap();
    assert_eq!(response.status, 500, "{response:?}");
    assert_eq!(n_executed(&site), n_before, "a quarantined request reached an upstream");
}

/// Guards against a segment that is known to crash upstreams and that crashes some more, since all nodes were killed at once.
#[tokio::test]
async fn quarantine_outlasts_the_loss_of_all_nodes() {
    let options = SiteOptions { n_nodes: N_NODES, n_engines: N_ENGINES, ..SiteOptions::default() };
    let mut site = Site::start(options).await.unwrap();
    crash_engines(&site).await;
    until("the store has the quarantine", || async {
        0 < site.store.n_records("keyed.quarantines")
    })
    .await
    .unwrap();
    remove_crashed_engines(&site);
    for node in &mut site.nodes {
        node.process.kill();
    }
    for idx in 0..N_NODES {
        site.restart(idx).unwrap();
    }
    site.until_ready().await.unwrap();
    for node in 0..N_NODES {
        until_quarantined(&site, node, 2).await;
    }
    let n_before = n_executed(&site);
    let late = (0..2 * N_NODES).map(|idx| {
        let site = &site;
        let segments = crashing(100 + idx);
        async move { ask(site, idx % N_NODES, &format!("late-{idx}"), &segments).await }
    });
    for (idx, response) in join_all(late).await.into_iter().enumerate() {
        assert_eq!(response.status, 500, "request {idx}: {response:?}");
    }
    assert_eq!(n_executed(&site), n_before, "a quarantined request reached an upstream");
    let sound = ask(&site, 0, "after", "d").await;
    assert!(sound.is_complete && sound.status == 200, "{sound:?}");
}
