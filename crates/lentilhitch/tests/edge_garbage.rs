//! Upstreams that send bytes without end which are no response: nodes end the attempt, keep their memory, and tell the
//! client truthfully that the request may have run.

use lentilhitch_standin::{
    harness::until,
    users_platform::{RawEnd, RawResponse, RawScript, RawUpstream, Site, SiteOptions},
};

/// Memory of the smallest machines that nodes run on.
const RESIDENT_KIB_MAX: u64 = 160_000;

struct Case {
    name: &'static str,
    path: &'static str,
    response: RawResponse,
    status: u16,
    /// Whether the client receives a complete response.
    is_complete: bool,
}

/// The start of a response, with the rest of its head and the start of its body.
macro_rules! with_head {
    ($rest:literal) => {
        concat!("HTTP/1.1 200 OK\r\nx-attempt-id: {id}\r\nx-server-stamp: s\r\n", $rest)
    };
}

/// A request whose response is lost.
const LOST: Case = Case {
    name: "",
    path: "/book/x",
    response: RawResponse { start: "", end: RawEnd::Repeat("") },
    status: 502,
    is_complete: true,
};

fn cases() -> Vec<Case> {
    vec![
        Case {
            name: "header fields",
            response: RawResponse {
                start: with_head!(""),
                end: RawEnd::Repeat("x-filler: aaaaaaaaaaaaaaaa\r\n"),
            },
            ..LOST
        },
        Case {
            name: "one header field",
            response: RawResponse {
                start: with_head!("x-filler: "),
                end: RawEnd::Repeat("aaaaaaaaaaaaaaaa"),
            },
            ..LOST
        },
        Case {
            name: "informational responses",
            response: RawResponse {
                start: "",
                end: RawEnd::Repeat("HTTP/1.1 103 Early Hints\r\n\r\n"),
            },
            ..LOST
        },
        Case {
            name: "no protocol",
            response: RawResponse {
                start: "",
                end: RawEnd::Repeat("these bytes are no response "),
            },
            ..LOST
        },
        Case {
            name: "chunk extension",
            response: RawResponse {
                start: with_head!("transfer-encoding: chunked\r\n\r\n5;"),
                end: RawEnd::Repeat("a=b;"),
            },
            ..LOST
        },
        Case {
            name: "chunks",
            response: RawResponse {
                start: with_head!("transfer-encoding: chunked\r\n\r\n"),
                end: RawEnd::Repeat("10\r\naaaaaaaaaaaaaaaa\r\n"),
            },
            ..LOST
        },
        Case {
            name: "trailers",
            response: RawResponse {
                start: with_head!("transfer-encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n"),
                end: RawEnd::Repeat("x-filler: aaaaaaaaaaaaaaaa\r\n"),
            },
            ..LOST
        },
        Case {
            name: "body without a length",
            response: RawResponse {
                start: with_head!("connection: close\r\n\r\n"),
                end: RawEnd::Repeat("aaaaaaaaaaaaaaaa"),
            },
            ..LOST
        },
        Case {
            name: "event",
            path: "/ask/x",
            response: RawResponse {
                start: with_head!("content-type: text/event-stream\r\n\r\nid: 1\ndata: a\n\n"),
                end: RawEnd::Repeat("aaaaaaaaaaaaaaaa"),
            },
            status: 200,
            is_complete: false,
        },
        Case {
            name: "bytes after a complete response",
            response: RawResponse {
                start: with_head!("content-length: 5\r\n\r\nhello"),
                end: RawEnd::Repeat("aaaaaaaaaaaaaaaa"),
            },
            status: 200,
            ..LOST
        },
    ]
}

#[tokio::test]
async fn bytes_without_end_end_the_attempt_and_not_the_node() {
    let options = SiteOptions { n_engines: 0, n_applications: 0, ..SiteOptions::default() };
    for case in cases() {
        let site = Site::start_without_waiting(options).await.unwrap();
        let service = if case.path == "/ask/x" { "draft" } else { "filing" };
        let script = RawScript::new(vec![case.response]);
        let upstream = RawUpstream::start(&site.store, "raw-0", service, script).await.unwrap();
        site.until_ready().await.unwrap();
        for id in ["g1", "g2"] {
            let n_closed = upstream.n_closed();
            let response = site.call(0, id, case.path).await.unwrap();
            assert_eq!(response.status, case.status, "{}: {response:?}", case.name);
            assert_eq!(response.is_complete, case.is_complete, "{}", case.name);
            if response.status == 200 {
                assert_eq!(response.header("x-attempt-id"), id, "{}", case.name);
            }
            until("the node closes the connection", || async { n_closed < upstream.n_closed() })
                .await
                .unwrap_or_else(|err| panic!("{}: {err}", case.name));
        }
        let resident_kib = site.nodes[0].process.resident_kib();
        assert!(resident_kib < RESIDENT_KIB_MAX, "{}: {resident_kib} KiB", case.name);
        assert!(site.is_ready(&site.nodes[0]).await, "{}", case.name);
    }
}
