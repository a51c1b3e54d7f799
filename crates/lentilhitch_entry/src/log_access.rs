//! The log, directly or, where this process can't reach it, through a peer that does.

use lentilhitch_platform::{AppendError, LogClient, LogPage, Stream};
use lentilhitch_types::LogOffset;

use crate::peers::Peers;

/// Access to the log.
#[derive(Clone, Copy)]
pub(crate) struct LogAccess<'a> {
    pub(crate) direct: &'a LogClient,
    pub(crate) peers: &'a Peers,
    pub(crate) wait_ms: u64,
}

impl LogAccess<'_> {
    /// Appends a record. When the direct way refused it, nothing is in the log yet, so a peer may try.
    pub(crate) async fn append(
        self,
        stream: Stream,
        payload: &str,
    ) -> Result<LogOffset, AppendError> {
        match self.direct.append(stream, payload).await {
            Err(AppendError::Rejected(reason)) => {
                let through_peer = self.peers.log_append(stream, payload).await;
                through_peer.unwrap_or(Err(AppendError::Rejected(reason)))
            }
            settled => settled,
        }
    }

    /// Reads from an offset on; waits a while for new records.
    pub(crate) async fn read(self, stream: Stream, from: LogOffset) -> Option<LogPage> {
        match self.direct.read(stream, from, self.wait_ms).await {
            Ok(page) => Some(page),
            Err(_) => self.peers.log_read(stream, from).await,
        }
    }
}
