//! The fold of published versions.
//!
//! A version is the offset of the record that brought it. A change names the version that it replaces and wins only if
//! that version is current when the record's turn comes, so of two operators who publish the same key at once one wins,
//! and a record that was appended twice has an effect once.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use lentilhitch_policy::fold::{Fold, RecordMeta};
use lentilhitch_types::{AttemptId, LogOffset};

use crate::{Declaration, DeclarationKey};

/// One record of the configuration stream.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PublishRecord {
    pub attempt: AttemptId,
    /// Who published, for people to read.
    pub operator: String,
    pub changes: Vec<Change>,
}

/// A new version of one key.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Change {
    pub key: DeclarationKey,
    /// The version that this one replaces; `None` for a key that has none.
    pub replaces: Option<LogOffset>,
    /// `None` withdraws the key.
    pub declaration: Option<Declaration>,
}

/// The current version of a key.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct VersionedDeclaration {
    pub version: LogOffset,
    pub declaration: Option<Declaration>,
}

/// What became of one change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ChangeOutcome {
    InForce {
        version: LogOffset,
    },
    /// Somebody else's version came first.
    Conflict {
        current: Option<LogOffset>,
    },
}

/// The current version of every key.
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
    /// Takes a publish at its offset and says what became of each of its changes.
    pub fn apply_changes(
        &mut self,
        offset: LogOffset,
        publish: &PublishRecord,
    ) -> Vec<(DeclarationKey, ChangeOutcome)> {
        let judge = |it: &Change| (it.key.clone(), self.apply_change(offset, it));
        publish.changes.iter().map(judge).collect()
    }

    /// The current version of a key, withdrawn ones included.
    pub fn version(&self, key: &DeclarationKey) -> Option<LogOffset> {
        self.by_key.get(key).map(|it| it.version)
    }

    /// Every key and its current version.
    pub fn iter(&self) -> impl Iterator<Item = (&DeclarationKey, &VersionedDeclaration)> {
        self.by_key.iter()
    }

    /// The declaration in force for a key.
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
