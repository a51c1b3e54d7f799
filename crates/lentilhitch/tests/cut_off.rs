//! Tests that isolated processes continue to serve what they can, and that after the partition heals no call has run
//! twice and no configuration has been reverted.

use lentilhitch_standin::{
    engine::expected_completion,
    fault_proxy::FaultProxy,
    harness::{Cluster, DURABLE_MODEL, INTERACTIVE_MODEL, Options, TOKEN, read_events, until},
};
use serde_json::{Value, json};

/// Checks that an entry process serves both language services and the application.
async fn assert_serves(cluster: &Cluster, entry: usize, what: &str) {
    for model in [DURABLE_MODEL, INTERACTIVE_MODEL] {
        let prompt = format!("{what} at {entry} by {model}");
        let response =
            cluster.completion(&cluster.entries[entry], model, &prompt, 10).send().await.unwrap();
        assert_eq!(response.status(), 200, "{what}");
        let events = read_events(response).await;
        assert!(events.is_done(), "{what}: {:?}", events.events.last());
        assert_eq!(events.text(), expected_completion(&prompt, 10), "{what}");
    }
    let url = format!("http://{}/status/1", cluster.entries[entry].front);
    assert_eq!(
        cluster.http.get(url).bearer_auth(TOKEN).send().await.unwrap().status(),
        200,
        "{what}"
    );
}

fn cut_peer_links(cluster: &Cluster) {
    cluster.entries.iter().flat_map(|it| &it.peer_links).for_each(FaultProxy::block);
}

#[tokio::test]
async fn isolated_processes_serve_and_recover() {
    let timing = json!({ "claim_timeout_ms": 1_000 });
    let mut cluster = Cluster::start_ready(Options { timing, ..Options::default() }).await.unwrap();
    let before = cluster.dump(&cluster.entries[0]).await.unwrap()["status"]["config"].clone();

    cluster.set_faults(cluster.platform_address, &json!({ "outage": true })).await.unwrap();
    for entry in 0..2 {
        assert_serves(&cluster, entry, "platform gone").await;
    }
    cut_peer_links(&cluster);
    for entry in 0..2 {
        assert_serves(&cluster, entry, "platform and peers gone").await;
        let rejected =
            cluster.commission(&cluster.entries[entry], "cut-off", "b").send().await.unwrap();
        let problem: Value = rejected.json().await.unwrap();
        assert_eq!(problem["outcome"], "not_run");
    }
    cluster.set_faults(cluster.platform_address, &json!({ "outage": false })).await.unwrap();
    for entry in 0..2 {
        assert_serves(&cluster, entry, "peers gone").await;
    }
    // Both processes claim the same call and can reach each other only through the log.
    let calls = (0..2).map(|it| cluster.commission(&cluster.entries[it], "cut-off", "b").send());
    for response in futures_util::future::join_all(calls).await {
        let response = response.unwrap();
        // Without a peer link, the other process can't tell whether the claimant is running. It does not wait for the
        // response and may reject the call.
        assert!(response.status() == 201 || response.status() == 409, "{}", response.status());
    }
    cluster.entries.iter().flat_map(|it| &it.peer_links).for_each(FaultProxy::unblock);
    cluster.until_ready().await.unwrap();
    until("the call succeeds", || async {
        cluster
            .commission(&cluster.entries[0], "cut-off", "b")
            .send()
            .await
            .is_ok_and(|it| it.status() == 201)
    })
    .await
    .unwrap();
    let runs = cluster.runs(0).await;
    assert_eq!(runs.iter().filter(|it| it.key.as_deref() == Some("cut-off")).count(), 1);
    for entry in 0..2 {
        let after =
            cluster.dump(&cluster.entries[entry]).await.unwrap()["status"]["config"].clone();
        assert_eq!(after["versions"], before["versions"]);
    }

    // A frozen platform sends no response at all, not even an error.
    cluster.platform.freeze();
    for entry in 0..2 {
        assert_serves(&cluster, entry, "platform frozen").await;
    }
    cluster.platform.thaw();
}
