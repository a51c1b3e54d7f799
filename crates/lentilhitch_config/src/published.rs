//! Fold of the configuration stream in the platform's log: the current version of each declaration, computed from the
//! records in order.
//!
//! The version of a declaration is the log offset of the record that published it. A change names the version that it
//! replaces, and takes effect only if that version is still current when the record is applied. Therefore, if two
//! operators publish the same key at the same time, only one change takes effect, and a record that was appended twice
//! takes effect once.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use lentilhitch_policy::fold::{Fold, RecordMeta};
use lentilhitch_types::{AttemptId, LogOffset};

use crate::{Declaration, DeclarationKey};

/// Record of the configuration stream.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PublishRecord {
    pub attempt: AttemptId,
    /// Name of the operator who published the record, for display only.
    pub operator: String,
    pub changes: Vec<Change>,
}

/// New version of one key.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Change {
    pub key: DeclarationKey,
    /// Version that this change replaces, or `None` if the key has no version yet.
    pub replaces: Option<LogOffset>,
    /// New declaration, or `None` to withdraw the key.
    pub declaration: Option<Declaration>,
}

/// Current version of a key, and its declaration unless the key is withdrawn.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct VersionedDeclaration {
    pub version: LogOffset,
    pub declaration: Option<Declaration>,
}

/// Result of applying one change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ChangeOutcome {
    /// The change took effect as this version.
    InForce { version: LogOffset },
    /// The change had no effect because the version that it replaces is not current. Usually another operator published
    /// the key first.
    Conflict { current: Option<LogOffset> },
}

/// Current versions of all keys, withdrawn ones included.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct PublishedDeclarations {
    by_key: BTreeMap<DeclarationKey, VersionedDeclaration>,
}

impl Fold for PublishedDeclarations {
    type Record = PublishRecord;

    fn apply(&mut self, at: RecordMeta, record: &PublishRecord) {
        self.apply_changes(at.offset, record);
    }
}

impl PublishedDeclarations {
    /// Applies a record at its offset and returns the outcome of each of its changes.
    pub fn apply_changes(
        &mut self,
        offset: LogOffset,
        record: &PublishRecord,
    ) -> Vec<(DeclarationKey, ChangeOutcome)> {
        let apply = |it: &Change| (it.key.clone(), self.apply_change(offset, it));
        record.changes.iter().map(apply).collect()
    }

    /// Returns the current version of a key, also if the key is withdrawn.
    pub fn version(&self, key: &DeclarationKey) -> Option<LogOffset> {
        self.by_key.get(key).map(|it| it.version)
    }

    /// Iterates over all keys and their current versions, including withdrawn keys.
    pub fn iter(&self) -> impl Iterator<Item = (&DeclarationKey, &VersionedDeclaration)> {
        self.by_key.iter()
    }

    /// Returns the current declaration of a key, or `None` if the key is unknown or withdrawn.
    pub fn declaration(&self, key: &DeclarationKey) -> Option<&Declaration> {
        self.by_key.get(key).and_then(|it| it.declaration.as_ref())
    }

    fn apply_change(&mut self, offset: LogOffset, change: &Change) -> ChangeOutcome {
        let current = self.version(&change.key);
        if current != change.replaces {
            return ChangeOutcome::Conflict { current };
        }
        let versioned =
            VersionedDeclaration { version: offset, declaration: change.declaration.clone() };
        self.by_key.insert(change.key.clone(), versioned);
        ChangeOutcome::InForce { version: offset }
    }
}
