//! Upstreams of several software versions in one service: what two versions write does not fit together, so a stream
//! goes on only at the version that began it.

use std::{
    collections::BTreeSet,
    time::{Duration, Instant},
};

use futures_util::future::join_all;
use lentilhitch_standin::{
    harness::until,
    users_platform::{Behavior, Site, SiteOptions, StoreFault, Upstream},
};
use serde_json::json;

const N_EVENTS: u64 = 40;
const N_STREAMS: usize = 16;
const OPTIONS: SiteOptions = SiteOptions {
    n_nodes: 4,
    n_engines: 8,
    n_applications: 1,
    n_versions: 2,
    n_refusable: 0,
    has_links: false,
    usage_window_s: 1.0,
    usage_delay_s: 4.0,
    has_rollouts: false,
};

/// Starts a site and waits until each node knows the others.
async fn start(options: SiteOptions) -> Site {
    let site = Site::start(options).await.unwrap();
    let n_peers = format!("\"n_peers\":{},", options.n_nodes - 1);
    for it in &site.nodes {
        let url = format!("http://{}/v1/status", it.metrics);
        let knows_others = || async {
            let response = site.http.get(&url).send().await.unwrap();
            response.text().await.unwrap().contains(&n_peers)
        };
        until("the node knows the others", knows_others).await.unwrap();
    }
    site
}

fn set_streams(site: &Site, interval_ms: u64, break_after: Option<u64>) {
    for it in &site.engines {
        it.set(Behavior::Stream { n_events: N_EVENTS, interval_ms, break_after });
    }
}

/// Begins streams, each at the given node, and reads the first event of each.
async fn begin_streams(site: &Site, node: impl Fn(usize) -> usize) -> Vec<reqwest::Response> {
    let begin = |idx: usize| {
        let request = site.request(node(idx), &format!("s{idx}"), "/review/x");
        async move {
            let mut response = request.send().await.unwrap();
            response.chunk().await.unwrap();
            response
        }
    };
    join_all((0..N_STREAMS).map(begin)).await
}

/// Returns the versions of the engines that executed one of the requests.
fn versions_of<'a>(site: &'a Site, ids: &[&str]) -> BTreeSet<&'a str> {
    let has_run = |it: &&Upstream| it.executed().iter().any(|it| ids.contains(&it.id.as_str()));
    site.engines.iter().filter(has_run).map(|it| it.version.as_str()).collect()
}

/// Guards against a broken stream that a node continues at an upstream of another software version.
#[tokio::test]
async fn broken_stream_goes_on_only_at_the_version_that_began_it() {
    let site = start(OPTIONS).await;
    set_streams(&site, 5, Some(2));
    let mut n_continued = 0;
    for idx in 0..N_STREAMS {
        let id = format!("s{idx}");
        let request = site.request(idx % OPTIONS.n_nodes, &id, "/review/x");
        let response = site.send(request).await.unwrap();
        assert_eq!(response.status, 200, "{id}: {response:?}");
        assert!(!response.is_complete, "{id}: each run breaks off early");
        let versions = versions_of(&site, &[&id]);
        assert_eq!(versions.len(), 1, "{id} ran at {versions:?}");
        n_continued += usize::from(1 < site.n_runs(&id));
    }
    assert!(N_STREAMS / 2 <= n_continued, "{n_continued} of {N_STREAMS} streams went on");
}

/// Guards against a stream that its client takes up at another node, which sends it to another software version.
#[tokio::test]
async fn stream_that_a_client_takes_up_goes_on_only_at_the_version_that_began_it() {
    struct Case {
        name: &'static str,
        /// Whether the node at which the streams began is killed before they are taken up.
        kills_first_node: bool,
        /// Node at which the clients take their streams up. Nodes with an even number are in the zone of the first one.
        second_node: usize,
    }
    let cases = [
        Case { name: "same node", kills_first_node: false, second_node: 0 },
        Case { name: "same zone", kills_first_node: false, second_node: 2 },
        Case { name: "other zone", kills_first_node: false, second_node: 1 },
        Case { name: "same zone, first node killed", kills_first_node: true, second_node: 2 },
        Case { name: "other zone, first node killed", kills_first_node: true, second_node: 3 },
    ];
    for case in cases {
        let mut site = start(OPTIONS).await;
        set_streams(&site, 50, None);
        drop(begin_streams(&site, |_| 0).await);
        if case.kills_first_node {
            site.nodes[0].process.kill();
        }
        set_streams(&site, 1, None);
        let resume = |idx: usize| {
            let request = site.request(case.second_node, &format!("t{idx}"), "/review/x");
            site.send(request.header("resumes", format!("s{idx}")).header("last-event-id", "1"))
        };
        let responses = join_all((0..N_STREAMS).map(resume)).await;
        for (idx, response) in responses.into_iter().enumerate() {
            let response = response.unwrap();
            let (first, second) = (format!("s{idx}"), format!("t{idx}"));
            assert_eq!(response.status, 200, "{}, {second}: {response:?}", case.name);
            assert!(response.is_complete, "{}, {second}", case.name);
            let versions = versions_of(&site, &[&first, &second]);
            assert_eq!(versions.len(), 1, "{}, {second} ran at {versions:?}", case.name);
        }
    }
}

/// Guards against a stream that goes on at any software version because no node knows which one began it.
#[tokio::test]
async fn stream_of_unknown_version_is_rejected_while_several_versions_serve() {
    let site = start(OPTIONS).await;
    set_streams(&site, 1, None);
    let request = site.request(1, "t0", "/review/x");
    let request = request.header("resumes", "unknown").header("last-event-id", "1");
    let response = site.send(request).await.unwrap();
    assert_eq!(response.status, 503, "{response:?}");
    assert!(!response.header("retry-after").is_empty(), "{response:?}");
    assert_eq!(site.n_runs("t0"), 0);
}

/// Guards against the transfer of a run's KV cache to an upstream of another software version.
#[tokio::test]
async fn run_is_transferred_only_to_an_upstream_of_its_version() {
    let options = SiteOptions { n_nodes: 1, n_engines: 4, ..OPTIONS };
    let site = start(options).await;
    // Of these four engines, two are of each version.
    set_streams(&site, 50, None);
    let begin = |idx: usize| {
        let request = site.request(0, &format!("s{idx}"), "/ask/x");
        async move {
            let mut response = request.send().await.unwrap();
            response.chunk().await.unwrap();
            response
        }
    };
    let responses = join_all((0..N_STREAMS).map(begin)).await;
    let (leaving, staying): (Vec<_>, Vec<_>) =
        site.engines.iter().partition(|it| it.id.ends_with(['0', '2']));
    for it in &leaving {
        it.write_entry(&site.store, &json!({ "state": "draining", "leaves_ms": 1_400, "seq": 2 }));
    }
    let n_transfers = || leaving.iter().map(|it| it.kv_transfers().len()).sum::<usize>();
    until("runs are transferred", || async { 0 < n_transfers() }).await.unwrap();
    drop(responses);
    for from in &leaving {
        for transfer in from.kv_transfers() {
            let to = staying.iter().find(|it| transfer["to"] == it.address.to_string());
            let to = to.expect("the run goes to an engine that stays");
            assert_eq!(to.version, from.version, "{transfer} from {}", from.id);
        }
    }
}

/// Guards against streams that go on at another version, or not at all, after all nodes were killed at once: no node
/// knows any more where they began.
#[tokio::test]
async fn streams_go_on_at_their_version_after_all_nodes_were_killed() {
    let mut site = start(OPTIONS).await;
    set_streams(&site, 50, None);
    let responses = begin_streams(&site, |idx| idx % OPTIONS.n_nodes).await;
    until("the store has the origins of the streams", || async {
        let written = site.nodes.iter().map(|it| n_streams_written(&it.process.log_text()));
        N_STREAMS <= written.sum::<usize>()
    })
    .await
    .unwrap();
    for node in &mut site.nodes {
        node.process.kill();
    }
    drop(responses);
    for idx in 0..OPTIONS.n_nodes {
        site.restart(idx).unwrap();
    }
    site.until_ready().await.unwrap();
    set_streams(&site, 1, None);
    for idx in 0..N_STREAMS {
        let (first, second) = (format!("s{idx}"), format!("t{idx}"));
        // The streams are taken up at other nodes than those where they began.
        let resume = || async {
            let request = site.request((idx + 1) % OPTIONS.n_nodes, &second, "/review/x");
            let request = request.header("resumes", &first).header("last-event-id", "1");
            site.send(request).await.unwrap()
        };
        // A node that has just started may still be reading.
        until("the stream goes on", || async { resume().await.status == 200 }).await.unwrap();
        let versions = versions_of(&site, &[&first, &second]);
        assert_eq!(versions.len(), 1, "{second} ran at {versions:?}");
    }
    let unnamed = site.request(0, "u", "/review/x").header("last-event-id", "1");
    let unnamed = site.send(unnamed).await.unwrap();
    assert_eq!(unnamed.status, 503, "a stream that its client doesn't name: {unnamed:?}");
}

/// Guards against a node whose list does not have a new version yet, and which takes the only version that it knows for that
/// of a stream which began at the new one.
#[tokio::test]
async fn stream_of_a_version_that_is_not_listed_yet_does_not_go_on_at_another() {
    // The first node is in zone a. Both nodes of zone b have another list.
    let options = SiteOptions { n_engines: 1, n_versions: 1, has_links: true, ..OPTIONS };
    let site = start(options).await;
    let stream = Behavior::Stream { n_events: N_EVENTS, interval_ms: 50, break_after: None };
    let new = Upstream::start_unlisted("engine-new", "draft", "v2", stream).await.unwrap();
    site.list_for_first_node(&new);
    until("the first node knows the new version", || async {
        site.nodes[0].process.log_text().contains("engine-new")
    })
    .await
    .unwrap();
    set_streams(&site, 50, None);
    drop(begin_streams(&site, |_| 0).await);
    set_streams(&site, 1, None);
    let (mut n_new, mut n_old) = (0, 0);
    for idx in 0..N_STREAMS {
        let (first, second) = (format!("s{idx}"), format!("t{idx}"));
        let request = site.request([1, 3][idx % 2], &second, "/review/x");
        let request = request.header("resumes", &first).header("last-event-id", "1");
        let response = site.send(request).await.unwrap();
        let began_at_new = new.executed().iter().any(|it| it.id == first);
        let expected = if began_at_new { 503 } else { 200 };
        assert_eq!(
            response.status, expected,
            "{second}, new version: {began_at_new}: {response:?}"
        );
        assert_eq!(site.n_runs(&second), usize::from(!began_at_new), "{second}");
        n_new += usize::from(began_at_new);
        n_old += usize::from(!began_at_new);
    }
    assert!(
        1 < n_new && 1 < n_old,
        "{n_new} streams began at the new version, {n_old} at the old one"
    );
}

/// Guards against a node that takes the only version in its list for that of any stream, though the list is some moments old
/// and the nodes that know of another version do not answer.
#[tokio::test]
async fn version_is_not_inferred_from_an_old_list_while_the_holders_are_silent() {
    struct Case {
        name: &'static str,
        is_named: bool,
        /// Number of nodes that are killed.
        n_killed: usize,
    }
    let cases = [
        Case { name: "named streams, all others killed", is_named: true, n_killed: 3 },
        Case { name: "unnamed streams, all others killed", is_named: false, n_killed: 3 },
        Case { name: "unnamed streams, none killed", is_named: false, n_killed: 0 },
    ];
    for case in cases {
        let options = SiteOptions { n_engines: 1, n_versions: 1, has_links: true, ..OPTIONS };
        let mut site = start(options).await;
        let stream = Behavior::Stream { n_events: N_EVENTS, interval_ms: 50, break_after: None };
        let new = Upstream::start_unlisted("engine-new", "draft", "v2", stream).await.unwrap();
        site.list_for_first_node(&new);
        until("the first node knows the new version", || async {
            site.nodes[0].process.log_text().contains("engine-new")
        })
        .await
        .unwrap();
        set_streams(&site, 50, None);
        drop(begin_streams(&site, |_| 0).await);
        // The list of the last node is not confirmed from now on.
        site.store.set_fault(StoreFault::Unavailable);
        for node in &mut site.nodes[..case.n_killed] {
            node.process.kill();
        }
        set_streams(&site, 1, None);
        let resume = |idx: usize| {
            let request = site.request(3, &format!("t{idx}"), "/review/x");
            let request = request.header("last-event-id", "1");
            let named = format!("s{idx}");
            site.send(if case.is_named { request.header("resumes", named) } else { request })
        };
        let responses = join_all((0..N_STREAMS).map(resume)).await;
        let mut n_new = 0;
        for (idx, response) in responses.into_iter().enumerate() {
            let (first, second) = (format!("s{idx}"), format!("t{idx}"));
            let began_at_new = new.executed().iter().any(|it| it.id == first);
            n_new += usize::from(began_at_new);
            if began_at_new || !case.is_named {
                let response = response.unwrap();
                assert_eq!(response.status, 503, "{}, {second}: {response:?}", case.name);
                assert_eq!(site.n_runs(&second), 0, "{}, {second}", case.name);
            }
        }
        assert!(1 < n_new, "{}: {n_new} streams began at the new version", case.name);
    }
}

/// Guards against streams of a lost node that no other lets go on, because all nodes were restarted not long ago and none
/// has followed the versions since.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn streams_of_a_killed_node_go_on_after_all_nodes_were_restarted_in_turn() {
    let options = SiteOptions { n_versions: 1, ..OPTIONS };
    let mut site = start(options).await;
    for idx in 0..options.n_nodes {
        site.nodes[idx].process.terminate();
        assert_eq!(site.nodes[idx].process.wait().unwrap(), Some(0));
        site.restart(idx).unwrap();
        site.until_ready().await.unwrap();
    }
    set_streams(&site, 50, None);
    let responses = begin_streams(&site, |_| 0).await;
    site.nodes[0].process.kill();
    drop(responses);
    set_streams(&site, 1, None);
    for idx in 0..N_STREAMS {
        let request = site.request(1 + idx % 3, &format!("t{idx}"), "/review/x");
        let request = request.header("resumes", format!("s{idx}")).header("last-event-id", "1");
        let response = site.send(request).await.unwrap();
        assert_eq!(response.status, 200, "t{idx}: {response:?}");
    }
}

/// Guards against streams of a lost node that nobody lets go on because a second version has appeared since, although only
/// the first one can have begun them.
#[tokio::test]
async fn streams_of_a_killed_node_go_on_although_a_second_version_has_appeared_since() {
    /// Time after which nodes count each other among the holders of streams.
    const HOLDERS_KNOWN_AFTER: Duration = Duration::from_secs(5);
    let options = SiteOptions { n_engines: 4, n_versions: 1, ..OPTIONS };
    let mut site = start(options).await;
    let known_since = Instant::now();
    until("the nodes count each other among the holders", || async {
        HOLDERS_KNOWN_AFTER <= known_since.elapsed()
    })
    .await
    .unwrap();
    set_streams(&site, 50, None);
    let responses = begin_streams(&site, |_| 0).await;
    site.nodes[0].process.kill();
    drop(responses);
    let stream = Behavior::Stream { n_events: N_EVENTS, interval_ms: 1, break_after: None };
    let new = Upstream::start_unlisted("engine-new", "draft", "v2", stream).await.unwrap();
    new.write_entry(&site.store, &json!({}));
    until("the other nodes know the new version", || async {
        site.nodes[1..].iter().all(|it| it.process.log_text().contains("engine-new"))
    })
    .await
    .unwrap();
    set_streams(&site, 1, None);
    for idx in 0..N_STREAMS {
        let second = format!("t{idx}");
        let request = site.request(1 + idx % 3, &second, "/review/x");
        let request = request.header("resumes", format!("s{idx}")).header("last-event-id", "1");
        let response = site.send(request).await.unwrap();
        assert_eq!(response.status, 200, "{second}: {response:?}");
        assert!(!new.executed().iter().any(|it| it.id == second), "{second}");
    }
}

/// Sets the timeout of the streaming routes, and waits until all nodes apply it.
async fn set_stream_timeout(site: &mut Site, timeout_ms: u64) {
    let version = site.put_config(|config| {
        for route in config["routes"].as_array_mut().unwrap() {
            if route["routeKind"] == "streaming" {
                route["timeoutMs"] = json!(timeout_ms);
            }
        }
    });
    until_all_log(site, &format!("\"version\":\"{version}\",\"n_routes\""), 1).await;
}

/// Waits until each node has logged a text a number of times.
async fn until_all_log(site: &Site, text: &str, n_times: usize) {
    let n_logged = |log: String| log.matches(text).count();
    let all_log =
        || async { site.nodes.iter().all(|it| n_times <= n_logged(it.process.log_text())) };
    until(text, all_log).await.unwrap();
}

/// Guards against streams that go on at another version because a configuration has lowered their route's timeout during
/// a release, and the nodes count the earlier version no longer than new streams may last.
#[tokio::test]
async fn stream_does_not_go_on_at_another_version_after_its_timeout_was_lowered() {
    let options = SiteOptions { n_engines: 2, n_versions: 1, ..OPTIONS };
    let mut site = start(options).await;
    set_stream_timeout(&mut site, 60_000).await;
    set_streams(&site, 50, None);
    drop(begin_streams(&site, |idx| idx % OPTIONS.n_nodes).await);
    let stream = Behavior::Stream { n_events: 2, interval_ms: 100, break_after: None };
    let new = Upstream::start_unlisted("engine-new", "draft", "v2", stream).await.unwrap();
    new.write_entry(&site.store, &json!({}));
    until_all_log(&site, "engine-new", 1).await;
    set_stream_timeout(&mut site, 400).await;
    for it in &site.engines {
        site.store.delete("keyed.servers", &it.id);
    }
    until_all_log(&site, "\"upstream removed\"", site.engines.len()).await;
    for idx in 0..N_STREAMS {
        let other = site.request(idx % OPTIONS.n_nodes, &format!("o{idx}"), "/review/x");
        assert_eq!(site.send(other).await.unwrap().status, 200, "o{idx}");
    }
    for idx in 0..N_STREAMS {
        let (first, second) = (format!("s{idx}"), format!("t{idx}"));
        let request = site.request((idx + 1) % OPTIONS.n_nodes, &second, "/review/x");
        let request = request.header("resumes", &first).header("last-event-id", "1");
        let response = site.send(request).await.unwrap();
        assert_eq!(response.status, 503, "{second}: {response:?}");
        assert!(!new.executed().iter().any(|it| it.id == second), "{second}");
    }
}

/// Guards against streams that the only node left rejects, since the other nodes that knew where they began were killed,
/// although the store has their origins.
#[tokio::test]
async fn streams_go_on_at_their_version_after_all_nodes_but_one_were_killed() {
    let mut site = start(OPTIONS).await;
    set_streams(&site, 50, None);
    let responses = begin_streams(&site, |_| 0).await;
    until("the store has the origins of the streams", || async {
        let written = site.nodes.iter().map(|it| n_streams_written(&it.process.log_text()));
        N_STREAMS <= written.sum::<usize>()
    })
    .await
    .unwrap();
    for node in &mut site.nodes[..OPTIONS.n_nodes - 1] {
        node.process.kill();
    }
    drop(responses);
    set_streams(&site, 1, None);
    let resume = |idx: usize| {
        let request = site.request(OPTIONS.n_nodes - 1, &format!("t{idx}"), "/review/x");
        site.send(request.header("resumes", format!("s{idx}")).header("last-event-id", "1"))
    };
    let responses = join_all((0..N_STREAMS).map(resume)).await;
    for (idx, response) in responses.into_iter().enumerate() {
        let response = response.unwrap();
        let (first, second) = (format!("s{idx}"), format!("t{idx}"));
        assert_eq!(response.status, 200, "{second}: {response:?}");
        let versions = versions_of(&site, &[&first, &second]);
        assert_eq!(versions.len(), 1, "{second} ran at {versions:?}");
    }
    // The node writes its log with a delay. Each stream is logged after the read that found it.
    let n_logged =
        |text: &str| site.nodes[OPTIONS.n_nodes - 1].process.log_text().matches(text).count();
    until("the node has logged all streams", || async {
        n_logged("version that began the stream is known") == N_STREAMS
    })
    .await
    .unwrap();
    let n_reads = n_logged("origins of streams read for a stream");
    assert!((1..=N_STREAMS / 4).contains(&n_reads), "streams share reads: {n_reads}");
}

/// Guards against streams of a service with a single version that nobody lets go on after all nodes were killed at once,
/// since none has followed the versions for as long as a stream may last.
#[tokio::test]
async fn streams_of_the_only_version_go_on_after_all_nodes_were_killed() {
    let options = SiteOptions { n_versions: 1, ..OPTIONS };
    let mut site = start(options).await;
    until("the store has the versions", || async {
        0 < site.store.n_records("keyed.stream-versions")
    })
    .await
    .unwrap();
    // The second loss shows that nodes which have the versions from the store keep them there.
    for loss in 0..2_usize {
        set_streams(&site, 50, None);
        let responses = begin_streams(&site, |idx| idx % OPTIONS.n_nodes).await;
        for node in &mut site.nodes {
            node.process.kill();
        }
        drop(responses);
        for idx in 0..OPTIONS.n_nodes {
            site.restart(idx).unwrap();
        }
        site.until_ready().await.unwrap();
        until_all_log(&site, "\"versions of the services taken over\"", 1 + loss).await;
        set_streams(&site, 1, None);
        for idx in 0..N_STREAMS {
            let id = format!("t{loss}-{idx}");
            let request = site.request((idx + 1) % OPTIONS.n_nodes, &id, "/review/x");
            let request = request.header("resumes", format!("s{idx}")).header("last-event-id", "1");
            let response = site.send(request).await.unwrap();
            assert_eq!(response.status, 200, "{id}: {response:?}");
            assert!(response.is_complete, "{id}");
        }
    }
}

/// Guards against a stream of a version that was gone when all nodes were killed, and that goes on at the only version
/// which the nodes find when they are back.
#[tokio::test]
async fn stream_of_a_version_that_is_gone_does_not_go_on_after_all_nodes_were_killed() {
    let options = SiteOptions { n_engines: 2, n_versions: 1, ..OPTIONS };
    let mut site = start(options).await;
    let stream = Behavior::Stream { n_events: N_EVENTS, interval_ms: 50, break_after: None };
    let new = Upstream::start_unlisted("engine-new", "draft", "v2", stream).await.unwrap();
    set_streams(&site, 50, None);
    new.write_entry(&site.store, &json!({}));
    until_all_log(&site, "engine-new", 1).await;
    let is_written = || async {
        let logs = site.nodes.iter().map(|it| it.process.log_text());
        logs.filter(|it| it.contains("\"n_versions\":\"3\"")).count() != 0
    };
    until("the store has both versions of one service and that of the other", is_written)
        .await
        .unwrap();
    let responses = begin_streams(&site, |idx| idx % OPTIONS.n_nodes).await;
    for node in &mut site.nodes {
        node.process.kill();
    }
    drop(responses);
    site.store.delete("keyed.servers", "engine-new");
    for idx in 0..OPTIONS.n_nodes {
        site.restart(idx).unwrap();
    }
    site.until_ready().await.unwrap();
    until_all_log(&site, "\"versions of the services taken over\"", 1).await;
    set_streams(&site, 1, None);
    for idx in 0..N_STREAMS {
        let (first, second) = (format!("s{idx}"), format!("t{idx}"));
        let request = site.request((idx + 1) % OPTIONS.n_nodes, &second, "/review/x");
        let request = request.header("resumes", &first).header("last-event-id", "1");
        let response = site.send(request).await.unwrap();
        let began_at_new = new.executed().iter().any(|it| it.id == first);
        let has_run = 0 < site.n_runs(&second);
        assert!(!(began_at_new && has_run), "{second} goes on at another version: {response:?}");
    }
}

/// Returns the number of streams whose origins a node has written to the store, from its log.
fn n_streams_written(log: &str) -> usize {
    let lines = log.lines().filter(|it| it.contains("origins of streams written"));
    let counts = lines.filter_map(|it| it.split("\"n_streams\":\"").nth(1)?.split('"').next());
    counts.filter_map(|it| it.parse::<usize>().ok()).sum()
}
