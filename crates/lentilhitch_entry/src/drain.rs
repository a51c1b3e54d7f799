//! Drain: a planned stop of the process that interrupts no request in progress.

use std::{sync::Arc, time::Duration};

use tokio::time::{Instant, sleep};

use lentilhitch_chart::charts::process::Event;

use crate::{entry::Entry, orders};

const POLL_INTERVAL_MS: u64 = 50;
/// Time before the listeners close for clients to receive the event that another process runs their request.
const MOVED_EVENT_GRACE_MS: u64 = 500;

/// Reports the process as not ready, finishes the requests in progress or hands them over, and returns when the
/// listeners may close.
pub(crate) async fn drain(entry: &Arc<Entry>) {
    let timing = entry.settings.timing;
    entry.step(Event::Terminate);
    orders::release_lease(entry).await;
    let deadline = Instant::now() + Duration::from_millis(timing.drain_ms);
    sleep(Duration::from_millis(timing.balancer_ms)).await;
    entry.step(Event::BalancerInformed);
    loop {
        hand_over_unattended(entry).await;
        if is_idle(entry) {
            entry.step(Event::Idle);
            break;
        }
        if deadline <= Instant::now() {
            entry.step(Event::NoticeEnding);
            hand_over_all(entry).await;
            entry.step(Event::HandedOver);
            break;
        }
        sleep(Duration::from_millis(POLL_INTERVAL_MS)).await;
    }
}

fn is_idle(entry: &Entry) -> bool {
    entry.n_in_progress() == 0
        && entry.journals.unfinished().is_empty()
        && entry.claims().n_unrecorded() == 0
}

/// Hands over the requests of language services without a connected client to peers, so that these requests don't delay
/// the stop.
async fn hand_over_unattended(entry: &Arc<Entry>) {
    for tracked in entry.journals.unfinished().iter().filter(|it| it.n_clients() == 0) {
        entry.hand_over(tracked).await;
    }
}

/// Hands over all unfinished requests of language services to peers.
async fn hand_over_all(entry: &Arc<Entry>) {
    for tracked in entry.journals.unfinished() {
        if !entry.hand_over(&tracked).await {
            log::error!(request_id:% = tracked.request_id(); "failed to hand over the request: no peer accepted it");
        }
    }
    sleep(Duration::from_millis(MOVED_EVENT_GRACE_MS)).await;
}
