//! Command-line arguments.

use std::{net::SocketAddr, path::PathBuf};

use argh::FromArgs;

use lentilhitch_config::SchemaName;
use lentilhitch_policy::placement::Strategy;

/// Serve requests on reclaimable instances according to the declarations beside each service's code.
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

/// Run an entry process until SIGTERM. It then completes or hands over the requests in progress and exits.
#[derive(FromArgs)]
#[argh(subcommand, name = "serve")]
pub(crate) struct Serve {
    /// settings file
    #[argh(positional)]
    pub(crate) settings: PathBuf,
}

/// Run a node on the users' platform until SIGTERM. By default, an environment variable that the platform sets names
/// the settings file.
#[derive(FromArgs)]
#[argh(subcommand, name = "edge")]
pub(crate) struct Edge {
    /// settings file (default: the file that the platform names in the environment)
    #[argh(option)]
    pub(crate) settings: Option<PathBuf>,
    /// strategy that chooses upstreams: cost (default), or for comparison random, round-robin, least-reported or
    /// two-choices
    #[argh(option, default = "Strategy::default()")]
    pub(crate) placement: Strategy,
}

/// Print all findings in the declarations below a folder. Exit code 1 if there are any.
#[derive(FromArgs)]
#[argh(subcommand, name = "check")]
pub(crate) struct Check {
    /// folder with files that end in .lentilhitch.json
    #[argh(positional)]
    pub(crate) folder: PathBuf,
}

/// Publish the declarations below a folder. Exit code 1: findings in the declarations; 3: conflict, another version was
/// published first; 4: published, but not reported in force by every given entry process within the wait time.
#[derive(FromArgs)]
#[argh(subcommand, name = "publish")]
pub(crate) struct Publish {
    /// folder with files that end in .lentilhitch.json
    #[argh(positional)]
    pub(crate) folder: PathBuf,
    /// IP address and port of the platform
    #[argh(option)]
    pub(crate) platform: SocketAddr,
    /// administrative address of an entry process at which to wait until the versions are in force; may be repeated
    #[argh(option)]
    pub(crate) entry: Vec<SocketAddr>,
    /// name of the operator, written into the published record (default: $USER)
    #[argh(option)]
    pub(crate) operator: Option<String>,
    /// maximum wait in seconds until the versions are in force (default: 16)
    #[argh(option, default = "16")]
    pub(crate) wait_s: u64,
}

/// Print a one-line status of each entry process.
#[derive(FromArgs)]
#[argh(subcommand, name = "status")]
pub(crate) struct Status {
    /// administrative addresses of the entry processes
    #[argh(positional)]
    pub(crate) entries: Vec<SocketAddr>,
}

/// Print the full state of an entry process as JSON.
#[derive(FromArgs)]
#[argh(subcommand, name = "dump")]
pub(crate) struct Dump {
    /// administrative address of the entry process
    #[argh(positional)]
    pub(crate) entry: SocketAddr,
}

/// Print the JSON Schema of a file format.
#[derive(FromArgs)]
#[argh(subcommand, name = "schema")]
pub(crate) struct Schema {
    /// name of the format: service, team or settings
    #[argh(positional)]
    pub(crate) name: SchemaName,
}

/// Print the digest of a bearer token, as the declaration of a team lists it. Reads the token from standard input.
#[derive(FromArgs)]
#[argh(subcommand, name = "token-digest")]
pub(crate) struct TokenDigest {}

/// Print the log lines of a request from the logs of many processes, in order of time. Exit code 1 if no line names the
/// request. With --admin, ask a running node instead where it would send a request now, and why.
#[derive(FromArgs)]
#[argh(subcommand, name = "explain")]
pub(crate) struct Explain {
    /// administrative address of the node to ask
    #[argh(option)]
    pub(crate) admin: Option<SocketAddr>,
    /// host of the request
    #[argh(option)]
    pub(crate) host: Option<String>,
    /// path of the request
    #[argh(option)]
    pub(crate) path: Option<String>,
    /// name of the team
    #[argh(option)]
    pub(crate) team: Option<String>,
    /// priority instead of that of the route and the team; 0 is the most urgent
    #[argh(option)]
    pub(crate) priority: Option<u8>,
    /// segments of the prompt as ID:TOKENS, separated by commas
    #[argh(option)]
    pub(crate) segments: Option<String>,
    /// tokens of the prompt, by default those of the segments
    #[argh(option)]
    pub(crate) input_tokens: Option<u64>,
    /// maximum number of output tokens
    #[argh(option)]
    pub(crate) output_tokens: Option<u64>,
    /// time that the client waits, in milliseconds
    #[argh(option)]
    pub(crate) deadline_ms: Option<u64>,
    /// number of candidates to print for each service
    #[argh(option)]
    pub(crate) candidates: Option<usize>,
    /// print JSON instead of a table
    #[argh(switch)]
    pub(crate) json: bool,
    /// request ID and log files, unless a node is asked
    #[argh(positional)]
    pub(crate) id_and_files: Vec<String>,
}
