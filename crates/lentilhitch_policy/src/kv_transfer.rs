//! Plans what to do with the streams of an upstream that is leaving.
//!
//! A stream is a response in progress. The notice period is the time for which the upstream continues to run. The plan
//! uses 80 % of it. A stream that is expected to end within this time stays on the upstream. Of the other streams, some
//! continue at another upstream after their KV caches have been transferred to it. These are chosen such that the
//! transfers save the most recomputed tokens within the available time. The remaining streams continue at another
//! upstream at once, and their context is recomputed there.
//!
//! Since the exports share one link and one deadline, this choice is the 0-1 knapsack problem. It is solved exactly by
//! dynamic programming over time in steps of [`STEP_MS`] (Bellman, "Dynamic Programming", 1957), with durations rounded
//! up.

/// Time resolution of a plan, in milliseconds.
pub const STEP_MS: u64 = 10;
/// Fraction of the notice period available to the plan. The rest is a reserve for transfers that take longer than
/// expected.
const USABLE_NOTICE_FRACTION: f64 = 0.8;

/// A stream on the leaving upstream.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LeavingStream {
    /// Expected duration of exporting and importing its KV cache.
    pub transfer_ms: u64,
    /// Expected time until the response ends.
    pub remaining_ms: u64,
    /// Tokens to recompute elsewhere without the KV cache.
    pub context_tokens: u64,
}

/// Action for a stream of a leaving upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StreamAction {
    /// The stream stays, since it ends in time.
    Stay,
    /// The KV cache is transferred, then the stream continues elsewhere. Exports run one after another in the order of
    /// this number.
    Export(usize),
    /// The stream continues elsewhere at once, and its context is recomputed.
    Recompute,
}

/// Returns an action for each stream, given a notice period of `notice_ms`.
pub fn plan(notice_ms: u64, streams: &[LeavingStream]) -> Vec<StreamAction> {
    let usable_ms = (notice_ms as f64 * USABLE_NOTICE_FRACTION) as u64;
    let mut actions = vec![StreamAction::Recompute; streams.len()];
    let mut candidates = Vec::new();
    for (idx, stream) in streams.iter().enumerate() {
        if stream.remaining_ms <= usable_ms {
            actions[idx] = StreamAction::Stay;
        } else if 0 < stream.context_tokens && stream.transfer_ms <= usable_ms {
            candidates.push(idx);
        }
    }
    let mut exports = choose_exports(usable_ms, streams, &candidates);
    // Exports that save the most tokens per millisecond come first, in case the upstream stops early.
    let saved_per_ms =
        |idx: &usize| streams[*idx].context_tokens as f64 / streams[*idx].transfer_ms.max(1) as f64;
    exports.sort_by(|a, b| saved_per_ms(b).total_cmp(&saved_per_ms(a)));
    for (order, idx) in exports.into_iter().enumerate() {
        actions[idx] = StreamAction::Export(order);
    }
    actions
}

/// Returns the subset of `candidates` that saves the most tokens within `usable_ms`.
fn choose_exports(usable_ms: u64, streams: &[LeavingStream], candidates: &[usize]) -> Vec<usize> {
    let n_steps = (usable_ms / STEP_MS) as usize;
    let n_transfer_steps = |idx: usize| streams[idx].transfer_ms.div_ceil(STEP_MS) as usize;
    let mut saved_tokens = vec![0_u64; n_steps + 1];
    let mut is_chosen = vec![vec![false; n_steps + 1]; candidates.len()];
    for (row, idx) in candidates.iter().enumerate() {
        for step in (n_transfer_steps(*idx)..=n_steps).rev() {
            let saved_with_stream =
                saved_tokens[step - n_transfer_steps(*idx)] + streams[*idx].context_tokens;
            if saved_tokens[step] < saved_with_stream {
                saved_tokens[step] = saved_with_stream;
                is_chosen[row][step] = true;
            }
        }
    }
    let mut step = n_steps;
    let mut chosen = Vec::new();
    for (row, idx) in candidates.iter().enumerate().rev() {
        if is_chosen[row][step] {
            chosen.push(*idx);
            step -= n_transfer_steps(*idx);
        }
    }
    chosen
}
