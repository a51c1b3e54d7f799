//! Names that operators assign to instances, zones, teams, upstreams and services.

use std::{borrow::Cow, fmt, str::FromStr};

use schemars::{JsonSchema, Schema, SchemaGenerator, json_schema};
use serde::{Deserialize, Serialize};

const NAME_BYTES_MAX: usize = 63;
const NAME_PATTERN: &str = "^[a-z0-9._-]{1,63}$";

/// Reason why a text is not a valid name.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum NameError {
    #[error("the name is empty")]
    Empty,
    #[error("the name is {0} bytes long, more than {NAME_BYTES_MAX}")]
    TooLong(usize),
    #[error("the name contains {0:?}; only a-z, 0-9, '-', '_' and '.' are allowed")]
    InvalidCharacter(char),
}

fn check_name(text: &str) -> Result<(), NameError> {
    if text.is_empty() {
        return Err(NameError::Empty);
    }
    if text.len() > NAME_BYTES_MAX {
        return Err(NameError::TooLong(text.len()));
    }
    let is_allowed =
        |it: char| it.is_ascii_lowercase() || it.is_ascii_digit() || matches!(it, '-' | '_' | '.');
    match text.chars().find(|it| !is_allowed(*it)) {
        Some(invalid) => Err(NameError::InvalidCharacter(invalid)),
        None => Ok(()),
    }
}

macro_rules! name_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
        #[derive(Serialize, Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(String);

        impl JsonSchema for $name {
            fn schema_name() -> Cow<'static, str> {
                stringify!($name).into()
            }

            fn json_schema(_: &mut SchemaGenerator) -> Schema {
                json_schema!({ "type": "string", "pattern": NAME_PATTERN })
            }

            fn inline_schema() -> bool {
                true
            }
        }

        impl $name {
            /// Returns the name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl FromStr for $name {
            type Err = NameError;

            fn from_str(text: &str) -> Result<Self, NameError> {
                check_name(text)?;
                Ok(Self(text.to_owned()))
            }
        }

        impl TryFrom<String> for $name {
            type Error = NameError;

            fn try_from(text: String) -> Result<Self, NameError> {
                check_name(&text)?;
                Ok(Self(text))
            }
        }

        impl From<$name> for String {
            fn from(name: $name) -> Self {
                name.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }
    };
}

name_type!(
    /// Name of an instance, that is, of one process of this system.
    InstanceName
);
name_type!(
    /// Name of a data center. Prices and reclaims of instances apply to a zone.
    Zone
);
name_type!(
    /// Name of a team: a customer (tenant) of the operator, identified by the tokens or keys that its clients send.
    TeamName
);
name_type!(
    /// Name of an upstream: a model engine or an application process to which requests are sent.
    UpstreamName
);
name_type!(
    /// Name of a service that an operator declares.
    ServiceName
);
