//! The prefix cache: a bounded set of block hashes that evicts the least recently inserted first.

use std::num::NonZeroUsize;

use lru::LruCache;
use rustc_hash::FxBuildHasher;
use xxhash_rust::xxh3::xxh3_64_with_seed;

const BLOCK_TOKENS: usize = 16;

/// Blocks of prefixes whose KV cache is present and need not be computed again.
#[derive(Debug)]
pub(crate) struct Cache(LruCache<u64, (), FxBuildHasher>);

impl Cache {
    pub(crate) fn new(blocks_max: usize) -> Self {
        let blocks_max = NonZeroUsize::new(blocks_max).unwrap_or(NonZeroUsize::MIN);
        Self(LruCache::with_hasher(blocks_max, FxBuildHasher))
    }

    /// Returns the number of tokens from the start of the text that are cached.
    pub(crate) fn cached_tokens(&self, text: &str) -> usize {
        hashes(text).iter().take_while(|it| self.0.contains(*it)).count() * BLOCK_TOKENS
    }

    /// Inserts the blocks of a text.
    pub(crate) fn insert(&mut self, text: &str) {
        self.insert_hashes(&hashes(text));
    }

    /// Inserts blocks by their hashes.
    pub(crate) fn insert_hashes(&mut self, hashes: &[u64]) {
        for hash in hashes {
            self.0.put(*hash, ());
        }
    }
}

/// Returns the hashes of the complete blocks of a text. Each hash also covers all blocks before it.
pub(crate) fn hashes(text: &str) -> Vec<u64> {
    let words: Vec<_> = text.split_whitespace().collect();
    let mut hash = 0;
    let blocks = words.chunks_exact(BLOCK_TOKENS);
    blocks
        .map(|block| {
            for word in block {
                hash = xxh3_64_with_seed(word.as_bytes(), hash);
            }
            hash
        })
        .collect()
}
