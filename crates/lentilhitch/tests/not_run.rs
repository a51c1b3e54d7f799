//! Tests that no upstream has run a request whose client gets the outcome `not_run`.

use std::time::Duration;

use futures_util::future::join_all;
use lentilhitch_standin::harness::{Cluster, Entry, Options, TOKEN};
use serde_json::{Value, json};

/// Sends a call that is not idempotent. Returns its request ID and, if the call failed, the outcome in the problem
/// document.
async fn post(cluster: &Cluster, entry: &Entry) -> (String, Option<String>) {
    let id = random_request_id();
    let request = cluster.http.post(format!("http://{}/notes", entry.front)).bearer_auth(TOKEN);
    let response = request.header("x-request-id", &id).body("note").send().await.unwrap();
    if response.status().is_success() {
        return (id, None);
    }
    let problem: Value = response.json().await.unwrap();
    (id, problem["outcome"].as_str().map(str::to_owned))
}

fn random_request_id() -> String {
    lentilhitch_types::RequestId::from_random(rand::random()).to_string()
}

#[tokio::test]
async fn not_run_is_never_reported_for_a_call_that_ran() {
    let mut cluster =
        Cluster::start_ready(Options { n_engines: 0, n_applications: 2, ..Options::default() })
            .await
            .unwrap();
    for application in &cluster.applications {
        cluster.set_faults(application.address, &json!({ "answer_delay_ms": 30 })).await.unwrap();
    }
    let mut results = Vec::new();
    for round in 0..24 {
        let cut_application = round % 2;
        let calls = (0..10).map(|it| post(&cluster, &cluster.entries[it % 2]));
        let cut_link = async {
            // Depending on the round, cuts the link before the calls, during them or after some of them.
            tokio::time::sleep(Duration::from_millis((round as u64 % 6) * 8)).await;
            cluster.applications[cut_application].link.block();
        };
        results.extend(tokio::join!(join_all(calls), cut_link).0);
        cluster.applications[cut_application].link.unblock();
    }
    cluster.applications[0].process.freeze();
    let results_while_frozen =
        join_all((0..4).map(|it| post(&cluster, &cluster.entries[it % 2]))).await;
    cluster.applications[0].process.thaw();
    results.extend(results_while_frozen);

    let mut run_ids = Vec::new();
    for application in 0..2 {
        run_ids.extend(cluster.runs(application).await.into_iter().filter_map(|it| it.request_id));
    }
    let n_unknown = results.iter().filter(|it| it.1.as_deref() == Some("unknown")).count();
    assert!(0 < n_unknown, "no cut hit a call in progress");
    for (id, outcome) in results {
        let n_runs = run_ids.iter().filter(|it| **it == id).count();
        match outcome.as_deref() {
            None => assert_eq!(n_runs, 1, "successful, but ran {n_runs} times"),
            Some("not_run") => assert_eq!(n_runs, 0, "reported as not run, but ran"),
            _ => assert!(n_runs <= 1, "ran {n_runs} times"),
        }
    }
}

#[tokio::test]
async fn a_call_that_reached_no_upstream_is_reported_as_not_run() {
    let options =
        Options { n_engines: 0, n_applications: 1, is_direct: true, ..Options::default() };
    let mut cluster = Cluster::start_ready(options).await.unwrap();
    cluster.applications[0].process.kill();
    for entry in &cluster.entries {
        let (_, outcome) = post(&cluster, entry).await;
        assert_eq!(outcome.as_deref(), Some("not_run"));
        let keyed = cluster.commission(entry, "nobody", "b").send().await.unwrap();
        assert_eq!(keyed.status(), 503);
        let problem: Value = keyed.json().await.unwrap();
        assert_eq!(problem["outcome"], "not_run");
    }
    cluster.restart_application(0).unwrap();
    cluster.until_ready().await.unwrap();
    // The claims were released, so the key is free.
    let keyed = cluster.commission(&cluster.entries[0], "nobody", "b").send().await.unwrap();
    assert_eq!(keyed.status(), 201);
    assert_eq!(cluster.runs(0).await.len(), 1);
}

/// Guards against responses with a status that no response has, which reach the client as answers.
#[tokio::test]
async fn response_with_a_status_out_of_range_is_not_passed_on() {
    let options = Options { n_engines: 0, n_applications: 1, ..Options::default() };
    let cluster = Cluster::start_ready(options).await.unwrap();
    let address = cluster.applications[0].address;
    for status in [600, 999] {
        cluster.set_faults(address, &json!({ "answer_status": status })).await.unwrap();
        let (_, outcome) = post(&cluster, &cluster.entries[0]).await;
        assert_eq!(outcome.as_deref(), Some("unknown"), "status {status}");
    }
}
