//! Responses whose status promises that a request has not run and never will: a client gets one only if that is true.

use lentilhitch_standin::{
    harness::until,
    users_platform::{Cut, RawEnd, RawResponse, RawScript, RawUpstream, Site, SiteOptions},
};

/// Statuses that promise a client that its request has not run.
const PROMISES: [u16; 4] = [408, 421, 429, 503];
const NO_UPSTREAMS: SiteOptions = SiteOptions {
    n_nodes: 1,
    n_engines: 0,
    n_applications: 0,
    n_versions: 1,
    n_refusable: 0,
    has_links: false,
    usage_window_s: 1.0,
    usage_delay_s: 4.0,
    has_rollouts: false,
};
const SERVED: &str =
    "HTTP/1.1 200 OK\r\nx-attempt-id: {id}\r\nx-server-stamp: s\r\ncontent-length: 2\r\n\r\nok";

/// A response by which an upstream rejects a request that it has not run.
macro_rules! rejection {
    ($status:literal, $body:literal) => {
        concat!(
            "HTTP/1.1 ",
            $status,
            " Rejected\r\nx-attempt-id: {id}\r\nx-not-executed: 1\r\n",
            $body
        )
    };
}

/// How the node reaches the upstream.
#[derive(Clone, Copy, Debug)]
enum Way {
    Direct,
    ThroughPeer,
}

/// Starts one node and an upstream of the filing service, or two nodes of which the first is cut off from the upstream.
async fn start(way: Way, responses: Vec<RawResponse>) -> (Site, RawUpstream) {
    let is_direct = matches!(way, Way::Direct);
    let n_nodes = if is_direct { 1 } else { 2 };
    let options = SiteOptions { n_nodes, has_links: !is_direct, ..NO_UPSTREAMS };
    let mut site = Site::start_without_waiting(options).await.unwrap();
    let script = RawScript::new(responses);
    let upstream = RawUpstream::start(&site.store, "raw-0", "filing", script).await.unwrap();
    if !is_direct {
        site.link(&upstream).await.unwrap();
        site.cut_links(Cut::Close).await.unwrap();
    }
    site.until_ready().await.unwrap();
    (site, upstream)
}

/// Sends a request for which the upstream must be reached first, until it is.
async fn call_until_reached(site: &Site, upstream: &RawUpstream) {
    until("the upstream gets a request", || async {
        let response = site.call(0, "first", "/book/x").await;
        assert!(response.is_ok(), "{response:?}");
        0 < upstream.n_requests()
    })
    .await
    .unwrap();
}

/// Guards against a client that is told that its request has not run, though it has, because the upstream sends an earlier
/// rejection once more.
#[tokio::test]
async fn late_copy_of_a_rejection_is_not_taken_for_the_answer_to_another_request() {
    struct Case {
        name: &'static str,
        rejection: &'static str,
    }
    let cases = [
        Case { name: "503", rejection: rejection!("503", "content-length: 0\r\n\r\n") },
        Case {
            name: "503 with a body",
            rejection: rejection!("503", "content-length: 4\r\n\r\nfull"),
        },
        Case { name: "429", rejection: rejection!("429", "content-length: 0\r\n\r\n") },
        Case { name: "400", rejection: rejection!("400", "content-length: 0\r\n\r\n") },
    ];
    for Case { name, rejection } in cases {
        for way in [Way::Direct, Way::ThroughPeer] {
            let responses = vec![
                RawResponse { start: rejection, end: RawEnd::RepeatLate },
                RawResponse { start: SERVED, end: RawEnd::KeepOpen },
            ];
            let (site, upstream) = start(way, responses).await;
            call_until_reached(&site, &upstream).await;
            let second = site.call(0, "second", "/book/x").await.unwrap();
            assert_eq!(upstream.n_requests(), 2, "{name}, {way:?}: the second request runs");
            assert!(!PROMISES.contains(&second.status), "{name}, {way:?}: {second:?}");
            let third = site.call(0, "third", "/book/x").await.unwrap();
            assert_eq!(third.status, 200, "{name}, {way:?}: {third:?}");
        }
    }
}

/// Guards against a client that is told that its request has not run, though it may have, because an upstream responds with
/// a status that means so and does not state it.
#[tokio::test]
async fn status_of_an_upstream_is_no_promise_without_the_statement_that_the_request_has_not_run() {
    struct Case {
        name: &'static str,
        response: &'static str,
        status: u16,
    }
    let unstated = "x-server-stamp: s\r\ncontent-length: 0\r\n\r\n";
    let with_id =
        |status: &str| format!("HTTP/1.1 {status} No\r\nx-attempt-id: {{id}}\r\n{unstated}");
    let cases = [
        Case { name: "408", response: with_id("408").leak(), status: 502 },
        Case { name: "429", response: with_id("429").leak(), status: 502 },
        Case { name: "503", response: with_id("503").leak(), status: 502 },
        Case {
            name: "503, stated without an id",
            response: "HTTP/1.1 503 No\r\nx-not-executed: 1\r\ncontent-length: 0\r\n\r\n",
            status: 502,
        },
        Case {
            name: "421 without an id",
            response: "HTTP/1.1 421 No\r\ncontent-length: 0\r\n\r\n",
            status: 502,
        },
        Case { name: "500", response: with_id("500").leak(), status: 500 },
        Case {
            name: "stated",
            response: rejection!("503", "content-length: 0\r\n\r\n"),
            status: 503,
        },
    ];
    for Case { name, response, status } in cases {
        for way in [Way::Direct, Way::ThroughPeer] {
            let responses = vec![RawResponse { start: response, end: RawEnd::KeepOpen }];
            let (site, upstream) = start(way, responses).await;
            call_until_reached(&site, &upstream).await;
            let response = site.call(0, "second", "/book/x").await.unwrap();
            assert_eq!(response.status, status, "{name}, {way:?}: {response:?}");
            let has_stamp = !response.header("x-server-stamp").is_empty();
            assert_eq!(has_stamp, status == 500, "{name}, {way:?}: {response:?}");
        }
    }
}
