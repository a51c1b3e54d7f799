//! Events of a stream, whatever the pieces in which they arrive.

use proptest::prelude::*;

use lentilhitch_policy::events::EventCutter;

#[test]
fn only_whole_events_pass() {
    struct Case {
        name: &'static str,
        pieces: &'static [&'static str],
        passed: &'static str,
        last_id: Option<u64>,
    }
    let cases = [
        Case {
            name: "one",
            pieces: &["id: 1\ndata: a\n\n"],
            passed: "id: 1\ndata: a\n\n",
            last_id: Some(1),
        },
        Case { name: "half", pieces: &["id: 1\nda"], passed: "", last_id: None },
        Case {
            name: "one and a half",
            pieces: &["id: 1\ndata: a\n\nid: 2\n", "data"],
            passed: "id: 1\ndata: a\n\n",
            last_id: Some(1),
        },
        Case {
            name: "a break between the two line ends",
            pieces: &["id: 1\ndata: a\n", "\nid: 2\ndata: b\n\n"],
            passed: "id: 1\ndata: a\n\nid: 2\ndata: b\n\n",
            last_id: Some(2),
        },
        Case {
            name: "carriage returns",
            pieces: &["id:3\r\ndata: a\r\n\r\n"],
            passed: "id:3\r\ndata: a\r\n\r\n",
            last_id: Some(3),
        },
        Case {
            name: "a first line that is no field of the event stream",
            pieces: &["x-weight-versions: 4\nid: 9\ndata: a\n\n"],
            passed: "x-weight-versions: 4\nid: 9\ndata: a\n\n",
            last_id: Some(9),
        },
    ];
    for case in cases {
        let mut cutter = EventCutter::after(None);
        let mut passed = Vec::new();
        for piece in case.pieces {
            passed.extend(cutter.push(piece.as_bytes()).into_iter().flatten());
        }
        assert_eq!(String::from_utf8(passed).unwrap(), case.passed, "{}", case.name);
        assert_eq!(cutter.last_id(), case.last_id, "{}", case.name);
    }
}

proptest! {
    #[test]
    fn pieces_do_not_matter(n_events in 1_u64..30, cuts in proptest::collection::vec(1_usize..40, 1..60)) {
        let text: String = (1..=n_events).fold(String::new(), |text, it| {
            text + &format!("id: {it}\ndata: {}\n\n", "t".repeat(it as usize))
        });
        let mut cutter = EventCutter::after(None);
        let mut passed = Vec::new();
        let mut rest = text.as_bytes();
        for cut in cuts.iter().cycle() {
            let (piece, after) = rest.split_at((*cut).min(rest.len()));
            passed.extend(cutter.push(piece).into_iter().flatten());
            prop_assert!(text.as_bytes().starts_with(&passed));
            rest = after;
            if rest.is_empty() {
                break;
            }
        }
        prop_assert_eq!(passed, text.into_bytes());
        prop_assert_eq!(cutter.last_id(), Some(n_events));
        prop_assert!(cutter.take_rest().is_empty());
    }
}
