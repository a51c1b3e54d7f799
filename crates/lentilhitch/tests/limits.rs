//! A team's rate holds over all processes together, and one team does not take another's.

use std::time::{Duration, Instant};

use futures_util::future::join_all;
use lentilhitch_standin::harness::{Cluster, Options, TOKEN};

const RATE_PER_S: f64 = 20.0;
/// What a declaration without `burst_requests` gets.
const BURST: f64 = 2.0 * RATE_PER_S;
/// Two heartbeats: a report, and what follows from it.
const REPORT_S: f64 = 1.0;
/// Until a peer that is out of reach is noticed: four heartbeats of silence, and the next look.
const SILENCE_S: f64 = 2.5;

/// Calls one process as fast as it answers; returns how many calls were admitted.
async fn hammer(cluster: &Cluster, entry: usize, until: Instant) -> usize {
    let url = format!("http://{}/status/{entry}", cluster.entries[entry].front);
    let mut n_admitted = 0;
    while Instant::now() < until {
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
async fn the_sum_of_all_processes_keeps_to_the_rate() {
    let options =
        Options { n_engines: 0, n_entries: 3, requests_per_s: RATE_PER_S, ..Options::default() };
    let cluster = Cluster::start_ready(options).await.unwrap();
    // All together; then all at one process, which gets the share of the others; then cut off from each other.
    for (name, entries) in [("all", vec![0, 1, 2]), ("one", vec![1]), ("cut off", vec![0, 1, 2])] {
        if name == "cut off" {
            let links = cluster.entries.iter().flat_map(|it| &it.peer_links);
            links.for_each(lentilhitch_standin::fault_proxy::FaultProxy::block);
        }
        let begun = Instant::now();
        let until = begun + Duration::from_secs(4);
        let admitted = join_all(entries.iter().map(|it| hammer(&cluster, *it, until))).await;
        let n_admitted = admitted.iter().sum::<usize>() as f64;
        let elapsed_s = begun.elapsed().as_secs_f64();
        // While reports are missing, every process but one may take the demand half of the rate.
        let missing_s = if name == "cut off" { SILENCE_S } else { REPORT_S };
        let allowed = RATE_PER_S * elapsed_s + BURST + RATE_PER_S / 2.0 * 2.0 * missing_s;
        assert!(n_admitted <= allowed, "{name}: {admitted:?} of {allowed}");
        // Half of the even share is there for whoever asks.
        let floor = RATE_PER_S / 2.0 / 3.0 * elapsed_s * entries.len() as f64;
        assert!(floor <= n_admitted, "{name}: {admitted:?}, at least {floor}");
    }
}
