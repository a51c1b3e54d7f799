//! Placement under load: flash crowds, hot prefixes, convoys of long prompts, and upstreams that fail partly or cannot
//! be reached.

use proptest::{
    collection::vec,
    prelude::{ProptestConfig, prop_assert_eq, proptest},
    test_runner::RngSeed,
};
use rand::{RngExt, SeedableRng, rngs::SmallRng};
use rustc_hash::FxHashMap;
use xxhash_rust::xxh3::xxh3_64;

use lentilhitch_policy::{
    catalog::{Catalog, Settings as CatalogSettings, Upstream},
    placement::{
        Assignment, AttemptResult, InProgress, LoadTable, Prompt, PromptSegment, ReportedLoad,
        Settings, Strategy, upstream_hash,
    },
    traffic::{EntryState, UpstreamEntry},
};
use lentilhitch_types::{LogPosition, SegmentId, SoftwareVersion, UpstreamName};

fn upstreams(n: usize) -> Vec<Upstream> {
    let mut catalog = Catalog::new(CatalogSettings::default());
    for idx in 0..n {
        let entry = UpstreamEntry {
            id: format!("u{idx}").parse().unwrap(),
            service: "draft".parse().unwrap(),
            address: "10.0.0.1:80".parse().unwrap(),
            zone: ["a", "b"][idx % 2].parse().unwrap(),
            state: EntryState::Ready,
            slots: 64,
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

struct Node {
    load_table: LoadTable,
    rng: SmallRng,
}

impl Node {
    fn new(seed: u64) -> Self {
        let load_table = LoadTable::new(Settings::default(), "a".parse().unwrap());
        Self { load_table, rng: SmallRng::seed_from_u64(seed) }
    }

    fn assign(
        &mut self,
        prompt: Option<&Prompt>,
        upstreams: &[Upstream],
        now_ms: u64,
    ) -> Assignment {
        self.load_table.assign(prompt, upstreams.iter(), &[], now_ms, &mut self.rng).unwrap()
    }
}

/// Returns the number of upstreams used and the maximum number of requests at one of them.
fn usage<'a>(assigned: impl Iterator<Item = &'a UpstreamName>) -> (usize, usize) {
    let mut counts: FxHashMap<&UpstreamName, usize> = FxHashMap::default();
    for it in assigned {
        *counts.entry(it).or_default() += 1;
    }
    (counts.len(), counts.values().copied().max().unwrap_or(0))
}

#[test]
fn a_flash_crowd_is_spread() {
    let upstreams = upstreams(8);
    let mut node = Node::new(1);
    let assigned: Vec<_> = (0..160)
        .map(|it| node.assign(Some(&prompt(it, 100, 1_000 + it, 900)), &upstreams, 0).upstream)
        .collect();
    let (n_used, n_max) = usage(assigned.iter());
    assert_eq!(n_used, 8);
    assert!(n_max <= 30, "{n_max} of 160 requests at one of 8 upstreams");
}

#[test]
fn a_hot_prefix_does_not_overload_its_upstream() {
    let upstreams = upstreams(8);
    let mut node = Node::new(1);
    let assigned: Vec<_> = (0..160)
        .map(|it| node.assign(Some(&prompt(1, 4_000, 1_000 + it, 900)), &upstreams, 0).upstream)
        .collect();
    let (n_used, n_max) = usage(assigned.iter());
    assert!(
        4 <= n_used && n_max <= 80,
        "{n_max} of 160 requests at one upstream, {n_used} upstreams used"
    );
}

#[test]
fn nodes_agree_on_the_upstream_of_a_prefix() {
    let upstreams = upstreams(8);
    for shared in 0..20 {
        let assigned = |seed| {
            Node::new(seed).assign(Some(&prompt(shared, 5_000, seed, 500)), &upstreams, 0).upstream
        };
        assert_eq!(assigned(1), assigned(2), "prefix {shared}");
    }
}

#[test]
fn a_request_goes_where_its_prefix_was_sent() {
    let upstreams = upstreams(8);
    let mut node = Node::new(1);
    let mut first = node.assign(Some(&prompt(1, 5_000, 10, 500)), &upstreams, 0);
    node.load_table.on_response_start(&mut first);
    let upstream = first.upstream.clone();
    node.load_table.release(first, AttemptResult::Served, 100);
    let second = node.assign(Some(&prompt(1, 5_000, 11, 500)), &upstreams, 200);
    assert_eq!(second.upstream, upstream);
    assert_eq!(second.uncached_tokens, 500);
}

#[test]
fn short_requests_avoid_a_convoy_of_long_prompts() {
    let upstreams = upstreams(4);
    let mut node = Node::new(1);
    let long: Vec<_> = (0..2)
        .map(|it| node.assign(Some(&prompt(it, 10, 100 + it, 50_000)), &upstreams, 0).upstream)
        .collect();
    for it in 0..20 {
        let short = node.assign(Some(&prompt(500 + it, 100, 600 + it, 200)), &upstreams, 0);
        assert!(!long.contains(&short.upstream), "request {it} behind a long prompt");
    }
}

#[test]
fn requests_sent_by_peers_count() {
    let upstreams = upstreams(2);
    let (mut local, mut peer) = (Node::new(1), Node::new(2));
    for it in 0..10 {
        let only = std::slice::from_ref(&upstreams[0]);
        peer.assign(Some(&prompt(it, 10, 100 + it, 5_000)), only, 0);
    }
    local.load_table.on_peer_report(9, peer.load_table.report(), 0);
    for it in 0..10 {
        let assignment = local.assign(Some(&prompt(50 + it, 10, 200 + it, 500)), &upstreams, 100);
        assert_eq!(assignment.upstream, upstreams[1].entry.id, "request {it}");
    }
    let n_requests = local.load_table.n_requests(&upstreams[0].entry.id, 60_000);
    assert_eq!(n_requests, 10, "a report expires only when the next one of any peer arrives");
    local.load_table.on_peer_report(8, Vec::new(), 60_000);
    assert_eq!(local.load_table.n_requests(&upstreams[0].entry.id, 60_000), 0);
}

#[test]
fn a_partly_failing_upstream_gets_few_requests() {
    let upstreams = upstreams(4);
    let failing = upstreams[1].entry.id.clone();
    let mut node = Node::new(3);
    let mut n_at_failing = 0;
    for it in 0..400 {
        let now_ms = it * 20;
        let assignment = node.assign(None, &upstreams, now_ms);
        let is_failing = assignment.upstream == failing;
        n_at_failing += u64::from(is_failing && 100 < it);
        let result =
            if is_failing && it % 2 == 0 { AttemptResult::Failed } else { AttemptResult::Served };
        node.load_table.release(assignment, result, now_ms + 15);
    }
    assert!(
        n_at_failing <= 40,
        "{n_at_failing} of 300 requests at an upstream that fails half of them"
    );
}

#[test]
fn an_unreachable_upstream_is_ejected_for_a_while() {
    let upstreams = upstreams(2);
    let mut node = Node::new(1);
    let mut assignment = node.assign(None, &upstreams, 0);
    let id = assignment.upstream.clone();
    node.load_table.on_response_start(&mut assignment);
    node.load_table.release(assignment, AttemptResult::Unreachable, 0);
    for it in 0..10 {
        assert_ne!(node.assign(None, &upstreams, 100).upstream, id, "request {it}");
    }
    let only: Vec<_> = upstreams.iter().filter(|it| it.entry.id == id).cloned().collect();
    assert_eq!(
        node.assign(None, &only, 100).upstream,
        id,
        "ejected upstream is used if there is no other"
    );
}

#[test]
fn every_assignment_is_released() {
    let upstreams = upstreams(3);
    let mut node = Node::new(1);
    let results = [
        AttemptResult::Served,
        AttemptResult::Full,
        AttemptResult::Failed,
        AttemptResult::Unreachable,
        AttemptResult::Canceled,
    ];
    for (it, result) in results.into_iter().cycle().take(50).enumerate() {
        let assignment = node.assign(Some(&prompt(it as u64, 10, 99, 500)), &upstreams, 0);
        if it % 3 == 0 {
            node.load_table.reset_upstream(&assignment.upstream.clone());
        }
        node.load_table.release(assignment, result, 0);
    }
    assert!(node.load_table.report().is_empty());
    assert!(upstreams.iter().all(|it| node.load_table.waiting_tokens(&it.entry.id) == 0));
}

#[test]
fn the_prefill_speed_is_measured() {
    let upstreams = upstreams(4);
    let mut node = Node::new(1);
    for it in 0..600 {
        let mut assignment = node.assign(Some(&prompt(it, 10, 10_000 + it, 4_000)), &upstreams, 0);
        // These engines process 20 tokens per millisecond.
        node.load_table.record_first_token(&assignment, u64::from(assignment.uncached_tokens) / 20);
        node.load_table.on_response_start(&mut assignment);
        node.load_table.release(assignment, AttemptResult::Served, 0);
    }
    let measured = node.load_table.prefill_tokens_per_s();
    assert!((18_000.0..22_000.0).contains(&measured), "{measured} tokens per second");
}

/// Guards against figures for operators that differ from those that decide, and against a question that changes state.
#[test]
fn explained_candidates_match_the_choice() {
    let upstreams = upstreams(5);
    let candidates: Vec<_> = upstreams.iter().collect();
    let mut node = Node::new(5);
    for it in 0..200 {
        let request = (it % 4 != 0).then(|| prompt(it % 7, 900, 1_000 + it, 100 * it as u32));
        let now_ms = it * 10;
        let explained = node.load_table.explain(request.as_ref(), &candidates, now_ms);
        let again = node.load_table.explain(request.as_ref(), &candidates, now_ms);
        assert_eq!(explained, again, "request {it}");
        // All five are compared, so that the cheapest one is chosen unless others cost the same.
        let assignment = node.assign(request.as_ref(), &upstreams, now_ms);
        let chosen = explained.iter().find(|it| it.upstream == assignment.upstream).unwrap();
        let is_compared_by_hash = explained.iter().filter(|it| it.hash_rank.is_some()).count();
        let n_usable = match explained.iter().filter(|it| !it.is_ejected).count() {
            0 => explained.len(),
            it => it,
        };
        assert_eq!(is_compared_by_hash, if request.is_some() { n_usable.min(3) } else { 0 });
        if request.is_some() {
            assert_eq!(chosen.cost.to_bits(), explained[0].cost.to_bits(), "request {it}");
            assert_eq!(chosen.uncached_tokens, assignment.uncached_tokens);
        }
        if it % 9 == 0 {
            node.load_table.release(assignment, AttemptResult::Unreachable, now_ms);
        } else if it % 3 == 0 {
            node.load_table.release(assignment, AttemptResult::Served, now_ms);
        }
    }
}

/// A peer's report: the peer's number, then for each upstream its number, the running and the waiting requests and the
/// waiting tokens, and finally the time since the previous report in milliseconds.
type TimedReport = (u64, Vec<(usize, u32, u32, u32)>, u64);

fn timed_report() -> impl proptest::strategy::Strategy<Value = TimedReport> {
    let report = vec((0usize..6, 0u32..5, 0u32..3, 0u32..1_000), 0..6);
    (0u64..5, report, 0u64..3_000)
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(7), ..ProptestConfig::default() })]

    /// Compares the maintained sums with a sum over the latest report of each peer that reported within five seconds.
    #[test]
    fn load_by_peers_is_the_sum_of_their_last_reports(steps in vec(timed_report(), 1..40)) {
        let upstreams = upstreams(6);
        let mut load_table = Node::new(1).load_table;
        let mut last: FxHashMap<u64, (u64, FxHashMap<u32, InProgress>)> = FxHashMap::default();
        let mut now_ms = 0;
        for (peer, report, interval_ms) in steps {
            now_ms += interval_ms;
            let report: FxHashMap<_, _> = report
                .into_iter()
                .map(|(idx, n_running, n_waiting, waiting_tokens)| {
                    let hash = upstream_hash(&upstreams[idx].entry.id);
                    let n_requests = n_running + n_waiting;
                    (hash, InProgress { n_requests, n_waiting, waiting_tokens })
                })
                .collect();
            let in_progress: Vec<_> = report.iter().map(|it| (*it.0, *it.1)).collect();
            load_table.on_peer_report(peer, in_progress, now_ms);
            last.insert(peer, (now_ms, report));
            last.retain(|_, it| now_ms - it.0 <= 5_000);
            for it in &upstreams {
                let hash = upstream_hash(&it.entry.id);
                let reports = last.values().filter_map(|it| it.1.get(&hash));
                let (n_requests, n_waiting, tokens) = reports.fold((0, 0, 0), |sum, it| {
                    let tokens = u64::from(it.waiting_tokens);
                    (sum.0 + it.n_requests, sum.1 + it.n_waiting, sum.2 + tokens)
                });
                prop_assert_eq!(load_table.n_requests(&it.entry.id, now_ms), n_requests);
                prop_assert_eq!(load_table.n_running(&it.entry.id), n_requests - n_waiting);
                prop_assert_eq!(load_table.waiting_tokens(&it.entry.id), tokens);
            }
        }
    }
}

/// Engines that process one prompt after another, at the initial speed estimate of the load tables.
struct Engines {
    /// Time at which each engine has processed all prompts sent to it.
    busy_until_ms: Vec<f64>,
    /// Assignments to release, each with its time and its node.
    in_prefill: Vec<(u64, usize, Assignment)>,
}

const PREFILL_MS_PER_TOKEN: f64 = 0.02;

impl Engines {
    /// Sends a prompt and returns how long it waits before prefill starts, in milliseconds.
    fn send(&mut self, node: usize, assignment: Assignment, now_ms: u64) -> f64 {
        let idx: usize = assignment.upstream.as_str()[1..].parse().unwrap();
        let start_ms = self.busy_until_ms[idx].max(now_ms as f64);
        let end_ms = start_ms + f64::from(assignment.uncached_tokens) * PREFILL_MS_PER_TOKEN;
        self.busy_until_ms[idx] = end_ms;
        self.in_prefill.push((end_ms as u64, node, assignment));
        start_ms - now_ms as f64
    }

    fn tick(&mut self, nodes: &mut [Node], now_ms: u64) {
        for (_, node, mut assignment) in self.in_prefill.extract_if(.., |it| it.0 <= now_ms) {
            nodes[node].load_table.on_response_start(&mut assignment);
            nodes[node].load_table.release(assignment, AttemptResult::Served, now_ms);
        }
    }
}

/// Guards against the herd effect: many nodes know each other's load one second late, and all see the same engine idle.
/// With the engines half busy, at most 5 in 100 prompts may wait longer than a third of a second, which is half of the
/// time to the first token.
#[test]
fn nodes_with_stale_reports_do_not_all_choose_the_same_engine() {
    const N_NODES: usize = 40;
    const REPORT_MS: u64 = 1_000;
    const REQUESTS_PER_MS: f64 = 0.9;
    let upstreams = upstreams(60);
    let mut nodes: Vec<_> = (0..N_NODES as u64).map(Node::new).collect();
    let mut engines = Engines { busy_until_ms: vec![0.0; 60], in_prefill: Vec::new() };
    let mut rng = SmallRng::seed_from_u64(1);
    let (mut n_sent, mut n_late) = (0_u64, 0_u64);
    for now_ms in 0..8_000 {
        engines.tick(&mut nodes, now_ms);
        for from in 0..N_NODES {
            if now_ms % REPORT_MS == from as u64 * REPORT_MS / N_NODES as u64 {
                let report = nodes[from].load_table.report();
                for (to, node) in nodes.iter_mut().enumerate().filter(|it| it.0 != from) {
                    assert_ne!(to, from);
                    node.load_table.on_peer_report(from as u64, report.clone(), now_ms);
                }
            }
        }
        if rng.random_bool(REQUESTS_PER_MS) {
            let from = rng.random_range(0..N_NODES);
            let prompt = prompt(rng.random_range(0..400), 200, 1_000 + now_ms, 1_500);
            let assignment = nodes[from].assign(Some(&prompt), &upstreams, now_ms);
            n_sent += 1;
            n_late += u64::from(333.0 < engines.send(from, assignment, now_ms));
        }
    }
    assert!(n_late * 100 <= n_sent * 5, "{n_late} of {n_sent} prompts waited too long");
}

#[test]
fn every_strategy_has_a_name_and_places_requests() {
    let upstreams = upstreams(4);
    for name in ["cost", "random", "round-robin", "least-reported", "two-choices"] {
        let settings = Settings { strategy: name.parse().unwrap(), ..Settings::default() };
        let mut node =
            Node { load_table: LoadTable::new(settings, "a".parse().unwrap()), ..Node::new(1) };
        let assigned: Vec<_> = (0..40)
            .map(|it| node.assign(Some(&prompt(it, 10, 100 + it, 500)), &upstreams, 0).upstream)
            .collect();
        assert_eq!(usage(assigned.iter()).0, 4, "{name}");
    }
    assert!("fastest".parse::<Strategy>().unwrap_err().contains("fastest"));
}

/// Returns a hash of the choices among `n` upstreams under changing loads, failures and ejections.
fn choices_hash(n: usize, strategy: Strategy) -> u64 {
    let mut upstreams = upstreams(n);
    // The order of a hash map differs between processors.
    upstreams.sort_by(|a, b| a.entry.id.cmp(&b.entry.id));
    let settings = Settings { strategy, ..Settings::default() };
    let mut table = LoadTable::new(settings, "a".parse().unwrap());
    let mut rng = SmallRng::seed_from_u64(n as u64);
    let mut running = Vec::new();
    let mut names = String::new();
    for step in 0..3_000 {
        let now_ms = 10 * step;
        let upstream = &upstreams[rng.random_range(0..n)].entry.id;
        match step % 7 {
            0 => {
                let load = InProgress { n_requests: 9, n_waiting: 3, waiting_tokens: 9_000 };
                table.on_peer_report(step % 5, vec![(upstream_hash(upstream), load)], now_ms);
            }
            1 => {
                let load = ReportedLoad { n_running: 12, n_waiting: 2, ..ReportedLoad::default() };
                table.record_load(upstream, load, now_ms);
            }
            _ => {}
        }
        if step % 501 == 0 {
            table.reset_upstream(upstream);
        }
        if step % 1_201 == 0 {
            table.end_ejections();
        }
        let prompt = prompt(rng.random_range(0..20), 2_000, 1_000 + step, 700);
        let prompt = (step % 3 != 0).then_some(&prompt);
        let excluded = if step % 11 == 0 { vec![upstream.clone()] } else { Vec::new() };
        let candidates = upstreams.iter().skip(usize::from(step % 13 == 0));
        let assigned = table.assign(prompt, candidates, &excluded, now_ms, &mut rng).unwrap();
        names += assigned.upstream.as_str();
        running.push(assigned);
        if 30 < running.len() {
            let result = match rng.random_range(0..12) {
                0 | 1 => AttemptResult::Unreachable,
                2 => AttemptResult::Failed,
                _ => AttemptResult::Served,
            };
            table.release(running.remove(0), result, now_ms);
        }
    }
    xxh3_64(names.as_bytes())
}

/// Guards against an optimization that changes where the requests of small deployments go.
#[test]
fn choices_on_the_same_seed_stay_the_same() {
    let cases = [
        (7, Strategy::Cost, 0x9ed8_9174_1630_1cfa),
        (30, Strategy::Cost, 0xbed1_cca5_e485_14f5),
        (112, Strategy::Cost, 0xebf5_91c1_c852_4a4a),
        (30, Strategy::LeastReported, 0x78a3_8b8a_1495_0352),
        (30, Strategy::TwoChoices, 0x91fe_13a5_30c8_2e4e),
        (30, Strategy::RoundRobin, 0x09e2_42e7_2807_fb37),
    ];
    let hashes: Vec<_> = cases.iter().map(|it| choices_hash(it.0, it.1)).collect();
    let expected: Vec<u64> = cases.iter().map(|it| it.2).collect();
    assert_eq!(hashes, expected);
}
