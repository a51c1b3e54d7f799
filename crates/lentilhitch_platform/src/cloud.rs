//! The platform's list of instances, which lags.

use std::{net::SocketAddr, time::Duration};

use serde::{Deserialize, Serialize};

use lentilhitch_types::{Incarnation, UpstreamName};

/// Whether an instance is there to stay.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum InstanceState {
    Live,
    /// A notice was given.
    Leaving,
}

/// One line of the list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceEntry {
    pub name: UpstreamName,
    pub incarnation: Incarnation,
    pub state: InstanceState,
}

/// A client of the instance list.
#[derive(Clone, Debug)]
pub struct CloudClient {
    http: reqwest::Client,
    address: SocketAddr,
    timeout: Duration,
}

impl CloudClient {
    /// A client; each call fails after `timeout_ms`.
    pub fn new(http: reqwest::Client, address: SocketAddr, timeout_ms: u64) -> Self {
        Self { http, address, timeout: Duration::from_millis(timeout_ms) }
    }

    /// The list as the platform shows it now.
    pub async fn instances(&self) -> Result<Vec<InstanceEntry>, reqwest::Error> {
        let url = format!("http://{}/v1/instances", self.address);
        let response = self.http.get(url).timeout(self.timeout).send().await?;
        response.error_for_status()?.json().await
    }
}
