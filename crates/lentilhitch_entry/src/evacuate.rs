//! Moving the streams of an upstream that leaves.

use std::{sync::Arc, time::Duration};

use serde_json::{Value, json};
use tokio::time::{Instant, timeout_at};

use lentilhitch_config::Upstream;
use lentilhitch_policy::kv_transfer::{LeavingStream, StreamAction, plan};
use lentilhitch_types::{AttemptId, UpstreamName};

use crate::{
    entry::Entry,
    journals::{Active, Moving},
    runner::{DECODE_MS_EXPECTED, PROMPT_BYTES_PER_TOKEN},
};

/// Notice that is planned with when the upstream does not tell it.
const NOTICE_MS_DEFAULT: u64 = 5_000;

/// Plans for every stream that this process has on the upstream, and carries the plan out.
pub(crate) async fn evacuate(entry: Arc<Entry>, name: UpstreamName) {
    let Some(upstream) = entry.directory().upstreams.get(&name).cloned() else { return };
    let on_board: Vec<_> =
        entry.journals.unfinished().into_iter().filter(|it| it.is_at(&name)).collect();
    let (notice_ms, tokens_per_s) = entry.upstreams.notice(&name);
    let notice_ms = notice_ms.unwrap_or(NOTICE_MS_DEFAULT);
    // Every process exports over the same link.
    let own_tokens_per_s = tokens_per_s / entry.peers().n_processes() as f64;
    let streams: Vec<_> = on_board.iter().map(|it| movable(it, own_tokens_per_s)).collect();
    let moves = plan(notice_ms, &streams);
    log::info!(upstream:% = name, notice_ms = notice_ms, n_streams = moves.len(); "upstream leaves");
    let until = Instant::now() + Duration::from_millis(notice_ms);
    let mut exports = Vec::new();
    for (active, it) in on_board.iter().zip(moves) {
        match it {
            StreamAction::Stay => active.tell(Moving::Stay),
            StreamAction::Recompute => active.tell(Moving::Go(None)),
            StreamAction::Export(order) => exports.push((order, active)),
        }
    }
    exports.sort_by_key(|it| it.0);
    for (_, active) in exports {
        let target = export(&entry, &upstream, active, until).await;
        log::info!(request_id:% = active.request_id(), is_moved = target.is_some(); "KV cache moved");
        active.tell(Moving::Go(target));
    }
}

fn movable(active: &Active, tokens_per_s: f64) -> LeavingStream {
    let journal = active.journal.lock();
    let n_tokens = journal.position() as u64;
    let context_tokens = journal.record.body.len() as u64 / PROMPT_BYTES_PER_TOKEN + n_tokens;
    let body: Value = serde_json::from_slice(&journal.record.body).unwrap_or_default();
    let n_left = body["max_tokens"].as_u64().map(|it| it.saturating_sub(n_tokens));
    let remaining_ms = n_left.map_or(u64::MAX, |it| (it as f64 * DECODE_MS_EXPECTED) as u64);
    let transfer_ms = (context_tokens as f64 / tokens_per_s.max(1.0) * 1000.0) as u64;
    LeavingStream { transfer_ms, remaining_ms, context_tokens }
}

/// Moves the KV cache of one stream; returns where it now is.
async fn export(
    entry: &Entry,
    from: &Upstream,
    active: &Active,
    until: Instant,
) -> Option<UpstreamName> {
    let attempt = active.attempt_at(&from.upstream)?;
    let target = target(entry, from, active)?;
    timeout_at(until, transfer(entry, from, &target, attempt)).await.ok()??;
    Some(target.upstream)
}

async fn transfer(entry: &Entry, from: &Upstream, to: &Upstream, attempt: AttemptId) -> Option<()> {
    let post = |upstream: &Upstream, what: &str| {
        entry.http.post(format!("http://{}/v1/kv/{what}", upstream.address))
    };
    let exported = post(from, "export").json(&json!({ "attempt": attempt })).send().await.ok()?;
    let cache = exported.error_for_status().ok()?.bytes().await.ok()?;
    let imported = post(to, "import")
        .header("content-type", "application/json")
        .body(cache)
        .send()
        .await
        .ok()?;
    imported.error_for_status().ok().map(|_| ())
}

/// The open upstream of the service with the fewest requests.
fn target(entry: &Entry, from: &Upstream, active: &Active) -> Option<Upstream> {
    let service = active.journal.lock().record.service.clone();
    let directory = entry.directory();
    let service = directory.services.iter().find(|it| it.service == service)?;
    let others = service.upstreams.iter().filter(|it| it.upstream != from.upstream);
    let open = others.filter(|it| entry.upstreams.is_open(&it.upstream));
    open.min_by_key(|it| entry.upstreams.view(it, &entry.settings.zone).n_requests()).cloned()
}
