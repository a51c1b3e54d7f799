//! Tests that `explain --admin` tells where a node would send a request, without any effect on upstreams or limits.

use lentilhitch_standin::{
    harness::run_command,
    users_platform::{Behavior, Site, SiteOptions},
};
use serde_json::Value;

const HOST: &str = "estate.example";

/// Runs the command for a node, and returns whether it succeeded and what it printed.
fn explain(admin: &str, args: &[&str]) -> (bool, String) {
    let args = ["explain", "--admin", admin].into_iter().chain(args.iter().copied());
    run_command(&args.map(str::to_owned).collect::<Vec<_>>()).unwrap()
}

/// Guards against figures that do not match the node's choice, and against a question that counts as a request.
#[tokio::test(flavor = "multi_thread")]
async fn a_question_is_answered_and_has_no_effect() {
    let options = SiteOptions { n_engines: 2, n_applications: 2, ..SiteOptions::default() };
    let mut site = Site::start(options).await.unwrap();
    for it in &site.applications {
        it.set(Behavior::Serve { work_ms: 1 });
    }
    // The team's limit admits one request in this test.
    let version = site.put_config(|config| {
        config["tenants"][0]["unit"] = "request_count".into();
        config["tenants"][0]["ratePerS"] = 0.01.into();
        config["tenants"][0]["burst"] = 1.into();
    });
    let admin = site.nodes[0].metrics.to_string();
    lentilhitch_standin::harness::until("the limit is in force", || async {
        explain(&admin, &["--host", HOST, "--path", "/status/x"])
            .1
            .contains(&format!("configuration {version}"))
    })
    .await
    .unwrap();

    let status = ["--host", HOST, "--path", "/status/x", "--team", "etna", "--json"];
    for _ in 0..5 {
        let (succeeded, text) = explain(&admin, &status);
        assert!(succeeded, "{text}");
        let it: Value = serde_json::from_str(&text).unwrap();
        assert_eq!((&it["route"], &it["rejection"]), (&"status".into(), &Value::Null), "{text}");
        assert_eq!(it["services"][0]["candidates"].as_array().unwrap().len(), 2, "{text}");
    }
    assert!(site.applications.iter().all(|it| it.executed().is_empty()));
    let expected: Value = serde_json::from_str(&explain(&admin, &status).1).unwrap();
    let expected = &expected["services"][0]["candidates"][0]["upstream"];
    assert_eq!(site.call(0, "r1", "/status/x").await.unwrap().status, 200);
    let chosen = site.applications.iter().find(|it| !it.executed().is_empty()).unwrap();
    assert_eq!(expected, &Value::from(chosen.id.clone()));

    let (succeeded, text) = explain(&admin, &status);
    assert!(succeeded, "{text}");
    let it: Value = serde_json::from_str(&text).unwrap();
    assert_eq!(it["rejection"]["status"], 429, "{text}");

    let prompt = ["--segments", "5c:900,7a:300", "--output-tokens", "40", "--deadline-ms", "900"];
    let (succeeded, text) =
        explain(&admin, &[&["--host", HOST, "--path", "/review/x"][..], &prompt].concat());
    assert!(succeeded && text.contains("limit 900 ms"), "{text}");

    for (args, problem) in [
        (&["--host", HOST, "--path", "/nowhere"][..], "no route for host"),
        (&["--host", HOST, "--path", "/status/x", "--team", "nobody"], "no team is named nobody"),
        (&["--host", HOST, "--path", "/status/x", "--team", "No One"], "--team"),
        (&["--host", HOST, "--path", "/status/x", "--segments", "zz:1"], "no ID:TOKENS"),
        (&["--path", "/status/x"], "--host is missing"),
    ] {
        let (succeeded, text) = explain(&admin, args);
        assert!(!succeeded && text.contains(problem), "{args:?}: {text}");
    }
    site.nodes[0].process.kill();
    let (succeeded, text) = explain(&admin, &["--host", HOST, "--path", "/status/x"]);
    assert!(!succeeded && text.contains("no node answers at"), "{text}");
}
