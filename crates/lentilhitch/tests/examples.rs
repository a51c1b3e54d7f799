//! The examples are right, and the configuration reference names every field.

use std::path::{Path, PathBuf};

use lentilhitch_config::{SchemaName, Settings, schema};
use lentilhitch_standin::harness::run_command;
use serde_json::Value;

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

#[test]
fn examples_have_no_findings() {
    for name in ["trinacria", "khao-rai"] {
        let folder = root().join("examples").join(name);
        let (is_done, text) =
            run_command(&["check".to_owned(), folder.display().to_string()]).unwrap();
        assert!(is_done, "{text}");
        let settings = Settings::load(&folder.join("settings-entry-1.json"));
        assert!(settings.is_ok(), "{}", settings.unwrap_err());
    }
}

/// The names of all properties of a schema, nested ones included.
fn properties(schema: &Value, names: &mut Vec<String>) {
    match schema {
        Value::Object(object) => {
            if let Some(Value::Object(properties)) = object.get("properties") {
                names.extend(properties.keys().cloned());
            }
            object.values().for_each(|it| properties(it, names));
        }
        Value::Array(array) => array.iter().for_each(|it| properties(it, names)),
        _ => {}
    }
}

#[test]
fn the_reference_names_every_field() {
    let reference = std::fs::read_to_string(root().join("docs/CONFIGURATION.md")).unwrap();
    for name in [SchemaName::Service, SchemaName::Team, SchemaName::Settings] {
        let mut names = Vec::new();
        properties(&schema(name), &mut names);
        for field in names {
            let is_named = reference.contains(&format!("`{field}`"))
                || reference.contains(&format!(".{field}`"));
            assert!(is_named, "{name:?}: {field}");
        }
    }
}
