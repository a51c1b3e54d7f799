//! Recorded traces give the outcomes that are stated beside them, and ours earns its keep.

use std::{fs, path::PathBuf};

use lentilhitch_standin::{
    replay::{Outcome, replay},
    trace::Trace,
};

const NAMES: [&str; 2] = ["trinacria", "khao-rai"];
/// Share of first tokens within the target that the letter asks for.
const WITHIN_TARGET: f64 = 0.95;

fn traces() -> PathBuf {
    PathBuf::from(concat!(env!("CARGO_MANIFEST_DIR"), "/../../traces"))
}

fn outcomes(name: &str) -> Vec<Outcome> {
    replay(&Trace::load(&traces().join(format!("{name}.json"))).unwrap()).unwrap()
}

#[test]
fn outcomes_are_as_stated() {
    for name in NAMES {
        let stated = fs::read_to_string(traces().join(format!("{name}.outcomes.json"))).unwrap();
        let stated: Vec<Outcome> = serde_json::from_str(&stated).unwrap();
        let found = outcomes(name);
        assert_eq!(found.len(), stated.len());
        for (it, stated) in found.iter().zip(&stated) {
            let counts = |it: &Outcome| {
                (it.strategy.clone(), it.n_requests, it.n_refused, it.recomputed_tokens)
            };
            assert_eq!(counts(it), counts(stated), "{name}");
            assert!((it.within_target - stated.within_target).abs() < 1e-9, "{name}: {it:?}");
            assert!((it.cost_microusd - stated.cost_microusd).abs() < 1e-3, "{name}: {it:?}");
        }
    }
}

#[test]
fn ours_is_within_the_target_and_recomputes_least() {
    for name in NAMES {
        let outcomes = outcomes(name);
        let (ours, baselines) = outcomes.split_last().unwrap();
        assert_eq!(ours.strategy, "expected cost");
        assert!(WITHIN_TARGET <= ours.within_target, "{name}: {ours:?}");
        for baseline in baselines {
            assert!(ours.recomputed_tokens < baseline.recomputed_tokens, "{name}: {baseline:?}");
            assert!(ours.cost_microusd < baseline.cost_microusd, "{name}: {baseline:?}");
        }
    }
}
