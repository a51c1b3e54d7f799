//! JSON text with the source position of each value.

use jsonc_parser::{CollectOptions, ParseOptions, ast, common::Ranged, parse_to_ast};
use serde::de::DeserializeOwned;
use serde_json::Value;

use lentilhitch_types::{Findings, SourcePosition};

/// Text of a file that is valid JSON, and its parsed value. The value is not checked against a schema yet.
pub(crate) struct JsonText<'a> {
    file: &'a str,
    text: &'a str,
    pub(crate) value: Value,
}

impl<'a> JsonText<'a> {
    /// Parses a text. Adds a finding and returns `None` if it is not valid JSON.
    pub(crate) fn parse(file: &'a str, text: &'a str, findings: &mut Findings) -> Option<Self> {
        match serde_json::from_str(text) {
            Ok(value) => Some(Self { file, text, value }),
            Err(err) => {
                let (line, column) = (Some(err.line()), Some(err.column()));
                let position = SourcePosition {
                    file: file.to_owned(),
                    line,
                    column,
                    ..SourcePosition::default()
                };
                findings.push(position, format!("not valid JSON: {err}"));
                None
            }
        }
    }

    /// Returns the source position of the value at a JSON pointer, or of its nearest ancestor that is present.
    pub(crate) fn position(&self, pointer: &str) -> SourcePosition {
        let offset = self.byte_offset(pointer);
        let before = &self.text[..offset.unwrap_or(0).min(self.text.len())];
        let line = before.matches('\n').count() + 1;
        let column = before.chars().rev().take_while(|it| *it != '\n').count() + 1;
        let line_and_column = offset.map(|_| (line, column));
        SourcePosition {
            file: self.file.to_owned(),
            pointer: pointer.to_owned(),
            line: line_and_column.map(|it| it.0),
            column: line_and_column.map(|it| it.1),
        }
    }

    /// Validates the value against a JSON Schema, then deserializes it. Each problem is added as a finding.
    pub(crate) fn deserialize<T: DeserializeOwned>(
        &self,
        schema: &Value,
        findings: &mut Findings,
    ) -> Option<T> {
        let n_before = findings.0.len();
        self.validate(schema, findings);
        if n_before < findings.0.len() {
            return None;
        }
        match serde_json::from_value(self.value.clone()) {
            Ok(options) => Some(options),
            Err(err) => {
                findings.push(self.position(""), err.to_string());
                None
            }
        }
    }

    fn validate(&self, schema: &Value, findings: &mut Findings) {
        let validator = match jsonschema::validator_for(schema) {
            Ok(validator) => validator,
            Err(err) => {
                return findings.push(self.position(""), format!("the schema is defective: {err}"));
            }
        };
        for error in validator.iter_errors(&self.value) {
            let pointer = error.instance_path().to_string();
            if let jsonschema::error::ValidationErrorKind::AdditionalProperties { unexpected } =
                error.kind()
            {
                for name in unexpected {
                    findings.push(
                        self.position(&format!("{pointer}/{name}")),
                        format!("unknown field {name:?}"),
                    );
                }
            } else {
                findings.push(self.position(&pointer), error.to_string());
            }
        }
    }

    /// Returns the byte offset of the value at a JSON pointer, or of its nearest ancestor that is present.
    ///
    /// For a field of an object this is the offset of the field's name.
    fn byte_offset(&self, pointer: &str) -> Option<usize> {
        let parsed =
            parse_to_ast(self.text, &CollectOptions::default(), &ParseOptions::default()).ok()?;
        let mut value = parsed.value?;
        let mut offset = value.start();
        for segment in pointer.split('/').skip(1) {
            let segment = segment.replace("~1", "/").replace("~0", "~");
            let child = match value {
                ast::Value::Object(object) => {
                    let property =
                        object.properties.into_iter().find(|it| it.name.as_str() == segment);
                    property.map(|it| (it.name.start(), it.value))
                }
                ast::Value::Array(array) => {
                    let element = segment
                        .parse::<usize>()
                        .ok()
                        .and_then(|it| array.elements.into_iter().nth(it));
                    element.map(|it| (it.start(), it))
                }
                _ => None,
            };
            let Some((start, child)) = child else { break };
            offset = start;
            value = child;
        }
        Some(offset)
    }
}
