//! Tests that a request that crashes upstreams is quarantined after two crashes, and that other requests complete.

use futures_util::future::join_all;
use lentilhitch_standin::{
    engine::expected_completion,
    harness::{Cluster, DURABLE_MODEL, INTERACTIVE_MODEL, Options, read_events, until},
};
use serde_json::{Value, json};

const CRASHING_PROMPT: &str = "CRASH-THE-ENGINE please";
const N_TOKENS: usize = 60;

fn n_crashed(cluster: &mut Cluster) -> usize {
    cluster.engines.iter_mut().filter_map(|it| (!it.process.is_running()).then_some(())).count()
}

#[tokio::test]
async fn a_request_is_quarantined_after_two_crashes() {
    let options = Options {
        n_engines: 5,
        n_applications: 0,
        n_entries: 3,
        decode_ms: 20,
        is_direct: true,
        ..Options::default()
    };
    let mut cluster = Cluster::start_ready(options).await.unwrap();
    let healthy = (0..9).map(|it| {
        let model = [DURABLE_MODEL, INTERACTIVE_MODEL][it % 2];
        cluster
            .completion(&cluster.entries[it % 3], model, &format!("healthy {it}"), N_TOKENS)
            .send()
    });
    let healthy = join_all(healthy).await;
    // The client repeats the crashing request, each time at another process.
    for round in 0..6 {
        let request =
            cluster.completion(&cluster.entries[round % 3], INTERACTIVE_MODEL, CRASHING_PROMPT, 4);
        let response = request.send().await.unwrap();
        if response.status() == 200 {
            let events = read_events(response).await;
            assert!(
                events.event_data("error").is_some_and(|it| it.contains("quarantined")),
                "{:?}",
                events.events
            );
        } else {
            assert_eq!(response.status(), 422, "round {round}");
            let problem: Value = response.json().await.unwrap();
            assert_eq!(problem["type"], "quarantined");
        }
        until("every process has evidence of two crashes", || async {
            for entry in &cluster.entries {
                let dump = cluster.dump(entry).await.unwrap_or_default();
                let evidence = dump["evidence"].as_array().cloned().unwrap_or_default();
                let fingerprints =
                    evidence.iter().map(|it| it["fingerprint"].as_str().unwrap_or_default());
                let fingerprints: Vec<_> = fingerprints.collect();
                if !fingerprints
                    .iter()
                    .any(|it| 2 <= fingerprints.iter().filter(|other| it == *other).count())
                {
                    return false;
                }
            }
            true
        })
        .await
        .unwrap();
    }
    assert_eq!(n_crashed(&mut cluster), 2);
    let healthy = join_all(healthy.into_iter().map(|it| read_events(it.unwrap()))).await;
    for (idx, events) in healthy.iter().enumerate() {
        assert!(events.is_done(), "{idx}: {:?}", events.events.last());
        assert_eq!(events.text(), expected_completion(&format!("healthy {idx}"), N_TOKENS));
    }
    let later_response = cluster
        .completion(&cluster.entries[0], INTERACTIVE_MODEL, "healthy again", 4)
        .send()
        .await
        .unwrap();
    assert_eq!(later_response.status(), 200);
    assert_eq!(json!(n_crashed(&mut cluster)), json!(2));
}
