//! Streams of an engine that leaves on notice go on whole, and few tokens are computed again.

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

/// Begins streams, gives notices to engines, and checks every answer; returns the tokens that were computed again.
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
    let begun = (0..N_STREAMS).map(|it| {
        cluster.completion(&cluster.entries[0], DURABLE_MODEL, &prompt(it), N_TOKENS).send()
    });
    let begun = join_all(begun).await;
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
    let answers = join_all(begun.into_iter().map(|it| read_events(it.unwrap()))).await;
    for (idx, events) in answers.iter().enumerate() {
        assert!(events.is_done(), "{name}, {idx}: {:?}", events.events.last());
        assert_eq!(events.text(), expected_completion(&prompt(idx), N_TOKENS), "{name}, {idx}");
    }
    let mut n_recomputed = 0;
    let mut n_moved = 0;
    for engine in (0..4).filter(|it| !leaving.contains(it)) {
        let moved = cluster
            .report(engine)
            .await
            .unwrap()
            .attempts
            .into_iter()
            .filter(|it| 0 < it.resumed_at);
        for attempt in moved {
            n_moved += 1;
            n_recomputed += attempt.prompt_tokens - attempt.cached_tokens;
        }
    }
    assert!(0 < n_moved, "{name}: the engines that left had streams");
    n_recomputed
}

#[tokio::test]
async fn moving_the_cache_saves_recomputed_tokens() {
    let refuses = |what: &str| (0..4).map(|it| (it, json!({ what: true }))).collect::<Vec<_>>();
    let (no_export, no_import) = (refuses("refuses_export"), refuses("refuses_import"));
    let (moved, export_refused, import_refused, two_leave) = tokio::join!(
        recomputed_tokens("moved", &[0], &[]),
        recomputed_tokens("export refused", &[0], &no_export),
        recomputed_tokens("import refused", &[0], &no_import),
        recomputed_tokens("two notices together", &[0, 1], &[]),
    );
    println!(
        "recomputed tokens: {moved} moved, {export_refused} export refused, {import_refused} import refused, \
         {two_leave} two notices"
    );
    assert!(moved * 2 < export_refused && moved * 2 < import_refused);
}
