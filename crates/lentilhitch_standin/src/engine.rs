//! Stand-in for a model engine: batching, streaming, prefix caching, resumption, and faults on request.
//!
//! The completion is a function of the prompt, so a client can check each token. A token is a word.

mod cache;
mod http;
mod run;
mod tokens;

pub use http::{Faults, Report, run};
pub use run::{Order, Settings};
pub use tokens::expected_completion;
