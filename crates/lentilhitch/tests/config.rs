//! A configuration that was accepted is in force everywhere within seconds and never reverts.

use std::{fs, path::PathBuf, time::Instant};

use lentilhitch_standin::harness::{Cluster, INTERACTIVE_MODEL, Options, run_command, until};
use serde_json::{Value, json};

/// Bound of the letter for a change to be in force everywhere.
const IN_FORCE_S: u64 = 16;

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
async fn of_racing_operators_one_wins() {
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
        // A publish that read after another's success replaces it properly, so more than one may succeed; each loser is told.
        let versions: Vec<_> = results.iter().filter(|it| it.0).map(|it| it.1.clone()).collect();
        assert!(!versions.is_empty(), "{results:?}");
        for (is_done, text) in &results {
            assert!(*is_done || text.contains("another version came first"), "{text}");
        }
        let mut distinct = versions.clone();
        distinct.sort();
        distinct.dedup();
        assert_eq!(distinct.len(), versions.len(), "two publishes got one version: {results:?}");
    }
}

#[tokio::test]
async fn a_lost_append_answer_publishes_once() {
    let cluster =
        Cluster::start_ready(Options { n_engines: 0, ..Options::default() }).await.unwrap();
    cluster
        .set_faults(cluster.platform_address, &json!({ "lose_append_answers": 1 }))
        .await
        .unwrap();
    let (is_done, text) = cluster.publish(&team_folder(&cluster, "lost", 5)).unwrap();
    assert!(is_done && text.contains("team/etna: version 1"), "{text}");
    let (is_done, text) = cluster.publish(&team_folder(&cluster, "lost", 5)).unwrap();
    assert!(is_done && text.contains("nothing to publish"), "{text}");
}

#[tokio::test]
async fn a_zone_cut_off_from_the_platform_takes_it_from_a_peer() {
    let cluster =
        Cluster::start_ready(Options { n_engines: 0, ..Options::default() }).await.unwrap();
    cluster.entries[0].platform_link.block();
    let begun = Instant::now();
    let (is_done, text) = cluster.publish(&team_folder(&cluster, "cut", 5)).unwrap();
    assert!(is_done && text.contains("in force at entry-1"), "{text}");
    assert!(begun.elapsed().as_secs() < IN_FORCE_S);
}

#[tokio::test]
async fn a_fresh_process_takes_it_from_a_peer_while_the_log_is_down() {
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
async fn old_versions_outlive_the_retention_and_nothing_reverts() {
    let timing = json!({ "checkpoint_records": 3 });
    let mut cluster =
        Cluster::start_ready(Options { n_engines: 0, timing, ..Options::default() }).await.unwrap();
    cluster.set_faults(cluster.platform_address, &json!({ "retention_records": 6 })).await.unwrap();
    // One process sleeps through more changes than the log keeps.
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
        let (is_done, text) = run_command(&args).unwrap();
        assert!(is_done, "{text}");
        let now = version_of(&versions(&cluster, 0).await, "team/etna").unwrap();
        assert!(newest < now, "went from version {newest} to {now}");
        newest = now;
    }
    cluster.entries[1].process.thaw();
    until("the thawed process has the newest version", || async {
        version_of(&versions(&cluster, 1).await, "team/etna") == Some(newest)
    })
    .await
    .unwrap();
    // Both fresh: only the log can tell, and the team's first declaration has long expired.
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
            "market and ausonia came with the checkpoint"
        );
    }
}

#[tokio::test]
async fn records_that_are_not_understood_stop_nothing() {
    let cluster =
        Cluster::start_ready(Options { n_engines: 0, ..Options::default() }).await.unwrap();
    let empty = json!({ "next": 1, "state": { "by_key": {} } }).to_string();
    let id = "0".repeat(32);
    let stale = json!({ "checkpoint": { "checkpoint": id, "next": 1, "idx": 0, "n_parts": 1, "text": empty } }).to_string();
    let payloads = [
        "flood",
        "{}",
        "{\"record\":{\"kind\":\"unknown\"}}",
        "{\"record\":[{\"renounce\":{}}]}",
        &stale,
    ];
    for stream in ["config", "claims"] {
        for payload in payloads {
            let url = format!("http://{}/v1/streams/{stream}/records", cluster.platform_address);
            let response =
                cluster.http.post(url).json(&json!({ "payload": payload })).send().await.unwrap();
            assert_eq!(response.status(), 200);
        }
    }
    let (is_done, text) = cluster.publish(&team_folder(&cluster, "after", 5)).unwrap();
    assert!(is_done, "{text}");
    for entry in 0..2 {
        let versions = versions(&cluster, entry).await;
        assert_eq!(
            version_of(&versions, "team/ausonia"),
            Some(0),
            "a stale checkpoint took something back"
        );
        assert_eq!(version_of(&versions, "team/etna"), Some(6));
    }
    let answer = cluster.commission(&cluster.entries[0], "after", "b").send().await.unwrap();
    assert_eq!(answer.status(), 201);
}

#[tokio::test]
async fn a_configuration_that_nobody_changes_outlives_the_retention() {
    let timing = json!({ "checkpoint_ms": 1_500 });
    let mut cluster = Cluster::start_ready(Options { timing, ..Options::default() }).await.unwrap();
    let before = versions(&cluster, 0).await;
    cluster.set_faults(cluster.platform_address, &json!({ "retention_ms": 6_000 })).await.unwrap();
    let url =
        format!("http://{}/v1/streams/config/records?from=0&wait_ms=0", cluster.platform_address);
    until("the publish itself has expired", || async {
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
