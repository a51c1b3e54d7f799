//! Bad input gets one finding for each mistake, with its place.

use std::{fs, path::Path};

use lentilhitch_config::{
    Declaration, DeclarationKey, Repeat, SchemaName, ServiceKind, Settings, collect_declarations,
    schema, token_digest,
};
use lentilhitch_types::Findings;

const SETTINGS: &str = r#"{
  "instance": "entry-1",
  "zone": "catania-1",
  "front_address": "127.0.0.1:8000",
  "admin_address": "127.0.0.1:8001",
  "peer_address": "127.0.0.1:8002",
  "platform_address": "127.0.0.1:9000",
  "peer_keys": ["0123456789abcdef"]
}"#;

const SERVICE: &str = r#"{
  "service": "review",
  "teams": ["ausonia"],
  "language": { "models": ["proofread"], "durable": true },
  "upstreams": [ { "upstream": "engine-1", "address": "127.0.0.1:7001", "zone": "catania-1" } ]
}"#;

struct Case {
    name: &'static str,
    text: String,
    /// `line:column pointer`, and a part of the message.
    expected: &'static [(&'static str, &'static str)],
}

fn render(findings: &Findings) -> Vec<(String, String)> {
    let place = |line: Option<usize>, column: Option<usize>| {
        format!("{}:{}", line.unwrap_or_default(), column.unwrap_or_default())
    };
    let it = findings.0.iter();
    it.map(|it| {
        (
            format!("{} {}", place(it.place.line, it.place.column), it.place.pointer),
            it.message.clone(),
        )
    })
    .collect()
}

fn assert_findings(case: &Case, findings: &Findings) {
    let mut found = render(findings);
    found.sort();
    assert_eq!(found.len(), case.expected.len(), "{}: {found:?}", case.name);
    for ((place, message), (expected_place, part)) in found.iter().zip(case.expected) {
        assert_eq!(place, expected_place, "{}: {message}", case.name);
        assert!(message.contains(part), "{}: {message:?} lacks {part:?}", case.name);
    }
}

#[test]
fn settings_findings_are_collected() {
    let cases = [
        Case { name: "good", text: SETTINGS.to_owned(), expected: &[] },
        Case {
            name: "not json",
            text: "{\n  \"instance\": }".to_owned(),
            expected: &[("2:15 ", "not valid JSON")],
        },
        Case {
            name: "five mistakes in shape",
            text: SETTINGS
                .replace("entry-1", "Entry 1")
                .replace("\"zone\": \"catania-1\"", "\"zone\": 3")
                .replace(
                    "\"peer_keys\": [\"0123456789abcdef\"]",
                    "\"peer_keys\": [], \"speed\": 1, \"bounds\": {\"requests_max\": 0}",
                ),
            expected: &[
                ("2:3 /instance", "does not match"),
                ("3:3 /zone", "is not of type"),
                ("8:20 /speed", "unknown field"),
                ("8:3 /peer_keys", "less than 1 item"),
                ("8:43 /bounds/requests_max", "less than the minimum"),
            ],
        },
        Case {
            name: "five mistakes in meaning",
            text: SETTINGS
                .replace("127.0.0.1:8000", "localhost:8000")
                .replace("127.0.0.1:8001", "127.0.0.1")
                .replace(
                    "\"peer_keys\": [\"0123456789abcdef\"]",
                    r#""peer_keys": ["short"],
  "peers": [ { "instance": "entry-1", "zone": "messina-1", "address": "127.0.0.1:1" },
             { "instance": "entry-1", "zone": "messina-1", "address": "127.0.0.1:1" } ]"#,
                ),
            expected: &[
                ("10:16 /peers/1/instance", "its own peer"),
                ("10:16 /peers/1/instance", "listed twice"),
                ("4:3 /front_address", "not an IP address"),
                ("5:3 /admin_address", "not an IP address"),
                ("8:17 /peer_keys/0", "at least 16 bytes"),
                ("9:16 /peers/0/instance", "its own peer"),
            ],
        },
    ];
    for case in cases {
        let findings = Settings::parse("settings.json", &case.text).err().unwrap_or_default();
        assert_findings(&case, &findings);
    }
}

#[test]
fn declaration_findings_are_collected() {
    let cases = [
        Case { name: "good", text: SERVICE.to_owned(), expected: &[] },
        Case {
            name: "both kinds and a bad address",
            text: SERVICE
                .replace(
                    "\"teams\"",
                    "\"application\": {\"routes\": [{\"path\": \"/a\"}]}, \"teams\"",
                )
                .replace("127.0.0.1:7001", "engine-1:7001"),
            expected: &[
                ("3:3 /application", "either"),
                ("5:44 /upstreams/0/address", "not an IP address"),
            ],
        },
        Case {
            name: "neither kind",
            text: SERVICE.replace(
                "  \"language\": { \"models\": [\"proofread\"], \"durable\": true },\n",
                "",
            ),
            expected: &[("1:1 ", "needs `language` or `application`")],
        },
        Case {
            name: "team with a token instead of its digest",
            text: r#"{ "team": "ausonia", "token_sha256": ["secret"] }"#.to_owned(),
            expected: &[("1:39 /token_sha256/0", "does not match")],
        },
    ];
    for case in cases {
        let mut findings = Findings::default();
        Declaration::parse("a.lentilhitch.json", &case.text, &mut findings);
        assert_findings(&case, &findings);
    }
}

#[test]
fn files_are_collected_and_checked_together() {
    let folder = tempfile::tempdir().unwrap();
    let write = |name: &str, text: &str| {
        let file = folder.path().join(name);
        fs::create_dir_all(file.parent().unwrap()).unwrap();
        fs::write(file, text).unwrap();
    };
    let collected = |folder: &Path| {
        let mut findings = Findings::default();
        (collect_declarations(folder, &mut findings), findings)
    };
    assert!(collected(folder.path()).1.to_string().contains("no file below"));

    write("review/review.lentilhitch.json", SERVICE);
    write("review/notes.json", "not ours");
    write(
        "team.lentilhitch.json",
        &format!(r#"{{ "team": "ausonia", "token_sha256": ["{}"] }}"#, token_digest("secret")),
    );
    let (declared, findings) = collected(folder.path());
    assert!(findings.is_empty(), "{findings}");
    let keys: Vec<_> = declared.iter().map(|it| it.declaration.key().to_string()).collect();
    assert_eq!(keys, ["service/review", "team/ausonia"]);

    // One path may have several routes of one service.
    write(
        "market.lentilhitch.json",
        r#"{ "service": "market", "teams": ["ausonia"],
        "application": { "routes": [ { "path": "/a", "methods": ["POST"] }, { "path": "/b" }, { "path": "/a", "methods": ["GET"] } ] },
        "upstreams": [ { "upstream": "app-1", "address": "127.0.0.1:1", "zone": "z" } ] }"#,
    );
    let (_, findings) = collected(folder.path());
    assert!(findings.is_empty(), "{findings}");

    write("twin/review.lentilhitch.json", SERVICE);
    write("twin/other.lentilhitch.json", &SERVICE.replace("review", "other"));
    write("twin/broken.lentilhitch.json", "{");
    let (_, findings) = collected(folder.path());
    let found: Vec<_> = findings.0.iter().map(|it| it.message.clone()).collect();
    assert_eq!(findings.0.len(), 3, "{found:?}");
    assert!(found.iter().any(|it| it.contains("service/review is declared")), "{found:?}");
    assert!(found.iter().any(|it| it.contains("the model \"proofread\" is used")), "{found:?}");
}

#[test]
fn routes_match_whole_segments_and_default_by_method() {
    let text = r#"{ "service": "market", "teams": ["ausonia"],
        "application": { "routes": [ { "path": "/commissions", "methods": ["post"], "repeat": "at_most_once" }, { "path": "/" } ] },
        "upstreams": [ { "upstream": "app-1", "address": "127.0.0.1:1", "zone": "z" } ] }"#;
    let Some(Declaration::Service(service)) =
        Declaration::parse("f", text, &mut Findings::default())
    else {
        panic!("not a service");
    };
    let ServiceKind::Application(application) = service.kind else { panic!("not an application") };
    let [keyed, rest] = &application.routes[..] else { panic!("not two routes") };
    assert!(keyed.matches("POST", "/commissions/7") && !keyed.matches("POST", "/commissionsx"));
    assert!(!keyed.matches("GET", "/commissions") && rest.matches("GET", "/status"));
    assert_eq!(keyed.repeat("POST"), Repeat::AtMostOnce);
    assert_eq!((rest.repeat("GET"), rest.repeat("POST")), (Repeat::Idempotent, Repeat::Single));
}

#[test]
fn schemas_and_keys_can_be_read() {
    for name in [SchemaName::Service, SchemaName::Team, SchemaName::Settings] {
        assert_eq!(schema(name)["type"], "object", "{name:?}");
    }
    let key: DeclarationKey = "service/review".parse().unwrap();
    assert_eq!(key.to_string(), "service/review");
    assert!("flood/review".parse::<DeclarationKey>().is_err());
    assert!(!format!("{:?}", Settings::parse("f", SETTINGS).unwrap()).contains("0123456789abcdef"));
}
