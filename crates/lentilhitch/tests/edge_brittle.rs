//! Upstreams that fall over when they have to reject too many requests in a second.

use std::time::{Duration, Instant};

use futures_util::future::join_all;
use lentilhitch_standin::users_platform::{Behavior, Site, SiteOptions, Upstream};

const N_NODES: usize = 4;
const N_UPSTREAMS: usize = 2;
const SLOTS: usize = 8;
const REJECTIONS_MAX: usize = 6;
const WORK_MS: u64 = 50;
/// Clients of each node, which send one request after the other: several times as many as there are slots.
const N_CLIENTS: usize = 24;
/// Time after the first statement from which the upstreams are brittle, and the time for which they are.
const CONTACT: Duration = Duration::from_secs(3);
const SPAN: Duration = Duration::from_secs(5);
/// Falls that the contract allows: two, and one for ten upstreams.
const N_FALLS_MAX: usize = 2 + N_UPSTREAMS / 10;

/// Sends requests from all clients for a while, on a route without teams and their rates. Returns the numbers of served and
/// of all requests.
async fn press(site: &Site, name: &str, span: Duration) -> (usize, usize) {
    let end = Instant::now() + span;
    let clients = (0..N_NODES * N_CLIENTS).map(|client| async move {
        let (mut n_served, mut n_sent) = (0, 0);
        while Instant::now() < end {
            let id = format!("{name}-{client}-{n_sent}");
            let response = site.call(client % N_NODES, &id, "/open/x").await.unwrap();
            n_sent += 1;
            if response.status == 200 {
                n_served += 1;
            } else {
                assert_eq!(response.status, 503, "{id}: {response:?}");
                assert!(!response.header("retry-after").is_empty(), "{id}: {response:?}");
                tokio::time::sleep(Duration::from_millis(WORK_MS)).await;
            }
        }
        (n_served, n_sent)
    });
    join_all(clients).await.into_iter().fold((0, 0), |sum, it| (sum.0 + it.0, sum.1 + it.1))
}

/// Guards against nodes that send brittle upstreams more than these have room for, until they fall over.
#[tokio::test]
async fn brittle_upstreams_do_not_fall_over_under_a_load_of_several_times_their_room() {
    let options =
        SiteOptions { n_nodes: N_NODES, n_applications: N_UPSTREAMS, ..SiteOptions::default() };
    let site = Site::start(options).await.unwrap();
    for it in &site.applications {
        it.set(Behavior::Serve { work_ms: WORK_MS });
        it.become_brittle(SLOTS, REJECTIONS_MAX);
    }
    press(&site, "learning", CONTACT).await;
    let count =
        || -> Vec<_> { site.applications.iter().map(Upstream::n_falls_and_rejections).collect() };
    let before = count();
    let (n_served, n_sent) = press(&site, "brittle", SPAN).await;
    let after = count();
    let n_falls: usize = after.iter().zip(&before).map(|(after, before)| after.0 - before.0).sum();
    assert!(
        n_falls <= N_FALLS_MAX,
        "{n_falls} falls: {before:?}, {after:?}, {n_served} of {n_sent}"
    );
    // Nodes that send nothing would not make them fall either.
    let n_slot_turns = N_UPSTREAMS * SLOTS * SPAN.as_millis() as usize / WORK_MS as usize;
    assert!(n_slot_turns / 4 <= n_served, "{n_served} of {n_slot_turns} that there was room for");
}
