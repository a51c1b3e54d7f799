//! Placement by the pace that upstreams state, and services without paces, whose choices must not change.

use rand::{RngExt, SeedableRng, rngs::SmallRng};

use lentilhitch_policy::{
    catalog::{Catalog, Settings as CatalogSettings, Upstream},
    placement::{AttemptResult, LoadTable, Prompt, PromptSegment, ReportedLoad, Settings, pace},
    traffic::{EntryState, UpstreamEntry},
};
use lentilhitch_types::{LogPosition, SegmentId, SoftwareVersion};

use engines::{Load, Source, simulate};
use former::Former;

mod engines;
mod former;

/// Returns upstreams of a service, named by the first letter of the service and a number, or `u` for the service `draft`.
fn upstreams(n: usize, service: &str, slots: u32) -> Vec<Upstream> {
    let mut catalog = Catalog::new(CatalogSettings::default());
    let letter = if service == "draft" { "u" } else { &service[..1] };
    for idx in 0..n {
        let entry = UpstreamEntry {
            id: format!("{letter}{idx}").parse().unwrap(),
            service: service.parse().unwrap(),
            address: "10.0.0.1:80".parse().unwrap(),
            zone: ["a", "b"][idx % 2].parse().unwrap(),
            state: EntryState::Ready,
            slots,
            started_ms: 1,
            is_spot: false,
            version: SoftwareVersion::default(),
            leaves_in_ms: None,
        };
        catalog.insert(entry, LogPosition::from(idx as u64 + 1), 0);
    }
    catalog.iter().cloned().collect()
}

fn prompt(shared: u64, shared_tokens: u32, unshared: u64, unshared_tokens: u32) -> Prompt {
    Prompt {
        segments: vec![
            PromptSegment { id: SegmentId(shared), tokens: shared_tokens },
            PromptSegment { id: SegmentId(unshared), tokens: unshared_tokens },
        ],
        input_tokens: u64::from(shared_tokens + unshared_tokens),
        output_tokens_max: 200,
    }
}

fn table() -> LoadTable {
    LoadTable::new(Settings::default(), "a".parse().unwrap())
}

/// Guards against a change of the choices of services without paces, also beside a service with paces on the same node.
#[test]
fn services_without_paces_get_the_former_choices() {
    for (seed, has_prompts) in [(1, true), (2, false), (3, true), (4, false)] {
        let services = [upstreams(9, "draft", 8), upstreams(9, "paced", 8)];
        let (mut now, mut former) = (table(), Former::new(Settings::default()));
        let mut rng = SmallRng::seed_from_u64(seed);
        let (mut rng_now, mut rng_former) = (rng.clone(), rng.clone());
        let mut running = Vec::new();
        for step in 0..4_000_u64 {
            let now_ms = step * 7;
            let is_paced = rng.random_bool(0.3);
            let pool = &services[usize::from(is_paced)];
            let prompt = has_prompts.then(|| {
                prompt(rng.random_range(0..30), 900, 1_000 + step, rng.random_range(100..5_000))
            });
            let expected = former.choose(prompt.as_ref(), pool, now_ms, &mut rng_former);
            let assignment =
                now.assign(prompt.as_ref(), pool.iter(), &[], now_ms, &mut rng_now).unwrap();
            let (id, uncached) = (assignment.upstream.clone(), assignment.uncached_tokens);
            if !is_paced {
                assert_eq!((&id, uncached), (&expected.0, expected.1), "seed {seed}, step {step}");
            }
            let was_queue_empty = former.waiting_tokens(&id) == 0;
            former.assign(&id, prompt.as_ref(), uncached);
            running.push((assignment, was_queue_empty));
            let load = ReportedLoad {
                n_running: rng.random_range(0..12),
                n_waiting: rng.random_range(0..3),
                slots: Some(rng.random_range(1..20)),
                pace: is_paced.then(|| rng.random_range(50.0..400.0)),
            };
            now.record_load(&id, load, now_ms);
            former.record_load(&id, load, now_ms);
            if let Some(pace) = load.pace {
                let entry = pool.iter().find(|it| it.entry.id == id).unwrap();
                now.record_pace(&entry.entry, pace, now_ms);
            }
            while rng.random_range(0..25) < running.len() {
                let idx = rng.random_range(0..running.len());
                let (mut assignment, was_queue_empty) = running.swap_remove(idx);
                let elapsed_ms = rng.random_range(1..150);
                let (id, uncached) = (assignment.upstream.clone(), assignment.uncached_tokens);
                now.record_first_token(&assignment, elapsed_ms);
                now.on_response_start(&mut assignment);
                former.on_first_token(&id, uncached, was_queue_empty, elapsed_ms);
                let results = [AttemptResult::Served, AttemptResult::Full, AttemptResult::Failed];
                let result = results[rng.random_range(0..3)];
                now.release(assignment, result, now_ms);
                former.release(&id, result);
            }
        }
    }
}

/// Figures of an upstream beside those of others, and whether it is preferred to them.
struct Case {
    name: &'static str,
    /// Paces that the first upstream states. All others state 100.
    stated: Vec<f64>,
    /// Response times of the first upstream. Those of all others are 20 ms.
    response_ms: Option<u64>,
    /// Time from the figures to the choice.
    age_ms: u64,
    /// Time of the latest figures of the others.
    others_at_ms: u64,
    /// Number of 100 requests, each released at once, that the first of four upstreams gets.
    expected: std::ops::RangeInclusive<usize>,
}

#[test]
fn work_goes_where_it_takes_less_time() {
    let case = |name, stated, expected| Case {
        name,
        stated,
        response_ms: None,
        age_ms: 0,
        others_at_ms: 0,
        expected,
    };
    let cases = [
        case("slow machine", vec![300.0], 0..=5),
        case("fast machine", vec![30.0], 40..=100),
        case("absurd figures are ignored", vec![0.0, -5.0, f64::NAN, f64::INFINITY, 1e9], 5..=60),
        Case { response_ms: Some(60), ..case("no pace, slow responses", vec![], 0..=5) },
        Case { response_ms: Some(7), ..case("no pace, fast responses", vec![], 40..=100) },
        case("no pace and no responses count as the median", vec![], 5..=60),
        Case {
            age_ms: 40_000,
            others_at_ms: 40_000,
            ..case("an upstream that was slow is tried again", vec![900.0], 1..=100)
        },
        Case { age_ms: 61_000, ..case("no figures for a minute", vec![30.0], 5..=60) },
    ];
    for it in cases {
        let upstreams: Vec<_> = upstreams(8, "draft", 8)
            .into_iter()
            .filter(|it| it.entry.zone.as_str() == "a")
            .collect();
        let mut table = table();
        let mut rng = SmallRng::seed_from_u64(1);
        for other in &upstreams[1..] {
            table.record_pace(&other.entry, 100.0, it.others_at_ms);
        }
        for _ in 0..it.response_ms.map_or(0, |_| 40) {
            for (idx, upstream) in upstreams.iter().enumerate() {
                let only = std::iter::once(upstream);
                let mut assignment = table.assign(None, only, &[], 0, &mut rng).unwrap();
                let elapsed_ms = if idx == 0 { it.response_ms.unwrap() } else { 20 };
                table.record_first_token(&assignment, elapsed_ms);
                table.on_response_start(&mut assignment);
                table.release(assignment, AttemptResult::Served, 0);
            }
        }
        for pace in &it.stated {
            table.record_pace(&upstreams[0].entry, *pace, 0);
        }
        let n_first = (0..100).filter(|_| {
            let assignment =
                table.assign(None, upstreams.iter(), &[], it.age_ms, &mut rng).unwrap();
            let is_first = assignment.upstream == upstreams[0].entry.id;
            table.release(assignment, AttemptResult::Served, it.age_ms);
            is_first
        });
        let n_first = n_first.count();
        assert!(it.expected.contains(&n_first), "{}: {n_first} of 100 requests", it.name);
    }
}

fn settings(pace: pace::Settings) -> Settings {
    Settings { pace, ..Settings::default() }
}

/// Guards against a use of the pace that costs first tokens, with 75 nodes in front of 112 engines of uneven and changing
/// pace and figures up to a second old. Prints the share of first tokens in time with pace read and unread.
#[test]
fn reading_the_pace_costs_no_first_tokens() {
    /// Difference between two seeds of the same settings.
    const NOISE: f64 = 0.005;
    let load = Load {
        seed: 1,
        requests_per_ms: 0.52,
        pace_change_ms: 500.0,
        source: Source::Every(1_000),
    };
    let unread = pace::Settings { is_used: false, ..pace::Settings::default() };
    let read = simulate(load, settings(pace::Settings::default())).share_in_time;
    let unread = simulate(load, settings(unread)).share_in_time;
    println!("in time with pace {read:.4}, without {unread:.4}");
    assert!(unread - NOISE <= read, "{read} in time with pace, {unread} without");
}

/// Prints the shares for the choice of the settings. Takes minutes, so it runs only if `PACE_SWEEP` is set, see
/// `docs/design/capacity-measure.md`.
#[test]
fn sweep() {
    if !is_sweep_wanted() {
        return;
    }
    let base = pace::Settings::default();
    let scaled = pace::Settings { engine_weight: 1.0, ..base };
    let variants = [
        ("unread", pace::Settings { is_used: false, ..base }),
        ("weight 0", base),
        ("weight 0.2", pace::Settings { engine_weight: 0.2, ..base }),
        ("weight 1", scaled),
        ("weight 1, average only", pace::Settings { useful_ms: 0.001, ..scaled }),
        ("weight 1, useful 2 s", pace::Settings { useful_ms: 2_000.0, ..scaled }),
        ("weight 1, useful without end", pace::Settings { useful_ms: 1e9, ..scaled }),
    ];
    for source in [Source::Every(1_000), Source::Every(250), Source::OwnResponses] {
        for (name, it) in variants {
            let share = |(requests_per_ms, pace_change_ms)| {
                let load = |seed| Load { seed, requests_per_ms, pace_change_ms, source };
                (1..=2).map(|seed| simulate(load(seed), settings(it)).share_in_time).sum::<f64>()
                    / 2.0
            };
            let shares = [(0.52, 500.0), (0.52, 5_000.0), (0.7, 500.0), (0.7, 5_000.0)].map(share);
            println!("{source:?}, {name}: {shares:.4?}");
        }
    }
}

/// Prints how far estimated paces are from the actual ones, by how long figures count. Takes minutes, so it runs only if
/// `PACE_SWEEP` is set, see `docs/design/capacity-measure.md`.
#[test]
fn pace_errors() {
    if !is_sweep_wanted() {
        return;
    }
    for source in [Source::Every(1_000), Source::OwnResponses] {
        for pace_change_ms in [200.0, 1_000.0, 5_000.0] {
            let load = Load { seed: 1, requests_per_ms: 0.52, pace_change_ms, source };
            let error = |(useful_ms, average_ms)| {
                let it = pace::Settings { useful_ms, average_ms, ..pace::Settings::default() };
                simulate(load, settings(it)).pace_error
            };
            let errors = [
                (0.001, 5_000.0),
                (200.0, 5_000.0),
                (500.0, 5_000.0),
                (2_000.0, 5_000.0),
                (1e9, 5_000.0),
                (500.0, 1_000.0),
                (500.0, 20_000.0),
            ];
            println!("{source:?}, {pace_change_ms} ms: {:.3?}", errors.map(error));
        }
    }
}

fn is_sweep_wanted() -> bool {
    std::env::var_os("PACE_SWEEP").is_some()
}
