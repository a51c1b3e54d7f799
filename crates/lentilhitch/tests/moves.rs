//! Tests that streams of an engine that leaves on notice are completed with the correct text, and that KV cache
//! transfers reduce the number of tokens that are recomputed.

use futures_util::future::join_all;
use lentilhitch_standin::{
    engine::expected_completion,
    harness::{Cluster, DURABLE_MODEL, Options, read_events, until},
};
use serde_json::{Value, json};

const N_STREAMS: usize = 9;
const N_TOKENS: usize = 150;
const NOTICE_MS: u64 = 2_000;

fn prompt(idx: usize) -> String {
    format!("manuscript {idx} {}", format!("word{idx} ").repeat(400))
}

/// Starts streams, sends notices to engines, and checks every response. Returns the number of recomputed tokens.
async fn recomputed_tokens(name: &str, leaving: &[usize], faults: &[(usize, Value)]) -> usize {
    let options = Options {
        n_engines: 4,
        n_applications: 0,
        n_entries: 1,
        decode_ms: 25,
        ..Options::default()
    };
    let cluster = Cluster::start_ready(options).await.unwrap();
    for (engine, faults) in faults {
        cluster.set_faults(cluster.engines[*engine].address, faults).await.unwrap();
    }
    let requests = (0..N_STREAMS).map(|it| {
        cluster.completion(&cluster.entries[0], DURABLE_MODEL, &prompt(it), N_TOKENS).send()
    });
    let responses = join_all(requests).await;
    until("every stream has tokens", || async {
        let dump = cluster.dump(&cluster.entries[0]).await.unwrap_or_default();
        let journals = dump["journals"].as_array().cloned().unwrap_or_default();
        journals.len() == N_STREAMS
            && journals.iter().all(|it| 3 <= it["n_tokens"].as_u64().unwrap_or_default())
    })
    .await
    .unwrap();
    for engine in leaving {
        let mut notice =
            faults.iter().find(|it| it.0 == *engine).map_or(json!({}), |it| it.1.clone());
        notice["is_leaving"] = json!(true);
        notice["exit_in_ms"] = json!(NOTICE_MS);
        cluster.set_faults(cluster.engines[*engine].address, &notice).await.unwrap();
    }
    let stream_events = join_all(responses.into_iter().map(|it| read_events(it.unwrap()))).await;
    for (idx, events) in stream_events.iter().enumerate() {
        assert!(events.is_done(), "{name}, {idx}: {:?}", events.events.last());
        assert_eq!(events.text(), expected_completion(&prompt(idx), N_TOKENS), "{name}, {idx}");
    }
    let mut n_recomputed = 0;
    let mut n_resumed = 0;
    for engine in (0..4).filter(|it| !leaving.contains(it)) {
        let resumed = cluster
            .report(engine)
            .await
            .unwrap()
            .attempts
            .into_iter()
            .filter(|it| 0 < it.resumed_at);
        for attempt in resumed {
            n_resumed += 1;
            n_recomputed += attempt.prompt_tokens - attempt.cached_tokens;
        }
    }
    assert!(0 < n_resumed, "{name}: no stream of the leaving engines was resumed");
    n_recomputed
}

#[tokio::test]
async fn kv_cache_transfers_save_recomputed_tokens() {
    let faults_everywhere =
        |fault: &str| (0..4).map(|it| (it, json!({ fault: true }))).collect::<Vec<_>>();
    let (no_export, no_import) =
        (faults_everywhere("refuses_export"), faults_everywhere("refuses_import"));
    let (transferred, export_refused, import_refused, two_notices) = tokio::join!(
        recomputed_tokens("transferred", &[0], &[]),
        recomputed_tokens("export refused", &[0], &no_export),
        recomputed_tokens("import refused", &[0], &no_import),
        recomputed_tokens("two notices at once", &[0, 1], &[]),
    );
    println!(
        "recomputed tokens: {transferred} transferred, {export_refused} export refused, \
         {import_refused} import refused, {two_notices} two notices"
    );
    assert!(transferred * 2 < export_refused && transferred * 2 < import_refused);
}
