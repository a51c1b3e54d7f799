//! Streams on the users' platform: only complete events are sent, broken streams are resumed where the route allows it,
//! KV caches are transferred from leaving upstreams, and attempts are canceled when the client disconnects.

use lentilhitch_standin::{
    harness::until,
    users_platform::{Behavior, Site, SiteOptions},
};
use serde_json::json;

const N_EVENTS: u64 = 6;

fn all_event_ids() -> Vec<u64> {
    (1..=N_EVENTS).collect()
}

#[tokio::test]
async fn broken_stream_is_resumed_only_if_the_route_allows_it() {
    struct Case {
        name: &'static str,
        path: &'static str,
        interval_ms: u64,
        is_complete: bool,
        n_runs: usize,
    }
    let cases = [
        Case { name: "resumable", path: "/review/x", interval_ms: 5, is_complete: true, n_runs: 2 },
        Case {
            name: "not resumable",
            path: "/ask/x",
            interval_ms: 5,
            is_complete: false,
            n_runs: 1,
        },
        Case {
            name: "resumable, broken long after the target for the first token",
            path: "/review/x",
            interval_ms: 800,
            is_complete: true,
            n_runs: 2,
        },
    ];
    for case in cases {
        let site =
            Site::start(SiteOptions { n_engines: 2, ..SiteOptions::default() }).await.unwrap();
        for it in &site.engines {
            let interval_ms = case.interval_ms;
            it.set(Behavior::Stream { n_events: N_EVENTS, interval_ms, break_after: Some(3) });
        }
        let request = site.request(0, "s1", case.path);
        let request =
            request.header("x-token-usage", "900,80").header("x-prompt-prefix", "5c:800,9d:100");
        let response = site.send(request).await.unwrap();
        assert_eq!(response.status, 200, "{}", case.name);
        assert_eq!(response.is_complete, case.is_complete, "{}: {response:?}", case.name);
        assert_eq!(site.n_runs("s1"), case.n_runs, "{}", case.name);
        let ids = response.event_ids();
        assert!(all_event_ids().starts_with(&ids), "{}: {ids:?}", case.name);
        assert_eq!(ids == all_event_ids(), case.is_complete, "{}: {ids:?}", case.name);
    }
}

#[tokio::test]
async fn client_may_resume_a_stream() {
    let site = Site::start(SiteOptions::default()).await.unwrap();
    site.engines[0].set(Behavior::Stream { n_events: N_EVENTS, interval_ms: 1, break_after: None });
    let request = site.request(0, "s2", "/review/x").header("last-event-id", "4");
    let response = site.send(request).await.unwrap();
    assert_eq!(response.event_ids(), [5, 6]);
    assert_eq!(site.engines[0].executed()[0].header("last-event-id"), "4");
}

#[tokio::test]
async fn leaving_engine_hands_its_streams_over_with_their_kv_caches() {
    let site = Site::start(SiteOptions { n_engines: 1, ..SiteOptions::default() }).await.unwrap();
    let engine = &site.engines[0];
    engine.set(Behavior::Stream { n_events: 400, interval_ms: 20, break_after: None });
    let request = site.request(0, "s3", "/ask/x");
    let mut response = request.send().await.unwrap();
    let first = response.chunk().await.unwrap().unwrap();
    let mut text = String::from_utf8_lossy(&first).into_owned();
    // A second engine is added. Then the entry of the first one states that it leaves in 1.5 s.
    let other = lentilhitch_standin::users_platform::Upstream::start_with_entry(
        &site.store,
        "engine-9",
        "draft",
        Behavior::Stream { n_events: 400, interval_ms: 1, break_after: None },
    )
    .await
    .unwrap();
    until("the other engine is known", || async {
        site.nodes[0].process.log_text().contains("engine-9")
    })
    .await
    .unwrap();
    engine.write_entry(&site.store, &json!({ "state": "draining", "leaves_ms": 1_500, "seq": 2 }));
    while let Ok(Some(chunk)) = response.chunk().await {
        text.push_str(&String::from_utf8_lossy(&chunk));
    }
    assert!(text.ends_with("id: 400\ndata: 400\n\n"), "{}", &text[text.len() - 80..]);
    let ids: Vec<u64> =
        text.lines().filter_map(|it| it.strip_prefix("id: ")?.parse().ok()).collect();
    assert!(
        ids.windows(2).all(|it| it[0] + 1 == it[1]),
        "an event is missing or sent twice: {ids:?}"
    );
    let kv_transfers = engine.kv_transfers();
    assert_eq!(kv_transfers.len(), 1, "{kv_transfers:?}");
    assert_eq!(kv_transfers[0]["id"], "s3");
    let executed = other.executed();
    assert_eq!(executed[0].header("kv-from"), format!("{}/h1", engine.address));
}

#[tokio::test]
async fn stream_continues_after_its_engine_is_listed_as_a_new_incarnation() {
    let mut site = Site::start(SiteOptions::default()).await.unwrap();
    let engine = &site.engines[0];
    engine.set(Behavior::Stream { n_events: 200, interval_ms: 10, break_after: None });
    let mut response = site.request(0, "s6", "/ask/x").send().await.unwrap();
    response.chunk().await.unwrap();
    engine.write_entry(&site.store, &json!({ "born": 9, "seq": 2 }));
    until("the new incarnation is known", || async {
        site.nodes[0].process.log_text().contains("upstream restarted")
    })
    .await
    .unwrap();
    // Another engine leaves, so that every stream checks the list of upstreams again.
    let other = lentilhitch_standin::users_platform::Upstream::start_with_entry(
        &site.store,
        "engine-8",
        "draft",
        Behavior::Full,
    )
    .await
    .unwrap();
    other.write_entry(&site.store, &json!({ "state": "draining", "seq": 2 }));
    until("the node knows that the other engine is leaving", || async {
        site.nodes[0].process.log_text().contains("upstream is leaving")
    })
    .await
    .unwrap();
    assert_eq!(site.call(0, "s8", "/book/x").await.unwrap().status, 200, "during the stream");
    let text = response.text().await.unwrap();
    assert!(text.ends_with("id: 200\ndata: 200\n\n"), "{text}");
    assert!(site.nodes[0].process.is_running());
    assert_eq!(site.call(0, "s7", "/book/x").await.unwrap().status, 200);
}

#[tokio::test]
async fn attempt_ends_when_its_client_disconnects() {
    let site = Site::start(SiteOptions::default()).await.unwrap();
    let engine = &site.engines[0];
    engine.set(Behavior::Stream { n_events: 100_000, interval_ms: 5, break_after: None });
    let mut response = site.request(0, "s4", "/ask/x").send().await.unwrap();
    response.chunk().await.unwrap();
    drop(response);
    until("the engine's stream is aborted", || async { engine.n_aborted_streams() == 1 })
        .await
        .unwrap();
    engine.set(Behavior::Hang);
    let unanswered = site.request(0, "s5", "/ask/x").timeout(std::time::Duration::from_millis(300));
    assert!(unanswered.send().await.is_err());
    until("the request is no longer in progress", || async {
        let url = format!("http://{}/v1/status", site.nodes[0].metrics);
        let status = site.http.get(url).send().await.unwrap().text().await.unwrap();
        status.contains("\"n_in_flight\":0")
    })
    .await
    .unwrap();
}
