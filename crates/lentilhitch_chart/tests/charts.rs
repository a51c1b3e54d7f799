//! Checks that the embedded charts load, and that no path through them violates their invariants.

use std::fmt::Debug;

use lentilhitch_chart::{
    Chart, ChartEnum, Defect,
    charts::{call, lease, peer, process, stream, upstream},
};

/// Visits every path of a chart up to `depth` events and passes each to `check` as `(state, event, next state,
/// actions)` steps. Steps that neither change the state nor have actions are omitted.
fn visit_paths<S: ChartEnum, E: ChartEnum, A: ChartEnum>(
    chart: &Chart<S, E, A>,
    depth: usize,
    check: &mut impl FnMut(&[(S, E, S, Vec<A>)]),
) {
    fn visit<S: ChartEnum, E: ChartEnum, A: ChartEnum>(
        chart: &Chart<S, E, A>,
        depth: usize,
        path: &mut Vec<(S, E, S, Vec<A>)>,
        check: &mut impl FnMut(&[(S, E, S, Vec<A>)]),
    ) {
        check(path);
        let state = path.last().map_or(chart.initial(), |it| it.2);
        if depth == 0 || chart.is_final(state) {
            return;
        }
        for event in E::ALL {
            let step = chart.step(state, *event);
            if step.to == state && step.actions.is_empty() {
                continue;
            }
            path.push((state, *event, step.to, step.actions));
            visit(chart, depth - 1, path, check);
            path.pop();
        }
    }
    visit(chart, depth, &mut Vec::new(), check);
}

#[test]
fn a_call_is_sent_at_most_once_and_only_after_its_own_claim_was_read_first() {
    visit_paths(&call::CHART, 8, &mut |path| {
        let sends = path.iter().filter(|it| it.3.contains(&call::Action::Send)).count();
        assert!(sends <= 1, "{path:?}");
        for step in path.iter().filter(|it| it.3.contains(&call::Action::Send)) {
            assert_eq!(step.1, call::Event::OwnClaimFirst, "{path:?}");
        }
        let dispatched = path.iter().any(|it| it.1 == call::Event::Dispatched);
        if let Some((_, _, call::State::NotRun, _)) = path.last() {
            assert!(!dispatched, "a call that reached an upstream is never not_run: {path:?}");
        }
    });
}

#[test]
fn an_unused_claim_that_may_be_in_the_log_is_released() {
    visit_paths(&call::CHART, 8, &mut |path| {
        let Some((before, event, call::State::NotRun, actions)) = path.last() else { return };
        let is_absent = *before == call::State::New || *event == call::Event::AppendRejected;
        assert_eq!(!is_absent, actions.contains(&call::Action::Release), "{path:?}");
    });
}

#[test]
fn a_stream_finishes_at_most_once_and_forwards_tokens_only_while_running() {
    visit_paths(&stream::CHART, 6, &mut |path| {
        for step in path.iter().filter(|it| it.3.contains(&stream::Action::Forward)) {
            assert_eq!(step.0, stream::State::Running, "{path:?}");
        }
        assert!(path.iter().filter(|it| it.3.contains(&stream::Action::Finish)).count() <= 1);
    });
}

#[test]
fn a_leaving_upstream_remains_leaving_within_its_incarnation() {
    visit_paths(&upstream::CHART, 6, &mut |path| {
        for step in path
            .iter()
            .filter(|it| it.0 == upstream::State::Leaving && it.2 != upstream::State::Leaving)
        {
            assert_eq!(step.1, upstream::Event::NewIncarnation, "{path:?}");
        }
    });
}

#[test]
fn a_process_that_has_served_announces_that_it_leaves_before_it_stops() {
    visit_paths(&process::CHART, 8, &mut |path| {
        let served = path.iter().any(|it| it.2 == process::State::Serving);
        let announced = path.iter().any(|it| it.3.contains(&process::Action::AnnounceLeaving));
        if path.last().is_some_and(|it| it.2 == process::State::Stopped) {
            assert_eq!(served, announced, "{path:?}");
        }
    });
}

#[test]
fn orders_are_given_only_while_the_lease_is_held() {
    visit_paths(&lease::CHART, 7, &mut |path| {
        let mut gives_orders = false;
        for (_, _, to, actions) in path {
            gives_orders |= actions.contains(&lease::Action::BeginOrders);
            gives_orders &= !actions.contains(&lease::Action::EndOrders);
            let held = matches!(to, lease::State::Held | lease::State::Renewing);
            assert_eq!(gives_orders, held, "{path:?}");
        }
    });
}

#[test]
fn a_peer_becomes_dead_only_from_suspect_or_leaving() {
    visit_paths(&peer::CHART, 6, &mut |path| {
        for step in path.iter().filter(|it| it.2 == peer::State::Dead && it.0 != peer::State::Dead)
        {
            assert!(matches!(step.0, peer::State::Suspect | peer::State::Leaving), "{path:?}");
        }
    });
}

struct DefectCase {
    name: &'static str,
    json: String,
    expected: Vec<Defect>,
}

fn valid_chart() -> serde_json::Value {
    serde_json::from_str(upstream::SOURCE).unwrap()
}

fn edited_chart(edit: impl FnOnce(&mut serde_json::Value)) -> String {
    let mut json = valid_chart();
    edit(&mut json);
    json.to_string()
}

fn debug_text(value: impl Debug) -> String {
    format!("{value:?}")
}

#[test]
fn all_defects_of_a_chart_are_reported_together() {
    let cases = [
        DefectCase { name: "valid chart", json: valid_chart().to_string(), expected: vec![] },
        DefectCase {
            name: "unhandled event and unknown name",
            json: edited_chart(|it| {
                it["states"]["leaving"]["ignore"] = serde_json::json!(["report", "flood"]);
            }),
            expected: vec![
                Defect::UnknownName { kind: "event", name: "flood".into() },
                Defect::Unhandled {
                    state: debug_text(upstream::State::Leaving),
                    event: debug_text(upstream::Event::ConnectFailed),
                },
                Defect::Unhandled {
                    state: debug_text(upstream::State::Leaving),
                    event: debug_text(upstream::Event::ReportOverdue),
                },
                Defect::Unhandled {
                    state: debug_text(upstream::State::Leaving),
                    event: debug_text(upstream::Event::Notice),
                },
            ],
        },
        DefectCase {
            name: "unreachable state",
            json: edited_chart(|it| {
                for state in ["untried", "available", "unreachable"] {
                    it["states"][state]["on"]["notice"] = serde_json::json!({"to": state});
                }
            }),
            expected: vec![Defect::Unreachable(debug_text(upstream::State::Leaving))],
        },
        DefectCase {
            name: "final state with events",
            json: edited_chart(|it| it["final"] = serde_json::json!(["leaving"])),
            expected: vec![Defect::FinalStateHandlesEvents(debug_text(upstream::State::Leaving))],
        },
    ];
    for case in cases {
        let res = Chart::<upstream::State, upstream::Event, upstream::Action>::load(&case.json);
        let found = res.err().map(|it| it.0).unwrap_or_default();
        assert_eq!(found, case.expected, "{}", case.name);
    }
}
