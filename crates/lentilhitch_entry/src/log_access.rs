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
    /// Appends a record, through a peer if the direct way fails. Every record is made so that it has no further effect
    /// when it is in the log twice, so a peer may try even when the first append may have taken effect.
    pub(crate) async fn append(
        self,
        stream: Stream,
        payload: &str,
    ) -> Result<LogOffset, AppendError> {
        let direct = match self.direct.append(stream, payload).await {
            Err(failed) => failed,
            appended => return appended,
        };
        match (direct, self.peers.log_append(stream, payload).await) {
            (_, Some(Ok(offset))) => Ok(offset),
            (AppendError::Rejected(_), Some(Err(through_peer))) => Err(through_peer),
            (direct, _) => Err(direct),
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
