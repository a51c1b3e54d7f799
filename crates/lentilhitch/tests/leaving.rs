//! A leaving instance gets no new work after 3 s, whoever heard of it first.

use std::time::Duration;

use lentilhitch_standin::harness::{Cluster, INTERACTIVE_MODEL, Options, read_events, until};
use serde_json::{Value, json};

/// Bound after which a leaving instance gets nothing new.
const NO_NEW_WORK: Duration = Duration::from_secs(3);

async fn serve_some(cluster: &Cluster, n: usize) {
    for idx in 0..n {
        let entry = &cluster.entries[idx % cluster.entries.len()];
        let response = cluster
            .completion(entry, INTERACTIVE_MODEL, &format!("p{idx}"), 3)
            .send()
            .await
            .unwrap();
        assert!(read_events(response).await.is_done());
    }
}

/// After the bound, serves requests at every entry process and expects none of them at the first engine.
async fn assert_no_new_work(cluster: &Cluster, what: &str) {
    tokio::time::sleep(NO_NEW_WORK).await;
    let before = cluster.report(0).await.unwrap().attempts.len();
    serve_some(cluster, 12).await;
    assert_eq!(cluster.report(0).await.unwrap().attempts.len(), before, "{what}");
}

async fn upstream_state(cluster: &Cluster, entry: usize, upstream: &str) -> Value {
    let dump = cluster.dump(&cluster.entries[entry]).await.unwrap_or_default();
    let upstreams = dump["upstreams"].as_array().cloned().unwrap_or_default();
    upstreams.into_iter().find(|it| it["upstream"] == upstream).unwrap_or_default()
}

#[tokio::test]
async fn its_own_word_is_enough() {
    let cluster =
        Cluster::start_ready(Options { decode_ms: 1, ..Options::default() }).await.unwrap();
    serve_some(&cluster, 4).await;
    cluster.set_faults(cluster.engines[0].address, &json!({ "is_leaving": true })).await.unwrap();
    assert_no_new_work(&cluster, "its load report").await;
    // It takes the word back within the same life; nobody believes it.
    cluster.set_faults(cluster.engines[0].address, &json!({ "is_leaving": false })).await.unwrap();
    assert_no_new_work(&cluster, "not taken back").await;
}

#[tokio::test]
async fn one_process_that_hears_of_it_is_enough() {
    let mut cluster =
        Cluster::start_ready(Options { decode_ms: 1, ..Options::default() }).await.unwrap();
    let incarnation = cluster.report(0).await.unwrap().incarnation;
    // Only the second process reaches the platform's list.
    cluster.entries[0].platform_link.block();
    let leaving = json!({ "name": "engine-1", "incarnation": incarnation, "state": "leaving" });
    let url = format!("http://{}/v1/instances", cluster.platform_address);
    cluster.http.post(&url).json(&leaving).send().await.unwrap();
    assert_no_new_work(&cluster, "the list, through a peer").await;

    // The same address in a later life is a new instance, although the list still shows the old one as leaving.
    cluster.restart_engine(0).unwrap();
    for entry in 0..2 {
        until("the new life is taken in", || async {
            upstream_state(&cluster, entry, "engine-1").await["state"] == "available"
        })
        .await
        .unwrap();
    }
    until("it gets work", || async {
        serve_some(&cluster, 4).await;
        !cluster.report(0).await.unwrap().attempts.is_empty()
    })
    .await
    .unwrap();
}

#[tokio::test]
async fn a_cut_between_processes_is_made_up_for_when_it_heals() {
    let cluster =
        Cluster::start_ready(Options { decode_ms: 1, ..Options::default() }).await.unwrap();
    let incarnation = cluster.report(0).await.unwrap().incarnation;
    cluster.entries[0].platform_link.block();
    for entry in &cluster.entries {
        entry.peer_links.iter().for_each(lentilhitch_standin::fault_proxy::FaultProxy::block);
    }
    let leaving = json!({ "name": "engine-1", "incarnation": incarnation, "state": "leaving" });
    let url = format!("http://{}/v1/instances", cluster.platform_address);
    cluster.http.post(&url).json(&leaving).send().await.unwrap();
    until("the second process knows", || async {
        upstream_state(&cluster, 1, "engine-1").await["state"] == "leaving"
    })
    .await
    .unwrap();
    assert_eq!(upstream_state(&cluster, 0, "engine-1").await["state"], "available");
    for entry in &cluster.entries {
        entry.peer_links.iter().for_each(lentilhitch_standin::fault_proxy::FaultProxy::unblock);
    }
    assert_no_new_work(&cluster, "after healing").await;
}
