//! Complete events of a stream are passed on for any division of the stream into chunks.

use proptest::prelude::*;

use lentilhitch_policy::events::EventSplitter;

#[test]
fn only_complete_events_pass() {
    struct Case {
        name: &'static str,
        chunks: &'static [&'static str],
        passed: &'static str,
        last_id: Option<u64>,
    }
    let cases = [
        Case {
            name: "one event",
            chunks: &["id: 1\ndata: a\n\n"],
            passed: "id: 1\ndata: a\n\n",
            last_id: Some(1),
        },
        Case { name: "half an event", chunks: &["id: 1\nda"], passed: "", last_id: None },
        Case {
            name: "one and a half events",
            chunks: &["id: 1\ndata: a\n\nid: 2\n", "data"],
            passed: "id: 1\ndata: a\n\n",
            last_id: Some(1),
        },
        Case {
            name: "a chunk boundary between the two line ends",
            chunks: &["id: 1\ndata: a\n", "\nid: 2\ndata: b\n\n"],
            passed: "id: 1\ndata: a\n\nid: 2\ndata: b\n\n",
            last_id: Some(2),
        },
        Case {
            name: "carriage returns",
            chunks: &["id:3\r\ndata: a\r\n\r\n"],
            passed: "id:3\r\ndata: a\r\n\r\n",
            last_id: Some(3),
        },
        Case {
            name: "carriage returns without line feeds",
            chunks: &["id:3\rdata: a\r\rid:4\r", "data: b\r\r"],
            passed: "id:3\rdata: a\r\rid:4\rdata: b\r\r",
            last_id: Some(4),
        },
        Case {
            name: "different line ends",
            chunks: &["id: 3\ndata: a\n\r\nid: 4\r\ndata: b\r\n\n"],
            passed: "id: 3\ndata: a\n\r\nid: 4\r\ndata: b\r\n\n",
            last_id: Some(4),
        },
        Case {
            name: "a first line that is not a field of the event stream format",
            chunks: &["x-weight-versions: 4\nid: 9\ndata: a\n\n"],
            passed: "x-weight-versions: 4\nid: 9\ndata: a\n\n",
            last_id: Some(9),
        },
    ];
    for case in cases {
        let mut splitter = EventSplitter::after(None);
        let mut passed = Vec::new();
        for chunk in case.chunks {
            passed.extend(splitter.push(chunk.as_bytes()).unwrap().into_iter().flatten());
        }
        assert_eq!(String::from_utf8(passed).unwrap(), case.passed, "{}", case.name);
        assert_eq!(splitter.last_id(), case.last_id, "{}", case.name);
    }
}

#[test]
fn partial_events_are_told_from_comments_and_empty_lines() {
    struct Case {
        name: &'static str,
        chunks: &'static [&'static str],
        has_event: bool,
        is_inside_event: bool,
    }
    const EVENT: &str = "id: 1\ndata: a\n\n";
    let cases = [
        Case { name: "nothing", chunks: &[], has_event: false, is_inside_event: false },
        Case { name: "one event", chunks: &[EVENT], has_event: true, is_inside_event: false },
        Case {
            name: "the start of a field",
            chunks: &[EVENT, "d"],
            has_event: true,
            is_inside_event: true,
        },
        Case {
            name: "all fields without the empty line",
            chunks: &["id: 1\ndata: a\n"],
            has_event: false,
            is_inside_event: true,
        },
        Case {
            name: "carriage returns, without the empty line",
            chunks: &["id: 1\r\ndata: a\r\n\r"],
            has_event: false,
            is_inside_event: true,
        },
        Case {
            name: "comments only",
            chunks: &[": ping\n\n", ": ping\n"],
            has_event: false,
            is_inside_event: false,
        },
        Case {
            name: "part of a comment",
            chunks: &[EVENT, ": pi"],
            has_event: true,
            is_inside_event: true,
        },
        Case {
            name: "more empty lines",
            chunks: &[EVENT, "\n", "\r\n"],
            has_event: true,
            is_inside_event: false,
        },
    ];
    for case in cases {
        let mut splitter = EventSplitter::default();
        for chunk in case.chunks {
            splitter.push(chunk.as_bytes()).unwrap();
        }
        assert_eq!(splitter.has_event(), case.has_event, "{}", case.name);
        assert_eq!(splitter.is_inside_event(), case.is_inside_event, "{}", case.name);
        splitter.start_body();
        assert!(!splitter.has_event() && !splitter.is_inside_event(), "{}", case.name);
    }
}

#[test]
fn bytes_without_the_end_of_an_event_are_not_kept_without_limit() {
    const CHUNKS_MAX: usize = 1_024;
    let mut splitter = EventSplitter::after(None);
    assert!(splitter.push(b"id: 1\ndata: a\n\n").unwrap().is_some());
    let chunk = [b'x'; 1_024];
    let n_accepted = (0..CHUNKS_MAX).take_while(|_| splitter.push(&chunk) == Ok(None)).count();
    assert!(n_accepted < CHUNKS_MAX, "{n_accepted} chunks were kept");
    assert_eq!(splitter.last_id(), Some(1));
}

proptest! {
    #[test]
    fn chunk_boundaries_do_not_matter(n_events in 1_u64..30, chunk_sizes in proptest::collection::vec(1_usize..40, 1..60)) {
        let text: String = (1..=n_events).fold(String::new(), |text, it| {
            text + &format!("id: {it}\ndata: {}\n\n", "t".repeat(it as usize))
        });
        let mut splitter = EventSplitter::after(None);
        let mut passed = Vec::new();
        let mut rest = text.as_bytes();
        for chunk_size in chunk_sizes.iter().cycle() {
            let (chunk, after) = rest.split_at((*chunk_size).min(rest.len()));
            passed.extend(splitter.push(chunk).unwrap().into_iter().flatten());
            prop_assert!(text.as_bytes().starts_with(&passed));
            rest = after;
            if rest.is_empty() {
                break;
            }
        }
        prop_assert_eq!(passed, text.into_bytes());
        prop_assert_eq!(splitter.last_id(), Some(n_events));
        prop_assert!(splitter.take_rest().is_empty());
    }
}
