//! The append-only log service.

use std::{fmt, net::SocketAddr, time::Duration};

use reqwest::StatusCode;
use serde::{Deserialize, Serialize};

use lentilhitch_policy::fold::{Page, RawRecord};
use lentilhitch_types::LogOffset;

/// The streams that the system keeps in the log.
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

/// What became of an append that was not confirmed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error, Serialize, Deserialize)]
pub enum AppendError {
    /// The record is not in the log and will not be.
    #[error("the log refused the append: {0}")]
    Rejected(String),
    /// The record may be in the log, or get there yet.
    #[error("the answer to the append was lost: {0}")]
    Lost(String),
}

/// Why a read failed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the log could not be read: {0}")]
pub struct ReadError(pub String);

/// One record as the log service sends it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogRecord {
    pub offset: u64,
    pub appended_ms: u64,
    pub payload: String,
}

/// Part of a stream as the log service sends it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogPage {
    /// The oldest offset still kept.
    pub oldest: u64,
    /// The offset that the next append will get.
    pub end: u64,
    /// The service's time when it answered.
    pub now_ms: u64,
    pub records: Vec<LogRecord>,
}

impl From<LogPage> for Page {
    fn from(page: LogPage) -> Self {
        let understood = |it: LogRecord| RawRecord {
            offset: LogOffset(it.offset),
            appended_ms: it.appended_ms,
            payload: it.payload,
        };
        Self {
            oldest: LogOffset(page.oldest),
            end: LogOffset(page.end),
            records: page.records.into_iter().map(understood).collect(),
        }
    }
}

#[derive(Serialize)]
struct AppendBody<'a> {
    payload: &'a str,
}

#[derive(Deserialize)]
struct AppendAnswer {
    offset: u64,
}

/// A client of the log service.
#[derive(Clone, Debug)]
pub struct LogClient {
    http: reqwest::Client,
    address: SocketAddr,
    timeout: Duration,
}

impl LogClient {
    /// A client; each call fails after `timeout_ms`, reads after their own wait in addition.
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
        let answer: AppendAnswer =
            response.json().await.map_err(|err| AppendError::Lost(err.to_string()))?;
        Ok(LogOffset(answer.offset))
    }

    /// Reads from an offset on; waits up to `wait_ms` for a record if there is none yet.
    pub async fn read(
        &self,
        stream: Stream,
        from: LogOffset,
        wait_ms: u64,
    ) -> Result<LogPage, ReadError> {
        let timeout = self.timeout + Duration::from_millis(wait_ms);
        let query = format!("{}?from={from}&wait_ms={wait_ms}", self.url(stream));
        let response = self.http.get(query).timeout(timeout).send().await;
        let response = response.and_then(reqwest::Response::error_for_status);
        let response = response.map_err(|err| ReadError(err.to_string()))?;
        response.json().await.map_err(|err| ReadError(err.to_string()))
    }

    fn url(&self, stream: Stream) -> String {
        format!("http://{}/v1/streams/{stream}/records", self.address)
    }
}
