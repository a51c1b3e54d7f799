//! A planned stop: no request in progress is cut.

use std::{sync::Arc, time::Duration};

use tokio::time::{Instant, sleep};

use lentilhitch_chart::charts::process::Event;

use crate::{entry::Entry, orders};

const LOOK_MS: u64 = 50;
/// How long callers get to take in that their request has moved.
const MOVED_MS: u64 = 500;

/// Fails readiness, finishes or hands over what is in progress, and returns when the listeners may close.
pub(crate) async fn drain(entry: &Arc<Entry>) {
    let timing = entry.settings.timing;
    entry.step(Event::Terminate);
    orders::release_lease(entry).await;
    let until = Instant::now() + Duration::from_millis(timing.drain_ms);
    sleep(Duration::from_millis(timing.balancer_ms)).await;
    entry.step(Event::BalancerInformed);
    loop {
        hand_over_orphans(entry).await;
        if is_idle(entry) {
            entry.step(Event::Idle);
            break;
        }
        if until <= Instant::now() {
            entry.step(Event::NoticeEnding);
            hand_over_all(entry).await;
            entry.step(Event::HandedOver);
            break;
        }
        sleep(Duration::from_millis(LOOK_MS)).await;
    }
}

fn is_idle(entry: &Entry) -> bool {
    entry.n_in_progress() == 0
        && entry.journals.unfinished().is_empty()
        && entry.claims().n_unrecorded() == 0
}

/// Requests that nobody waits for here need not hold up the stop.
async fn hand_over_orphans(entry: &Arc<Entry>) {
    for active in entry.journals.unfinished().iter().filter(|it| it.n_clients() == 0) {
        entry.hand_over(active).await;
    }
}

async fn hand_over_all(entry: &Arc<Entry>) {
    for active in entry.journals.unfinished() {
        if !entry.hand_over(&active).await {
            log::error!(request_id:% = active.request_id(); "request not handed over: no peer took it");
        }
    }
    sleep(Duration::from_millis(MOVED_MS)).await;
}
