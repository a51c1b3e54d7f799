//! When a caller is told that its request was not run, no upstream has run it.

use std::time::Duration;

use futures_util::future::join_all;
use lentilhitch_standin::harness::{Cluster, Entry, Options, TOKEN};
use serde_json::{Value, json};

/// Sends a call that is not idempotent; returns its id and the outcome that the caller was told, if it was a problem.
async fn post(cluster: &Cluster, entry: &Entry) -> (String, Option<String>) {
    let id = uuid();
    let request = cluster.http.post(format!("http://{}/notes", entry.front)).bearer_auth(TOKEN);
    let response = request.header("x-request-id", &id).body("note").send().await.unwrap();
    if response.status().is_success() {
        return (id, None);
    }
    let problem: Value = response.json().await.unwrap();
    (id, problem["outcome"].as_str().map(str::to_owned))
}

fn uuid() -> String {
    lentilhitch_types::RequestId::from_random(rand::random()).to_string()
}

#[tokio::test]
async fn not_run_is_never_said_of_a_call_that_ran() {
    let mut cluster =
        Cluster::start_ready(Options { n_engines: 0, n_applications: 2, ..Options::default() })
            .await
            .unwrap();
    for application in &cluster.applications {
        cluster.set_faults(application.address, &json!({ "answer_delay_ms": 30 })).await.unwrap();
    }
    let mut told = Vec::new();
    for round in 0..24 {
        let victim = round % 2;
        let calls = (0..10).map(|it| post(&cluster, &cluster.entries[it % 2]));
        let disturb = async {
            // Before the calls, during them, after some of them.
            tokio::time::sleep(Duration::from_millis((round as u64 % 6) * 8)).await;
            cluster.applications[victim].link.block();
        };
        told.extend(tokio::join!(join_all(calls), disturb).0);
        cluster.applications[victim].link.unblock();
    }
    cluster.applications[0].process.freeze();
    let frozen = join_all((0..4).map(|it| post(&cluster, &cluster.entries[it % 2]))).await;
    cluster.applications[0].process.thaw();
    told.extend(frozen);

    let mut ran = Vec::new();
    for application in 0..2 {
        ran.extend(cluster.runs(application).await.into_iter().filter_map(|it| it.request_id));
    }
    let unknown = told.iter().filter(|it| it.1.as_deref() == Some("unknown")).count();
    assert!(0 < unknown, "the cuts have hit calls in progress");
    for (id, outcome) in told {
        let n_runs = ran.iter().filter(|it| **it == id).count();
        match outcome.as_deref() {
            None => assert_eq!(n_runs, 1, "answered, but ran {n_runs} times"),
            Some("not_run") => assert_eq!(n_runs, 0, "told not run, but ran"),
            _ => assert!(n_runs <= 1, "ran {n_runs} times"),
        }
    }
}

#[tokio::test]
async fn a_call_that_reached_nobody_is_told_so() {
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
