//! Client of the platform's list of instances. The list lags behind the actual state.

use std::{net::SocketAddr, time::Duration};

use serde::{Deserialize, Serialize};

use lentilhitch_types::{Incarnation, UpstreamName};

/// State of an instance in the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum InstanceState {
    Live,
    /// The platform has given notice that the instance will end.
    Leaving,
}

/// One entry of the list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceEntry {
    pub name: UpstreamName,
    pub incarnation: Incarnation,
    pub state: InstanceState,
}

/// Client of the instance list.
#[derive(Clone, Debug)]
pub struct CloudClient {
    http: reqwest::Client,
    address: SocketAddr,
    timeout: Duration,
}

impl CloudClient {
    /// Creates a client whose calls fail after `timeout_ms`.
    pub fn new(http: reqwest::Client, address: SocketAddr, timeout_ms: u64) -> Self {
        Self { http, address, timeout: Duration::from_millis(timeout_ms) }
    }

    /// Fetches the list in its present state.
    pub async fn instances(&self) -> Result<Vec<InstanceEntry>, reqwest::Error> {
        let url = format!("http://{}/v1/instances", self.address);
        let response = self.http.get(url).timeout(self.timeout).send().await?;
        response.error_for_status()?.json().await
    }
}
