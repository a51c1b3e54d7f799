//! What happens to the streams of an upstream that leaves.
//!
//! A stream that ends within the notice is left alone. Of the others, those are moved with their KV cache that save the
//! most recomputed tokens within the time that there is; the rest goes on elsewhere at once and is computed again. Since
//! exports share one link and one end, this is the 0-1 knapsack problem, solved exactly by dynamic programming over time
//! in steps of [`STEP_MS`] (Bellman, "Dynamic Programming", 1957), durations rounded up.

/// The grain of time of a plan.
pub const STEP_MS: u64 = 10;
/// The part of the notice that is planned with; the rest covers what takes longer than expected.
const NOTICE_USED: f64 = 0.8;

/// One stream on the leaving upstream.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LeavingStream {
    /// How long exporting and importing its KV cache would take.
    pub transfer_ms: u64,
    /// How long the answer will take to its end.
    pub remaining_ms: u64,
    /// Tokens that would be computed again elsewhere without the KV cache.
    pub context_tokens: u64,
}

/// What to do with a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StreamAction {
    /// It ends in time where it is.
    Stay,
    /// Move the KV cache, then go on elsewhere. Exports run one after the other in the order of this number.
    Export(usize),
    /// Go on elsewhere at once.
    Recompute,
}

/// A move for each stream, for a notice of so many milliseconds.
pub fn plan(notice_ms: u64, streams: &[LeavingStream]) -> Vec<StreamAction> {
    let usable_ms = (notice_ms as f64 * NOTICE_USED) as u64;
    let mut moves = vec![StreamAction::Recompute; streams.len()];
    let mut open = Vec::new();
    for (idx, stream) in streams.iter().enumerate() {
        if stream.remaining_ms <= usable_ms {
            moves[idx] = StreamAction::Stay;
        } else if 0 < stream.context_tokens && stream.transfer_ms <= usable_ms {
            open.push(idx);
        }
    }
    let mut exported = best_within(usable_ms, streams, &open);
    // The most saved for each millisecond first, in case the notice ends early.
    let density =
        |idx: &usize| streams[*idx].context_tokens as f64 / streams[*idx].transfer_ms.max(1) as f64;
    exported.sort_by(|a, b| density(b).total_cmp(&density(a)));
    for (order, idx) in exported.into_iter().enumerate() {
        moves[idx] = StreamAction::Export(order);
    }
    moves
}

/// The subset of `open` that saves the most tokens within the time.
fn best_within(usable_ms: u64, streams: &[LeavingStream], open: &[usize]) -> Vec<usize> {
    let n_steps = (usable_ms / STEP_MS) as usize;
    let steps = |idx: usize| streams[idx].transfer_ms.div_ceil(STEP_MS) as usize;
    let mut saved = vec![0_u64; n_steps + 1];
    let mut taken = vec![vec![false; n_steps + 1]; open.len()];
    for (row, idx) in open.iter().enumerate() {
        for at in (steps(*idx)..=n_steps).rev() {
            let with = saved[at - steps(*idx)] + streams[*idx].context_tokens;
            if saved[at] < with {
                saved[at] = with;
                taken[row][at] = true;
            }
        }
    }
    let mut at = n_steps;
    let mut chosen = Vec::new();
    for (row, idx) in open.iter().enumerate().rev() {
        if taken[row][at] {
            chosen.push(*idx);
            at -= steps(*idx);
        }
    }
    chosen
}
