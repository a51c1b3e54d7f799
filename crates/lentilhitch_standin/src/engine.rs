//! A model engine: batches, streams, caches prefixes, resumes, and misbehaves on request.
//!
//! The answer is a function of the prompt, so a caller can check each token. A token is a word.

mod cache;
mod http;
mod run;
mod tokens;

pub use http::{Faults, Report, run};
pub use run::{Order, Settings};
pub use tokens::expected_completion;
