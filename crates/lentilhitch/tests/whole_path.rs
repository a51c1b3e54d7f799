//! Tests the path of requests through every process of the system, from publishing to a graceful shutdown.

use lentilhitch_standin::{
    engine::expected_completion,
    harness::{
        Cluster, DURABLE_MODEL, INTERACTIVE_MODEL, Options, TOKEN, read_events, run_command,
    },
};
use serde_json::{Value, json};

#[tokio::test]
async fn a_request_is_served_from_end_to_end() {
    let mut cluster = Cluster::start_ready(Options::default()).await.unwrap();
    for entry in &cluster.entries {
        for model in [DURABLE_MODEL, INTERACTIVE_MODEL] {
            let prompt = format!("review for {} by {model}", entry.name);
            let response = cluster.completion(entry, model, &prompt, 20).send().await.unwrap();
            assert_eq!(response.status(), 200);
            assert!(response.headers().contains_key("x-request-id"));
            let events = read_events(response).await;
            assert!(events.is_done() && events.is_closed_properly, "{events:?}");
            assert_eq!(events.text(), expected_completion(&prompt, 20));
            assert_eq!(events.last_id(), 20);
        }
    }
    assert_completion_without_streaming(&cluster).await;
    assert_application_calls(&cluster).await;
    assert_operator_views(&cluster).await;

    for idx in 0..cluster.entries.len() {
        cluster.entries[idx].process.terminate();
        assert_eq!(cluster.entries[idx].process.wait().unwrap(), Some(0));
    }
}

async fn assert_completion_without_streaming(cluster: &Cluster) {
    let url = format!("http://{}/v1/chat/completions", cluster.entries[0].front);
    let messages =
        json!([{ "role": "user", "content": "hello" }, { "role": "user", "content": "there" }]);
    let body = json!({ "model": INTERACTIVE_MODEL, "messages": messages, "max_tokens": 5 });
    let response = cluster.http.post(url).bearer_auth(TOKEN).json(&body).send().await.unwrap();
    assert_eq!(response.status(), 200);
    let response_body: Value = response.json().await.unwrap();
    assert_eq!(
        response_body["choices"][0]["message"]["content"],
        expected_completion("hello\nthere", 5)
    );
    assert_eq!(response_body["usage"]["completion_tokens"], 5);
}

async fn assert_application_calls(cluster: &Cluster) {
    let entry = &cluster.entries[1];
    let url = format!("http://{}/status/7?verbose=1", entry.front);
    let response = cluster.http.get(url).bearer_auth(TOKEN).send().await.unwrap();
    assert_eq!(response.status(), 200);
    let response_body: Value = response.json().await.unwrap();
    assert_eq!(response_body["path"], "/status/7?verbose=1");

    let first = cluster.commission(entry, "key-1", "chapter 3").send().await.unwrap();
    assert_eq!(first.status(), 201);
    let first = first.text().await.unwrap();
    for entry in &cluster.entries {
        let replayed = cluster.commission(entry, "key-1", "chapter 3").send().await.unwrap();
        assert_eq!(replayed.headers()["idempotency-replayed"], "true");
        assert_eq!(replayed.text().await.unwrap(), first);
    }
    let runs = cluster
        .get_json(&format!("http://{}/counts", cluster.applications[0].address))
        .await
        .unwrap();
    let commissions = runs.as_array().unwrap().iter().filter(|it| it["path"] == "/commissions");
    assert_eq!(commissions.count(), 1);
    assert_eq!(runs[0]["team"], "ausonia");
}

async fn assert_operator_views(cluster: &Cluster) {
    let entry = &cluster.entries[0];
    let (succeeded, status) = run_command(&["status".to_owned(), entry.admin.to_string()]).unwrap();
    assert!(succeeded && status.contains("entry-1 in zone-1: Serving"), "{status}");
    let (succeeded, dump) = run_command(&["dump".to_owned(), entry.admin.to_string()]).unwrap();
    assert!(succeeded && !dump.contains("a key that all entry processes share"));
    let dump: Value = serde_json::from_str(&dump).unwrap();
    assert_eq!(dump["peers"][0]["state"], "alive");
    assert_eq!(dump["claims"]["n_keys"], 1);
    let url = format!("http://{}/metrics", entry.admin);
    let metrics = cluster.http.get(url).send().await.unwrap().text().await.unwrap();
    assert!(
        metrics.contains("lentilhitch_requests") && metrics.contains("lentilhitch_first_token_ms"),
        "{metrics}"
    );
    let readiness =
        cluster.http.get(format!("http://{}/lentilhitch/ready", entry.front)).send().await.unwrap();
    assert_eq!(readiness.status(), 200);
    let admin_path_response =
        cluster.http.get(format!("http://{}/dump", entry.front)).send().await.unwrap();
    assert_eq!(admin_path_response.status(), 401);
    for line in entry.process.log_text().lines() {
        let line: Value = serde_json::from_str(line).expect("each line of the log is JSON");
        assert!(line["message"].is_string() && line["level"].is_string());
    }
}
