//! Configuration files written by operators: the settings file of a process, and the declarations of services and
//! teams, which are kept next to the code of each service.
//!
//! The file format (`...Options`) and the resolved configuration ([`Settings`], [`Declaration`]) are separate types. A
//! `resolve` function validates the options, fills in defaults and returns the resolved configuration. All problems in
//! the files are collected as findings with their positions, and reported together.
//!
//! Operators publish declarations as records of the configuration stream in the platform's log. Each entry process
//! computes the current declarations from this stream ([`PublishedDeclarations`]).

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
