//! Responses whose end is marked only by the end of their connection, or not at all: what the client receives as complete
//! is complete.

use lentilhitch_standin::{
    harness::until,
    users_platform::{
        Behavior, ClientResponse, Cut, RawEnd, RawResponse, RawScript, RawUpstream, Site,
        SiteOptions, Upstream,
    },
};
use serde_json::json;
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::TcpStream,
};

/// Head of a response without length and chunks, followed by the start of its body.
macro_rules! unframed {
    ($body:literal) => {
        concat!("HTTP/1.1 200 OK\r\nx-attempt-id: {id}\r\nx-server-stamp: s\r\n\r\n", $body)
    };
}

/// Head of a chunked response, followed by the start of its body.
macro_rules! chunked {
    ($body:literal) => {
        concat!(
            "HTTP/1.1 200 OK\r\nx-attempt-id: {id}\r\nx-server-stamp: s\r\n",
            "transfer-encoding: chunked\r\n\r\n",
            $body
        )
    };
}

const OPTIONS: SiteOptions = SiteOptions {
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

async fn start(service: &str, script: RawScript) -> (Site, RawUpstream) {
    let site = Site::start_without_waiting(OPTIONS).await.unwrap();
    let upstream = RawUpstream::start(&site.store, "raw-0", service, script).await.unwrap();
    site.until_ready().await.unwrap();
    (site, upstream)
}

/// Reads a response whose connection is reset after its first bytes.
async fn call_with_reset(site: &Site, upstream: &RawUpstream, path: &str) -> ClientResponse {
    let call = site.call(0, "u1", path);
    let reset = async {
        until("the request is at the upstream", || async { 0 < upstream.n_requests() }).await?;
        upstream.allow_resets();
        anyhow::Ok(())
    };
    let (response, reset) = tokio::join!(call, reset);
    reset.unwrap();
    response.unwrap()
}

/// Guards against streams that an upstream broke off inside an event and that reached the client as complete.
#[tokio::test]
async fn stream_that_ends_inside_an_event_is_not_completed() {
    struct Case {
        name: &'static str,
        start: &'static str,
        event_ids: &'static [u64],
        is_complete: bool,
    }
    let cases = [
        Case {
            name: "after an event",
            start: unframed!("id: 1\ndata: a\n\nid: 2\ndata: b\n\n"),
            event_ids: &[1, 2],
            is_complete: true,
        },
        Case {
            name: "after a comment",
            start: unframed!("id: 1\ndata: a\n\n: end\n"),
            event_ids: &[1],
            is_complete: true,
        },
        Case {
            name: "inside the data of an event",
            start: unframed!("id: 1\ndata: a\n\nid: 2\nda"),
            event_ids: &[1],
            is_complete: false,
        },
        Case {
            name: "before the empty line of an event",
            start: unframed!("id: 1\ndata: a\n\nid: 2\ndata: b\n"),
            event_ids: &[1],
            is_complete: false,
        },
        Case {
            name: "before the first event",
            start: unframed!(""),
            event_ids: &[],
            is_complete: false,
        },
        Case {
            name: "chunks, with a last chunk inside an event",
            start: chunked!("f\r\nid: 1\ndata: a\n\n\r\n8\r\nid: 2\nda\r\n0\r\n\r\n"),
            event_ids: &[1],
            is_complete: false,
        },
        Case {
            name: "chunks, without the last one",
            start: chunked!("f\r\nid: 1\ndata: a\n\n\r\n"),
            event_ids: &[1],
            is_complete: false,
        },
        Case {
            name: "chunks, with the last one after an event",
            start: chunked!("f\r\nid: 1\ndata: a\n\n\r\n0\r\n\r\n"),
            event_ids: &[1],
            is_complete: true,
        },
    ];
    for case in cases {
        let response = RawResponse { start: case.start, end: RawEnd::Close };
        let (site, _upstream) = start("draft", RawScript::new(vec![response])).await;
        let response = site.call(0, "u1", "/ask/x").await.unwrap();
        assert_eq!(response.status, 200, "{}: {response:?}", case.name);
        assert_eq!(response.is_complete, case.is_complete, "{}: {response:?}", case.name);
        assert_eq!(response.event_ids(), case.event_ids, "{}: {response:?}", case.name);
    }
}

#[tokio::test]
async fn stream_that_ends_inside_an_event_is_resumed_if_the_route_allows_it() {
    let cases = [
        ("inside an event", unframed!("id: 1\ndata: a\n\nid: 2\nda")),
        ("before the first event", unframed!("")),
    ];
    for (name, start_text) in cases {
        let resumed = match name {
            "inside an event" => unframed!("id: 2\ndata: b\n\nid: 3\ndata: c\n\n"),
            _ => unframed!("id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n"),
        };
        let responses =
            [start_text, resumed].map(|start| RawResponse { start, end: RawEnd::Close });
        let (site, upstream) = start("draft", RawScript::new(responses.into())).await;
        let response = site.call(0, "u1", "/review/x").await.unwrap();
        assert!(response.is_complete, "{name}: {response:?}");
        assert_eq!(response.event_ids(), [1, 2, 3], "{name}: {response:?}");
        assert_eq!(upstream.n_requests(), 2, "{name}");
    }
}

#[tokio::test]
async fn response_without_length_is_complete_only_if_its_connection_is_closed_in_order() {
    let response = |end| RawResponse { start: unframed!("booked"), end };
    let (site, _upstream) = start("filing", RawScript::new(vec![response(RawEnd::Close)])).await;
    let closed = site.call(0, "u1", "/book/x").await.unwrap();
    assert_eq!((closed.status, &closed.body[..]), (200, &b"booked"[..]));
    assert!(closed.is_complete);

    let (site, upstream) = start("filing", RawScript::new(vec![response(RawEnd::Reset)])).await;
    let reset = call_with_reset(&site, &upstream, "/book/x").await;
    assert_eq!(reset.status, 502, "{reset:?}");

    let stream = RawResponse { start: unframed!("id: 1\ndata: a\n\n"), end: RawEnd::Reset };
    let (site, upstream) = start("draft", RawScript::new(vec![stream])).await;
    let reset = call_with_reset(&site, &upstream, "/ask/x").await;
    assert!(!reset.is_complete, "{reset:?}");
}

/// Guards against broken streams that look complete to a client whose protocol version has no chunks.
#[tokio::test]
async fn broken_stream_resets_the_connection_of_a_client_without_chunks() {
    let cases = [
        ("complete", unframed!("id: 1\ndata: a\n\n"), true),
        ("broken", unframed!("id: 1\ndata: a\n\nid: 2\nda"), false),
    ];
    for (name, start_text, is_complete) in cases {
        let response = RawResponse { start: start_text, end: RawEnd::Close };
        let (site, _upstream) = start("draft", RawScript::new(vec![response])).await;
        let mut stream = TcpStream::connect(site.nodes[0].front).await.unwrap();
        let request = "POST /ask/x HTTP/1.0\r\nhost: estate.example\r\nx-attempt-id: u1\r\n\
                       authorization: Bearer key-of-etna\r\ncontent-length: 0\r\n\r\n";
        stream.write_all(request.as_bytes()).await.unwrap();
        let mut text = Vec::new();
        let read = stream.read_to_end(&mut text).await;
        let text = String::from_utf8_lossy(&text);
        assert_eq!(read.is_ok(), is_complete, "{name}: {text}");
        if is_complete {
            assert!(text.ends_with("id: 1\ndata: a\n\n"), "{name}: {text}");
        }
    }
}

/// Guards against whole responses that are taken for broken streams because they contain no event.
#[tokio::test]
async fn response_of_another_type_on_a_route_with_streams_is_passed_on() {
    const BODY: &str = "{\"text\": \"a\"}";
    let head = "HTTP/1.1 200 OK\r\nx-attempt-id: {id}\r\nx-server-stamp: s\r\n";
    let framings = ["content-length: 13\r\n", "connection: close\r\n"];
    for framing in framings {
        let text = format!("{head}{framing}content-type: application/json\r\n\r\n{BODY}");
        let response = RawResponse { start: text.leak(), end: RawEnd::Close };
        let (site, _upstream) = start("draft", RawScript::new(vec![response])).await;
        let response = site.call(0, "u1", "/ask/x").await.unwrap();
        assert!(response.is_complete, "{framing}: {response:?}");
        assert_eq!(response.body, BODY, "{framing}");
    }
}

/// Guards against runs that a KV cache transfer has stopped and whose streams reached the client as complete.
#[tokio::test]
async fn stream_of_a_run_that_a_transfer_may_have_stopped_is_not_completed() {
    struct Case {
        name: &'static str,
        kv_transfer: &'static str,
        is_complete: bool,
    }
    let cases = [
        Case {
            name: "the run had ended before",
            kv_transfer: "HTTP/1.1 404 Not Found\r\ncontent-length: 0\r\n\r\n",
            is_complete: true,
        },
        Case {
            name: "the upstream does not know the request",
            kv_transfer: "HTTP/1.1 405 Method Not Allowed\r\ncontent-length: 0\r\n\r\n",
            is_complete: true,
        },
        Case {
            name: "the upstream states no copy",
            kv_transfer: "HTTP/1.1 503 Service Unavailable\r\ncontent-length: 0\r\n\r\n",
            is_complete: false,
        },
        Case {
            name: "the response to the transfer is lost",
            kv_transfer: "HTTP/1.1 200 OK\r\ncontent-length: 40\r\n\r\n{",
            is_complete: false,
        },
    ];
    for case in cases {
        let response =
            RawResponse { start: unframed!("id: 1\ndata: a\n\n"), end: RawEnd::CloseOnTransfer };
        let script = RawScript { kv_transfer: case.kv_transfer, ..RawScript::new(vec![response]) };
        let (site, upstream) = start("draft", script).await;
        let mut response = site.request(0, "u1", "/ask/x").send().await.unwrap();
        response.chunk().await.unwrap();
        let _other = Upstream::start_with_entry(&site.store, "engine-9", "draft", Behavior::Full)
            .await
            .unwrap();
        until("the other engine is known", || async {
            site.nodes[0].process.log_text().contains("engine-9")
        })
        .await
        .unwrap();
        upstream.write_entry(
            &site.store,
            &json!({ "state": "draining", "leaves_ms": 1_000, "seq": 2 }),
        );
        let is_complete = loop {
            match response.chunk().await {
                Ok(Some(_)) => {}
                Ok(None) => break true,
                Err(_) => break false,
            }
        };
        assert_eq!(is_complete, case.is_complete, "{}", case.name);
    }
}

/// Sends a long upload to the first node, and returns the response.
async fn upload(site: &Site, id: &str, path: &str) -> ClientResponse {
    const UPLOAD_BYTES: usize = 3_000_000;
    site.send(site.request(0, id, path).body(vec![b'u'; UPLOAD_BYTES])).await.unwrap()
}

/// Allows longer uploads, and waits until all nodes do.
async fn allow_uploads(site: &mut Site) {
    let version = site.put_config(|config| config["limits"]["maxBodyBytes"] = json!(4_000_000));
    let text = format!("\"version\":\"{version}\",\"n_routes\"");
    until("the nodes allow uploads", || async {
        site.nodes.iter().all(|it| it.process.log_text().contains(&text))
    })
    .await
    .unwrap();
}

/// Guards against a part of a response without length that reaches the client as complete, because the upstream reset the
/// connection while the upload was still being written.
#[tokio::test]
async fn partial_response_to_an_upload_is_not_completed() {
    for (service, path, start_text) in [
        ("filing", "/status/x", unframed!("part")),
        ("filing", "/book/x", unframed!("part")),
        ("draft", "/ask/x", unframed!("id: 1\ndata: a\n\n")),
        ("draft", "/review/x", unframed!("id: 1\ndata: a\n\n")),
    ] {
        let response = RawResponse { start: start_text, end: RawEnd::Reset };
        let script = RawScript { leaves_body_unread: true, ..RawScript::new(vec![response]) };
        let (mut site, upstream) = start(service, script).await;
        allow_uploads(&mut site).await;
        let first = upload(&site, "u0", path);
        let reset = async {
            until("the request is at the upstream", || async { 0 < upstream.n_requests() }).await?;
            upstream.allow_resets();
            anyhow::Ok(())
        };
        let (first, reset) = tokio::join!(first, reset);
        reset.unwrap();
        assert!(first.status != 200 || !first.is_complete, "{path}: {first:?}");
        for idx in 1..6 {
            let response = upload(&site, &format!("u{idx}"), path).await;
            assert!(response.status != 200 || !response.is_complete, "{path}: {response:?}");
        }
    }
}

/// The same for a node that is cut off from the upstreams and sends the request through another one.
#[tokio::test]
async fn partial_response_to_an_upload_through_a_peer_is_not_completed() {
    for (service, path, start_text) in [
        ("filing", "/status/x", unframed!("part")),
        ("draft", "/ask/x", unframed!("id: 1\ndata: a\n\n")),
    ] {
        let options = SiteOptions { n_nodes: 2, has_links: true, ..OPTIONS };
        let mut site = Site::start_without_waiting(options).await.unwrap();
        let response = RawResponse { start: start_text, end: RawEnd::Reset };
        let script = RawScript { leaves_body_unread: true, ..RawScript::new(vec![response]) };
        let upstream = RawUpstream::start(&site.store, "raw-0", service, script).await.unwrap();
        site.link(&upstream).await.unwrap();
        site.until_ready().await.unwrap();
        allow_uploads(&mut site).await;
        site.cut_links(Cut::RefuseNew).await.unwrap();
        upstream.allow_resets();
        until("a request reaches the upstream through the other node", || async {
            let id = format!("u{}", upstream.n_requests());
            let response = upload(&site, &id, path).await;
            assert!(response.status != 200 || !response.is_complete, "{path}: {response:?}");
            6 <= upstream.n_requests()
        })
        .await
        .unwrap();
    }
}

/// Guards against responses with a status that no response has, which reach the client as answers.
#[tokio::test]
async fn response_with_a_status_out_of_range_is_not_passed_on() {
    const STATUSES: [u16; 7] = [0, 1, 99, 101, 199, 600, 999];
    for (service, path) in [("filing", "/status/x"), ("filing", "/book/x"), ("draft", "/ask/x")] {
        let responses = STATUSES.map(|status| {
            let start = format!(
                "HTTP/1.1 {status:03} X\r\nx-attempt-id: {{id}}\r\nx-server-stamp: s\r\n\
                 content-length: 3\r\n\r\nend"
            );
            RawResponse { start: start.leak(), end: RawEnd::Close }
        });
        for (status, response) in STATUSES.into_iter().zip(responses) {
            let (site, _upstream) = start(service, RawScript::new(vec![response])).await;
            let response = site.call(0, "u1", path).await.unwrap();
            assert_eq!(response.status, 502, "{path}, status {status:03}: {response:?}");
        }
    }
}

/// The same for a node that is cut off from the upstreams and sends the request through another one.
#[tokio::test]
async fn response_with_a_status_out_of_range_through_a_peer_is_not_passed_on() {
    const STATUSES: [u16; 4] = [0, 101, 600, 999];
    for status in STATUSES {
        let options = SiteOptions { n_nodes: 2, has_links: true, ..OPTIONS };
        let mut site = Site::start_without_waiting(options).await.unwrap();
        let start = format!(
            "HTTP/1.1 {status:03} X\r\nx-attempt-id: {{id}}\r\nx-server-stamp: s\r\n\
             content-length: 3\r\n\r\nend"
        );
        let response = RawResponse { start: start.leak(), end: RawEnd::Close };
        let script = RawScript::new(vec![response]);
        let upstream = RawUpstream::start(&site.store, "raw-0", "filing", script).await.unwrap();
        site.link(&upstream).await.unwrap();
        site.until_ready().await.unwrap();
        site.cut_links(Cut::RefuseNew).await.unwrap();
        until("a request reaches the upstream through the other node", || async {
            let id = format!("u{}", upstream.n_requests());
            let response = site.call(0, &id, "/book/x").await.unwrap();
            let is_own = [502, 503].contains(&response.status);
            assert!(is_own, "status {status:03}: {response:?}");
            3 <= upstream.n_requests()
        })
        .await
        .unwrap();
    }
}
