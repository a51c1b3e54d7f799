//! The command line.

use std::{net::SocketAddr, path::PathBuf};

use argh::FromArgs;

use lentilhitch_config::SchemaName;
use lentilhitch_policy::placement::Strategy;

/// Serve requests on reclaimable instances, as declarations beside each service's code say.
#[derive(FromArgs)]
pub(crate) struct Args {
    #[argh(subcommand)]
    pub(crate) command: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
pub(crate) enum Command {
    Serve(Serve),
    Edge(Edge),
    Check(Check),
    Publish(Publish),
    Status(Status),
    Dump(Dump),
    Schema(Schema),
    TokenDigest(TokenDigest),
    Explain(Explain),
}

/// Run an entry process until SIGTERM; it stops when nothing is in progress.
#[derive(FromArgs)]
#[argh(subcommand, name = "serve")]
pub(crate) struct Serve {
    /// settings file
    #[argh(positional)]
    pub(crate) settings: PathBuf,
}

/// Run a node on the users' platform until SIGTERM. The platform names the settings file in an environment
/// variable.
#[derive(FromArgs)]
#[argh(subcommand, name = "edge")]
pub(crate) struct Edge {
    /// settings file (default: the one that the platform names)
    #[argh(option)]
    pub(crate) settings: Option<PathBuf>,
    /// how upstreams are chosen: cost (default), or to compare with it random, round-robin, least-reported, two-choices
    #[argh(option, default = "Strategy::default()")]
    pub(crate) placement: Strategy,
}

/// Report everything that is wrong with the declarations below a folder. Exit code 1 if anything is.
#[derive(FromArgs)]
#[argh(subcommand, name = "check")]
pub(crate) struct Check {
    /// folder with files that end in .lentilhitch.json
    #[argh(positional)]
    pub(crate) folder: PathBuf,
}

/// Put the declarations below a folder into force. Exit code 1: findings; 3: another version came first;
/// 4: published, but not seen in force everywhere in time.
#[derive(FromArgs)]
#[argh(subcommand, name = "publish")]
pub(crate) struct Publish {
    /// folder with files that end in .lentilhitch.json
    #[argh(positional)]
    pub(crate) folder: PathBuf,
    /// IP address and port of the platform
    #[argh(option)]
    pub(crate) platform: SocketAddr,
    /// administrative address of an entry process to wait for; may be given several times
    #[argh(option)]
    pub(crate) entry: Vec<SocketAddr>,
    /// who publishes, for the record (default: $USER)
    #[argh(option)]
    pub(crate) operator: Option<String>,
    /// how many seconds to wait until the versions are in force (default: 16)
    #[argh(option, default = "16")]
    pub(crate) wait_s: u64,
}

/// Show how entry processes stand, in short.
#[derive(FromArgs)]
#[argh(subcommand, name = "status")]
pub(crate) struct Status {
    /// administrative addresses
    #[argh(positional)]
    pub(crate) entries: Vec<SocketAddr>,
}

/// Print the whole state of an entry process as JSON.
#[derive(FromArgs)]
#[argh(subcommand, name = "dump")]
pub(crate) struct Dump {
    /// administrative address
    #[argh(positional)]
    pub(crate) entry: SocketAddr,
}

/// Print the JSON Schema of a file format.
#[derive(FromArgs)]
#[argh(subcommand, name = "schema")]
pub(crate) struct Schema {
    /// service, team or settings
    #[argh(positional)]
    pub(crate) name: SchemaName,
}

/// Print the digest under which a bearer token is declared. Reads the token from standard input.
#[derive(FromArgs)]
#[argh(subcommand, name = "token-digest")]
pub(crate) struct TokenDigest {}

/// Tell the story of a request from the logs of many processes, in order of time. Exit code 1 if no line names it.
#[derive(FromArgs)]
#[argh(subcommand, name = "explain")]
pub(crate) struct Explain {
    /// the request's id
    #[argh(positional)]
    pub(crate) id: String,
    /// files of log lines
    #[argh(positional)]
    pub(crate) files: Vec<PathBuf>,
}
