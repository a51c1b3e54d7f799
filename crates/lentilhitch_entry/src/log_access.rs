//! Access to the log service, directly or through a peer if this process can't reach it.

use lentilhitch_platform::{AppendError, LogClient, LogPage, Stream};
use lentilhitch_types::LogOffset;

use crate::peers::Peers;

/// Client of the log service with peers as the fallback.
#[derive(Clone, Copy)]
pub(crate) struct LogAccess<'a> {
    pub(crate) log_client: &'a LogClient,
    pub(crate) peers: &'a Peers,
    /// Time that a direct read waits for new records.
    pub(crate) wait_ms: u64,
}

impl LogAccess<'_> {
    /// Appends a record, through a peer if the direct append fails. A duplicate of a record in the log has no effect,
    /// so an append through a peer is safe even if the direct one may have succeeded.
    pub(crate) async fn append(
        self,
        stream: Stream,
        payload: &str,
    ) -> Result<LogOffset, AppendError> {
        let direct_error = match self.log_client.append(stream, payload).await {
            Err(err) => err,
            appended => return appended,
        };
        match (direct_error, self.peers.log_append(stream, payload).await) {
            (_, Some(Ok(offset))) => Ok(offset),
            (AppendError::Rejected(_), Some(Err(peer_error))) => Err(peer_error),
            (direct_error, _) => Err(direct_error),
        }
    }

    /// Reads the records from an offset on and waits for new ones if there are none yet. Returns `None` if neither the
    /// log service nor a peer that can reach it responds.
    pub(crate) async fn read(self, stream: Stream, from: LogOffset) -> Option<LogPage> {
        match self.log_client.read(stream, from, self.wait_ms).await {
            Ok(page) => Some(page),
            Err(_) => self.peers.log_read(stream, from).await,
        }
    }
}
