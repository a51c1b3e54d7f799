//! An index of the prompt prefixes that each upstream has probably cached.
//!
//! The text of a prompt is split into blocks of 256 bytes, and each block is hashed together with all blocks before it,
//! so that one hash identifies a complete prefix. The blocks of a prompt that was routed to an upstream are assumed to
//! be cached there. The index drops the least recently used blocks of an upstream beyond a maximum number. Reports of
//! an upstream on the blocks that its cache stores or evicts correct the index. A report that is late or lost makes the
//! choice of an upstream less efficient but not incorrect, because the index is used for estimates only.

use std::num::NonZeroUsize;

use lru::LruCache;
use rustc_hash::{FxBuildHasher, FxHashMap};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use lentilhitch_types::UpstreamName;

/// Hash of a block of prompt text together with all blocks before it.
pub type BlockHash = u64;

const BLOCK_BYTES: usize = 256;

/// Returns the hashes of the complete blocks of a prompt. A shorter rest at its end is ignored.
pub fn block_hashes(prompt: &[u8]) -> Vec<BlockHash> {
    let mut hash = 0;
    let blocks = prompt.chunks_exact(BLOCK_BYTES);
    blocks
        .map(|it| {
            hash = xxh3_64_with_seed(it, hash);
            hash
        })
        .collect()
}

/// Index of the blocks that are probably cached at each upstream, bounded in size.
#[derive(Clone, Debug)]
pub struct PrefixIndex {
    blocks_max: NonZeroUsize,
    by_upstream: FxHashMap<UpstreamName, LruCache<BlockHash, (), FxBuildHasher>>,
}

impl PrefixIndex {
    /// Creates an empty index that holds at most `blocks_max` blocks for each upstream.
    pub fn new(blocks_max: usize) -> Self {
        let blocks_max = NonZeroUsize::new(blocks_max).unwrap_or(NonZeroUsize::MIN);
        Self { blocks_max, by_upstream: FxHashMap::default() }
    }

    /// Returns the fraction of a prompt's blocks, counted from its start, that the upstream has probably cached, from 0
    /// to 1.
    pub fn cached_fraction(&self, upstream: &UpstreamName, blocks: &[BlockHash]) -> f64 {
        let Some(cached) = self.by_upstream.get(upstream) else { return 0.0 };
        if blocks.is_empty() {
            return 0.0;
        }
        let n_cached = blocks.iter().take_while(|it| cached.contains(*it)).count();
        n_cached as f64 / blocks.len() as f64
    }

    /// Records the blocks of a prompt that was routed to the upstream, or that the upstream reported as stored.
    pub fn insert(&mut self, upstream: &UpstreamName, blocks: &[BlockHash]) {
        let cached = self.by_upstream.entry(upstream.clone());
        // An unbounded cache grows as needed, while a bounded one would allocate its full size at once.
        let cached = cached.or_insert_with(|| LruCache::unbounded_with_hasher(FxBuildHasher));
        for block in blocks {
            cached.put(*block, ());
            if self.blocks_max.get() < cached.len() {
                cached.pop_lru();
            }
        }
    }

    /// Removes blocks that the upstream reported as evicted from its cache.
    pub fn remove_blocks(&mut self, upstream: &UpstreamName, blocks: &[BlockHash]) {
        if let Some(cached) = self.by_upstream.get_mut(upstream) {
            for block in blocks {
                cached.pop(block);
            }
        }
    }

    /// Removes all blocks of an upstream that was replaced or restarted.
    pub fn remove_upstream(&mut self, upstream: &UpstreamName) {
        self.by_upstream.remove(upstream);
    }
}
