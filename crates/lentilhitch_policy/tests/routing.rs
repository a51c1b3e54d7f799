//! Strategies compared with naive versions, and the preferences that the expected cost must have.

use lentilhitch_policy::routing::{
    ExpectedCost, LeastReported, Load, PrefixIndex, Random, RequestEstimate, RoundRobin,
    Strategy as _, TwoChoices, UpstreamView, block_hashes,
};
use lentilhitch_types::UpstreamName;
use proptest::prelude::{Strategy, any, prop_assert, prop_assert_eq, proptest};
use rand::{SeedableRng, rngs::SmallRng};

fn view() -> impl Strategy<Value = UpstreamView> {
    (0..40_u32, 0..20_000_u64, 0..10_u32, 0..8_000_u64, 0.5..3.0_f64).prop_map(
        |(n, queued, sent, cached, network)| UpstreamView {
            load: Load {
                n_requests: n,
                queued_prompt_tokens: queued,
                prefill_tokens_per_s: 8_000.0,
                slots: 16,
            },
            n_sent_since_report: sent,
            cached_tokens: cached,
            network_ms: network,
            ..UpstreamView::default()
        },
    )
}

proptest! {
    #[test]
    fn strategies_agree_with_naive_search(views in proptest::collection::vec(view(), 0..20), prompt_tokens in 1..20_000_u64, seed in any::<u64>()) {
        let request = RequestEstimate { prompt_tokens, first_token_target_ms: 710.0, duration_ms: 5_000.0 };
        let mut expected_cost = ExpectedCost::default();
        let chosen = expected_cost.choose(&request, &views);
        prop_assert_eq!(chosen.is_some(), !views.is_empty());
        if let Some(chosen) = chosen {
            let cost = expected_cost.cost_ms(&request, &views[chosen]);
            prop_assert!(views.iter().all(|it| cost <= expected_cost.cost_ms(&request, it)));
            let least_loaded = LeastReported.choose(&request, &views).unwrap();
            prop_assert!(views.iter().all(|it| views[least_loaded].load.n_requests <= it.load.n_requests));
            let mut rng = SmallRng::seed_from_u64(seed);
            prop_assert!(Random(&mut rng).choose(&request, &views).unwrap() < views.len());
            prop_assert!(TwoChoices(&mut rng).choose(&request, &views).unwrap() < views.len());
            let mut round_robin = RoundRobin::default();
            let mut seen: Vec<_> = (0..views.len()).map(|_| round_robin.choose(&request, &views).unwrap()).collect();
            seen.sort_unstable();
            prop_assert_eq!(seen, (0..views.len()).collect::<Vec<_>>());
        }
    }

    #[test]
    fn cached_fraction_agrees_with_naive_prefix(n_stored in 0..20_usize, n_requested in 0..20_usize) {
        let name: UpstreamName = "engine-1".parse().unwrap();
        let text: Vec<u8> = (0..20 * 256_u32).map(|it| (it % 251) as u8).collect();
        let mut index = PrefixIndex::new(1000);
        index.insert(&name, &block_hashes(&text[..n_stored * 256]));
        let fraction = index.cached_fraction(&name, &block_hashes(&text[..n_requested * 256]));
        let expected = if n_requested == 0 { 0.0 } else { n_stored.min(n_requested) as f64 / n_requested as f64 };
        prop_assert!((fraction - expected).abs() < 1e-9);
    }

    #[test]
    fn the_index_stays_within_its_bound(n in 1..200_usize, bound in 1..50_usize) {
        let name: UpstreamName = "engine-1".parse().unwrap();
        let mut index = PrefixIndex::new(bound);
        let blocks: Vec<u64> = (0..n as u64).collect();
        index.insert(&name, &blocks);
        let newest: Vec<u64> = blocks.iter().rev().take(bound).copied().collect();
        prop_assert!((index.cached_fraction(&name, &newest) - 1.0).abs() < 1e-9);
        if bound < n {
            prop_assert!(index.cached_fraction(&name, &blocks[..1]).abs() < 1e-9);
        }
    }
}

struct Case {
    name: &'static str,
    first: UpstreamView,
    second: UpstreamView,
}

#[test]
fn expected_cost_prefers_the_first() {
    let load = Load {
        n_requests: 4,
        queued_prompt_tokens: 1_000,
        prefill_tokens_per_s: 8_000.0,
        slots: 16,
    };
    let base = UpstreamView {
        load,
        network_ms: 0.5,
        price_microusd_per_hour: 1_000_000,
        ..UpstreamView::default()
    };
    let cases = [
        Case {
            name: "cached prefix",
            first: UpstreamView { cached_tokens: 3_000, ..base },
            second: base,
        },
        Case {
            name: "sent since the report",
            first: base,
            second: UpstreamView { prompt_tokens_sent_since_report: 9_000, ..base },
        },
        Case { name: "near", first: base, second: UpstreamView { network_ms: 40.0, ..base } },
        Case {
            name: "cheap",
            first: base,
            second: UpstreamView { price_microusd_per_hour: 9_000_000, ..base },
        },
        Case {
            name: "seldom reclaimed",
            first: base,
            second: UpstreamView { reclaims_per_hour: 30.0, ..base },
        },
        Case {
            name: "a free slot before a cached prefix",
            first: base,
            second: UpstreamView { cached_tokens: 3_000, n_sent_since_report: 60, ..base },
        },
    ];
    let request = RequestEstimate {
        prompt_tokens: 4_000,
        first_token_target_ms: 710.0,
        duration_ms: 10_000.0,
    };
    for case in cases {
        assert_eq!(
            ExpectedCost::default().choose(&request, &[case.second, case.first]),
            Some(1),
            "{}",
            case.name
        );
    }
}
