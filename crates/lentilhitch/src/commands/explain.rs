//! The `explain` command: prints the log lines of one request from several log files, or asks a running node where it
//! would send a request.

mod request;

use std::{
    fs::File,
    io::{BufRead as _, BufReader},
    path::Path,
};

use anyhow::Context as _;
use serde::Deserialize;
use serde_json::{Map, Value};

use crate::{args, commands::ExitStatus};

/// Fields of a log line that this command reads.
#[derive(Deserialize)]
struct LogLine {
    time: String,
    level: String,
    message: String,
    #[serde(default)]
    mdc: Map<String, Value>,
    #[serde(default)]
    attributes: Map<String, Value>,
}

pub(crate) fn explain(args: &args::Explain) -> anyhow::Result<ExitStatus> {
    if let Some(admin) = args.admin {
        return request::explain(admin, args);
    }
    let (id, files) =
        args.id_and_files.split_first().context("neither a request ID nor --admin is given")?;
    anyhow::ensure!(!files.is_empty(), "no log files are given");
    let mut lines = Vec::new();
    for file in files {
        read_lines(Path::new(file), id, &mut lines)?;
    }
    // All processes write times in the same format, so the order of the texts is the order of the times.
    lines.sort_by(|a, b| a.time.cmp(&b.time));
    for line in &lines {
        println!("{}", format_line(line));
    }
    if lines.is_empty() {
        eprintln!("no line names request {id}");
        return Ok(ExitStatus::Findings);
    }
    Ok(ExitStatus::Success)
}

/// Reads the lines that name a request into `lines`. Ignores the text before the first brace of a line, which a log
/// collector has added.
fn read_lines(path: &Path, id: &str, lines: &mut Vec<LogLine>) -> anyhow::Result<()> {
    let file = File::open(path).with_context(|| format!("can't read {}", path.display()))?;
    for text in BufReader::new(file).lines() {
        let text = text.with_context(|| format!("can't read {}", path.display()))?;
        if !text.contains(id) {
            continue;
        }
        let Some(start) = text.find('{') else { continue };
        // Skips lines that a crash has truncated. They are not valid JSON.
        let Ok(line) = serde_json::from_str::<LogLine>(&text[start..]) else { continue };
        if line.attributes.get("request").and_then(Value::as_str) == Some(id) {
            lines.push(line);
        }
    }
    Ok(())
}

fn format_line(line: &LogLine) -> String {
    let instance = line.mdc.get("instance").and_then(Value::as_str).unwrap_or("?");
    let fields = line.attributes.iter().filter(|it| it.0 != "request");
    let fields: Vec<_> =
        fields.map(|(name, value)| format!("{name}={}", format_value(value))).collect();
    let LogLine { time, level, message, .. } = line;
    format!("{time} {level:5} {instance}: {message} {}", fields.join(" "))
}

fn format_value(value: &Value) -> String {
    value.as_str().map_or_else(|| value.to_string(), str::to_owned)
}
