//! Streams on the users' platform: whole events only, resumed where allowed, moved with their memory, cut with the client.

use lentilhitch_standin::{
    harness::until,
    users_platform::{Behavior, Site, SiteOptions},
};
use serde_json::json;

const N_EVENTS: u64 = 6;

fn whole() -> Vec<u64> {
    (1..=N_EVENTS).collect()
}

#[tokio::test]
async fn a_broken_stream_goes_on_only_where_it_may() {
    struct Case {
        name: &'static str,
        path: &'static str,
        interval_ms: u64,
        is_whole: bool,
        n_runs: usize,
    }
    let cases = [
        Case { name: "resumable", path: "/review/x", interval_ms: 5, is_whole: true, n_runs: 2 },
        Case { name: "not resumable", path: "/ask/x", interval_ms: 5, is_whole: false, n_runs: 1 },
        Case {
            name: "resumable, long after its first token was due",
            path: "/review/x",
            interval_ms: 800,
            is_whole: true,
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
        let answer = site.send(request).await.unwrap();
        assert_eq!(answer.status, 200, "{}", case.name);
        assert_eq!(answer.is_complete, case.is_whole, "{}: {answer:?}", case.name);
        assert_eq!(site.n_runs("s1"), case.n_runs, "{}", case.name);
        let ids = answer.event_ids();
        assert!(whole().starts_with(&ids), "{}: {ids:?}", case.name);
        assert_eq!(ids == whole(), case.is_whole, "{}: {ids:?}", case.name);
    }
}

#[tokio::test]
async fn a_client_may_resume_by_itself() {
    let site = Site::start(SiteOptions::default()).await.unwrap();
    site.engines[0].set(Behavior::Stream { n_events: N_EVENTS, interval_ms: 1, break_after: None });
    let request = site.request(0, "s2", "/review/x").header("last-event-id", "4");
    let answer = site.send(request).await.unwrap();
    assert_eq!(answer.event_ids(), [5, 6]);
    assert_eq!(site.engines[0].executed()[0].header("last-event-id"), "4");
}

#[tokio::test]
async fn a_leaving_engine_hands_its_streams_over_with_their_memory() {
    let site = Site::start(SiteOptions { n_engines: 1, ..SiteOptions::default() }).await.unwrap();
    let engine = &site.engines[0];
    engine.set(Behavior::Stream { n_events: 400, interval_ms: 20, break_after: None });
    let request = site.request(0, "s3", "/ask/x");
    let mut response = request.send().await.unwrap();
    let first = response.chunk().await.unwrap().unwrap();
    let mut text = String::from_utf8_lossy(&first).into_owned();
    // Another engine comes, and then the first one learns that it leaves in a moment.
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
    while let Ok(Some(piece)) = response.chunk().await {
        text.push_str(&String::from_utf8_lossy(&piece));
    }
    assert!(text.ends_with("id: 400\ndata: 400\n\n"), "{}", &text[text.len() - 80..]);
    let ids: Vec<u64> =
        text.lines().filter_map(|it| it.strip_prefix("id: ")?.parse().ok()).collect();
    assert!(ids.windows(2).all(|it| it[0] + 1 == it[1]), "a piece is missing or twice: {ids:?}");
    let moved = engine.kv_transfers();
    assert_eq!(moved.len(), 1, "{moved:?}");
    assert_eq!(moved[0]["id"], "s3");
    let ran = other.executed();
    assert_eq!(ran[0].header("kv-from"), format!("{}/h1", engine.address));
}

#[tokio::test]
async fn a_stream_outlives_a_new_life_under_its_engines_name() {
    let mut site = Site::start(SiteOptions::default()).await.unwrap();
    let engine = &site.engines[0];
    engine.set(Behavior::Stream { n_events: 200, interval_ms: 10, break_after: None });
    let mut response = site.request(0, "s6", "/ask/x").send().await.unwrap();
    response.chunk().await.unwrap();
    engine.write_entry(&site.store, &json!({ "born": 9, "seq": 2 }));
    until("the new life is known", || async {
        site.nodes[0].process.log_text().contains("upstream restarted")
    })
    .await
    .unwrap();
    // Another one leaves, so that every stream looks at the list again.
    let other = lentilhitch_standin::users_platform::Upstream::start_with_entry(
        &site.store,
        "engine-8",
        "draft",
        Behavior::Full,
    )
    .await
    .unwrap();
    other.write_entry(&site.store, &json!({ "state": "draining", "seq": 2 }));
    until("it is known to leave", || async {
        site.nodes[0].process.log_text().contains("upstream is leaving")
    })
    .await
    .unwrap();
    assert_eq!(site.call(0, "s8", "/book/x").await.unwrap().status, 200, "beside the stream");
    let text = response.text().await.unwrap();
    assert!(text.ends_with("id: 200\ndata: 200\n\n"), "{text}");
    assert!(site.nodes[0].process.is_running());
    assert_eq!(site.call(0, "s7", "/book/x").await.unwrap().status, 200);
}

#[tokio::test]
async fn work_ends_with_its_client() {
    let site = Site::start(SiteOptions::default()).await.unwrap();
    let engine = &site.engines[0];
    engine.set(Behavior::Stream { n_events: 100_000, interval_ms: 5, break_after: None });
    let mut response = site.request(0, "s4", "/ask/x").send().await.unwrap();
    response.chunk().await.unwrap();
    drop(response);
    until("the engine's run is cut", || async { engine.n_aborted_streams() == 1 }).await.unwrap();
    engine.set(Behavior::Hang);
    let mute = site.request(0, "s5", "/ask/x").timeout(std::time::Duration::from_millis(300));
    assert!(mute.send().await.is_err());
    until("the place is given back", || async {
        let url = format!("http://{}/v1/status", site.nodes[0].metrics);
        let status = site.http.get(url).send().await.unwrap().text().await.unwrap();
        status.contains("\"n_in_flight\":0")
    })
    .await
    .unwrap();
}
