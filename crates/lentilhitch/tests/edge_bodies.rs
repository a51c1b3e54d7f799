//! Long bodies: a node stays within its memory, and each response arrives whole, also at a slow client and in a planned stop.

use std::time::{Duration, Instant};

use futures_util::future::join_all;
use lentilhitch_standin::{
    harness::until,
    users_platform::{Behavior, Site, SiteOptions, StoreFault},
};
use serde_json::json;

/// Memory of a node in its settings, of which it may take nine tenths.
const RESIDENT_KIB_MAX: u64 = 260 * 1024 / 10 * 9;
const GRACE: Duration = Duration::from_secs(6);
const N_UPLOADS: usize = 160;

/// Sends uploads at an interval, together more than the memory of the node, beside small requests. Returns how many uploads
/// were served.
async fn upload_beside_small_requests(interval: Duration) -> usize {
    const UPLOAD_BYTES: usize = 2_000_000;
    const N_SMALL: usize = 90;
    const SMALL_INTERVAL: Duration = Duration::from_millis(50);
    let options = SiteOptions { n_applications: 4, ..SiteOptions::default() };
    let mut site = Site::start(options).await.unwrap();
    let version = site.put_config(|config| config["limits"]["maxBodyBytes"] = json!(4 << 20));
    let in_force = format!("\"version\":\"{version}\"");
    until("the configuration is in force", || async {
        site.nodes[0].process.log_text().contains(&in_force)
    })
    .await
    .unwrap();
    for it in &site.applications {
        it.set(Behavior::Serve { work_ms: 4_000 });
    }
    let body = vec![b'u'; UPLOAD_BYTES];
    let uploads = join_all((0..N_UPLOADS).map(|idx| {
        let request = site.request(0, &format!("u{idx}"), "/book/x").body(body.clone());
        let site = &site;
        async move {
            tokio::time::sleep(idx as u32 * interval).await;
            site.send(request).await.unwrap()
        }
    }));
    let small = join_all((0..N_SMALL).map(|idx| {
        let site = &site;
        async move {
            tokio::time::sleep(idx as u32 * SMALL_INTERVAL).await;
            let response = site.call(0, &format!("s{idx}"), "/review/x").await.unwrap();
            (response, site.nodes[0].process.resident_kib())
        }
    }));
    let (uploads, small) = tokio::join!(uploads, small);
    for (idx, (response, resident_kib)) in small.into_iter().enumerate() {
        assert!(response.status == 200 && response.is_complete, "s{idx}: {response:?}");
        assert!(resident_kib < RESIDENT_KIB_MAX, "{resident_kib} KiB at s{idx}");
    }
    for (idx, response) in uploads.iter().enumerate() {
        let (n_runs, status) = (site.n_runs(&format!("u{idx}")), response.status);
        assert_eq!(n_runs, usize::from(status == 200), "u{idx} is answered {status}");
        assert!(status == 200 || !response.header("retry-after").is_empty(), "{response:?}");
    }
    uploads.iter().filter(|it| it.status == 200).count()
}

/// Guards against a node that holds the bodies of all requests until they have ended, and is killed for the memory that it
/// takes. These requests are not sent a second time, so their bodies are not needed once they are written.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn bodies_that_are_not_sent_again_are_not_held() {
    let n_served = upload_beside_small_requests(Duration::from_millis(20)).await;
    assert_eq!(n_served, N_UPLOADS);
}

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
