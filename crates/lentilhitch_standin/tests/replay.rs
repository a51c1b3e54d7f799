//! Replays of the recorded traces give the outcomes in the files next to them, and the expected-cost strategy meets the
//! target, recomputes fewer tokens than the baselines and costs less.

use std::{fs, path::PathBuf, process::Command};

use lentilhitch_standin::{
    replay::{Outcome, replay},
    trace::Trace,
};

const DEPLOYMENTS: [&str; 2] = ["trinacria", "khao-rai"];
/// Required fraction of requests whose time to the first token is within the target.
const WITHIN_TARGET_MIN: f64 = 0.95;

fn traces() -> PathBuf {
    PathBuf::from(concat!(env!("CARGO_MANIFEST_DIR"), "/../../traces"))
}

fn outcomes(name: &str) -> Vec<Outcome> {
    replay(&Trace::load(&traces().join(format!("{name}.json"))).unwrap()).unwrap()
}

#[test]
fn outcomes_match_the_reference() {
    for name in DEPLOYMENTS {
        let reference = fs::read_to_string(traces().join(format!("{name}.outcomes.json"))).unwrap();
        let reference: Vec<Outcome> = serde_json::from_str(&reference).unwrap();
        let actual = outcomes(name);
        assert_eq!(actual.len(), reference.len());
        for (it, reference) in actual.iter().zip(&reference) {
            let counts = |it: &Outcome| {
                (it.strategy.clone(), it.n_requests, it.n_rejected, it.recomputed_tokens)
            };
            assert_eq!(counts(it), counts(reference), "{name}");
            assert!((it.within_target - reference.within_target).abs() < 1e-9, "{name}: {it:?}");
            assert!((it.cost_microusd - reference.cost_microusd).abs() < 1e-3, "{name}: {it:?}");
        }
    }
}

#[test]
fn expected_cost_meets_the_target_with_the_fewest_recomputed_tokens_and_the_lowest_cost() {
    for name in DEPLOYMENTS {
        let outcomes = outcomes(name);
        let (expected_cost, baselines) = outcomes.split_last().unwrap();
        assert_eq!(expected_cost.strategy, "expected cost");
        assert!(WITHIN_TARGET_MIN <= expected_cost.within_target, "{name}: {expected_cost:?}");
        for baseline in baselines {
            assert!(
                expected_cost.recomputed_tokens < baseline.recomputed_tokens,
                "{name}: {baseline:?}"
            );
            assert!(expected_cost.cost_microusd < baseline.cost_microusd, "{name}: {baseline:?}");
        }
    }
}

/// Runs the `replay` command as the developers' page documents it, with a file that is not a trace, and with a missing
/// file.
#[test]
fn command_prints_outcomes_or_a_one_line_error() {
    struct Case {
        files: &'static [&'static str],
        succeeds: bool,
        expected_text: &'static str,
    }
    let cases = [
        Case {
            files: &["khao-rai.json", "trinacria.json"],
            succeeds: true,
            expected_text: "two choices",
        },
        Case {
            files: &["trinacria.outcomes.json"],
            succeeds: false,
            expected_text: "is not a trace",
        },
        Case { files: &["absent.json"], succeeds: false, expected_text: "can't be read" },
    ];
    for case in cases {
        let mut command = Command::new(env!("CARGO_BIN_EXE_lentilhitch_standin"));
        command.arg("replay").args(case.files).current_dir(traces());
        let output = command.output().unwrap();
        let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
        let (out, err) = (text(&output.stdout), text(&output.stderr));
        assert_eq!(output.status.success(), case.succeeds, "{:?}: {err}", case.files);
        if case.succeeds {
            assert!(out.contains(case.expected_text), "{:?}: {out}", case.files);
        } else {
            assert_eq!(err.lines().count(), 1, "{err}");
            assert!(err.contains(case.expected_text) && err.contains(case.files[0]), "{err}");
        }
    }
}
