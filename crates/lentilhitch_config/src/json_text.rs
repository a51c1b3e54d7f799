//! JSON text that remembers where each value stands.

use jsonc_parser::{CollectOptions, ParseOptions, ast, common::Ranged, parse_to_ast};
use serde::de::DeserializeOwned;
use serde_json::Value;

use lentilhitch_types::{Findings, SourcePosition};

/// A file that is JSON, whatever else it may be.
pub(crate) struct JsonText<'a> {
    file: &'a str,
    text: &'a str,
    pub(crate) value: Value,
}

impl<'a> JsonText<'a> {
    /// Reads a text; adds a finding and returns nothing if it is not JSON.
    pub(crate) fn parse(file: &'a str, text: &'a str, findings: &mut Findings) -> Option<Self> {
        match serde_json::from_str(text) {
            Ok(value) => Some(Self { file, text, value }),
            Err(err) => {
                let (line, column) = (Some(err.line()), Some(err.column()));
                let place = SourcePosition {
                    file: file.to_owned(),
                    line,
                    column,
                    ..SourcePosition::default()
                };
                findings.push(place, format!("not valid JSON: {err}"));
                None
            }
        }
    }

    /// The place of the value at a JSON pointer, or of the nearest value above it.
    pub(crate) fn place(&self, pointer: &str) -> SourcePosition {
        let offset = self.offset(pointer);
        let before = &self.text[..offset.unwrap_or(0).min(self.text.len())];
        let line = before.matches('\n').count() + 1;
        let column = before.chars().rev().take_while(|it| *it != '\n').count() + 1;
        let known = offset.map(|_| (line, column));
        SourcePosition {
            file: self.file.to_owned(),
            pointer: pointer.to_owned(),
            line: known.map(|it| it.0),
            column: known.map(|it| it.1),
        }
    }

    /// Checks the value against a JSON Schema, then reads it into a type; every problem becomes a finding.
    pub(crate) fn read<T: DeserializeOwned>(
        &self,
        schema: &Value,
        findings: &mut Findings,
    ) -> Option<T> {
        let n_before = findings.0.len();
        self.check(schema, findings);
        if n_before < findings.0.len() {
            return None;
        }
        match serde_json::from_value(self.value.clone()) {
            Ok(options) => Some(options),
            Err(err) => {
                findings.push(self.place(""), err.to_string());
                None
            }
        }
    }

    fn check(&self, schema: &Value, findings: &mut Findings) {
        let validator = match jsonschema::validator_for(schema) {
            Ok(validator) => validator,
            Err(err) => {
                return findings.push(self.place(""), format!("the schema is defective: {err}"));
            }
        };
        for error in validator.iter_errors(&self.value) {
            let pointer = error.instance_path().to_string();
            if let jsonschema::error::ValidationErrorKind::AdditionalProperties { unexpected } =
                error.kind()
            {
                for name in unexpected {
                    findings.push(
                        self.place(&format!("{pointer}/{name}")),
                        format!("unknown field {name:?}"),
                    );
                }
            } else {
                findings.push(self.place(&pointer), error.to_string());
            }
        }
    }

    fn offset(&self, pointer: &str) -> Option<usize> {
        let parsed =
            parse_to_ast(self.text, &CollectOptions::default(), &ParseOptions::default()).ok()?;
        let mut value = parsed.value?;
        let mut offset = value.start();
        for part in pointer.split('/').skip(1) {
            let part = part.replace("~1", "/").replace("~0", "~");
            let inner = match value {
                ast::Value::Object(object) => {
                    let property =
                        object.properties.into_iter().find(|it| it.name.as_str() == part);
                    property.map(|it| (it.name.start(), it.value))
                }
                ast::Value::Array(array) => {
                    let element = part
                        .parse::<usize>()
                        .ok()
                        .and_then(|it| array.elements.into_iter().nth(it));
                    element.map(|it| (it.start(), it))
                }
                _ => None,
            };
            let Some((start, next)) = inner else { break };
            offset = start;
            value = next;
        }
        Some(offset)
    }
}
