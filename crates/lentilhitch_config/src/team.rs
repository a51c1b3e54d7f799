//! Teams.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use lentilhitch_types::TeamName;

/// The SHA-256 digest of a bearer token, in lower-case hexadecimal. The token itself is never written down.
pub type TokenDigest = String;

const RATE_PER_S_DEFAULT: f64 = 20.0;
const BURST_PER_RATE: f64 = 2.0;

/// A team as an operator writes it.
#[derive(Clone, Debug, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub(crate) struct TeamOptions {
    team: TeamName,
    /// SHA-256 digests of the team's bearer tokens; `lentilhitch token-digest` prints them.
    #[schemars(length(min = 1), inner(regex(pattern = r"^[0-9a-f]{64}$")))]
    token_sha256: Vec<TokenDigest>,
    /// Requests a second, over all entry processes.
    #[schemars(range(min = 0.001))]
    requests_per_s: Option<f64>,
    /// Requests that may come at once after a pause.
    #[schemars(range(min = 1.0))]
    burst_requests: Option<f64>,
}

/// A team.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Team {
    pub team: TeamName,
    pub token_sha256: Vec<TokenDigest>,
    pub requests_per_s: f64,
    pub burst_requests: f64,
}

impl TeamOptions {
    pub(crate) fn resolve(self) -> Team {
        let requests_per_s = self.requests_per_s.unwrap_or(RATE_PER_S_DEFAULT);
        let burst_requests =
            self.burst_requests.unwrap_or((requests_per_s * BURST_PER_RATE).max(1.0));
        Team { team: self.team, token_sha256: self.token_sha256, requests_per_s, burst_requests }
    }
}

/// The digest under which a bearer token is declared.
pub fn token_digest(token: &str) -> TokenDigest {
    use std::fmt::Write as _;
    let mut text = String::with_capacity(64);
    for byte in Sha256::digest(token.as_bytes()) {
        write!(text, "{byte:02x}").expect("writing to a String can't fail");
    }
    text
}
