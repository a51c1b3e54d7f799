//! The store returns from a copy that is some seconds old: what nodes know to have happened since is not undone.

use std::collections::BTreeMap;

use lentilhitch_standin::{
    harness::until,
    users_platform::{Behavior, Site, SiteOptions, Upstream},
};
use serde_json::{Value, json};

/// Number of calls after which an upstream among two would have been chosen almost certainly.
const N_CALLS: usize = 30;

async fn until_logged(site: &Site, text: &str) {
    for node in &site.nodes {
        until(text, || async { node.process.log_text().contains(text) }).await.unwrap();
    }
}

async fn restore(site: &Site) {
    site.store.restore();
    until_logged(site, "the store has returned from a copy").await;
}

/// Restores the store twice while all nodes are frozen.
async fn restore_while_frozen(site: &mut Site) {
    for node in &mut site.nodes {
        node.process.freeze();
    }
    site.store.restore();
    site.store.restore();
    for node in &mut site.nodes {
        node.process.thaw();
    }
    until_logged(site, "\"era\":\"3\"").await;
}

/// Guards against a configuration, an upstream's departure or a new upstream that the copy undoes.
#[tokio::test]
async fn what_happened_since_the_copy_is_not_undone() {
    let options = SiteOptions { n_nodes: 2, n_applications: 2, ..SiteOptions::default() };
    let mut site = Site::start(options).await.unwrap();
    site.store.take_copy();
    let removed_route = |config: &mut Value| {
        let routes = config["routes"].as_array_mut().unwrap();
        routes.retain(|it| it["name"] != "open");
    };
    let version = site.put_config(removed_route);
    until_logged(&site, &format!("\"version\":\"{version}\"")).await;
    site.store.delete("keyed.servers", "app-0");
    until_logged(&site, "upstream removed").await;
    let added =
        Upstream::start_with_entry(&site.store, "app-9", "filing", Behavior::Serve { work_ms: 1 })
            .await
            .unwrap();
    until_logged(&site, "app-9").await;

    restore(&site).await;
    // The upstreams that live write their entries again.
    site.applications[1].write_entry(&site.store, &json!({ "seq": 8 }));
    added.write_entry(&site.store, &json!({ "seq": 8 }));
    for (node, name) in [(0, "first"), (1, "second")] {
        for idx in 0..N_CALLS {
            let id = format!("{name}-{idx}");
            assert_eq!(site.call(node, &id, "/status/x").await.unwrap().status, 200, "{id}");
        }
        let of_dropped_route = site.call(node, "o", "/open/x").await.unwrap();
        assert_eq!(of_dropped_route.status, 404, "{name}: {of_dropped_route:?}");
    }
    assert!(site.applications[0].executed().is_empty(), "an upstream that was removed");
    assert!(!added.executed().is_empty(), "an upstream that has started since the copy");
}

/// Guards against fencing tokens that fall and usage windows that are reported twice with different counts.
#[tokio::test]
async fn duties_continue_after_restores() {
    let mut site = Site::start(SiteOptions { n_nodes: 2, ..SiteOptions::default() }).await.unwrap();
    let store = site.store.clone();
    let reported = || store.duty_calls("usage");
    until("usage is reported", || async { 2 < reported().len() }).await.unwrap();
    site.store.take_copy();
    for round in 0..2 {
        for idx in 0..10 {
            let id = format!("d{round}-{idx}");
            assert_eq!(site.call(idx % 2, &id, "/book/x").await.unwrap().status, 200);
        }
        let n_before = reported().len();
        until("windows since the copy are reported", || async { n_before + 2 < reported().len() })
            .await
            .unwrap();
        let n_before = reported().len();
        if round == 0 {
            restore(&site).await;
        } else {
            restore_while_frozen(&mut site).await;
        }
        until("usage is reported again", || async { n_before + 2 < reported().len() })
            .await
            .unwrap();
    }
    let calls = reported();
    let tokens: Vec<u64> = calls.iter().map(|it| it.1).collect();
    assert!(tokens.is_sorted(), "{tokens:?}");
    assert_windows_have_one_count(&calls);
}

/// Guards against a usage window that is reported again with other counts, because the store has lost the decision on it
/// and the node that made it is gone.
#[tokio::test]
async fn reported_window_is_not_decided_again_after_its_holder_is_gone() {
    const N_CALLS: u64 = 10;
    // The window may still be reported when the next holder has the lease.
    let options = SiteOptions {
        n_nodes: 3,
        usage_window_s: 2.0,
        usage_delay_s: 10.0,
        ..SiteOptions::default()
    };
    let mut site = Site::start(options).await.unwrap();
    let store = site.store.clone();
    let reported = || store.duty_calls("usage");
    until("usage is reported", || async { 1 < reported().len() }).await.unwrap();
    let holder = reported().last().unwrap().0.clone();
    let holder_idx = site.nodes.iter().position(|it| it.process.name == holder).unwrap();
    site.store.take_copy();
    for idx in 0..N_CALLS {
        let id = format!("d{idx}");
        assert_eq!(site.call(holder_idx, &id, "/book/x").await.unwrap().status, 200);
    }
    let n_counted = || {
        let counts = reported().into_iter().map(|it| it.2["counts"]["etna"].as_u64().unwrap_or(0));
        counts.sum::<u64>()
    };
    until("the calls are reported", || async { N_CALLS <= n_counted() }).await.unwrap();
    site.nodes[holder_idx].process.kill();
    site.store.restore();
    until("another node reports usage", || async {
        2 <= reported().iter().filter(|it| it.0 != holder).count()
    })
    .await
    .unwrap();
    assert_windows_have_one_count(&reported());
}

fn assert_windows_have_one_count(reports: &[(String, u64, Value)]) {
    let mut counts: BTreeMap<u64, &Value> = BTreeMap::new();
    for (holder, token, report) in reports {
        let window = report["windowId"].as_u64().unwrap();
        let first = counts.entry(window).or_insert(&report["counts"]);
        assert_eq!(**first, report["counts"], "window {window} by {holder} under {token}");
    }
}
