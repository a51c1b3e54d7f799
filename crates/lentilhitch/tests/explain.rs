//! Tests that `explain` prints the log lines of a request in order of time, and an error if there are none.

use std::fs;

use lentilhitch_standin::harness::run_command;

const FIRST_LOG: &str = r#"12.5 edge-a-1 {"time":"2026-01-01T00:00:02Z","level":"WARN","message":"refused","mdc":{"instance":"edge-a-1"},"attributes":{"request":"r1","status":"503","reason":"no upstream is ready"}}
{"time":"2026-01-01T00:00:09Z","level":"INFO","message":"sending","mdc":{},"attributes":{"request":"r10"}}
{"time":"2026-01-01T00:00:03Z","level":"INFO","message":"cut sho"#;
const SECOND_LOG: &str = r#"{"time":"2026-01-01T00:00:01Z","level":"INFO","message":"sending","mdc":{"instance":"edge-b-1"},"attributes":{"request":"r1","upstream":"u7"}}"#;

struct Case {
    name: &'static str,
    id: &'static str,
    files: Vec<String>,
    succeeds: bool,
    expected_lines: Vec<&'static str>,
}

#[test]
fn lines_of_all_files_are_printed_in_order_of_time() {
    let folder = tempfile::tempdir().unwrap();
    let files = [("one.log", FIRST_LOG), ("two.log", SECOND_LOG)].map(|(name, text)| {
        let path = folder.path().join(name);
        fs::write(&path, text).unwrap();
        path.display().to_string()
    });
    let cases = [
        Case {
            name: "two processes",
            id: "r1",
            files: files.to_vec(),
            succeeds: true,
            expected_lines: vec![
                "2026-01-01T00:00:01Z INFO  edge-b-1: sending upstream=u7",
                "2026-01-01T00:00:02Z WARN  edge-a-1: refused reason=no upstream is ready status=503",
            ],
        },
        Case {
            name: "unknown request",
            id: "r2",
            files: files.to_vec(),
            succeeds: false,
            expected_lines: vec!["no line names request r2"],
        },
        Case {
            name: "no such file",
            id: "r1",
            files: vec!["nowhere.log".to_owned()],
            succeeds: false,
            expected_lines: vec!["can't read nowhere.log"],
        },
        Case {
            name: "no file",
            id: "r1",
            files: vec![],
            succeeds: false,
            expected_lines: vec!["no log files are given"],
        },
    ];
    for case in cases {
        let mut args = vec!["explain".to_owned(), case.id.to_owned()];
        args.extend(case.files);
        let (succeeded, text) = run_command(&args).unwrap();
        assert_eq!(succeeded, case.succeeds, "{}: {text}", case.name);
        let lines: Vec<_> = text.lines().collect();
        assert_eq!(lines.len(), case.expected_lines.len(), "{}: {text}", case.name);
        for (line, expected) in lines.iter().zip(case.expected_lines) {
            assert!(line.contains(expected), "{}: {line}", case.name);
        }
    }
}
