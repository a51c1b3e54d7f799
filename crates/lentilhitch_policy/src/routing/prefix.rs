//! Which prompt prefixes an upstream probably has cached.
//!
//! Prompts are cut into blocks of text and each block is hashed together with all before it, so one hash stands for a
//! whole prefix. What was routed to an upstream is assumed to be cached there, oldest forgotten first; cache events of the
//! upstream correct that when they arrive, and may arrive late or not at all without doing harm.

use std::num::NonZeroUsize;

use lru::LruCache;
use rustc_hash::{FxBuildHasher, FxHashMap};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use lentilhitch_types::UpstreamName;

/// The hash of a block of prompt text and of every block before it.
pub type BlockHash = u64;

const BLOCK_BYTES: usize = 256;

/// The hashes of the whole blocks of a prompt.
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

/// Bounded knowledge of the caches of all upstreams.
#[derive(Clone, Debug)]
pub struct PrefixIndex {
    blocks_max: NonZeroUsize,
    by_upstream: FxHashMap<UpstreamName, LruCache<BlockHash, (), FxBuildHasher>>,
}

impl PrefixIndex {
    /// An empty index that remembers at most `blocks_max` blocks of each upstream.
    pub fn new(blocks_max: usize) -> Self {
        let blocks_max = NonZeroUsize::new(blocks_max).unwrap_or(NonZeroUsize::MIN);
        Self { blocks_max, by_upstream: FxHashMap::default() }
    }

    /// The share of a prompt's blocks, counted from its start, that the upstream probably has; from 0 to 1.
    pub fn cached_fraction(&self, upstream: &UpstreamName, blocks: &[BlockHash]) -> f64 {
        let Some(cached) = self.by_upstream.get(upstream) else { return 0.0 };
        if blocks.is_empty() {
            return 0.0;
        }
        let n_cached = blocks.iter().take_while(|it| cached.contains(*it)).count();
        n_cached as f64 / blocks.len() as f64
    }

    /// A prompt was routed to the upstream, or the upstream said that it stored these blocks.
    pub fn insert(&mut self, upstream: &UpstreamName, blocks: &[BlockHash]) {
        let cached = self.by_upstream.entry(upstream.clone());
        // Grows as needed; a cache of full size would take its memory at once.
        let cached = cached.or_insert_with(|| LruCache::unbounded_with_hasher(FxBuildHasher));
        for block in blocks {
            cached.put(*block, ());
            if self.blocks_max.get() < cached.len() {
                cached.pop_lru();
            }
        }
    }

    /// The upstream said that it dropped these blocks.
    pub fn remove(&mut self, upstream: &UpstreamName, blocks: &[BlockHash]) {
        if let Some(cached) = self.by_upstream.get_mut(upstream) {
            for block in blocks {
                cached.pop(block);
            }
        }
    }

    /// The upstream was replaced or restarted.
    pub fn remove_upstream(&mut self, upstream: &UpstreamName) {
        self.by_upstream.remove(upstream);
    }
}
