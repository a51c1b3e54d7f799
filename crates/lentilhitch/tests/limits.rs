//! Tests that the rate of a team holds over all processes together.

use std::time::{Duration, Instant};

use futures_util::future::join_all;
use lentilhitch_standin::harness::{Cluster, Options, TOKEN};

const RATE_PER_S: f64 = 20.0;
/// Default burst of a declaration without `burst_requests`.
const BURST: f64 = 2.0 * RATE_PER_S;
/// Time until a change in demand has changed the shares: two heartbeats, one for the report and one for the shares that
/// follow from it.
const REPORT_S: f64 = 1.0;
/// Time until an unreachable peer is noticed: four heartbeats without a message, and the time until the next check.
const PEER_TIMEOUT_S: f64 = 2.5;

/// Sends requests to one process, each after the response to the last, until a deadline. Returns the number of requests
/// that were admitted.
async fn send_until(cluster: &Cluster, entry: usize, deadline: Instant) -> usize {
    let url = format!("http://{}/status/{entry}", cluster.entries[entry].front);
    let mut n_admitted = 0;
    while Instant::now() < deadline {
        let response = cluster.http.get(&url).bearer_auth(TOKEN).send().await.unwrap();
        match response.status().as_u16() {
            200 => n_admitted += 1,
            429 => assert!(response.headers().contains_key("retry-after")),
            status => panic!("status {status}"),
        }
    }
    n_admitted
}

#[tokio::test]
async fn all_processes_together_stay_within_the_rate() {
    let options =
        Options { n_engines: 0, n_entries: 3, requests_per_s: RATE_PER_S, ..Options::default() };
    let cluster = Cluster::start_ready(options).await.unwrap();
    // Requests at all processes, then at one process only, which gets the shares of the others, then at all processes
    // while they are isolated from each other.
    for (name, entries) in [("all", vec![0, 1, 2]), ("one", vec![1]), ("isolated", vec![0, 1, 2])] {
        if name == "isolated" {
            let links = cluster.entries.iter().flat_map(|it| &it.peer_links);
            links.for_each(lentilhitch_standin::fault_proxy::FaultProxy::block);
        }
        let started = Instant::now();
        let deadline = started + Duration::from_secs(4);
        let admitted_by_process =
            join_all(entries.iter().map(|it| send_until(&cluster, *it, deadline))).await;
        let n_admitted = admitted_by_process.iter().sum::<usize>() as f64;
        let elapsed_s = started.elapsed().as_secs_f64();
        // While reports are missing, every process but one may use the half of the rate that is divided by demand.
        let missing_s = if name == "isolated" { PEER_TIMEOUT_S } else { REPORT_S };
        let admitted_max = RATE_PER_S * elapsed_s + BURST + RATE_PER_S / 2.0 * 2.0 * missing_s;
        assert!(
            n_admitted <= admitted_max,
            "{name}: {admitted_by_process:?}, at most {admitted_max}"
        );
        // Half of its equal share is always available to each process that gets requests.
        let admitted_min = RATE_PER_S / 2.0 / 3.0 * elapsed_s * entries.len() as f64;
        assert!(
            admitted_min <= n_admitted,
            "{name}: {admitted_by_process:?}, at least {admitted_min}"
        );
    }
}
