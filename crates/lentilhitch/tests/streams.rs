//! The whole answer, to the right caller, once: late, doubled, cut, moved, or asked for again.

use std::time::Duration;

use futures_util::future::join_all;
use lentilhitch_standin::{
    engine::expected_completion,
    harness::{
        Cluster, DURABLE_MODEL, INTERACTIVE_MODEL, Options, read_events, read_events_until, until,
    },
};
use serde_json::{Value, json};

const N_TOKENS: usize = 40;

async fn cluster(options: Options) -> Cluster {
    let timing = json!({ "token_silence_ms": 600, "balancer_ms": 100 });
    Cluster::start_ready(Options { timing, ..options }).await.unwrap()
}

async fn assert_whole(cluster: &Cluster, entry: usize, model: &str, prompt: &str, name: &str) {
    let response =
        cluster.completion(&cluster.entries[entry], model, prompt, N_TOKENS).send().await.unwrap();
    assert_eq!(response.status(), 200, "{name}");
    let events = read_events(response).await;
    assert!(events.is_done(), "{name}: {:?}", events.events.last());
    assert_eq!(events.text(), expected_completion(prompt, N_TOKENS), "{name}");
    let ids: Vec<_> = events.events.iter().filter_map(|it| it.1.parse::<usize>().ok()).collect();
    assert!(ids.is_sorted(), "{name}: {ids:?}");
}

struct Case {
    name: &'static str,
    /// For the first and the second engine.
    faults: [Value; 2],
}

#[tokio::test]
async fn engines_that_misbehave_change_no_answer() {
    let cases = [
        Case { name: "cut", faults: [json!({ "cut_at": 5 }), json!({ "cut_at": 9 })] },
        Case { name: "cut before the first token", faults: [json!({ "cut_at": 0 }), json!({})] },
        Case { name: "stalled", faults: [json!({ "stall_at": 7 }), json!({ "stall_at": 11 })] },
        Case {
            name: "without positions",
            faults: [json!({ "interface": "plain", "cut_at": 5 }), json!({ "interface": "plain" })],
        },
        Case { name: "twice", faults: [json!({ "twice_at": 3 }), json!({ "twice_at": 3 })] },
        Case { name: "stale", faults: [json!({ "stale_at": 3 }), json!({ "stale_at": 3 })] },
        Case { name: "out of order", faults: [json!({ "swap_at": 3 }), json!({ "swap_at": 3 })] },
        Case {
            name: "all",
            faults: [
                json!({ "cut_at": 9, "twice_at": 2, "swap_at": 4 }),
                json!({ "stale_at": 12, "stall_at": 20 }),
            ],
        },
    ];
    let cluster = cluster(Options::default()).await;
    for case in cases {
        for (engine, faults) in cluster.engines.iter().zip(&case.faults) {
            cluster.set_faults(engine.address, faults).await.unwrap();
        }
        for model in [DURABLE_MODEL, INTERACTIVE_MODEL] {
            // Two callers with the same prompt at once.
            let calls = (0..2).map(|it| assert_whole(&cluster, it, model, case.name, case.name));
            join_all(calls).await;
        }
    }
}

#[tokio::test]
async fn an_engine_that_dies_or_freezes_loses_no_answer() {
    let mut cluster = cluster(Options { n_engines: 3, decode_ms: 15, ..Options::default() }).await;
    let calls = |cluster: &Cluster| {
        let calls = (0..6).map(|it| {
            let model = [DURABLE_MODEL, INTERACTIVE_MODEL][it % 2];
            cluster
                .completion(&cluster.entries[it / 2 % 2], model, &format!("prompt {it}"), N_TOKENS)
                .send()
        });
        join_all(calls)
    };
    let responses = calls(&cluster).await;
    cluster.engines[0].process.kill();
    assert_all_whole(responses).await;
    let responses = calls(&cluster).await;
    cluster.engines[1].process.freeze();
    assert_all_whole(responses).await;
    cluster.engines[1].process.thaw();
}

async fn assert_all_whole(responses: Vec<reqwest::Result<reqwest::Response>>) {
    let events = join_all(responses.into_iter().map(|it| read_events(it.unwrap()))).await;
    for (idx, events) in events.iter().enumerate() {
        assert!(events.is_done(), "{idx}: {:?}", events.events.last());
        assert_eq!(events.text(), expected_completion(&format!("prompt {idx}"), N_TOKENS));
    }
}

/// Begins an answer and drops the connection in the middle; returns its id and what came.
async fn begin(
    cluster: &Cluster,
    entry: usize,
    model: &str,
    prompt: &str,
) -> (String, String, usize) {
    let request = cluster.completion(&cluster.entries[entry], model, prompt, N_TOKENS);
    let response = request.send().await.unwrap();
    let id = response.headers()["x-request-id"].to_str().unwrap().to_owned();
    let events = read_events_until(response, |it| 10 <= it.events.len()).await;
    (id, events.text(), events.last_id())
}

async fn rest(cluster: &Cluster, entry: usize, id: &str, last_id: usize) -> String {
    let response = cluster.resume(&cluster.entries[entry], id, last_id).send().await.unwrap();
    assert_eq!(response.status(), 200);
    let events = read_events(response).await;
    assert!(events.is_done(), "{:?}", events.events.last());
    events.text()
}

#[tokio::test]
async fn a_caller_that_lost_its_connection_gets_the_rest_anywhere() {
    let cluster = cluster(Options { decode_ms: 15, ..Options::default() }).await;
    for (model, entry) in
        [(DURABLE_MODEL, 0), (DURABLE_MODEL, 1), (INTERACTIVE_MODEL, 0), (INTERACTIVE_MODEL, 1)]
    {
        let prompt = format!("{model} resumed at {entry}");
        let (id, first, last_id) = begin(&cluster, 0, model, &prompt).await;
        let second = rest(&cluster, entry, &id, last_id).await;
        assert_eq!(first + &second, expected_completion(&prompt, N_TOKENS));
        // And once more from the start, now that it is finished.
        assert_eq!(rest(&cluster, entry, &id, 0).await, expected_completion(&prompt, N_TOKENS));
    }
}

#[tokio::test]
async fn an_accepted_review_outlives_its_entry_process() {
    let mut cluster = cluster(Options { decode_ms: 15, n_entries: 3, ..Options::default() }).await;
    let (id, first, last_id) = begin(&cluster, 0, DURABLE_MODEL, "killed").await;
    cluster.entries[0].process.kill();
    let second = rest(&cluster, 2, &id, last_id).await;
    assert_eq!(first + &second, expected_completion("killed", N_TOKENS));

    // Frozen: the peers take over; when it thaws its own run does no harm.
    let (id, first, last_id) = begin(&cluster, 1, DURABLE_MODEL, "frozen").await;
    cluster.entries[1].process.freeze();
    let second = rest(&cluster, 2, &id, last_id).await;
    cluster.entries[1].process.thaw();
    assert_eq!(first + &second, expected_completion("frozen", N_TOKENS));
}

#[tokio::test]
async fn a_planned_stop_cuts_nothing() {
    // Streams of about 5 s, longer than the balancer's delay and any grace of the listeners together.
    let mut cluster = cluster(Options { decode_ms: 60, ..Options::default() }).await;
    let streams = (0..10).map(|it| {
        let model = [DURABLE_MODEL, INTERACTIVE_MODEL][it % 2];
        cluster.completion(&cluster.entries[0], model, &format!("prompt {it}"), N_TOKENS * 2).send()
    });
    let streams = join_all(streams).await;
    cluster
        .set_faults(cluster.applications[0].address, &json!({ "answer_delay_ms": 400 }))
        .await
        .unwrap();
    let call = tokio::spawn(cluster.commission(&cluster.entries[0], "stop", "b").send());
    until("the application runs it", || async { cluster.runs(0).await.len() == 1 }).await.unwrap();
    cluster.entries[0].process.terminate();
    let ready = format!("http://{}/ready", cluster.entries[0].admin);
    until("readiness fails", || async {
        cluster.http.get(&ready).send().await.is_ok_and(|it| it.status() == 503)
    })
    .await
    .unwrap();
    // What comes while the balancer has not seen it yet is still served, on a kept connection too.
    assert_whole(&cluster, 0, INTERACTIVE_MODEL, "late", "late").await;
    let events = join_all(streams.into_iter().map(|it| read_events(it.unwrap()))).await;
    for (idx, events) in events.iter().enumerate() {
        assert!(events.is_done() && events.is_closed_properly, "{idx}: {:?}", events.events.last());
        assert_eq!(events.text(), expected_completion(&format!("prompt {idx}"), N_TOKENS * 2));
    }
    assert_eq!(call.await.unwrap().unwrap().status(), 201);
    assert_eq!(cluster.entries[0].process.wait().unwrap(), Some(0));
    let again = cluster.commission(&cluster.entries[1], "stop", "b").send().await.unwrap();
    assert_eq!(again.headers()["idempotency-replayed"], "true");
}

#[tokio::test]
async fn a_stop_on_short_notice_hands_over() {
    let timing = json!({ "balancer_ms": 50, "drain_ms": 300 });
    let mut cluster = Cluster::start_ready(Options { decode_ms: 40, timing, ..Options::default() })
        .await
        .unwrap();
    let response = cluster
        .completion(&cluster.entries[0], DURABLE_MODEL, "moved", N_TOKENS)
        .send()
        .await
        .unwrap();
    let id = response.headers()["x-request-id"].to_str().unwrap().to_owned();
    cluster.entries[0].process.terminate();
    let events = read_events(response).await;
    assert!(
        events.event_data("moved").is_some_and(|it| it.contains(&id)),
        "{:?}",
        events.events.last()
    );
    assert!(events.is_closed_properly);
    assert_eq!(cluster.entries[0].process.wait().unwrap(), Some(0));
    let second = rest(&cluster, 1, &id, events.last_id()).await;
    assert_eq!(events.text() + &second, expected_completion("moved", N_TOKENS));
}

#[tokio::test]
async fn reviews_survive_the_reclaim_of_a_zone() {
    let options = Options { decode_ms: 25, n_entries: 3, n_engines: 3, ..Options::default() };
    let mut cluster = cluster(options).await;
    let prompts: Vec<_> = (0..6).map(|it| format!("manuscript {it}")).collect();
    let begun = join_all(prompts.iter().map(|it| begin(&cluster, 0, DURABLE_MODEL, it))).await;
    // The zone's engine and entry process get notice together; the entry process dies in the middle of its stop.
    cluster.set_faults(cluster.engines[0].address, &json!({ "is_leaving": true })).await.unwrap();
    cluster.entries[0].process.terminate();
    tokio::time::sleep(Duration::from_millis(150)).await;
    cluster.entries[0].process.kill();
    cluster.engines[0].process.kill();
    let rests = begun.iter().map(|it| rest(&cluster, 1, &it.0, it.2));
    for ((begun, rest), prompt) in begun.iter().zip(join_all(rests).await).zip(&prompts) {
        assert_eq!(begun.1.clone() + &rest, expected_completion(prompt, N_TOKENS));
    }
}
