//! The JSON Schemas of what operators write.

use schemars::{JsonSchema, generate::SchemaSettings};
use serde_json::Value;

use crate::{service::ServiceOptions, settings::SettingsOptions, team::TeamOptions};

/// Which file a schema describes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SchemaName {
    Service,
    Team,
    Settings,
}

impl std::str::FromStr for SchemaName {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        match text {
            "service" => Ok(Self::Service),
            "team" => Ok(Self::Team),
            "settings" => Ok(Self::Settings),
            _ => Err(format!("{text:?} is none of service, team, settings")),
        }
    }
}

/// The JSON Schema (draft 2020-12) of a file.
pub fn schema(name: SchemaName) -> Value {
    match name {
        SchemaName::Service => schema_of::<ServiceOptions>(),
        SchemaName::Team => schema_of::<TeamOptions>(),
        SchemaName::Settings => schema_of::<SettingsOptions>(),
    }
}

fn schema_of<T: JsonSchema>() -> Value {
    SchemaSettings::draft2020_12().into_generator().into_root_schema_for::<T>().to_value()
}
