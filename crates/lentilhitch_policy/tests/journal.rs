//! The journal restores the order of tokens for any order of arrival, and drops tokens of other attempts.

use bytes::Bytes;
use lentilhitch_chart::charts::stream::{Event, State};
use lentilhitch_policy::journal::{Journal, JournalRecord, TokenOutcome};
use lentilhitch_types::{AttemptId, Fingerprint, RequestId};
use proptest::prelude::{Just, Strategy, any, prop_assert, prop_assert_eq, proptest};

fn journal() -> Journal {
    Journal::new(JournalRecord {
        request_id: RequestId::from_random(1),
        team: "ausonia".parse().unwrap(),
        service: "review".parse().unwrap(),
        fingerprint: Fingerprint(1),
        body: Bytes::new(),
        path: String::new(),
        tokens: Vec::new(),
        finish_reason: None,
    })
}

fn attempt(idx: u128) -> AttemptId {
    AttemptId::from_random(idx)
}

fn text(position: usize) -> String {
    format!("t{position}")
}

fn deliveries() -> impl Strategy<Value = Vec<(usize, u128)>> {
    let current = (0..30_usize).map(|it| (it, 2)).collect::<Vec<_>>();
    let noise = proptest::collection::vec((0..40_usize, 1..4_u128), 0..30);
    noise.prop_flat_map(move |noise| Just([current.clone(), noise].concat()).prop_shuffle())
}

proptest! {
    #[test]
    fn response_is_complete_and_in_order(deliveries in deliveries()) {
        let mut journal = journal();
        journal.start_attempt(attempt(1));
        journal.step(Event::Started);
        journal.step(Event::UpstreamLost);
        journal.start_attempt(attempt(2));
        journal.step(Event::Started);
        for (position, from) in deliveries {
            let n_before = journal.position();
            // Other attempts send other text, which must never appear in the response.
            let body = if from == 2 { text(position) } else { "stale".to_owned() };
            if from == 2 && 30 <= position {
                continue;
            }
            match journal.record_token(attempt(from), position, body) {
                TokenOutcome::Stale => prop_assert!(from != 2),
                TokenOutcome::Appended(n) => prop_assert_eq!(journal.position(), n_before + n),
                TokenOutcome::OutOfOrder | TokenOutcome::Duplicate => prop_assert_eq!(journal.position(), n_before),
            }
        }
        let expected: Vec<_> = (0..30).map(text).collect();
        prop_assert_eq!(&journal.record.tokens, &expected);
        prop_assert!(journal.finish_attempt(attempt(2), 30, "stop".to_owned()));
        prop_assert_eq!(journal.state(), State::Done);
    }

    #[test]
    fn a_response_with_a_gap_is_incomplete(missing in 0..10_usize, n_reported in 10..12_usize) {
        let mut journal = journal();
        journal.start_attempt(attempt(1));
        journal.step(Event::Started);
        for position in (0..10).filter(|it| *it != missing) {
            journal.record_token(attempt(1), position, text(position));
        }
        prop_assert!(!journal.finish_attempt(attempt(1), n_reported, "stop".to_owned()));
        prop_assert_eq!(journal.state(), State::Moving);
        prop_assert_eq!(journal.position(), missing);
    }

    #[test]
    fn tokens_after_the_end_are_stale(position in any::<usize>()) {
        let mut journal = journal();
        journal.start_attempt(attempt(1));
        journal.step(Event::Started);
        prop_assert!(journal.finish_attempt(attempt(1), 0, "stop".to_owned()));
        prop_assert_eq!(journal.record_token(attempt(1), position, "x".to_owned()), TokenOutcome::Stale);
    }
}
