//! Recorded traces give the outcomes that are stated beside them, and ours earns its keep.

use std::{fs, path::PathBuf, process::Command};

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

/// The command of the developers' page, and a file that is no trace.
#[test]
fn the_command_prints_outcomes_or_one_line_that_says_what_is_wrong() {
    struct Case {
        files: &'static [&'static str],
        is_good: bool,
        says: &'static str,
    }
    let cases = [
        Case { files: &["khao-rai.json", "trinacria.json"], is_good: true, says: "two choices" },
        Case { files: &["trinacria.outcomes.json"], is_good: false, says: "is not a trace" },
        Case { files: &["absent.json"], is_good: false, says: "can't be read" },
    ];
    for case in cases {
        let mut command = Command::new(env!("CARGO_BIN_EXE_lentilhitch_standin"));
        command.arg("replay").args(case.files).current_dir(traces());
        let output = command.output().unwrap();
        let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
        let (out, err) = (text(&output.stdout), text(&output.stderr));
        assert_eq!(output.status.success(), case.is_good, "{:?}: {err}", case.files);
        if case.is_good {
            assert!(out.contains(case.says), "{:?}: {out}", case.files);
        } else {
            assert_eq!(err.lines().count(), 1, "{err}");
            assert!(err.contains(case.says) && err.contains(case.files[0]), "{err}");
        }
    }
}
