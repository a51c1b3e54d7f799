//! The story of one request, gathered from log files.

use std::{
    fs::File,
    io::{BufRead as _, BufReader},
    path::Path,
};

use anyhow::Context as _;
use serde::Deserialize;
use serde_json::{Map, Value};

use crate::{args, commands::Exit};

/// One line of a log, as far as it is needed here.
#[derive(Deserialize)]
struct Line {
    time: String,
    level: String,
    message: String,
    #[serde(default)]
    mdc: Map<String, Value>,
    #[serde(default)]
    attributes: Map<String, Value>,
}

pub(crate) fn explain(args: &args::Explain) -> anyhow::Result<Exit> {
    anyhow::ensure!(!args.files.is_empty(), "no log files are given");
    let mut lines = Vec::new();
    for file in &args.files {
        read_lines(file, &args.id, &mut lines)?;
    }
    // Times are written alike by all processes, so their texts sort as they do.
    lines.sort_by(|a, b| a.time.cmp(&b.time));
    for line in &lines {
        println!("{}", story_line(line));
    }
    if lines.is_empty() {
        eprintln!("no line names request {}", args.id);
        return Ok(Exit::Findings);
    }
    Ok(Exit::Done)
}

/// Reads the lines that name a request. What stands before the first brace of a line is a collector's own.
fn read_lines(path: &Path, id: &str, lines: &mut Vec<Line>) -> anyhow::Result<()> {
    let file = File::open(path).with_context(|| format!("can't read {}", path.display()))?;
    for text in BufReader::new(file).lines() {
        let text = text.with_context(|| format!("can't read {}", path.display()))?;
        if !text.contains(id) {
            continue;
        }
        let Some(start) = text.find('{') else { continue };
        // A line that a crash cut short is no JSON; there is nothing to tell from it.
        let Ok(line) = serde_json::from_str::<Line>(&text[start..]) else { continue };
        if line.attributes.get("request").and_then(Value::as_str) == Some(id) {
            lines.push(line);
        }
    }
    Ok(())
}

fn story_line(line: &Line) -> String {
    let instance = line.mdc.get("instance").and_then(Value::as_str).unwrap_or("?");
    let fields = line.attributes.iter().filter(|it| it.0 != "request");
    let fields: Vec<_> = fields.map(|(name, value)| format!("{name}={}", plain(value))).collect();
    let Line { time, level, message, .. } = line;
    format!("{time} {level:5} {instance}: {message} {}", fields.join(" "))
}

fn plain(value: &Value) -> String {
    value.as_str().map_or_else(|| value.to_string(), str::to_owned)
}
