//! How nodes follow the configuration while the store misbehaves.

use lentilhitch_standin::{
    harness::until,
    users_platform::{Site, SiteOptions, StoreFault},
};

const TOPIC: &str = "keyed.op";
/// Time after a disruption within which nodes know of changes again, if the settings do not state it.
const CONTACT_MS: u64 = 3_000;

/// Guards against a node that learns of a new configuration seconds after the store has returned, because its read
/// waits on a connection on which the store answers nothing any more.
#[tokio::test]
async fn reads_do_not_wait_at_a_store_that_has_fallen_silent() {
    const N_UNANSWERED: usize = 3;
    let mut site = Site::start(SiteOptions::default()).await.unwrap();
    let store = site.store.clone();
    until("a read waits", || async { store.reads(TOPIC).iter().any(|it| 0 < it.wait_ms) })
        .await
        .unwrap();
    store.set_fault(StoreFault::Unresponsive);
    let unanswered = || store.reads(TOPIC).into_iter().filter(|it| !it.is_answered);
    until("reads get no answer", || async { N_UNANSWERED < unanswered().count() }).await.unwrap();

    let waits_ms: Vec<_> = store.reads(TOPIC).iter().map(|it| it.wait_ms).collect();
    assert!(waits_ms.iter().all(|it| *it < CONTACT_MS / 2), "{waits_ms:?}");
    let unanswered_ms: Vec<_> = unanswered().map(|it| it.wait_ms).collect();
    assert!(unanswered_ms[1..].iter().all(|it| *it == 0), "{unanswered_ms:?}");

    store.set_fault(StoreFault::None);
    site.put_config(|it| it["tenants"][0]["apiKeys"] = serde_json::json!(["another-key"]));
    until("the old key is rejected", || async {
        site.call(0, "k", "/book/x").await.unwrap().status == 401
    })
    .await
    .unwrap();
    until("reads wait again", || async {
        store.reads(TOPIC).last().is_some_and(|it| 0 < it.wait_ms)
    })
    .await
    .unwrap();
}
