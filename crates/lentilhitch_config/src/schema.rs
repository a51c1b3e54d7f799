//! JSON Schemas of the files that operators write.

use schemars::{JsonSchema, generate::SchemaSettings};
use serde_json::Value;

use crate::{service::ServiceOptions, settings::SettingsOptions, team::TeamOptions};

/// Kind of file that a schema describes.
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

/// Returns the JSON Schema (draft 2020-12) of a kind of file.
pub fn schema(name: SchemaName) -> Value {
    match name {
        SchemaName::Service => generate_schema::<ServiceOptions>(),
        SchemaName::Team => generate_schema::<TeamOptions>(),
        SchemaName::Settings => generate_schema::<SettingsOptions>(),
    }
}

fn generate_schema<T: JsonSchema>() -> Value {
    SchemaSettings::draft2020_12().into_generator().into_root_schema_for::<T>().to_value()
}
