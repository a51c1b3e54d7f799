//! Tests that the examples have no findings and that the configuration reference mentions every field.

use std::path::{Path, PathBuf};

use lentilhitch_config::{SchemaName, Settings, schema};
use lentilhitch_standin::harness::run_command;
use serde_json::Value;

fn workspace_root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

#[test]
fn examples_have_no_findings() {
    for name in ["trinacria", "khao-rai"] {
        let folder = workspace_root().join("examples").join(name);
        let (succeeded, text) =
            run_command(&["check".to_owned(), folder.display().to_string()]).unwrap();
        assert!(succeeded, "{text}");
        let settings = Settings::load(&folder.join("settings-entry-1.json"));
        assert!(settings.is_ok(), "{}", settings.unwrap_err());
    }
}

/// Collects the names of all properties of a schema, including nested ones.
fn collect_property_names(schema: &Value, names: &mut Vec<String>) {
    match schema {
        Value::Object(object) => {
            if let Some(Value::Object(properties)) = object.get("properties") {
                names.extend(properties.keys().cloned());
            }
            object.values().for_each(|it| collect_property_names(it, names));
        }
        Value::Array(array) => array.iter().for_each(|it| collect_property_names(it, names)),
        _ => {}
    }
}

#[test]
fn the_configuration_reference_mentions_every_field() {
    let reference =
        std::fs::read_to_string(workspace_root().join("docs/CONFIGURATION.md")).unwrap();
    for name in [SchemaName::Service, SchemaName::Team, SchemaName::Settings] {
        let mut names = Vec::new();
        collect_property_names(&schema(name), &mut names);
        for field in names {
            let is_mentioned = reference.contains(&format!("`{field}`"))
                || reference.contains(&format!(".{field}`"));
            assert!(is_mentioned, "{name:?}: {field}");
        }
    }
}
