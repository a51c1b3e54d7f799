//! Transfer of runs from an upstream that is leaving: when it is due, and the request that stops the run and copies its KV
//! cache.

use std::{rc::Rc, time::Duration};

use bytes::Bytes;
use http::Request;
use http_body_util::{BodyExt as _, Full, Limited};
use tokio::time::timeout;

use lentilhitch_policy::{stream_end::RunStop, traffic::UpstreamEntry};

use crate::{
    node::Node,
    platform::{KvCopy, KvTransfer, Platform},
    pool::{Connection, SendResult},
};

/// Delay before a run is transferred from a leaving upstream that does not state when it will end. Many streams finish
/// within this delay.
const TRANSFER_DELAY_MS: u64 = 1_000;
/// Time before the end of a leaving upstream at which its runs are transferred. Copying the KV cache and starting at
/// the new upstream take far less than this time.
const TRANSFER_LEAD_MS: u64 = 1_200;
/// Maximum size of the response to a request to transfer a KV cache.
const TRANSFER_RESPONSE_BYTES_MAX: usize = 64 * 1024;
/// Timeout of a KV cache transfer.
const TRANSFER_TIMEOUT_MS: u64 = 1_500;

/// Result of the transfer of a run's KV cache.
pub(crate) enum TransferOutcome {
    /// The run was stopped. It continues at this upstream, which is the source itself if it retained the KV cache.
    Stopped(Box<UpstreamEntry>, KvCopy),
    /// There is no copy from which the run could continue.
    NoCopy(RunStop),
}

/// Stops a run and transfers its KV cache to another upstream.
pub(crate) async fn stop_and_transfer<P: Platform>(
    node: Rc<Node<P>>,
    id: String,
    from: UpstreamEntry,
    to: UpstreamEntry,
) -> TransferOutcome {
    let transfer_timeout = Duration::from_millis(TRANSFER_TIMEOUT_MS);
    let request = P::kv_transfer_request(&id, to.address, true);
    let result = timeout(transfer_timeout, request_transfer(&node, request, &from)).await;
    let result = result.unwrap_or(Err(RunStop::MaybeStopped));
    log::info!(request = id.as_str(), from = from.id.as_str(), to = to.id.as_str(), result:? = result; "result of KV cache transfer");
    let source = from.address;
    match result {
        Ok(KvTransfer::Copied { handle }) => {
            TransferOutcome::Stopped(Box::new(to), KvCopy { source, handle })
        }
        Ok(KvTransfer::Kept { handle }) => {
            TransferOutcome::Stopped(Box::new(from), KvCopy { source, handle })
        }
        Ok(KvTransfer::Ended | KvTransfer::Refused) => TransferOutcome::NoCopy(RunStop::NotStopped),
        Ok(KvTransfer::Unknown) => TransferOutcome::NoCopy(RunStop::MaybeStopped),
        Err(run_stop) => TransferOutcome::NoCopy(run_stop),
    }
}

/// Sends the request for a transfer. Without a complete response, returns whether the run may have been stopped.
async fn request_transfer<P: Platform>(
    node: &Node<P>,
    request: Request<Bytes>,
    from: &UpstreamEntry,
) -> Result<KvTransfer, RunStop> {
    let connect_timeout = Duration::from_millis(TRANSFER_TIMEOUT_MS);
    let connection = Connection::open(from.address, connect_timeout).await;
    let mut connection = connection.map_err(|_| RunStop::NotStopped)?;
    let response = match connection.send(request.map(Full::new)).await {
        SendResult::Response(it) => it,
        SendResult::NotSent(_) => return Err(RunStop::NotStopped),
        SendResult::Broken(_) => return Err(RunStop::MaybeStopped),
    };
    let (parts, body) = response.into_parts();
    node.on_upstream_statements(from, &P::decode_response(&parts));
    let body = Limited::new(body, TRANSFER_RESPONSE_BYTES_MAX).collect().await;
    let body = body.map_err(|_| RunStop::MaybeStopped)?;
    Ok(P::decode_kv_transfer(parts.status, &body.to_bytes()))
}

/// Status of the upstream incarnation that runs a stream, according to the catalog.
enum UpstreamStatus {
    Ready,
    /// A later incarnation has taken the upstream's name.
    Replaced,
    Leaving {
        ends_at_ms: Option<u64>,
    },
}

fn upstream_status<P>(node: &Node<P>, entry: &UpstreamEntry) -> UpstreamStatus {
    match node.state.borrow().catalog.get(&entry.id) {
        Some(it) if it.entry.started_ms != entry.started_ms => UpstreamStatus::Replaced,
        Some(it) if it.is_ready() => UpstreamStatus::Ready,
        Some(it) => UpstreamStatus::Leaving { ends_at_ms: it.ends_at_ms },
        None => UpstreamStatus::Leaving { ends_at_ms: None },
    }
}

/// Waits until a run should be transferred from its upstream. Never returns if the upstream was replaced.
pub(crate) async fn wait_until_transfer_due<P: Platform>(node: Rc<Node<P>>, entry: UpstreamEntry) {
    let mut changes = node.upstreams_leaving.subscribe();
    loop {
        let now_ms = node.now_ms();
        match upstream_status(&node, &entry) {
            UpstreamStatus::Ready => {}
            UpstreamStatus::Replaced => return std::future::pending().await,
            UpstreamStatus::Leaving { ends_at_ms } => {
                let transfer_at_ms = ends_at_ms
                    .map_or(now_ms + TRANSFER_DELAY_MS, |it| it.saturating_sub(TRANSFER_LEAD_MS));
                tokio::time::sleep(Duration::from_millis(transfer_at_ms.saturating_sub(now_ms)))
                    .await;
                return;
            }
        }
        if changes.changed().await.is_err() {
            return std::future::pending().await;
        }
    }
}
