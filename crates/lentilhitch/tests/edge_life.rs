//! Nodes on the users' platform over time: configurations, store faults, planned stops, kills, duties.

use lentilhitch_standin::{
    harness::until,
    users_platform::{Behavior, Site, SiteOptions, StoreFault},
};
use serde_json::json;

#[tokio::test]
async fn a_configuration_is_in_force_everywhere_and_never_goes_back() {
    let mut site = Site::start(SiteOptions { n_nodes: 3, ..SiteOptions::default() }).await.unwrap();
    site.put_config(|it| {
        it["tenants"][0]["apiKeys"] = json!(["another-key"]);
    });
    for node in 0..3 {
        until("the old key is refused", || async {
            site.call(node, "k", "/book/x").await.unwrap().status == 401
        })
        .await
        .unwrap();
    }
    // An older configuration that is written later does not come into force.
    let mut old = json!({ "version": 1, "routes": [], "services": [], "tenants": [] });
    old["limits"] = json!({});
    site.store.put("keyed.op", "config", &old);
    let n_calls = site.store.n_calls();
    until("the store was read again", || async { n_calls + 20 < site.store.n_calls() })
        .await
        .unwrap();
    for node in 0..3 {
        let answer = site.call(node, "k", "/book/x").await.unwrap();
        assert_eq!(answer.status, 401, "node {node}: {answer:?}");
    }
}

#[tokio::test]
async fn nodes_serve_on_while_the_store_is_away() {
    for fault in [StoreFault::Unavailable, StoreFault::Unresponsive, StoreFault::LostResponses] {
        let site = Site::start(SiteOptions { n_nodes: 2, ..SiteOptions::default() }).await.unwrap();
        site.store.set_fault(fault);
        let begun = std::time::Instant::now();
        while begun.elapsed() < std::time::Duration::from_secs(3) {
            for (node, path) in [(0, "/book/x"), (1, "/review/x"), (1, "/status/x")] {
                let answer = site.call(node, "f", path).await.unwrap();
                assert_eq!(answer.status, 200, "{fault:?} {path}: {answer:?}");
            }
        }
        for node in &site.nodes {
            assert!(site.is_ready(node).await, "{fault:?}");
        }
    }
}

#[tokio::test]
async fn a_node_that_starts_while_nothing_is_known_says_so() {
    let mut site = Site::start(SiteOptions::default()).await.unwrap();
    site.store.set_fault(StoreFault::Unavailable);
    site.nodes[0].process.kill();
    site.restart(0).unwrap();
    until("it answers", || async {
        let Ok(answer) = site.call(0, "e", "/book/x").await else { return false };
        assert_eq!(answer.status, 503, "{answer:?}");
        assert!(!answer.header("retry-after").is_empty());
        true
    })
    .await
    .unwrap();
    assert!(!site.is_ready(&site.nodes[0]).await);
    site.store.set_fault(StoreFault::None);
    site.until_ready().await.unwrap();
    assert_eq!(site.call(0, "e2", "/book/x").await.unwrap().status, 200);
}

#[tokio::test]
async fn lost_history_of_the_store_is_no_loss() {
    let mut site = Site::start(SiteOptions::default()).await.unwrap();
    for turn in 0..3 {
        site.applications[0].write_entry(&site.store, &json!({ "seq": turn }));
        site.store.truncate_history("keyed.servers");
        site.store.truncate_history("keyed.op");
    }
    site.put_config(|it| it["routes"][2]["pathPrefix"] = json!("/reserve/"));
    until("the new route is served", || async {
        site.call(0, "h", "/reserve/x").await.unwrap().status == 200
    })
    .await
    .unwrap();
}

#[tokio::test]
async fn a_leaving_upstream_gets_nothing_new() {
    let site = Site::start(SiteOptions { n_applications: 2, n_nodes: 2, ..SiteOptions::default() })
        .await
        .unwrap();
    let leaving = &site.applications[0];
    leaving.write_entry(&site.store, &json!({ "state": "draining", "seq": 2 }));
    until("both nodes know", || async {
        site.nodes.iter().all(|it| it.process.log_text().contains("upstream is leaving"))
    })
    .await
    .unwrap();
    let n_before = leaving.executed().len();
    for turn in 0..20 {
        let answer = site.call(turn % 2, &format!("l{turn}"), "/book/x").await.unwrap();
        assert_eq!(answer.status, 200);
    }
    assert_eq!(leaving.executed().len(), n_before);
}

#[tokio::test]
async fn a_planned_stop_cuts_nothing_and_takes_nothing_that_cannot_end() {
    let mut site = Site::start(SiteOptions { n_nodes: 1, ..SiteOptions::default() }).await.unwrap();
    site.engines[0].set(Behavior::Stream { n_events: 60, interval_ms: 50, break_after: None });
    let stream = site.request(0, "p1", "/ask/x").send().await.unwrap();
    site.nodes[0].process.terminate();
    until("it says that it is not ready", || async { !site.is_ready(&site.nodes[0]).await })
        .await
        .unwrap();
    // A client on a connection of its own is still served, and told to go elsewhere next time.
    let answer = site.call(0, "p2", "/book/x").await.unwrap();
    assert_eq!(answer.status, 200);
    assert_eq!(answer.header("connection"), "close");
    let text = stream.text().await.unwrap();
    assert!(text.ends_with("id: 60\ndata: 60\n\n"), "{text}");
    // Later requests are refused as not run, or find the port closed.
    until("nothing more is taken", || async {
        match site.call(0, "p3", "/ask/x").await {
            Ok(answer) => answer.status == 503 && !answer.header("retry-after").is_empty(),
            Err(_) => true,
        }
    })
    .await
    .unwrap();
    assert_eq!(site.nodes[0].process.wait().unwrap(), Some(0));
}

#[tokio::test]
async fn usage_is_reported_once_by_one_holder_and_survives_it() {
    let mut site = Site::start(SiteOptions { n_nodes: 3, ..SiteOptions::default() }).await.unwrap();
    let holder_index = |site: &Site| {
        let (holder, ..) = site.store.duty_calls("usage").last().cloned()?;
        site.nodes.iter().position(|it| it.process.name == holder)
    };
    let mut n_sent = 0;
    for _ in 0..10 {
        for node in 0..3 {
            let id = format!("u{n_sent}");
            assert_eq!(site.call(node, &id, "/book/x").await.unwrap().status, 200);
            n_sent += 1;
        }
    }
    let reported = |site: &Site| {
        let calls = site.store.duty_calls("usage");
        let counts =
            calls.iter().map(|it| (it.2["windowId"].clone(), it.2["counts"]["etna"].clone()));
        let mut counts: Vec<_> =
            counts.map(|it| (it.0.to_string(), it.1.as_u64().unwrap_or(0))).collect();
        counts.sort();
        counts.dedup();
        counts
    };
    until("all requests are reported", || async {
        reported(&site).iter().map(|it| it.1).sum::<u64>() == n_sent
    })
    .await
    .unwrap();
    let first = holder_index(&site).unwrap();
    let n_calls = site.store.duty_calls("usage").len();
    site.nodes[first].process.kill();
    until("another node reports", || async { holder_index(&site).is_some_and(|it| it != first) })
        .await
        .unwrap();
    let calls = site.store.duty_calls("usage");
    assert!(calls[..n_calls].iter().all(|it| it.1 < calls.last().unwrap().1), "{calls:?}");
    let windows: Vec<_> = reported(&site).into_iter().map(|it| it.0).collect();
    let mut unique = windows.clone();
    unique.dedup();
    assert_eq!(windows, unique, "two reports of one window differ");
}

#[tokio::test]
async fn a_teams_rate_holds_over_all_nodes_together() {
    const PER_S: f64 = 30.0;
    const BURST: f64 = 60.0;
    /// What the users allow beyond the rate, and the requests that are under way at once.
    const OVERRUN: f64 = 0.1;
    const UNDER_WAY: f64 = 6.0;
    /// Three nodes that knew nothing of each other would serve it in two seconds.
    const N_SERVED: u32 = 180;
    let mut site = Site::start(SiteOptions { n_nodes: 3, ..SiteOptions::default() }).await.unwrap();
    // A request without a prompt counts one token here.
    let version = site.put_config(|it| {
        let team = &mut it["tenants"][0];
        team["uncachedTokens"] = json!(1);
        team["ratePerS"] = json!(PER_S);
        team["burst"] = json!(BURST);
    });
    for node in &site.nodes {
        until("the rate is in force", || async {
            node.process.log_text().contains(&format!("\"version\":\"{version}\""))
        })
        .await
        .unwrap();
    }
    let begun = std::time::Instant::now();
    let n_served = std::cell::Cell::new(0);
    until("enough is served", || async {
        for node in 0..3 {
            match site.call(node, "r", "/book/x").await.unwrap().status {
                200 => n_served.set(n_served.get() + 1),
                429 => {}
                status => panic!("{status}"),
            }
        }
        N_SERVED <= n_served.get()
    })
    .await
    .unwrap();
    let n_served: u32 = n_served.get();
    let accrued = PER_S * begun.elapsed().as_secs_f64() + BURST;
    let allowed = accrued * (1.0 + OVERRUN) + UNDER_WAY;
    assert!(f64::from(n_served) <= allowed, "{n_served} served, {allowed} allowed");
}
