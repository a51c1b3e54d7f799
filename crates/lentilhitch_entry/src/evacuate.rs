//! Evacuation of a leaving upstream: its streams, that is, the responses in progress there, end in time or continue at
//! other upstreams, some of them after a transfer of their KV caches.

use std::{sync::Arc, time::Duration};

use serde_json::{Value, json};
use tokio::time::{Instant, timeout_at};

use lentilhitch_config::Upstream;
use lentilhitch_policy::kv_transfer::{LeavingStream, StreamAction, plan};
use lentilhitch_types::{AttemptId, UpstreamName};

use crate::{
    entry::Entry,
    journals::{EvacuationDecision, TrackedRequest},
    runner::{EXPECTED_DECODE_MS_PER_TOKEN, PROMPT_BYTES_PER_TOKEN},
};

/// Time for which a leaving upstream is assumed to continue to run if it does not report this time.
const DEFAULT_NOTICE_MS: u64 = 5_000;

/// Plans an action for each stream that this process runs on the upstream, and carries the plan out.
pub(crate) async fn evacuate(entry: Arc<Entry>, name: UpstreamName) {
    let Some(upstream) = entry.directory().upstreams.get(&name).cloned() else { return };
    let requests: Vec<_> =
        entry.journals.unfinished().into_iter().filter(|it| it.is_at(&name)).collect();
    let (notice_ms, tokens_per_s) = entry.upstreams.notice_and_export_rate(&name);
    let notice_ms = notice_ms.unwrap_or(DEFAULT_NOTICE_MS);
    // All entry processes export over the link of the upstream, so each plans with an equal share of the link's rate.
    let local_tokens_per_s = tokens_per_s / entry.peers().n_processes() as f64;
    let streams: Vec<_> =
        requests.iter().map(|it| leaving_stream(it, local_tokens_per_s)).collect();
    let actions = plan(notice_ms, &streams);
    log::info!(upstream:% = name, notice_ms = notice_ms, n_streams = actions.len(); "upstream is leaving");
    let deadline = Instant::now() + Duration::from_millis(notice_ms);
    let mut exports = Vec::new();
    for (tracked, action) in requests.iter().zip(actions) {
        match action {
            StreamAction::Stay => tracked.set_evacuation(EvacuationDecision::Stay),
            StreamAction::Recompute => tracked.set_evacuation(EvacuationDecision::Migrate(None)),
            StreamAction::Export(order) => exports.push((order, tracked)),
        }
    }
    exports.sort_by_key(|it| it.0);
    for (_, tracked) in exports {
        let target = transfer_kv_cache(&entry, &upstream, tracked, deadline).await;
        log::info!(request_id:% = tracked.request_id(), is_moved = target.is_some(); "KV cache transfer finished");
        tracked.set_evacuation(EvacuationDecision::Migrate(target));
    }
}

/// Estimates the transfer time, the remaining time and the context size of a stream.
fn leaving_stream(tracked: &TrackedRequest, tokens_per_s: f64) -> LeavingStream {
    let journal = tracked.journal.lock();
    let n_tokens = journal.position() as u64;
    let context_tokens = journal.record.body.len() as u64 / PROMPT_BYTES_PER_TOKEN + n_tokens;
    let body: Value = serde_json::from_slice(&journal.record.body).unwrap_or_default();
    let remaining_tokens = body["max_tokens"].as_u64().map(|it| it.saturating_sub(n_tokens));
    let remaining_ms =
        remaining_tokens.map_or(u64::MAX, |it| (it as f64 * EXPECTED_DECODE_MS_PER_TOKEN) as u64);
    let transfer_ms = (context_tokens as f64 / tokens_per_s.max(1.0) * 1000.0) as u64;
    LeavingStream { transfer_ms, remaining_ms, context_tokens }
}

/// Transfers the KV cache of one stream. Returns the upstream that holds it now, or `None` if there is
/// no target or the transfer failed.
async fn transfer_kv_cache(
    entry: &Entry,
    from: &Upstream,
    tracked: &TrackedRequest,
    deadline: Instant,
) -> Option<UpstreamName> {
    let attempt = tracked.attempt_at(&from.name)?;
    let target = choose_target(entry, from, tracked)?;
    timeout_at(deadline, export_and_import(entry, from, &target, attempt)).await.ok()??;
    Some(target.name)
}

/// Exports the KV cache of an attempt from one upstream and imports it at another.
async fn export_and_import(
    entry: &Entry,
    from: &Upstream,
    to: &Upstream,
    attempt: AttemptId,
) -> Option<()> {
    let post = |upstream: &Upstream, operation: &str| {
        entry.http.post(format!("http://{}/v1/kv/{operation}", upstream.address))
    };
    let exported = post(from, "export").json(&json!({ "attempt": attempt })).send().await.ok()?;
    let kv_cache = exported.error_for_status().ok()?.bytes().await.ok()?;
    let imported = post(to, "import")
        .header("content-type", "application/json")
        .body(kv_cache)
        .send()
        .await
        .ok()?;
    imported.error_for_status().ok().map(|_| ())
}

/// Returns the upstream of the service with the fewest requests among those that accept requests.
fn choose_target(entry: &Entry, from: &Upstream, tracked: &TrackedRequest) -> Option<Upstream> {
    let service = tracked.journal.lock().record.service.clone();
    let directory = entry.directory();
    let service = directory.services.iter().find(|it| it.service == service)?;
    let others = service.upstreams.iter().filter(|it| it.name != from.name);
    let available = others.filter(|it| entry.upstreams.accepts_requests(&it.name));
    available.min_by_key(|it| entry.upstreams.view(it, &entry.settings.zone).n_requests()).cloned()
}
