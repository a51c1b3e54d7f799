//! A node that is cut off from all upstreams, while clients, the store and other nodes still reach it, serves its clients
//! through another node.

use std::time::{Duration, Instant};

use futures_util::future::join_all;
use lentilhitch_standin::{
    harness::until,
    users_platform::{Behavior, Cut, Site, SiteOptions},
};

const N_EVENTS: u64 = 8;
/// Time after the start of a partition from which clients must be served.
const CONTACT: Duration = Duration::from_secs(3);
const N_ROUNDS: usize = 8;
const PATHS: [&str; 4] = ["/status/x", "/book/x", "/ask/x", "/review/x"];
const N_INITIAL_STREAMS: usize = 4;

async fn start() -> Site {
    let options = SiteOptions {
        n_nodes: 2,
        n_engines: 6,
        n_applications: 4,
        has_links: true,
        ..SiteOptions::default()
    };
    let site = Site::start(options).await.unwrap();
    for it in &site.engines {
        it.set(Behavior::Stream { n_events: N_EVENTS, interval_ms: 2, break_after: None });
    }
    let url = format!("http://{}/v1/status", site.nodes[0].metrics);
    let knows_other = || async {
        let response = site.http.get(&url).send().await.unwrap();
        response.text().await.unwrap().contains("\"n_peers\":1,")
    };
    until("the node knows the other", knows_other).await.unwrap();
    site
}

/// Sends a request of each kind to the first node. Returns the paths of those that were not served.
async fn failed_paths(site: &Site, round: &str) -> Vec<&'static str> {
    let calls = PATHS.map(|path| async move {
        let response = site.call(0, &format!("{round}{path}"), path).await.unwrap();
        let is_whole = match path {
            "/ask/x" | "/review/x" => response.event_ids().len() as u64 == N_EVENTS,
            _ => response.body.starts_with(b"answer of "),
        };
        (path, response.status == 200 && response.is_complete && is_whole)
    });
    join_all(calls).await.into_iter().filter(|it| !it.1).map(|it| it.0).collect()
}

/// Guards against a node that rejects its clients, or takes their requests for the cause of crashes, while it is cut off
/// from all upstreams.
async fn clients_are_served_while_cut(cut: Cut) {
    let site = start().await;
    let failed = failed_paths(&site, "before").await;
    assert!(failed.is_empty(), "{cut:?}: {failed:?} before the cut");
    // The same request runs at several upstreams when the partition begins.
    for it in &site.engines {
        it.set(Behavior::Stream { n_events: N_EVENTS, interval_ms: 400, break_after: None });
    }
    let begin = |idx: usize| {
        let request = site.request(0, &format!("initial-{idx}"), "/ask/x");
        async move {
            let mut response = request.send().await.unwrap();
            response.chunk().await.unwrap();
            response
        }
    };
    let initial = join_all((0..N_INITIAL_STREAMS).map(begin)).await;
    for it in &site.engines {
        it.set(Behavior::Stream { n_events: N_EVENTS, interval_ms: 2, break_after: None });
    }
    site.cut_links(cut).await.unwrap();
    let cut_at = Instant::now();
    let mut n_learning = 0;
    while cut_at.elapsed() < CONTACT {
        failed_paths(&site, &format!("learning{n_learning}")).await;
        n_learning += 1;
    }
    drop(initial);
    for round in 0..N_ROUNDS {
        let failed = failed_paths(&site, &format!("cut{round}")).await;
        assert!(failed.is_empty(), "{cut:?}: {failed:?} in round {round} after {n_learning}");
        let ids = PATHS.map(|path| format!("cut{round}{path}"));
        assert!(ids.iter().all(|it| site.n_runs(it) == 1), "{cut:?}: a request ran twice");
    }
    for it in &site.nodes {
        let log = it.process.log_text();
        assert!(!log.contains("upstream crashed"), "{cut:?}: a crash was recorded");
    }

    site.heal_links().unwrap();
    until("the node reaches upstreams itself", || async {
        failed_paths(&site, "healing").await;
        site.nodes[0].process.log_text().contains("upstreams can be reached again")
    })
    .await
    .unwrap();
    let failed = failed_paths(&site, "after").await;
    assert!(failed.is_empty(), "{cut:?}: {failed:?} after the cut");
}

#[tokio::test]
async fn clients_are_served_while_new_connections_to_upstreams_are_refused() {
    clients_are_served_while_cut(Cut::RefuseNew).await;
}

#[tokio::test]
async fn clients_are_served_while_all_connections_to_upstreams_are_closed() {
    clients_are_served_while_cut(Cut::Close).await;
}

#[tokio::test]
async fn clients_are_served_while_connections_to_upstreams_hang() {
    clients_are_served_while_cut(Cut::Silent).await;
}

/// Guards against a node that sends one request after the other on connections that have fallen silent for good, while new
/// ones work and other upstreams are heard.
#[tokio::test]
async fn connections_that_fall_silent_for_good_cost_one_attempt_an_upstream() {
    const N_CALLS: usize = 12;
    let site = start().await;
    for it in &site.applications {
        it.set(Behavior::Serve { work_ms: 200 });
    }
    let warm_up = (0..2 * N_CALLS).map(|idx| {
        let site = &site;
        async move { site.call(0, &format!("w{idx}"), "/status/x").await.unwrap() }
    });
    assert!(join_all(warm_up).await.iter().all(|it| it.status == 200));
    for it in &site.applications {
        it.set(Behavior::Serve { work_ms: 1 });
    }
    for it in &site.engines {
        it.set(Behavior::Stream { n_events: 400, interval_ms: 50, break_after: None });
    }
    let mut stream = site.request(0, "stream", "/ask/x").send().await.unwrap();
    stream.chunk().await.unwrap();
    for it in &site.links[site.engines.len()..] {
        it.cut(Cut::SilenceOpen).await.unwrap();
    }
    let mut n_slow = 0;
    for idx in 0..N_CALLS {
        let start = Instant::now();
        let response = site.call(0, &format!("s{idx}"), "/status/x").await.unwrap();
        assert_eq!(response.status, 200, "s{idx}: {response:?}");
        n_slow += usize::from(Duration::from_secs(1) < start.elapsed());
    }
    assert!(
        n_slow <= site.applications.len(),
        "{n_slow} of {N_CALLS} calls met a silent connection"
    );
}

/// Guards against a node that takes the silence of sound upstreams for a partition, or their requests elsewhere.
#[tokio::test]
async fn upstreams_that_are_silent_for_a_second_are_left_alone() {
    const SILENCE_MS: u64 = 1_200;
    let site = start().await;
    for it in &site.engines {
        it.set(Behavior::Stream { n_events: 2, interval_ms: SILENCE_MS, break_after: None });
    }
    for it in &site.applications {
        it.set(Behavior::Serve { work_ms: SILENCE_MS });
    }
    let calls = PATHS.map(|path| {
        let site = &site;
        async move { (path, site.call(0, path, path).await.unwrap()) }
    });
    for (path, response) in join_all(calls).await {
        assert!(response.status == 200 && response.is_complete, "{path}: {response:?}");
        assert_eq!(site.n_runs(path), 1, "{path}");
    }
    let log = site.nodes[0].process.log_text();
    assert!(!log.contains("cut off from the upstreams"), "{log}");
}
