//! Long bodies: a node stays within its memory, and each response arrives whole, also at a slow client and in a planned stop.

use std::time::{Duration, Instant};

use lentilhitch_standin::users_platform::{Behavior, Site, SiteOptions, StoreFault};

const GRACE: Duration = Duration::from_secs(6);

/// Guards against a process that outlives its grace period because the store does not answer.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn planned_stop_ends_within_its_grace_period_while_the_store_is_silent() {
    let mut site = Site::start(SiteOptions::default()).await.unwrap();
    let (n_events, interval_ms) = (200, 100);
    site.engines[0].set(Behavior::Stream { n_events, interval_ms, break_after: None });
    let mut stream = site.request(0, "s", "/review/x").send().await.unwrap();
    stream.chunk().await.unwrap();
    site.store.set_fault(StoreFault::Unresponsive);
    let stopped = Instant::now();
    site.nodes[0].process.terminate();
    assert_eq!(site.nodes[0].process.wait().unwrap(), Some(0));
    assert!(stopped.elapsed() < GRACE, "{:?}", stopped.elapsed());
}
