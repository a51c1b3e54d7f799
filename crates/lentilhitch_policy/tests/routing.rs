//! Strategies against naive versions, and what ours must prefer.

use lentilhitch_policy::routing::{
    ExpectedCost, Job, LeastReported, Load, PrefixIndex, Random, RoundRobin, Strategy as _,
    TwoChoices, View, block_hashes,
};
use lentilhitch_types::UpstreamName;
use proptest::prelude::{Strategy, any, prop_assert, prop_assert_eq, proptest};
use rand::{SeedableRng, rngs::SmallRng};

fn view() -> impl Strategy<Value = View> {
    (0..40_u32, 0..20_000_u64, 0..10_u32, 0..8_000_u64, 0.5..3.0_f64).prop_map(
        |(n, queued, sent, cached, network)| View {
            load: Load {
                n_requests: n,
                queued_prompt_tokens: queued,
                prefill_tokens_per_s: 8_000.0,
                slots: 16,
            },
            n_sent_since: sent,
            cached_tokens: cached,
            network_ms: network,
            ..View::default()
        },
    )
}

proptest! {
    #[test]
    fn strategies_agree_with_naive_search(views in proptest::collection::vec(view(), 0..20), prompt_tokens in 1..20_000_u64, seed in any::<u64>()) {
        let job = Job { prompt_tokens, first_token_target_ms: 710.0, duration_ms: 5_000.0 };
        let mut ours = ExpectedCost::default();
        let chosen = ours.choose(&job, &views);
        prop_assert_eq!(chosen.is_some(), !views.is_empty());
        if let Some(chosen) = chosen {
            let cost = ours.cost_ms(&job, &views[chosen]);
            prop_assert!(views.iter().all(|it| cost <= ours.cost_ms(&job, it)));
            let least = LeastReported.choose(&job, &views).unwrap();
            prop_assert!(views.iter().all(|it| views[least].load.n_requests <= it.load.n_requests));
            let mut rng = SmallRng::seed_from_u64(seed);
            prop_assert!(Random(&mut rng).choose(&job, &views).unwrap() < views.len());
            prop_assert!(TwoChoices(&mut rng).choose(&job, &views).unwrap() < views.len());
            let mut turns = RoundRobin::default();
            let mut seen: Vec<_> = (0..views.len()).map(|_| turns.choose(&job, &views).unwrap()).collect();
            seen.sort_unstable();
            prop_assert_eq!(seen, (0..views.len()).collect::<Vec<_>>());
        }
    }

    #[test]
    fn cached_share_agrees_with_naive_prefix(kept in 0..20_usize, asked in 0..20_usize) {
        let name: UpstreamName = "engine-1".parse().unwrap();
        let text: Vec<u8> = (0..20 * 256_u32).map(|it| (it % 251) as u8).collect();
        let mut index = PrefixIndex::new(1000);
        index.insert(&name, &block_hashes(&text[..kept * 256]));
        let share = index.cached_share(&name, &block_hashes(&text[..asked * 256]));
        let naive = if asked == 0 { 0.0 } else { kept.min(asked) as f64 / asked as f64 };
        prop_assert!((share - naive).abs() < 1e-9);
    }

    #[test]
    fn the_index_stays_within_its_bound(n in 1..200_usize, bound in 1..50_usize) {
        let name: UpstreamName = "engine-1".parse().unwrap();
        let mut index = PrefixIndex::new(bound);
        let blocks: Vec<u64> = (0..n as u64).collect();
        index.insert(&name, &blocks);
        let newest: Vec<u64> = blocks.iter().rev().take(bound).copied().collect();
        prop_assert!((index.cached_share(&name, &newest) - 1.0).abs() < 1e-9);
        if bound < n {
            prop_assert!(index.cached_share(&name, &blocks[..1]).abs() < 1e-9);
        }
    }
}

struct Case {
    name: &'static str,
    first: View,
    second: View,
}

#[test]
fn ours_prefers_the_first() {
    let load = Load {
        n_requests: 4,
        queued_prompt_tokens: 1_000,
        prefill_tokens_per_s: 8_000.0,
        slots: 16,
    };
    let base =
        View { load, network_ms: 0.5, price_microusd_per_hour: 1_000_000, ..View::default() };
    let cases = [
        Case { name: "cached prefix", first: View { cached_tokens: 3_000, ..base }, second: base },
        Case {
            name: "sent since the report",
            first: base,
            second: View { prompt_tokens_sent_since: 9_000, ..base },
        },
        Case { name: "near", first: base, second: View { network_ms: 40.0, ..base } },
        Case {
            name: "cheap",
            first: base,
            second: View { price_microusd_per_hour: 9_000_000, ..base },
        },
        Case {
            name: "seldom reclaimed",
            first: base,
            second: View { reclaims_per_hour: 30.0, ..base },
        },
        Case {
            name: "a free slot before a cached prefix",
            first: base,
            second: View { cached_tokens: 3_000, n_sent_since: 60, ..base },
        },
    ];
    let job = Job { prompt_tokens: 4_000, first_token_target_ms: 710.0, duration_ms: 10_000.0 };
    for case in cases {
        assert_eq!(
            ExpectedCost::default().choose(&job, &[case.second, case.first]),
            Some(1),
            "{}",
            case.name
        );
    }
}
