//! Limits that upstreams state for the requests of all nodes together.

use std::time::{Duration, Instant};

use lentilhitch_standin::{
    harness::until,
    users_platform::{Behavior, Site, SiteOptions, Upstream},
};

const N_NODES: usize = 4;
/// Limit that the upstream states, in requests per second.
const LIMIT: &str = "1";
/// Time after the first statement from which the limit binds, and the span in which requests are counted.
const CONTACT: Duration = Duration::from_secs(3);
const WINDOW: Duration = Duration::from_secs(4);
/// Requests that the contract allows in the span: one and a half times the limit, and five.
const N_REQUESTS_MAX: usize = 11;

/// Returns the most requests that arrived within the window, from the contact time after the first on.
fn n_requests_max(upstream: &Upstream) -> usize {
    let arrivals: Vec<Instant> = upstream.executed().iter().map(|it| it.arrived).collect();
    let Some(first) = arrivals.first() else { return 0 };
    let bound: Vec<_> = arrivals.iter().filter(|it| CONTACT <= it.duration_since(*first)).collect();
    let in_window = |start: &Instant| {
        bound.iter().filter(|it| start <= **it && it.duration_since(*start) <= WINDOW).count()
    };
    bound.iter().map(|it| in_window(it)).max().unwrap_or_default()
}

/// Guards against nodes that each send as many requests as an upstream takes from all of them together.
#[tokio::test]
async fn upstream_that_states_a_limit_gets_no_more_from_all_nodes_together() {
    let options = SiteOptions { n_nodes: N_NODES, n_applications: 2, ..SiteOptions::default() };
    let site = Site::start(options).await.unwrap();
    let [limited, other] = &site.applications[..] else { panic!("two applications") };
    for it in [limited, other] {
        it.set(Behavior::Serve { work_ms: 5 });
    }
    limited.state_limit(Some(LIMIT));
    let end = Instant::now() + CONTACT + 2 * WINDOW;
    let mut n_calls = 0;
    while Instant::now() < end {
        let calls = (0..N_NODES).map(|node| {
            let id = format!("c{n_calls}-{node}");
            let site = &site;
            async move { site.call(node, &id, "/status/x").await }
        });
        for response in futures_util::future::join_all(calls).await {
            assert_eq!(response.unwrap().status, 200);
        }
        n_calls += N_NODES;
    }
    let n_max = n_requests_max(limited);
    assert!(n_max <= N_REQUESTS_MAX, "{n_max} of {n_calls} requests in {WINDOW:?}");

    // The limit ends when responses no longer state it.
    limited.state_limit(None);
    let n_before = limited.executed().len();
    let n_unlimited = 50;
    until("the upstream gets requests without a limit", || async {
        for node in 0..N_NODES {
            site.call(node, "u", "/status/x").await.unwrap();
        }
        n_before + n_unlimited <= limited.executed().len()
    })
    .await
    .unwrap();
}
