//! Client of the platform's append-only log service.

use std::{fmt, net::SocketAddr, time::Duration};

use reqwest::StatusCode;
use serde::{Deserialize, Serialize};

use lentilhitch_policy::fold::{Page, RawRecord};
use lentilhitch_types::LogOffset;

/// Stream of records that the system keeps in the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Stream {
    Config,
    Claims,
    Leases,
}

impl fmt::Display for Stream {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Config => "config",
            Self::Claims => "claims",
            Self::Leases => "leases",
        })
    }
}

/// Error of an append that the log service did not confirm.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error, Serialize, Deserialize)]
pub enum AppendError {
    /// The record is not in the log and will not be added later.
    #[error("append to the log rejected: {0}")]
    Rejected(String),
    /// The outcome is unknown. The record may be in the log, or may be added later.
    #[error("outcome of the append to the log unknown: {0}")]
    Lost(String),
}

/// Error of a read.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("failed to read the log: {0}")]
pub struct ReadError(pub String);

/// One record as the log service sends it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogRecord {
    pub offset: u64,
    /// Time of the append in milliseconds, on the clock of the service.
    pub appended_ms: u64,
    pub payload: String,
}

/// Contiguous range of a stream as the log service sends it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogPage {
    /// Oldest offset that is still retained.
    pub oldest: u64,
    /// Offset that the next append will get.
    pub end: u64,
    /// Time of the response in milliseconds, on the clock of the service.
    pub now_ms: u64,
    pub records: Vec<LogRecord>,
}

impl From<LogPage> for Page {
    fn from(page: LogPage) -> Self {
        let decode = |it: LogRecord| RawRecord {
            offset: LogOffset(it.offset),
            appended_ms: it.appended_ms,
            payload: it.payload,
        };
        Self {
            oldest: LogOffset(page.oldest),
            end: LogOffset(page.end),
            records: page.records.into_iter().map(decode).collect(),
        }
    }
}

#[derive(Serialize)]
struct AppendBody<'a> {
    payload: &'a str,
}

#[derive(Deserialize)]
struct AppendResponse {
    offset: u64,
}

/// Client of the log service.
#[derive(Clone, Debug)]
pub struct LogClient {
    http: reqwest::Client,
    address: SocketAddr,
    timeout: Duration,
}

impl LogClient {
    /// Creates a client. Each call fails after `timeout_ms`, to which reads add the time that they wait for a record.
    pub fn new(http: reqwest::Client, address: SocketAddr, timeout_ms: u64) -> Self {
        Self { http, address, timeout: Duration::from_millis(timeout_ms) }
    }

    /// Appends one record and returns its offset.
    pub async fn append(&self, stream: Stream, payload: &str) -> Result<LogOffset, AppendError> {
        let request =
            self.http.post(self.url(stream)).json(&AppendBody { payload }).timeout(self.timeout);
        let response = request.send().await.map_err(|err| {
            if err.is_connect() {
                AppendError::Rejected(err.to_string())
            } else {
                AppendError::Lost(err.to_string())
            }
        })?;
        let status = response.status();
        if status == StatusCode::SERVICE_UNAVAILABLE || status.is_client_error() {
            return Err(AppendError::Rejected(format!("status {status}")));
        }
        if !status.is_success() {
            return Err(AppendError::Lost(format!("status {status}")));
        }
        let appended: AppendResponse =
            response.json().await.map_err(|err| AppendError::Lost(err.to_string()))?;
        Ok(LogOffset(appended.offset))
    }

    /// Reads records from an offset on. If there are none yet, waits for one up to `wait_ms`.
    pub async fn read(
        &self,
        stream: Stream,
        from: LogOffset,
        wait_ms: u64,
    ) -> Result<LogPage, ReadError> {
        let timeout = self.timeout + Duration::from_millis(wait_ms);
        let url = format!("{}?from={from}&wait_ms={wait_ms}", self.url(stream));
        let response = self.http.get(url).timeout(timeout).send().await;
        let response = response.and_then(reqwest::Response::error_for_status);
        let response = response.map_err(|err| ReadError(err.to_string()))?;
        response.json().await.map_err(|err| ReadError(err.to_string()))
    }

    fn url(&self, stream: Stream) -> String {
        format!("http://{}/v1/streams/{stream}/records", self.address)
    }
}
