//! Tests that a process whose lease has expired can't make an engine load an older version, whether or not the engine
//! checks fencing tokens.

use std::{cell::Cell, time::Instant};

use lentilhitch_standin::harness::{Cluster, Options, until};
use serde_json::{Value, json};

/// Starts two entry processes and two engines in one zone. The first engine checks fencing tokens, the second does not.
async fn cluster() -> Cluster {
    let options =
        Options { n_zones: 1, n_applications: 0, version: Some("v1"), ..Options::default() };
    let cluster = Cluster::start_ready(options).await.unwrap();
    until_version(&cluster, "v1").await;
    cluster
}

async fn until_version(cluster: &Cluster, version: &str) {
    until(&format!("{version} is loaded everywhere"), || async {
        for engine in &cluster.engines {
            let load = cluster
                .get_json(&format!("http://{}/v1/load", engine.address))
                .await
                .unwrap_or_default();
            if load["version"] != version {
                return false;
            }
        }
        true
    })
    .await
    .unwrap();
}

async fn lease(cluster: &Cluster, entry: usize) -> Value {
    let dump = cluster.dump(&cluster.entries[entry]).await.unwrap_or_default();
    dump["lease"].clone()
}

/// Waits until one of the candidates holds the lease. Returns its index and its fencing token.
async fn holder(cluster: &Cluster, candidates: &[usize]) -> (usize, u64) {
    let found = Cell::new(None);
    until("a process holds the lease", || async {
        for entry in candidates {
            if let Some(fencing_token) = lease(cluster, *entry).await["fencing"].as_u64() {
                found.set(Some((*entry, fencing_token)));
            }
        }
        found.get().is_some()
    })
    .await
    .unwrap();
    found.get().unwrap()
}

/// Checks that no engine executed an order with an older fencing token or an older version than the one before.
async fn assert_versions_never_decrease(cluster: &Cluster) {
    for engine in 0..2 {
        let orders = cluster.report(engine).await.unwrap().orders;
        let executed: Vec<_> = orders.iter().filter(|it| it.is_followed).collect();
        assert!(executed.is_sorted_by_key(|it| it.fencing), "{orders:?}");
        assert!(executed.is_sorted_by(|a, b| a.version <= b.version), "{orders:?}");
    }
}

#[tokio::test]
async fn a_holder_that_was_frozen_sends_no_stale_order() {
    let mut cluster = cluster().await;
    let (old_holder, old_token) = holder(&cluster, &[0, 1]).await;
    cluster.entries[old_holder].process.freeze();
    let (new_holder, new_token) = holder(&cluster, &[1 - old_holder]).await;
    assert!(old_token < new_token);
    cluster.publish_version("v2").unwrap();
    until_version(&cluster, "v2").await;
    cluster.entries[old_holder].process.thaw();
    until("the thawed process has caught up with the log", || async {
        let dumps = [
            cluster.dump(&cluster.entries[old_holder]).await,
            cluster.dump(&cluster.entries[new_holder]).await,
        ];
        let [Ok(old_dump), Ok(new_dump)] = dumps else { return false };
        old_dump["status"]["config"]["next"] == new_dump["status"]["config"]["next"]
    })
    .await
    .unwrap();
    assert_eq!(lease(&cluster, old_holder).await["fencing"], Value::Null);
    cluster.publish_version("v3").unwrap();
    until_version(&cluster, "v3").await;
    assert_versions_never_decrease(&cluster).await;
}

#[tokio::test]
async fn a_lease_expires_while_the_log_is_down_and_is_acquired_again() {
    let mut cluster = cluster().await;
    cluster.set_faults(cluster.platform_address, &json!({ "outage": true })).await.unwrap();
    until("no process holds the lease", || async {
        lease(&cluster, 0).await["fencing"].is_null()
            && lease(&cluster, 1).await["fencing"].is_null()
    })
    .await
    .unwrap();
    cluster.set_faults(cluster.platform_address, &json!({ "outage": false })).await.unwrap();
    holder(&cluster, &[0, 1]).await;
    cluster.publish_version("v2").unwrap();
    until_version(&cluster, "v2").await;
    assert_versions_never_decrease(&cluster).await;
}

#[tokio::test]
async fn a_released_lease_is_acquired_sooner_than_an_expired_one() {
    let mut cluster = cluster().await;
    let (first, _) = holder(&cluster, &[0, 1]).await;
    let started = Instant::now();
    cluster.entries[first].process.terminate();
    holder(&cluster, &[1 - first]).await;
    let after_release = started.elapsed();
    cluster.entries[first].process.wait().unwrap();
    cluster.restart_entry(first).unwrap();
    cluster.until_ready().await.unwrap();

    let started = Instant::now();
    cluster.entries[1 - first].process.kill();
    holder(&cluster, &[first]).await;
    let after_expiry = started.elapsed();
    println!(
        "without a holder: {after_release:?} after a release, {after_expiry:?} after an expiry"
    );
    assert!(
        after_release * 2 < after_expiry,
        "{after_release:?} after a release, {after_expiry:?} after an expiry"
    );
}
