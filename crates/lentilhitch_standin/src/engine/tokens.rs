//! The engine's completions.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Returns the token at a position of the completion of a prompt.
pub(crate) fn token(prompt: &str, position: usize) -> String {
    format!(" {:04x}", xxh3_64_with_seed(prompt.as_bytes(), position as u64) & 0xffff)
}

/// Returns the first `n_tokens` tokens of the completion of a prompt.
pub fn expected_completion(prompt: &str, n_tokens: usize) -> String {
    (0..n_tokens).map(|it| token(prompt, it)).collect()
}
