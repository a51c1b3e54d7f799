//! Bytes that a node sends to its peers in large responses.
//!
//! While the store serves few nodes, all others query these. Responses that share a link too small for all of them arrive
//! after the peers have stopped waiting, and none helps. A node therefore sends only as many as arrive in time, and turns
//! the other queries away at once, so that the peers ask elsewhere.

/// Part of the link that responses may use. The rest is for requests of clients and messages between nodes.
const LINK_DIVISOR: f64 = 2.0;
/// Time in which a response that is sent may arrive together with all others that are being sent.
const BURST_MS: f64 = 400.0;
/// Part of the burst that only urgent responses use.
const URGENT_FRACTION: f64 = 0.5;

/// What a response is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseKind {
    /// A configuration. Until a node has it, clients are refused.
    Urgent,
    Normal,
}

/// Budget of one node.
#[derive(Clone, Copy, Debug)]
pub struct ResponseBudget {
    bytes_per_s: f64,
    available_bytes: f64,
    refilled_ms: u64,
}

impl ResponseBudget {
    /// Creates the budget of a node whose link has this speed.
    pub fn new(link_bytes_per_s: f64, now_ms: u64) -> Self {
        let bytes_per_s = link_bytes_per_s / LINK_DIVISOR;
        Self { bytes_per_s, available_bytes: burst_bytes(bytes_per_s), refilled_ms: now_ms }
    }

    /// Returns whether a response of this size is sent, and if so, charges it. One that is larger than the whole budget is
    /// sent when nothing else was for a while.
    pub fn try_take(&mut self, n_bytes: usize, kind: ResponseKind, now_ms: u64) -> bool {
        let burst_bytes = burst_bytes(self.bytes_per_s);
        let elapsed_s = now_ms.saturating_sub(self.refilled_ms) as f64 / 1_000.0;
        self.refilled_ms = self.refilled_ms.max(now_ms);
        let refilled_bytes = self.available_bytes + elapsed_s * self.bytes_per_s;
        self.available_bytes = refilled_bytes.min(burst_bytes);
        let reserved_bytes = match kind {
            ResponseKind::Urgent => 0.0,
            ResponseKind::Normal => URGENT_FRACTION * burst_bytes,
        };
        let needed_bytes = (n_bytes as f64 + reserved_bytes).min(burst_bytes);
        if self.available_bytes < needed_bytes {
            return false;
        }
        self.available_bytes -= n_bytes as f64;
        true
    }
}

fn burst_bytes(bytes_per_s: f64) -> f64 {
    bytes_per_s * BURST_MS / 1_000.0
}
