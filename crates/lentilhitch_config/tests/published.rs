//! Racing operators: one wins for each key, in any interleaving, and nothing reverts.

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
    fn fold_agrees_with_naive_history(publishes in proptest::collection::vec((0..3_u8, proptest::option::of(0..20_u64), 0..3_u8), 0..40)) {
        let mut published = PublishedDeclarations::default();
        let mut history: Vec<(DeclarationKey, u64)> = Vec::new();
        for (offset, (idx, replaces, other)) in publishes.into_iter().enumerate() {
            let offset = offset as u64;
            let change = |idx| Change { key: key(idx), replaces: replaces.map(LogOffset), declaration: None };
            let changes = if idx == other { vec![change(idx)] } else { vec![change(idx), change(other)] };
            let publish = PublishRecord { attempt: AttemptId::from_random(1), operator: "rosa".into(), changes };
            let before: Vec<_> = (0..3).map(|it| published.version(&key(it))).collect();
            for (key, verdict) in published.apply_changes(LogOffset(offset), &publish) {
                let current = history.iter().rev().find(|it| it.0 == key).map(|it| it.1);
                let wins = current == replaces;
                prop_assert_eq!(matches!(verdict, ChangeOutcome::InForce { .. }), wins);
                if wins {
                    history.push((key, offset));
                }
            }
            for (idx, before) in before.into_iter().enumerate() {
                prop_assert!(before <= published.version(&key(idx as u8)));
            }
        }
    }
}
