//! The plan of KV cache transfers, compared with a search over all subsets.

use lentilhitch_policy::kv_transfer::{LeavingStream, STEP_MS, StreamAction, plan};
use proptest::prelude::{Strategy, prop_assert, prop_assert_eq, proptest};

fn leaving_stream() -> impl Strategy<Value = LeavingStream> {
    (1..3_000_u64, 1..20_000_u64, 0..9_000_u64).prop_map(
        |(transfer_ms, remaining_ms, context_tokens)| LeavingStream {
            transfer_ms,
            remaining_ms,
            context_tokens,
        },
    )
}

/// Returns the maximum number of tokens that any subset of the streams that cannot stay saves within `usable_ms`.
fn max_saved_tokens(usable_ms: u64, streams: &[LeavingStream]) -> u64 {
    let candidates: Vec<_> = streams.iter().filter(|it| usable_ms < it.remaining_ms).collect();
    let mut best = 0;
    for subset in 0..1_u32 << candidates.len() {
        let chosen =
            candidates.iter().enumerate().filter(|it| subset >> it.0 & 1 == 1).map(|it| it.1);
        let steps: u64 = chosen.clone().map(|it| it.transfer_ms.div_ceil(STEP_MS)).sum();
        if steps <= usable_ms / STEP_MS {
            best = best.max(chosen.map(|it| it.context_tokens).sum());
        }
    }
    best
}

proptest! {
    #[test]
    fn plan_saves_as_much_as_the_best_subset(notice_ms in 0..8_000_u64, streams in proptest::collection::vec(leaving_stream(), 0..10)) {
        let usable_ms = (notice_ms as f64 * 0.8) as u64;
        let actions = plan(notice_ms, &streams);
        let pairs = || streams.iter().zip(&actions);
        for (stream, it) in pairs() {
            prop_assert_eq!(*it == StreamAction::Stay, stream.remaining_ms <= usable_ms);
        }
        let exported = || pairs().filter(|it| matches!(it.1, StreamAction::Export(_))).map(|it| it.0);
        let steps: u64 = exported().map(|it| it.transfer_ms.div_ceil(STEP_MS)).sum();
        prop_assert!(steps <= usable_ms / STEP_MS);
        prop_assert_eq!(exported().map(|it| it.context_tokens).sum::<u64>(), max_saved_tokens(usable_ms, &streams));
        let mut orders: Vec<_> = actions.iter().filter_map(|it| if let StreamAction::Export(order) = it { Some(*order) } else { None }).collect();
        orders.sort_unstable();
        prop_assert_eq!(&orders, &(0..orders.len()).collect::<Vec<_>>());
    }
}
