//! A holder whose lease has lapsed does no harm, whether or not the upstream checks who orders.

use std::{cell::Cell, time::Instant};

use lentilhitch_standin::harness::{Cluster, Options, until};
use serde_json::{Value, json};

/// Two entry processes and two engines in one zone; the first engine checks fencing numbers, the second does not.
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

/// The process that may give orders, and its fencing number.
async fn holder(cluster: &Cluster, candidates: &[usize]) -> (usize, u64) {
    let found = Cell::new(None);
    until("a process holds the lease", || async {
        for entry in candidates {
            if let Some(fencing) = lease(cluster, *entry).await["fencing"].as_u64() {
                found.set(Some((*entry, fencing)));
            }
        }
        found.get().is_some()
    })
    .await
    .unwrap();
    found.get().unwrap()
}

async fn assert_never_back(cluster: &Cluster) {
    for engine in 0..2 {
        let orders = cluster.report(engine).await.unwrap().orders;
        let followed: Vec<_> = orders.iter().filter(|it| it.is_followed).collect();
        assert!(followed.is_sorted_by_key(|it| it.fencing), "{orders:?}");
        assert!(followed.is_sorted_by(|a, b| a.version <= b.version), "{orders:?}");
    }
}

#[tokio::test]
async fn a_frozen_holder_that_thaws_orders_nothing_old() {
    let mut cluster = cluster().await;
    let (old, fencing) = holder(&cluster, &[0, 1]).await;
    cluster.entries[old].process.freeze();
    let (new, later) = holder(&cluster, &[1 - old]).await;
    assert!(fencing < later);
    cluster.publish_version("v2").unwrap();
    until_version(&cluster, "v2").await;
    cluster.entries[old].process.thaw();
    until("the thawed process has read on", || async {
        let dumps =
            [cluster.dump(&cluster.entries[old]).await, cluster.dump(&cluster.entries[new]).await];
        let [Ok(old), Ok(new)] = dumps else { return false };
        old["status"]["config"]["next"] == new["status"]["config"]["next"]
    })
    .await
    .unwrap();
    assert_eq!(lease(&cluster, old).await["fencing"], Value::Null);
    cluster.publish_version("v3").unwrap();
    until_version(&cluster, "v3").await;
    assert_never_back(&cluster).await;
}

#[tokio::test]
async fn a_holder_without_the_log_stops_in_time_and_comes_back() {
    let mut cluster = cluster().await;
    cluster.set_faults(cluster.platform_address, &json!({ "outage": true })).await.unwrap();
    until("nobody gives orders", || async {
        lease(&cluster, 0).await["fencing"].is_null()
            && lease(&cluster, 1).await["fencing"].is_null()
    })
    .await
    .unwrap();
    cluster.set_faults(cluster.platform_address, &json!({ "outage": false })).await.unwrap();
    holder(&cluster, &[0, 1]).await;
    cluster.publish_version("v2").unwrap();
    until_version(&cluster, "v2").await;
    assert_never_back(&cluster).await;
}

#[tokio::test]
async fn a_lease_given_back_is_taken_up_sooner_than_one_that_lapses() {
    let mut cluster = cluster().await;
    let (first, _) = holder(&cluster, &[0, 1]).await;
    let begun = Instant::now();
    cluster.entries[first].process.terminate();
    holder(&cluster, &[1 - first]).await;
    let given_back = begun.elapsed();
    cluster.entries[first].process.wait().unwrap();
    cluster.restart_entry(first).unwrap();
    cluster.until_ready().await.unwrap();

    let begun = Instant::now();
    cluster.entries[1 - first].process.kill();
    holder(&cluster, &[first]).await;
    let lapsed = begun.elapsed();
    println!("without a holder: {given_back:?} given back, {lapsed:?} lapsed");
    assert!(given_back * 2 < lapsed, "{given_back:?} given back, {lapsed:?} lapsed");
}
