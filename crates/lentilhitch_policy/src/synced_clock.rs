//! Synchronized time of day, estimated from the clocks of several nodes.
//!
//! The wall clock of a node may jump. Each node sends its wall-clock time to the others. The median of the offsets
//! between these wall clocks and the monotonic clock is correct as long as fewer than half of the wall clocks are
//! wrong. Without recent offsets from peers, the last agreed offset stays in use.

/// Maximum age of the offset of a peer's clock, counted from when it was received.
const PEER_OFFSET_MAX_AGE_MS: u64 = 5_000;
/// Jump of the local wall clock from which on it is ignored while fewer than two peers have sent a recent offset.
/// Smaller jumps are followed immediately.
const CLOCK_JUMP_MS: i64 = 300;

/// Offset between the monotonic clock and synchronized time.
#[derive(Clone, Debug, Default)]
pub struct SyncedClock {
    offset_ms: Option<i64>,
}

impl SyncedClock {
    /// Updates the offset from the local wall clock and the clocks of the peers. Each peer is given as the offset of
    /// its clock and the time at which the offset was received, both in milliseconds.
    pub fn update(&mut self, local_wall_ms: u64, peers: &[(i64, u64)], now_ms: u64) {
        let local_offset_ms = local_wall_ms.cast_signed() - now_ms.cast_signed();
        let recent =
            peers.iter().filter(|it| now_ms.saturating_sub(it.1) <= PEER_OFFSET_MAX_AGE_MS);
        let mut offsets_ms: Vec<i64> = recent.map(|it| it.0).collect();
        if offsets_ms.len() < 2 {
            let jump_ms = self.offset_ms.map_or(0, |it| (local_offset_ms - it).abs());
            if jump_ms < CLOCK_JUMP_MS {
                self.offset_ms = Some(local_offset_ms);
            }
            return;
        }
        offsets_ms.push(local_offset_ms);
        offsets_ms.sort_unstable();
        self.offset_ms = Some(offsets_ms[offsets_ms.len() / 2]);
    }

    /// Returns the synchronized time in milliseconds since the Unix epoch, or `None` before the first update.
    pub fn now_ms(&self, monotonic_ms: u64) -> Option<u64> {
        self.offset_ms.map(|it| (monotonic_ms.cast_signed() + it).max(0).cast_unsigned())
    }
}
