//! Each error in a settings or declaration file is reported as one finding with its source position.

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
    /// Expected findings in sorted order: `line:column pointer`, and a substring of the message.
    expected: &'static [(&'static str, &'static str)],
}

fn to_strings(findings: &Findings) -> Vec<(String, String)> {
    let position = |line: Option<usize>, column: Option<usize>| {
        format!("{}:{}", line.unwrap_or_default(), column.unwrap_or_default())
    };
    let it = findings.0.iter();
    it.map(|it| {
        (
            format!("{} {}", position(it.position.line, it.position.column), it.position.pointer),
            it.message.clone(),
        )
    })
    .collect()
}

fn assert_findings(case: &Case, findings: &Findings) {
    let mut found = to_strings(findings);
    found.sort();
    assert_eq!(found.len(), case.expected.len(), "{}: {found:?}", case.name);
    for ((position, message), (expected_position, expected_text)) in found.iter().zip(case.expected)
    {
        assert_eq!(position, expected_position, "{}: {message}", case.name);
        assert!(
            message.contains(expected_text),
            "{}: {message:?} does not contain {expected_text:?}",
            case.name
        );
    }
}

#[test]
fn settings_errors_are_all_reported() {
    let cases = [
        Case { name: "valid", text: SETTINGS.to_owned(), expected: &[] },
        Case {
            name: "invalid JSON",
            text: "{\n  \"instance\": }".to_owned(),
            expected: &[("2:15 ", "not valid JSON")],
        },
        Case {
            name: "schema violations",
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
            name: "invalid values",
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
fn declaration_errors_are_all_reported() {
    let cases = [
        Case { name: "valid", text: SERVICE.to_owned(), expected: &[] },
        Case {
            name: "both service kinds and an invalid address",
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
            name: "no service kind",
            text: SERVICE.replace(
                "  \"language\": { \"models\": [\"proofread\"], \"durable\": true },\n",
                "",
            ),
            expected: &[("1:1 ", "needs `language` or `application`")],
        },
        Case {
            name: "team with a token in place of its digest",
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
fn declaration_files_are_read_and_checked_for_duplicates() {
    let folder = tempfile::tempdir().unwrap();
    let write = |name: &str, text: &str| {
        let file = folder.path().join(name);
        fs::create_dir_all(file.parent().unwrap()).unwrap();
        fs::write(file, text).unwrap();
    };
    let collect_all = |folder: &Path| {
        let mut findings = Findings::default();
        (collect_declarations(folder, &mut findings), findings)
    };
    assert!(collect_all(folder.path()).1.to_string().contains("no file below"));

    write("review/review.lentilhitch.json", SERVICE);
    write("review/notes.json", "not ours");
    write(
        "team.lentilhitch.json",
        &format!(r#"{{ "team": "ausonia", "token_sha256": ["{}"] }}"#, token_digest("secret")),
    );
    let (declarations, findings) = collect_all(folder.path());
    assert!(findings.is_empty(), "{findings}");
    let keys: Vec<_> = declarations.iter().map(|it| it.declaration.key().to_string()).collect();
    assert_eq!(keys, ["service/review", "team/ausonia"]);

    // Several routes of one service may have the same path.
    write(
        "market.lentilhitch.json",
        r#"{ "service": "market", "teams": ["ausonia"],
        "application": { "routes": [ { "path": "/a", "methods": ["POST"] }, { "path": "/b" }, { "path": "/a", "methods": ["GET"] } ] },
        "upstreams": [ { "upstream": "app-1", "address": "127.0.0.1:1", "zone": "z" } ] }"#,
    );
    let (_, findings) = collect_all(folder.path());
    assert!(findings.is_empty(), "{findings}");

    write("twin/review.lentilhitch.json", SERVICE);
    write("twin/other.lentilhitch.json", &SERVICE.replace("review", "other"));
    write("twin/broken.lentilhitch.json", "{");
    let (_, findings) = collect_all(folder.path());
    let messages: Vec<_> = findings.0.iter().map(|it| it.message.clone()).collect();
    assert_eq!(findings.0.len(), 3, "{messages:?}");
    assert!(messages.iter().any(|it| it.contains("service/review is declared")), "{messages:?}");
    assert!(
        messages.iter().any(|it| it.contains("the model \"proofread\" is used")),
        "{messages:?}"
    );
}

#[test]
fn routes_match_whole_segments_and_repeat_defaults_to_method() {
    let text = r#"{ "service": "market", "teams": ["ausonia"],
        "application": { "routes": [ { "path": "/commissions", "methods": ["post"], "repeat": "at_most_once" }, { "path": "/" } ] },
        "upstreams": [ { "upstream": "app-1", "address": "127.0.0.1:1", "zone": "z" } ] }"#;
    let Some(Declaration::Service(service)) =
        Declaration::parse("f", text, &mut Findings::default())
    else {
        panic!("not a service");
    };
    let ServiceKind::Application(application) = service.kind else { panic!("not an application") };
    let [commissions, root] = &application.routes[..] else { panic!("not two routes") };
    assert!(
        commissions.matches("POST", "/commissions/7")
            && !commissions.matches("POST", "/commissionsx")
    );
    assert!(!commissions.matches("GET", "/commissions") && root.matches("GET", "/status"));
    assert_eq!(commissions.repeat("POST"), Repeat::AtMostOnce);
    assert_eq!((root.repeat("GET"), root.repeat("POST")), (Repeat::Idempotent, Repeat::Single));
}

#[test]
fn schemas_are_objects_keys_parse_and_peer_keys_are_not_printed() {
    for name in [SchemaName::Service, SchemaName::Team, SchemaName::Settings] {
        assert_eq!(schema(name)["type"], "object", "{name:?}");
    }
    let key: DeclarationKey = "service/review".parse().unwrap();
    assert_eq!(key.to_string(), "service/review");
    assert!("flood/review".parse::<DeclarationKey>().is_err());
    assert!(!format!("{:?}", Settings::parse("f", SETTINGS).unwrap()).contains("0123456789abcdef"));
}
