//! Concurrent publishing: for any interleaving of records, one change per replaced version takes effect, and the
//! version of a key never goes back.

use lentilhitch_config::{
    Change, ChangeOutcome, DeclarationKey, PublishRecord, PublishedDeclarations,
};
use lentilhitch_types::{AttemptId, LogOffset};
use proptest::prelude::{prop_assert, prop_assert_eq, proptest};

fn key(idx: u8) -> DeclarationKey {
    format!("service/s{idx}").parse().unwrap()
}

proptest! {
    #[test]
    fn fold_matches_reference_history(records in proptest::collection::vec((0..3_u8, proptest::option::of(0..20_u64), 0..3_u8), 0..40)) {
        let mut published = PublishedDeclarations::default();
        let mut history: Vec<(DeclarationKey, u64)> = Vec::new();
        for (offset, (idx, replaces, other_idx)) in records.into_iter().enumerate() {
            let offset = offset as u64;
            let change = |idx| Change { key: key(idx), replaces: replaces.map(LogOffset), declaration: None };
            let changes = if idx == other_idx { vec![change(idx)] } else { vec![change(idx), change(other_idx)] };
            let record = PublishRecord { attempt: AttemptId::from_random(1), operator: "rosa".into(), changes };
            let versions_before: Vec<_> = (0..3).map(|it| published.version(&key(it))).collect();
            for (key, outcome) in published.apply_changes(LogOffset(offset), &record) {
                let current = history.iter().rev().find(|it| it.0 == key).map(|it| it.1);
                let takes_effect = current == replaces;
                prop_assert_eq!(matches!(outcome, ChangeOutcome::InForce { .. }), takes_effect);
                if takes_effect {
                    history.push((key, offset));
                }
            }
            for (idx, version_before) in versions_before.into_iter().enumerate() {
                prop_assert!(version_before <= published.version(&key(idx as u8)));
            }
        }
    }
}
