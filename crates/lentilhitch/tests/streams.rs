//! Tests that each client gets its own full response exactly once when tokens are late, repeated or out of order, when
//! a stream is cut or moved to another upstream or process, and when the client resumes it.

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

async fn assert_full_response(
    cluster: &Cluster,
    entry: usize,
    model: &str,
    prompt: &str,
    name: &str,
) {
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
    /// Name of the case. It is also the prompt.
    name: &'static str,
    /// Faults of the first and of the second engine.
    faults: [Value; 2],
}

#[tokio::test]
async fn engine_faults_do_not_change_responses() {
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
            // Two clients send the same prompt at the same time.
            let calls =
                (0..2).map(|it| assert_full_response(&cluster, it, model, case.name, case.name));
            join_all(calls).await;
        }
    }
}

#[tokio::test]
async fn a_killed_or_frozen_engine_loses_no_response() {
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
    assert_all_full(responses).await;
    let responses = calls(&cluster).await;
    cluster.engines[1].process.freeze();
    assert_all_full(responses).await;
    cluster.engines[1].process.thaw();
}

async fn assert_all_full(responses: Vec<reqwest::Result<reqwest::Response>>) {
    let events = join_all(responses.into_iter().map(|it| read_events(it.unwrap()))).await;
    for (idx, events) in events.iter().enumerate() {
        assert!(events.is_done(), "{idx}: {:?}", events.events.last());
        assert_eq!(events.text(), expected_completion(&format!("prompt {idx}"), N_TOKENS));
    }
}

/// Starts a response and drops the connection in the middle. Returns the request ID, the text so far and the ID of the
/// last event.
async fn start_and_disconnect(
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

/// Resumes a stream after an event. Returns the rest of the text.
async fn resume(cluster: &Cluster, entry: usize, id: &str, last_id: usize) -> String {
    let response = cluster.resume(&cluster.entries[entry], id, last_id).send().await.unwrap();
    assert_eq!(response.status(), 200);
    let events = read_events(response).await;
    assert!(events.is_done(), "{:?}", events.events.last());
    events.text()
}

#[tokio::test]
async fn a_disconnected_client_can_resume_at_any_process() {
    let cluster = cluster(Options { decode_ms: 15, ..Options::default() }).await;
    for (model, entry) in
        [(DURABLE_MODEL, 0), (DURABLE_MODEL, 1), (INTERACTIVE_MODEL, 0), (INTERACTIVE_MODEL, 1)]
    {
        let prompt = format!("{model} resumed at {entry}");
        let (id, first_part, last_id) = start_and_disconnect(&cluster, 0, model, &prompt).await;
        let second_part = resume(&cluster, entry, &id, last_id).await;
        assert_eq!(first_part + &second_part, expected_completion(&prompt, N_TOKENS));
        // The response is complete now and can be read again from the start.
        assert_eq!(resume(&cluster, entry, &id, 0).await, expected_completion(&prompt, N_TOKENS));
    }
}

#[tokio::test]
async fn a_durable_response_outlives_its_entry_process() {
    let mut cluster = cluster(Options { decode_ms: 15, n_entries: 3, ..Options::default() }).await;
    let (id, first_part, last_id) =
        start_and_disconnect(&cluster, 0, DURABLE_MODEL, "killed").await;
    cluster.entries[0].process.kill();
    let second_part = resume(&cluster, 2, &id, last_id).await;
    assert_eq!(first_part + &second_part, expected_completion("killed", N_TOKENS));

    // The peers take over the response of a frozen process. After the process thaws, its own run of the request has no
    // effect on the client.
    let (id, first_part, last_id) =
        start_and_disconnect(&cluster, 1, DURABLE_MODEL, "frozen").await;
    cluster.entries[1].process.freeze();
    let second_part = resume(&cluster, 2, &id, last_id).await;
    cluster.entries[1].process.thaw();
    assert_eq!(first_part + &second_part, expected_completion("frozen", N_TOKENS));
}

#[tokio::test]
async fn a_planned_shutdown_completes_all_requests() {
    // The streams take about 5 s, longer than the delay of the load balancer and the grace periods of the listeners
    // together.
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
    until("the application runs the call", || async { cluster.runs(0).await.len() == 1 })
        .await
        .unwrap();
    cluster.entries[0].process.terminate();
    let ready = format!("http://{}/ready", cluster.entries[0].admin);
    until("readiness fails", || async {
        cluster.http.get(&ready).send().await.is_ok_and(|it| it.status() == 503)
    })
    .await
    .unwrap();
    // Requests that arrive before the load balancer has noticed the shutdown are still served, also on a kept-alive
    // connection.
    assert_full_response(&cluster, 0, INTERACTIVE_MODEL, "late", "late").await;
    let events = join_all(streams.into_iter().map(|it| read_events(it.unwrap()))).await;
    for (idx, events) in events.iter().enumerate() {
        assert!(events.is_done() && events.is_closed_properly, "{idx}: {:?}", events.events.last());
        assert_eq!(events.text(), expected_completion(&format!("prompt {idx}"), N_TOKENS * 2));
    }
    assert_eq!(call.await.unwrap().unwrap().status(), 201);
    assert_eq!(cluster.entries[0].process.wait().unwrap(), Some(0));
    let replayed = cluster.commission(&cluster.entries[1], "stop", "b").send().await.unwrap();
    assert_eq!(replayed.headers()["idempotency-replayed"], "true");
}

#[tokio::test]
async fn a_shutdown_on_short_notice_hands_streams_over() {
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
    let second_part = resume(&cluster, 1, &id, events.last_id()).await;
    assert_eq!(events.text() + &second_part, expected_completion("moved", N_TOKENS));
}

#[tokio::test]
async fn durable_responses_survive_the_reclaim_of_a_zone() {
    let options = Options { decode_ms: 25, n_entries: 3, n_engines: 3, ..Options::default() };
    let mut cluster = cluster(options).await;
    let prompts: Vec<_> = (0..6).map(|it| format!("manuscript {it}")).collect();
    let started =
        join_all(prompts.iter().map(|it| start_and_disconnect(&cluster, 0, DURABLE_MODEL, it)))
            .await;
    // The engine and the entry process of the zone get notice at the same time. The entry process is killed during its
    // shutdown.
    cluster.set_faults(cluster.engines[0].address, &json!({ "is_leaving": true })).await.unwrap();
    cluster.entries[0].process.terminate();
    tokio::time::sleep(Duration::from_millis(150)).await;
    cluster.entries[0].process.kill();
    cluster.engines[0].process.kill();
    let rests = started.iter().map(|it| resume(&cluster, 1, &it.0, it.2));
    for ((started, rest), prompt) in started.iter().zip(join_all(rests).await).zip(&prompts) {
        assert_eq!(started.1.clone() + &rest, expected_completion(prompt, N_TOKENS));
    }
}
