//! Tests that invalid input is rejected with a specific error and that the process continues to serve.

use std::{fs, net::TcpListener};

use lentilhitch_standin::harness::{
    Cluster, INTERACTIVE_MODEL, Options, TOKEN, run_command, until,
};
use serde_json::{Value, json};

struct Case {
    name: &'static str,
    method: &'static str,
    path: &'static str,
    token: Option<&'static str>,
    headers: Vec<(&'static str, String)>,
    body: String,
    /// Expected status, and type and outcome in the problem document.
    expected: (u16, &'static str, &'static str),
}

fn case(name: &'static str, body: String, expected: (u16, &'static str, &'static str)) -> Case {
    let (method, path) = ("POST", "/v1/completions");
    Case { name, method, path, token: Some(TOKEN), headers: Vec::new(), body, expected }
}

fn cases() -> Vec<Case> {
    let valid = json!({ "model": INTERACTIVE_MODEL, "prompt": "x", "max_tokens": 2 }).to_string();
    let oversized = json!({ "model": INTERACTIVE_MODEL, "prompt": "x".repeat(3_000) }).to_string();
    vec![
        Case { token: None, ..case("no token", valid.clone(), (401, "no-token", "not_run")) },
        Case {
            token: Some("wrong"),
            ..case("wrong token", valid.clone(), (401, "wrong-token", "not_run"))
        },
        case("broken JSON", "{\"model\":".to_owned(), (400, "bad-request", "not_run")),
        case(
            "unknown model",
            json!({ "model": "none" }).to_string(),
            (404, "no-service", "not_run"),
        ),
        case("body too large", oversized, (413, "body-too-large", "not_run")),
        Case {
            headers: vec![("x-request-id", "seven".to_owned())],
            ..case("bad request id", valid.clone(), (400, "bad-request", "not_run"))
        },
        Case {
            headers: vec![("x-filler", "y".repeat(3_000))],
            ..case("headers too large", valid.clone(), (431, "headers-too-large", "not_run"))
        },
        Case {
            path: "/commissions",
            ..case("no key", String::new(), (400, "no-idempotency-key", "not_run"))
        },
        Case {
            method: "GET",
            path: "/v1/requests/00000000000040008000000000000000",
            ..case("unknown request", String::new(), (404, "no-request", "unknown"))
        },
        Case {
            method: "GET",
            path: "/v1/requests/7",
            ..case("bad id", String::new(), (400, "bad-request", "not_run"))
        },
        Case {
            method: "PROPFIND",
            path: "/",
            ..case("unknown method", String::new(), (400, "bad-request", "not_run"))
        },
    ]
}

#[tokio::test]
async fn clients_get_specific_errors() {
    let bounds = json!({ "body_bytes_max": 2_000, "header_bytes_max": 2_000 });
    let cluster = Cluster::start_ready(Options { bounds, ..Options::default() }).await.unwrap();
    for case in cases() {
        let method = reqwest::Method::from_bytes(case.method.as_bytes()).unwrap();
        let url = format!("http://{}{}", cluster.entries[0].front, case.path);
        let mut request = cluster.http.request(method, url).body(case.body);
        if let Some(token) = case.token {
            request = request.bearer_auth(token);
        }
        for (name, value) in case.headers {
            request = request.header(name, value);
        }
        let response = request.send().await.unwrap();
        let (status, problem_type, outcome) = case.expected;
        assert_eq!(response.status(), status, "{}", case.name);
        assert_eq!(response.headers()["content-type"], "application/problem+json", "{}", case.name);
        let problem: Value = response.json().await.unwrap();
        assert_eq!(
            (&problem["type"], &problem["outcome"]),
            (&json!(problem_type), &json!(outcome)),
            "{}",
            case.name
        );
    }
    let response = cluster
        .completion(&cluster.entries[0], INTERACTIVE_MODEL, "still serving", 2)
        .send()
        .await
        .unwrap();
    assert_eq!(response.status(), 200);
}

#[tokio::test]
async fn the_rate_of_a_team_and_the_requests_in_progress_are_limited() {
    let options = Options {
        requests_per_s: 2.0,
        n_entries: 1,
        bounds: json!({ "requests_max": 3 }),
        ..Options::default()
    };
    let cluster = Cluster::start_ready(options).await.unwrap();
    let entry = &cluster.entries[0];
    let responses =
        (0..12).map(|it| cluster.completion(entry, INTERACTIVE_MODEL, &it.to_string(), 200).send());
    let responses = futures_util::future::join_all(responses).await;
    let mut rejections = Vec::new();
    for response in responses {
        let response = response.unwrap();
        if response.status() != 200 {
            assert!(
                response.headers()["retry-after"].to_str().unwrap().parse::<u64>().unwrap() >= 1
            );
            let problem: Value = response.json().await.unwrap();
            rejections.push(problem["type"].as_str().unwrap().to_owned());
        }
    }
    // At most three requests may be in progress at once, and the burst of the team is four, so at least 9 of the 12
    // concurrent requests are rejected.
    assert!(
        9 <= rejections.len() && rejections.iter().all(|it| it == "busy" || it == "rate"),
        "{rejections:?}"
    );
}

fn run_with_args(args: &[&str]) -> (bool, String) {
    run_command(&args.iter().map(|it| (*it).to_owned()).collect::<Vec<_>>()).unwrap()
}

#[tokio::test]
async fn operators_get_findings_with_positions() {
    let cluster =
        Cluster::start(Options { n_engines: 0, n_entries: 1, ..Options::default() }).await.unwrap();
    let folder = cluster.declarations().unwrap();
    fs::write(folder.join("bad.lentilhitch.json"), "{ \"service\": \"A\", \"upstreams\": [] }")
        .unwrap();
    let (succeeded, text) = cluster.publish(&folder).unwrap();
    assert!(!succeeded && text.contains("bad.lentilhitch.json:1:3 (/service)"), "{text}");
    assert!(text.contains("3 finding(s)"), "{text}");
    let platform =
        cluster.get_json(&format!("http://{}/counts", cluster.platform_address)).await.unwrap();
    assert_eq!(platform, json!({}), "nothing was published");
    let (succeeded, text) = run_with_args(&["check", folder.to_str().unwrap()]);
    assert!(!succeeded && text.contains("3 finding(s)"), "{text}");

    let settings = cluster.settings_file("entry-1");
    let text = fs::read_to_string(&settings).unwrap();
    let invalid_settings = cluster.folder.path().join("bad.json");
    fs::write(
        &invalid_settings,
        text.replace("\"zone\": \"zone-1\"", "\"zone\": \"Zone 1\", \"speed\": 3")
            .replace("127.", "localhost"),
    )
    .unwrap();
    let (succeeded, text) = run_with_args(&["serve", invalid_settings.to_str().unwrap()]);
    assert!(
        !succeeded && text.contains("unknown field \"speed\"") && text.contains("/zone"),
        "{text}"
    );

    let front_listener = TcpListener::bind(("127.0.0.1", 0)).unwrap();
    let mut settings_with_used_address: Value =
        serde_json::from_str(&fs::read_to_string(&settings).unwrap()).unwrap();
    settings_with_used_address["peer_address"] = json!("127.0.0.1:0");
    settings_with_used_address["front_address"] =
        json!(front_listener.local_addr().unwrap().to_string());
    fs::write(&invalid_settings, settings_with_used_address.to_string()).unwrap();
    let (succeeded, text) = run_with_args(&["serve", invalid_settings.to_str().unwrap()]);
    assert!(
        !succeeded && text.contains("front_address") && text.contains("can't be listened on"),
        "{text}"
    );
    let (succeeded, text) = run_with_args(&["status", "127.0.0.1:1"]);
    assert!(!succeeded && text.contains("no entry process answers"), "{text}");
    let (succeeded, text) = run_with_args(&["schema", "flood"]);
    assert!(!succeeded && text.contains("none of service, team, settings"), "{text}");
}

#[tokio::test]
async fn a_process_waits_for_a_platform_that_is_down_at_startup() {
    let cluster = Cluster::start(Options { n_entries: 1, ..Options::default() }).await.unwrap();
    let entry = &cluster.entries[0];
    cluster.set_faults(cluster.platform_address, &json!({ "outage": true })).await.unwrap();
    cluster.until_ok(&format!("http://{}/health", entry.admin)).await.unwrap();
    let response = cluster.completion(entry, INTERACTIVE_MODEL, "x", 2).send().await.unwrap();
    assert_eq!(response.status(), 503);
    let problem: Value = response.json().await.unwrap();
    assert_eq!((&problem["type"], &problem["outcome"]), (&json!("not-ready"), &json!("not_run")));
    cluster.set_faults(cluster.platform_address, &json!({ "outage": false })).await.unwrap();
    assert!(cluster.publish(&cluster.declarations().unwrap()).unwrap().0);
    until("the process serves", || async {
        cluster
            .completion(entry, INTERACTIVE_MODEL, "x", 2)
            .send()
            .await
            .is_ok_and(|it| it.status() == 200)
    })
    .await
    .unwrap();
}
