//! Declarations of teams: bearer tokens and request rate limits.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use lentilhitch_types::TeamName;

/// SHA-256 digest of a bearer token, in lowercase hexadecimal. The token itself is never stored.
pub type TokenDigest = String;

const REQUESTS_PER_S_DEFAULT: f64 = 20.0;
/// Default burst: the number of requests that the rate allows in this many seconds.
const BURST_DEFAULT_S: f64 = 2.0;

/// Team declaration as written by an operator.
#[derive(Clone, Debug, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub(crate) struct TeamOptions {
    team: TeamName,
    /// SHA-256 digests of the team's bearer tokens, as printed by `lentilhitch token-digest`.
    #[schemars(length(min = 1), inner(regex(pattern = r"^[0-9a-f]{64}$")))]
    token_sha256: Vec<TokenDigest>,
    /// Rate limit in requests per second, over all entry processes. Default: 20.
    #[schemars(range(min = 0.001))]
    requests_per_s: Option<f64>,
    /// Maximum number of requests that may arrive at once after an idle period. Default: the number of requests that
    /// the rate limit allows in 2 s, but at least 1.
    #[schemars(range(min = 1.0))]
    burst_requests: Option<f64>,
}

/// Validated team declaration.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Team {
    pub team: TeamName,
    pub token_sha256: Vec<TokenDigest>,
    pub requests_per_s: f64,
    pub burst_requests: f64,
}

impl TeamOptions {
    pub(crate) fn resolve(self) -> Team {
        let requests_per_s = self.requests_per_s.unwrap_or(REQUESTS_PER_S_DEFAULT);
        let burst_requests =
            self.burst_requests.unwrap_or((requests_per_s * BURST_DEFAULT_S).max(1.0));
        Team { team: self.team, token_sha256: self.token_sha256, requests_per_s, burst_requests }
    }
}

/// Returns the digest of a bearer token as it is written in a team declaration.
pub fn token_digest(token: &str) -> TokenDigest {
    use std::fmt::Write as _;
    let mut text = String::with_capacity(64);
    for byte in Sha256::digest(token.as_bytes()) {
        write!(text, "{byte:02x}").expect("writing to a String can't fail");
    }
    text
}
