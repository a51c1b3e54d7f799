//! A zone that is cut off goes on serving what it can, and nothing doubles or reverts when it heals.

use lentilhitch_standin::{
    engine::expected_completion,
    fault_proxy::FaultProxy,
    harness::{Cluster, DURABLE_MODEL, INTERACTIVE_MODEL, Options, TOKEN, read_events, until},
};
use serde_json::{Value, json};

async fn serves(cluster: &Cluster, entry: usize, what: &str) {
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

fn cut_peers(cluster: &Cluster) {
    cluster.entries.iter().flat_map(|it| &it.peer_links).for_each(FaultProxy::block);
}

#[tokio::test]
async fn it_goes_on_serving_and_heals() {
    let timing = json!({ "claim_timeout_ms": 1_000 });
    let mut cluster = Cluster::start_ready(Options { timing, ..Options::default() }).await.unwrap();
    let before = cluster.dump(&cluster.entries[0]).await.unwrap()["status"]["config"].clone();

    cluster.set_faults(cluster.platform_address, &json!({ "outage": true })).await.unwrap();
    for entry in 0..2 {
        serves(&cluster, entry, "platform gone").await;
    }
    cut_peers(&cluster);
    for entry in 0..2 {
        serves(&cluster, entry, "platform and peers gone").await;
        let refused =
            cluster.commission(&cluster.entries[entry], "cut-off", "b").send().await.unwrap();
        let problem: Value = refused.json().await.unwrap();
        assert_eq!(problem["outcome"], "not_run");
    }
    cluster.set_faults(cluster.platform_address, &json!({ "outage": false })).await.unwrap();
    for entry in 0..2 {
        serves(&cluster, entry, "peers gone").await;
    }
    // Both claim the same call through the log alone.
    let calls = (0..2).map(|it| cluster.commission(&cluster.entries[it], "cut-off", "b").send());
    for answer in futures_util::future::join_all(calls).await {
        let answer = answer.unwrap();
        // Without a link the other process can't tell whether the claimant lives, so it does not wait.
        assert!(answer.status() == 201 || answer.status() == 409, "{}", answer.status());
    }
    cluster.entries.iter().flat_map(|it| &it.peer_links).for_each(FaultProxy::unblock);
    cluster.until_ready().await.unwrap();
    until("the call is answered", || async {
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

    // A frozen platform answers nothing at all, not even a refusal.
    cluster.platform.freeze();
    for entry in 0..2 {
        serves(&cluster, entry, "platform frozen").await;
    }
    cluster.platform.thaw();
}
