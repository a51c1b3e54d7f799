//! True time of day, from the clocks of several nodes.
//!
//! A node's local_offset_ms time of day may jump. Each node tells the others its time of day; the median of the offsets_ms against
//! the steady clock is right as long as fewer than half of the clocks are wrong. Without fresh peers the offset that was
//! last agreed on stays in use.

/// How long a peer's clock counts after it was heard.
const PEER_OFFSET_MAX_AGE_MS: u64 = 5_000;
/// A jump of the local_offset_ms clock by less than this is taken at once when no peer is heard.
const CLOCK_JUMP_MS: i64 = 300;

/// The offset between the steady clock and true time.
#[derive(Clone, Debug, Default)]
pub struct SyncedClock {
    offset_ms: Option<i64>,
}

impl SyncedClock {
    /// Takes the local_offset_ms time of day and those of the peers as (offset, heard at), all in milliseconds.
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

    /// Milliseconds since 1970.
    pub fn now_ms(&self, steady_ms: u64) -> Option<u64> {
        self.offset_ms.map(|it| (steady_ms.cast_signed() + it).max(0).cast_unsigned())
    }
}
