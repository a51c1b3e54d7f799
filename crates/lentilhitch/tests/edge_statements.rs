//! What upstreams state about themselves in the heads of their responses: nodes follow it before the list of upstreams
//! says so.

use lentilhitch_standin::{
    harness::until,
    users_platform::{RawEnd, RawResponse, RawScript, RawUpstream, Site, SiteOptions},
};
use serde_json::json;

/// Number of calls after which an upstream among two or three would have been chosen almost certainly.
const N_CALLS: usize = 30;

/// A response with one more header, whose connection is closed after it.
fn response(head: &'static str) -> RawResponse {
    RawResponse { start: head, end: RawEnd::Close }
}

/// Calls a node until an upstream has got a number of requests.
async fn call_until(site: &Site, node: usize, upstream: &RawUpstream, n_requests: usize) {
    until("the upstream gets the request", || async {
        let response = site.call(node, "n", "/status/x").await;
        assert!(response.is_ok(), "{response:?}");
        n_requests <= upstream.n_requests()
    })
    .await
    .unwrap();
}

async fn call_many(site: &Site, node: usize) {
    for idx in 0..N_CALLS {
        let response = site.call(node, &format!("c{idx}"), "/status/x").await.unwrap();
        assert_eq!(response.status, 200, "{response:?}");
    }
}

/// Guards against requests to an upstream that has stated in a response that it leaves, while the list says ready.
#[tokio::test]
async fn upstream_that_states_that_it_is_leaving_gets_no_more_requests() {
    let cases = [
        (
            "served",
            "HTTP/1.1 200 OK\r\nx-attempt-id: {id}\r\nx-server-stamp: s\r\nserver-leaving: 1\r\n\
             content-length: 2\r\n\r\nok",
        ),
        (
            "refused",
            "HTTP/1.1 503 Service Unavailable\r\nx-attempt-id: {id}\r\nx-server-stamp: s\r\n\
             x-not-executed: 1\r\nserver-leaving: 1\r\ncontent-length: 0\r\n\r\n",
        ),
        (
            "failed",
            "HTTP/1.1 500 Internal Server Error\r\nx-attempt-id: {id}\r\nx-server-stamp: s\r\n\
             server-leaving: 1\r\ncontent-length: 0\r\n\r\n",
        ),
    ];
    for (name, head) in cases {
        // Nodes 0 and 2 are in one zone.
        let options = SiteOptions { n_nodes: 3, n_engines: 1, ..SiteOptions::default() };
        let site = Site::start(options).await.unwrap();
        let script = RawScript::new(vec![response(head)]);
        let upstream = RawUpstream::start(&site.store, "raw-0", "filing", script).await.unwrap();
        call_until(&site, 0, &upstream, 1).await;
        call_many(&site, 0).await;
        assert_eq!(upstream.n_requests(), 1, "{name}: while the list says ready");
        until("the other node of the zone knows", || async {
            site.nodes[2].process.log_text().contains("upstream is leaving")
        })
        .await
        .unwrap();
        call_many(&site, 2).await;
        assert_eq!(upstream.n_requests(), 1, "{name}: from the other node of the zone");
        upstream.write_entry(&site.store, &json!({ "seq": 3 }));
        call_many(&site, 0).await;
        assert_eq!(upstream.n_requests(), 1, "{name}: after it was listed again");
        upstream.write_entry(&site.store, &json!({ "seq": 1, "born": 2 }));
        call_until(&site, 0, &upstream, 2).await;
    }
}

/// Guards against requests to an upstream during the pause that it has asked for, and against pauses that make no sense.
#[tokio::test]
async fn upstream_that_asks_for_a_pause_gets_no_request_from_the_node_meanwhile() {
    macro_rules! refused {
        ($retry_after:literal) => {
            concat!(
                "HTTP/1.1 503 Service Unavailable\r\nx-attempt-id: {id}\r\nx-server-stamp: s\r\n",
                "x-not-executed: 1\r\nretry-after: ",
                $retry_after,
                "\r\ncontent-length: 0\r\n\r\n"
            )
        };
    }
    let cases = [
        ("seconds", refused!("60"), true),
        ("with a fraction", refused!("60.25"), true),
        ("far too long", refused!("1e300"), true),
        ("negative", refused!("-60"), false),
        ("no number", refused!("soon"), false),
        ("not a number", refused!("NaN"), false),
        ("a date", refused!("Fri, 04 Dec 2026 12:00:00 GMT"), false),
        ("empty", refused!(""), false),
    ];
    for (name, head, is_paused) in cases {
        let site = Site::start(SiteOptions::default()).await.unwrap();
        let script = RawScript::new(vec![response(head)]);
        let upstream = RawUpstream::start(&site.store, "raw-0", "filing", script).await.unwrap();
        call_until(&site, 0, &upstream, 1).await;
        if !is_paused {
            call_until(&site, 0, &upstream, 2).await;
            continue;
        }
        call_many(&site, 0).await;
        assert_eq!(upstream.n_requests(), 1, "{name}");
        // The pause concerns the incarnation that asked for it.
        upstream.write_entry(&site.store, &json!({ "seq": 1, "born": 2 }));
        call_until(&site, 0, &upstream, 2).await;
    }
}

#[tokio::test]
async fn request_without_an_upstream_during_a_pause_is_rejected_with_a_time_after_the_pause() {
    let options = SiteOptions { n_applications: 0, ..SiteOptions::default() };
    let site = Site::start(options).await.unwrap();
    let head = "HTTP/1.1 503 Service Unavailable\r\nx-attempt-id: {id}\r\nx-server-stamp: s\r\n\
                x-not-executed: 1\r\nretry-after: 60\r\ncontent-length: 0\r\n\r\n";
    let script = RawScript::new(vec![response(head)]);
    let upstream = RawUpstream::start(&site.store, "raw-0", "filing", script).await.unwrap();
    call_until(&site, 0, &upstream, 1).await;
    for path in ["/book/x", "/status/x"] {
        let rejected = site.call(0, "p", path).await.unwrap();
        assert_eq!(rejected.status, 503, "{path}");
        let retry_after_s: f64 = rejected.header("retry-after").parse().unwrap();
        assert!(30.0 < retry_after_s, "{path}: {retry_after_s}");
    }
    assert_eq!(upstream.n_requests(), 1);
}
