//! What operators write: the settings file of a process, and the declarations beside each service's code.
//!
//! What is written (`...Options`) and what the program runs on ([`Settings`], [`Declaration`]) are different types; one
//! function resolves the first into the second. Problems are collected with their places and reported together.

mod collect;
mod declaration;
mod json_text;
mod published;
mod schema;
mod service;
mod settings;
mod team;

pub use collect::{DeclarationFile, FILE_SUFFIX, collect_declarations};
pub use declaration::{Declaration, DeclarationKey};
pub use published::{
    Change, ChangeOutcome, PublishRecord, PublishedDeclarations, VersionedDeclaration,
};
pub use schema::{SchemaName, schema};
pub use service::{Application, Language, Repeat, Route, Service, ServiceKind, Upstream};
pub use settings::{Bounds, Peer, PeerKey, Settings, Timing};
pub use team::{Team, TokenDigest, token_digest};
