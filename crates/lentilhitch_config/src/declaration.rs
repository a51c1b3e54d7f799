//! Declarations of services and teams, and the keys under which they are published.

use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};

use lentilhitch_types::{Findings, NameError, ServiceName, TeamName};

use crate::{
    json_text::JsonText,
    schema::{SchemaName, schema},
    service::{Service, ServiceOptions},
    team::{Team, TeamOptions},
};

/// Identifies the service or team of a declaration.
///
/// Versions are tracked per key, so operators who publish different keys at the same time do not conflict.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(into = "String", try_from = "String")]
pub enum DeclarationKey {
    Service(ServiceName),
    Team(TeamName),
}

impl fmt::Display for DeclarationKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Service(name) => write!(f, "service/{name}"),
            Self::Team(name) => write!(f, "team/{name}"),
        }
    }
}

impl FromStr for DeclarationKey {
    type Err = NameError;

    fn from_str(text: &str) -> Result<Self, NameError> {
        match text.split_once('/') {
            Some(("service", name)) => name.parse().map(Self::Service),
            Some(("team", name)) => name.parse().map(Self::Team),
            _ => Err(NameError::InvalidCharacter('/')),
        }
    }
}

impl TryFrom<String> for DeclarationKey {
    type Error = NameError;

    fn try_from(text: String) -> Result<Self, NameError> {
        text.parse()
    }
}

impl From<DeclarationKey> for String {
    fn from(key: DeclarationKey) -> Self {
        key.to_string()
    }
}

/// Validated declaration of a service or a team, with all defaults filled in.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Declaration {
    Service(Service),
    Team(Team),
}

impl Declaration {
    /// Parses the text of a declaration file. Each problem is added as a finding.
    pub fn parse(file: &str, text: &str, findings: &mut Findings) -> Option<Self> {
        let text = JsonText::parse(file, text, findings)?;
        let is_team = text.value.get("team").is_some() && text.value.get("service").is_none();
        if is_team {
            let options: TeamOptions = text.deserialize(&schema(SchemaName::Team), findings)?;
            Some(Self::Team(options.resolve()))
        } else {
            let options: ServiceOptions =
                text.deserialize(&schema(SchemaName::Service), findings)?;
            options.resolve(&text, findings).map(Self::Service)
        }
    }

    /// Returns the key under which the declaration is published.
    pub fn key(&self) -> DeclarationKey {
        match self {
            Self::Service(it) => DeclarationKey::Service(it.service.clone()),
            Self::Team(it) => DeclarationKey::Team(it.team.clone()),
        }
    }
}
