//! Tests that a call that may not be repeated runs at most once, according to the runs that the application counts.

use std::time::{Duration, Instant};

use futures_util::future::join_all;
use lentilhitch_standin::harness::{Cluster, Options, until};
use serde_json::{Value, json};

/// Claim timeout in tests that check how long a call waits for its claim.
const CLAIM_TIMEOUT: Duration = Duration::from_secs(20);

async fn cluster(timing: Value) -> Cluster {
    Cluster::start_ready(Options { n_engines: 0, timing, ..Options::default() }).await.unwrap()
}

async fn n_runs(cluster: &Cluster, key: &str) -> usize {
    cluster.runs(0).await.iter().filter(|it| it.key.as_deref() == Some(key)).count()
}

/// Repeats a call until it succeeds. Returns the number of attempts.
async fn call_until_success(cluster: &Cluster, entry: usize, key: &str) -> usize {
    let mut n_attempts = 0;
    let what = format!("call {key} succeeds");
    until(&what, || {
        n_attempts += 1;
        async {
            cluster
                .commission(&cluster.entries[entry], key, "b")
                .send()
                .await
                .is_ok_and(|it| it.status() == 201)
        }
    })
    .await
    .unwrap();
    n_attempts
}

async fn outcome(request: reqwest::RequestBuilder) -> (u16, String, String) {
    let response = request.send().await.unwrap();
    let status = response.status().as_u16();
    let problem: Value = response.json().await.unwrap();
    let text = |it: &Value| it.as_str().unwrap_or_default().to_owned();
    (status, text(&problem["type"]), text(&problem["outcome"]))
}

#[tokio::test]
async fn concurrent_calls_with_one_key_run_once() {
    let cluster = cluster(json!({})).await;
    let keys: Vec<_> = (0..20).map(|it| format!("race-{it}")).collect();
    let calls = keys.iter().flat_map(|key| (0..4).map(move |it| (key, it % 2)));
    let calls =
        calls.map(|(key, entry)| cluster.commission(&cluster.entries[entry], key, "b").send());
    let responses = join_all(calls).await;
    let mut bodies = Vec::new();
    for response in responses {
        let response = response.unwrap();
        assert_eq!(response.status(), 201, "every client gets the response of the one run");
        bodies.push(response.text().await.unwrap());
    }
    for (idx, key) in keys.iter().enumerate() {
        assert_eq!(n_runs(&cluster, key).await, 1, "{key}");
        let bodies_for_key = &bodies[idx * 4..idx * 4 + 4];
        assert!(bodies_for_key.iter().all(|it| it == &bodies_for_key[0]), "{bodies_for_key:?}");
    }
    let n_appends = cluster.n_appends("claims").await;
    assert!(n_appends < 2 * 80, "{n_appends} appends, although claims are committed in groups");
    let mismatch = outcome(cluster.commission(&cluster.entries[0], "race-0", "another body")).await;
    assert_eq!(mismatch, (409, "key-mismatch".to_owned(), "not_run".to_owned()));
}

/// Waits until the first process has written every outcome to the log.
async fn until_outcomes_recorded(cluster: &Cluster) {
    until("every outcome is recorded", || async {
        let dump = cluster.dump(&cluster.entries[0]).await.unwrap_or_default();
        dump["claims"]["n_unrecorded"] == 0
    })
    .await
    .unwrap();
}

#[tokio::test]
async fn concurrent_claims_share_appends() {
    let cluster = cluster(json!({})).await;
    let (n_alone, n_together) = (10, 60);
    for idx in 0..n_alone {
        call_until_success(&cluster, 0, &format!("alone-{idx}")).await;
        // Otherwise the outcome would be appended together with the next claim.
        until_outcomes_recorded(&cluster).await;
    }
    let n_appends_alone = cluster.n_appends("claims").await;
    assert_eq!(n_appends_alone, 2 * n_alone);
    let keys: Vec<_> = (0..n_together).map(|it| format!("together-{it}")).collect();
    let calls = keys.iter().map(|it| cluster.commission(&cluster.entries[0], it, "b").send());
    for response in join_all(calls).await {
        assert_eq!(response.unwrap().status(), 201);
    }
    until_outcomes_recorded(&cluster).await;
    let n_appends_together = cluster.n_appends("claims").await - n_appends_alone;
    let appends_per_call = n_appends_together as f64 / n_together as f64;
    println!("appends for each call: 2 alone, {appends_per_call:.2} of {n_together} together");
    assert!(
        n_appends_together < n_together,
        "{n_appends_together} appends for {n_together} calls together"
    );
}

#[tokio::test]
async fn a_lost_append_response_is_resolved_by_reading_the_log() {
    let cluster = cluster(json!({})).await;
    for key in ["lost-1", "lost-2"] {
        cluster
            .set_faults(cluster.platform_address, &json!({ "lose_append_answers": 1 }))
            .await
            .unwrap();
        let response = cluster.commission(&cluster.entries[0], key, "b").send().await.unwrap();
        assert_eq!(response.status(), 201);
        assert_eq!(n_runs(&cluster, key).await, 1);
    }
}

#[tokio::test]
async fn a_process_killed_between_claim_and_send_leaves_the_call_unknown() {
    let mut cluster =
        cluster(json!({ "claim_timeout_ms": CLAIM_TIMEOUT.as_millis() as u64 })).await;
    cluster.set_faults(cluster.platform_address, &json!({ "slow_ms": 600 })).await.unwrap();
    let call = tokio::spawn(cluster.commission(&cluster.entries[0], "killed", "b").send());
    until("the claim is in the log", || async { cluster.n_appends("claims").await == 1 })
        .await
        .unwrap();
    cluster.entries[0].process.kill();
    assert!(call.await.unwrap().is_err());
    cluster.set_faults(cluster.platform_address, &json!({ "slow_ms": 0 })).await.unwrap();
    for _ in 0..2 {
        let repeated = outcome(cluster.commission(&cluster.entries[1], "killed", "b")).await;
        assert_eq!(repeated, (409, "key-unknown".to_owned(), "unknown".to_owned()));
    }
    cluster.restart_entry(0).unwrap();
    cluster.until_ready().await.unwrap();
    // A process runs again under the claimant's name, but in a later incarnation than the one that claimed the call, so
    // there is nothing to wait for.
    let started = Instant::now();
    let repeated = outcome(cluster.commission(&cluster.entries[0], "killed", "b")).await;
    assert_eq!(repeated.2, "unknown");
    let waited = started.elapsed();
    assert!(waited * 2 < CLAIM_TIMEOUT, "waited {waited:?}");
    assert_eq!(n_runs(&cluster, "killed").await, 0);
}

#[tokio::test]
async fn a_process_killed_between_send_and_response_leaves_the_call_unknown() {
    let mut cluster = cluster(json!({})).await;
    cluster
        .set_faults(cluster.applications[0].address, &json!({ "answer_delay_ms": 3_000 }))
        .await
        .unwrap();
    let call = tokio::spawn(cluster.commission(&cluster.entries[0], "half", "b").send());
    until("the application runs it", || async { n_runs(&cluster, "half").await == 1 })
        .await
        .unwrap();
    cluster.entries[0].process.kill();
    assert!(call.await.unwrap().is_err());
    let repeated = outcome(cluster.commission(&cluster.entries[1], "half", "b")).await;
    assert_eq!(repeated, (409, "key-unknown".to_owned(), "unknown".to_owned()));
    assert_eq!(n_runs(&cluster, "half").await, 1);
}

#[tokio::test]
async fn a_frozen_process_that_thaws_runs_no_call_twice() {
    let mut cluster = cluster(json!({ "claim_timeout_ms": 1_500 })).await;
    cluster.set_faults(cluster.platform_address, &json!({ "slow_ms": 300 })).await.unwrap();
    let call = tokio::spawn(cluster.commission(&cluster.entries[0], "frozen", "b").send());
    until("the claim is in the log", || async { cluster.n_appends("claims").await == 1 })
        .await
        .unwrap();
    cluster.entries[0].process.freeze();
    cluster.set_faults(cluster.platform_address, &json!({ "slow_ms": 0 })).await.unwrap();
    // Takes longer than the deadline of the call, 5 s: each of these calls waits for the claimant until the claimant is
    // considered dead.
    for _ in 0..5 {
        let repeated = outcome(cluster.commission(&cluster.entries[1], "frozen", "b")).await;
        assert_eq!(repeated.2, "unknown");
        assert_eq!(n_runs(&cluster, "frozen").await, 0);
    }
    tokio::time::sleep(Duration::from_secs(2)).await;
    cluster.entries[0].process.thaw();
    let response = call.await.unwrap().unwrap();
    let ran_after_thaw = response.status() == 201;
    call_until_success(&cluster, 1, "frozen").await;
    assert_eq!(n_runs(&cluster, "frozen").await, 1, "run by the thawed process: {ran_after_thaw}");
}

#[tokio::test]
async fn a_call_is_rejected_as_not_run_while_the_log_is_down() {
    let cluster = cluster(json!({ "claim_timeout_ms": 1_000 })).await;
    cluster.set_faults(cluster.platform_address, &json!({ "outage": true })).await.unwrap();
    for entry in &cluster.entries {
        let rejected = outcome(cluster.commission(entry, "outage", "b")).await;
        assert_eq!(rejected, (503, "log-unreachable".to_owned(), "not_run".to_owned()));
    }
    assert_eq!(n_runs(&cluster, "outage").await, 0);
    cluster
        .set_faults(cluster.platform_address, &json!({ "outage": false, "slow_ms": 150 }))
        .await
        .unwrap();
    call_until_success(&cluster, 0, "outage").await;
    let again = cluster.commission(&cluster.entries[1], "outage", "b").send().await.unwrap();
    assert_eq!(again.status(), 201);
    assert_eq!(n_runs(&cluster, "outage").await, 1);
}

#[tokio::test]
async fn a_process_cut_off_from_the_log_claims_through_its_peer() {
    let cluster = cluster(json!({})).await;
    cluster.entries[0].platform_link.block();
    let response = cluster.commission(&cluster.entries[0], "cut", "b").send().await.unwrap();
    assert_eq!(response.status(), 201);
    let again = cluster.commission(&cluster.entries[1], "cut", "b").send().await.unwrap();
    assert_eq!(again.headers()["idempotency-replayed"], "true");
    assert_eq!(n_runs(&cluster, "cut").await, 1);
}

#[tokio::test]
async fn a_key_outlives_the_retention_of_its_records() {
    let timing = json!({ "checkpoint_records": 4, "checkpoint_ms": 3_600_000 });
    let mut cluster = cluster(timing).await;
    cluster
        .set_faults(cluster.platform_address, &json!({ "retention_records": 12 }))
        .await
        .unwrap();
    for idx in 0..20 {
        assert_eq!(call_until_success(&cluster, idx % 2, &format!("old-{idx}")).await, 1);
    }
    cluster.until_checkpoint("claims").await.unwrap();
    for idx in 0..2 {
        cluster.entries[idx].process.kill();
    }
    for idx in 0..2 {
        cluster.restart_entry(idx).unwrap();
    }
    cluster.until_ready().await.unwrap();
    for idx in 0..20 {
        let key = format!("old-{idx}");
        call_until_success(&cluster, idx % 2, &key).await;
        assert_eq!(n_runs(&cluster, &key).await, 1, "{key}");
    }
}
