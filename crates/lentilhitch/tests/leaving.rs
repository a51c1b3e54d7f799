//! Tests that a leaving engine gets no new requests after 3 s, whichever process receives the notice first.

use std::time::Duration;

use lentilhitch_standin::harness::{Cluster, INTERACTIVE_MODEL, Options, read_events, until};
use serde_json::{Value, json};

/// Time after a notice from which a leaving engine must get no new requests.
const NO_NEW_REQUESTS_AFTER: Duration = Duration::from_secs(3);

/// Sends requests to the entry processes in turn and checks that each response is complete.
async fn send_requests(cluster: &Cluster, n_requests: usize) {
    for idx in 0..n_requests {
        let entry = &cluster.entries[idx % cluster.entries.len()];
        let response = cluster
            .completion(entry, INTERACTIVE_MODEL, &format!("p{idx}"), 3)
            .send()
            .await
            .unwrap();
        assert!(read_events(response).await.is_done());
    }
}

/// Waits for [`NO_NEW_REQUESTS_AFTER`], then sends requests to every entry process and checks that none of them reaches
/// the first engine.
async fn assert_no_new_requests(cluster: &Cluster, trigger: &str) {
    tokio::time::sleep(NO_NEW_REQUESTS_AFTER).await;
    let before = cluster.report(0).await.unwrap().attempts.len();
    send_requests(cluster, 12).await;
    assert_eq!(cluster.report(0).await.unwrap().attempts.len(), before, "{trigger}");
}

async fn upstream_state(cluster: &Cluster, entry: usize, upstream: &str) -> Value {
    let dump = cluster.dump(&cluster.entries[entry]).await.unwrap_or_default();
    let upstreams = dump["upstreams"].as_array().cloned().unwrap_or_default();
    upstreams.into_iter().find(|it| it["upstream"] == upstream).unwrap_or_default()
}

#[tokio::test]
async fn a_notice_in_the_load_report_of_the_engine_is_enough() {
    let cluster =
        Cluster::start_ready(Options { decode_ms: 1, ..Options::default() }).await.unwrap();
    send_requests(&cluster, 4).await;
    cluster.set_faults(cluster.engines[0].address, &json!({ "is_leaving": true })).await.unwrap();
    assert_no_new_requests(&cluster, "notice in the load report").await;
    // The engine withdraws the notice in the same incarnation, which has no effect.
    cluster.set_faults(cluster.engines[0].address, &json!({ "is_leaving": false })).await.unwrap();
    assert_no_new_requests(&cluster, "notice withdrawn by the engine").await;
}

#[tokio::test]
async fn one_process_that_receives_the_notice_is_enough() {
    let mut cluster =
        Cluster::start_ready(Options { decode_ms: 1, ..Options::default() }).await.unwrap();
    let incarnation = cluster.report(0).await.unwrap().incarnation;
    // Only the second process reaches the platform's list.
    cluster.entries[0].platform_link.block();
    let notice = json!({ "name": "engine-1", "incarnation": incarnation, "state": "leaving" });
    let url = format!("http://{}/v1/instances", cluster.platform_address);
    cluster.http.post(&url).json(&notice).send().await.unwrap();
    assert_no_new_requests(&cluster, "notice in the list, through a peer").await;

    // The same address in a later incarnation is a new instance, although the list still shows the old one as leaving.
    cluster.restart_engine(0).unwrap();
    for entry in 0..2 {
        until("the new incarnation is available", || async {
            upstream_state(&cluster, entry, "engine-1").await["state"] == "available"
        })
        .await
        .unwrap();
    }
    until("the new incarnation gets requests", || async {
        send_requests(&cluster, 4).await;
        !cluster.report(0).await.unwrap().attempts.is_empty()
    })
    .await
    .unwrap();
}

#[tokio::test]
async fn a_notice_that_a_partition_delayed_arrives_when_it_heals() {
    let cluster =
        Cluster::start_ready(Options { decode_ms: 1, ..Options::default() }).await.unwrap();
    let incarnation = cluster.report(0).await.unwrap().incarnation;
    cluster.entries[0].platform_link.block();
    for entry in &cluster.entries {
        entry.peer_links.iter().for_each(lentilhitch_standin::fault_proxy::FaultProxy::block);
    }
    let notice = json!({ "name": "engine-1", "incarnation": incarnation, "state": "leaving" });
    let url = format!("http://{}/v1/instances", cluster.platform_address);
    cluster.http.post(&url).json(&notice).send().await.unwrap();
    until("the second process has the notice", || async {
        upstream_state(&cluster, 1, "engine-1").await["state"] == "leaving"
    })
    .await
    .unwrap();
    assert_eq!(upstream_state(&cluster, 0, "engine-1").await["state"], "available");
    for entry in &cluster.entries {
        entry.peer_links.iter().for_each(lentilhitch_standin::fault_proxy::FaultProxy::unblock);
    }
    assert_no_new_requests(&cluster, "notice received after the partition").await;
}
