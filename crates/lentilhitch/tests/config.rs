//! Tests that an accepted configuration is in force at every process within seconds and is never reverted.

use std::{fs, path::PathBuf, time::Instant};

use lentilhitch_standin::harness::{Cluster, INTERACTIVE_MODEL, Options, run_command, until};
use serde_json::{Value, json};

/// Maximum time within which a change must be in force at every process.
const IN_FORCE_MAX_S: u64 = 16;

fn team_folder(cluster: &Cluster, name: &str, rate: u64) -> PathBuf {
    let folder = cluster.folder.path().join(name);
    fs::create_dir_all(&folder).unwrap();
    let team = json!({ "team": "etna", "token_sha256": ["0".repeat(64)], "requests_per_s": rate });
    fs::write(folder.join("team.lentilhitch.json"), team.to_string()).unwrap();
    folder
}

async fn versions(cluster: &Cluster, entry: usize) -> Value {
    cluster.dump(&cluster.entries[entry]).await.unwrap()["status"]["config"]["versions"].clone()
}

fn version_of(versions: &Value, key: &str) -> Option<u64> {
    versions.as_array()?.iter().find(|it| it[0] == key)?[1].as_u64()
}

#[tokio::test]
async fn concurrent_publishes_get_distinct_versions_or_a_conflict() {
    let cluster = Cluster::start_ready(Options::default()).await.unwrap();
    for round in 0..4 {
        let folders: Vec<_> = (0..4)
            .map(|it| team_folder(&cluster, &format!("race-{it}"), 1 + round * 10 + it))
            .collect();
        let address = cluster.platform_address.to_string();
        let publishes = folders.iter().map(|it| {
            let args = ["publish", it.to_str().unwrap(), "--platform", &address].map(str::to_owned);
            tokio::task::spawn_blocking(move || run_command(&args).unwrap())
        });
        let results = futures_util::future::join_all(publishes).await;
        let results: Vec<_> = results.into_iter().map(Result::unwrap).collect();
        // A publish that reads the log after another one has succeeded replaces its version, so more than one may
        // succeed. Each of the others reports the conflict.
        let success_outputs: Vec<_> =
            results.iter().filter(|it| it.0).map(|it| it.1.clone()).collect();
        assert!(!success_outputs.is_empty(), "{results:?}");
        for (succeeded, text) in &results {
            assert!(*succeeded || text.contains("another version came first"), "{text}");
        }
        let mut distinct = success_outputs.clone();
        distinct.sort();
        distinct.dedup();
        assert_eq!(
            distinct.len(),
            success_outputs.len(),
            "two publishes got one version: {results:?}"
        );
    }
}

#[tokio::test]
async fn a_publish_whose_append_response_is_lost_takes_effect_once() {
    let cluster =
        Cluster::start_ready(Options { n_engines: 0, ..Options::default() }).await.unwrap();
    cluster
        .set_faults(cluster.platform_address, &json!({ "lose_append_answers": 1 }))
        .await
        .unwrap();
    let (succeeded, text) = cluster.publish(&team_folder(&cluster, "lost", 5)).unwrap();
    assert!(succeeded && text.contains("team/etna: version 1"), "{text}");
    let (succeeded, text) = cluster.publish(&team_folder(&cluster, "lost", 5)).unwrap();
    assert!(succeeded && text.contains("nothing to publish"), "{text}");
}

#[tokio::test]
async fn a_zone_without_the_platform_gets_the_configuration_from_a_peer() {
    let cluster =
        Cluster::start_ready(Options { n_engines: 0, ..Options::default() }).await.unwrap();
    cluster.entries[0].platform_link.block();
    let started = Instant::now();
    let (succeeded, text) = cluster.publish(&team_folder(&cluster, "cut", 5)).unwrap();
    assert!(succeeded && text.contains("in force at entry-1"), "{text}");
    assert!(started.elapsed().as_secs() < IN_FORCE_MAX_S);
}

#[tokio::test]
async fn a_restarted_process_gets_the_configuration_from_a_peer_while_the_log_is_down() {
    let mut cluster = Cluster::start_ready(Options::default()).await.unwrap();
    let before = versions(&cluster, 1).await;
    cluster.set_faults(cluster.platform_address, &json!({ "outage": true })).await.unwrap();
    cluster.entries[1].process.kill();
    cluster.restart_entry(1).unwrap();
    cluster.until_ready().await.unwrap();
    assert_eq!(versions(&cluster, 1).await, before);
    let response =
        cluster.completion(&cluster.entries[1], INTERACTIVE_MODEL, "x", 2).send().await.unwrap();
    assert_eq!(response.status(), 200);
}

#[tokio::test]
async fn versions_outlive_the_retention_of_their_records() {
    let timing = json!({ "checkpoint_records": 3 });
    let mut cluster =
        Cluster::start_ready(Options { n_engines: 0, timing, ..Options::default() }).await.unwrap();
    cluster.set_faults(cluster.platform_address, &json!({ "retention_records": 6 })).await.unwrap();
    // One process is frozen during more changes than the log retains.
    cluster.entries[1].process.freeze();
    let folder = cluster.folder.path().join("many");
    let mut newest = 0;
    for rate in 1..=15 {
        let folder = team_folder(&cluster, folder.to_str().unwrap(), rate);
        let args = [
            "publish",
            folder.to_str().unwrap(),
            "--platform",
            &cluster.platform_address.to_string(),
            "--entry",
            &cluster.entries[0].admin.to_string(),
        ]
        .map(str::to_owned);
        let (succeeded, text) = run_command(&args).unwrap();
        assert!(succeeded, "{text}");
        let current = version_of(&versions(&cluster, 0).await, "team/etna").unwrap();
        assert!(newest < current, "went from version {newest} to {current}");
        newest = current;
    }
    cluster.entries[1].process.thaw();
    until("the thawed process has the newest version", || async {
        version_of(&versions(&cluster, 1).await, "team/etna") == Some(newest)
    })
    .await
    .unwrap();
    // Both processes restart, so only the log holds the state, and the first declaration of the team has expired there.
    cluster.until_checkpoint("config").await.unwrap();
    let before = versions(&cluster, 0).await;
    for idx in 0..2 {
        cluster.entries[idx].process.kill();
    }
    for idx in 0..2 {
        cluster.restart_entry(idx).unwrap();
    }
    cluster.until_ready().await.unwrap();
    for idx in 0..2 {
        assert_eq!(
            versions(&cluster, idx).await,
            before,
            "market and ausonia are restored from the checkpoint"
        );
    }
}

#[tokio::test]
async fn unreadable_records_are_skipped() {
    let cluster =
        Cluster::start_ready(Options { n_engines: 0, ..Options::default() }).await.unwrap();
    let empty_state = json!({ "next": 1, "state": { "by_key": {} } }).to_string();
    let id = "0".repeat(32);
    let stale_checkpoint = json!({ "checkpoint": { "checkpoint": id, "next": 1, "idx": 0, "n_parts": 1, "text": empty_state } }).to_string();
    let payloads = [
        "flood",
        "{}",
        "{\"record\":{\"kind\":\"unknown\"}}",
        "{\"record\":[{\"renounce\":{}}]}",
        &stale_checkpoint,
    ];
    for stream in ["config", "claims"] {
        for payload in payloads {
            let url = format!("http://{}/v1/streams/{stream}/records", cluster.platform_address);
            let response =
                cluster.http.post(url).json(&json!({ "payload": payload })).send().await.unwrap();
            assert_eq!(response.status(), 200);
        }
    }
    let (succeeded, text) = cluster.publish(&team_folder(&cluster, "after", 5)).unwrap();
    assert!(succeeded, "{text}");
    for entry in 0..2 {
        let versions = versions(&cluster, entry).await;
        assert_eq!(
            version_of(&versions, "team/ausonia"),
            Some(0),
            "a stale checkpoint reverted a declaration"
        );
        assert_eq!(version_of(&versions, "team/etna"), Some(6));
    }
    let response = cluster.commission(&cluster.entries[0], "after", "b").send().await.unwrap();
    assert_eq!(response.status(), 201);
}

#[tokio::test]
async fn an_unchanged_configuration_outlives_the_retention_of_its_records() {
    let timing = json!({ "checkpoint_ms": 1_500 });
    let mut cluster = Cluster::start_ready(Options { timing, ..Options::default() }).await.unwrap();
    let before = versions(&cluster, 0).await;
    cluster.set_faults(cluster.platform_address, &json!({ "retention_ms": 6_000 })).await.unwrap();
    let url =
        format!("http://{}/v1/streams/config/records?from=0&wait_ms=0", cluster.platform_address);
    until("the record of the publish has expired", || async {
        cluster.get_json(&url).await.is_ok_and(|it| 0 < it["oldest"].as_u64().unwrap_or_default())
    })
    .await
    .unwrap();
    for idx in 0..2 {
        cluster.entries[idx].process.kill();
    }
    for idx in 0..2 {
        cluster.restart_entry(idx).unwrap();
    }
    cluster.until_ready().await.unwrap();
    assert_eq!(versions(&cluster, 0).await, before);
}
