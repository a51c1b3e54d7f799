//! Implementations of the commands, and their exit codes.

mod explain;
mod publish;

use std::{io::Read as _, net::SocketAddr, process::ExitCode, time::Duration};

use anyhow::Context as _;
use tokio::runtime::Runtime;

use lentilhitch_adapter::{PlatformAdapter, SETTINGS_PATH_VARIABLE, read_settings};
use lentilhitch_config::{Settings, collect_declarations};
use lentilhitch_types::Findings;

use crate::{args, logging};

pub(crate) use explain::explain;
pub(crate) use publish::publish;

/// Timeout of a request to an administrative address.
const ADMIN_TIMEOUT: Duration = Duration::from_secs(5);

/// Result of a command that ran to its end. It determines the exit code.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ExitStatus {
    Success,
    /// The settings or the declarations that the operator gave have defects, which were printed, or no line of the
    /// given log files names the request.
    Findings,
    /// The command failed for another reason, such as an unreachable process or an unreadable file.
    Failed,
    /// At least one declaration was not published, because another version of it was published first.
    Conflict,
    /// At least one declaration was published, but not every given entry process reported within the wait time that it
    /// has applied what was published. Takes precedence over `Conflict`.
    NotInForce,
}

impl From<ExitStatus> for ExitCode {
    fn from(exit_status: ExitStatus) -> Self {
        Self::from(match exit_status {
            ExitStatus::Success => 0,
            ExitStatus::Findings => 1,
            ExitStatus::Failed => 2,
            ExitStatus::Conflict => 3,
            ExitStatus::NotInForce => 4,
        })
    }
}

pub(crate) fn serve(args: &args::Serve) -> anyhow::Result<ExitStatus> {
    let settings = match Settings::load(&args.settings) {
        Ok(settings) => settings,
        Err(findings) => return Ok(print_findings(&findings)),
    };
    logging::init()?;
    Runtime::new()?.block_on(lentilhitch_entry::serve(settings))?;
    Ok(ExitStatus::Success)
}

pub(crate) fn edge(args: &args::Edge) -> anyhow::Result<ExitStatus> {
    let path = match &args.settings {
        Some(path) => path.clone(),
        None => std::env::var_os(SETTINGS_PATH_VARIABLE)
            .with_context(|| format!("{SETTINGS_PATH_VARIABLE} names no settings file"))?
            .into(),
    };
    let mut settings = read_settings(&path)?;
    settings.node.strategy = args.placement;
    logging::init()?;
    log_mdc::insert("instance", settings.node.instance.to_string());
    logging::abort_on_panic();
    let platform = PlatformAdapter::new(&settings)?;
    let res = lentilhitch_gateway::run(settings.node, platform);
    log::logger().flush();
    res?;
    Ok(ExitStatus::Success)
}

pub(crate) fn check(args: &args::Check) -> ExitStatus {
    let mut findings = Findings::default();
    let declarations = collect_declarations(&args.folder, &mut findings);
    if !findings.is_empty() {
        return print_findings(&findings);
    }
    for it in declarations {
        println!("{}: {}", it.file, it.declaration.key());
    }
    ExitStatus::Success
}

pub(crate) fn status(args: &args::Status) -> anyhow::Result<ExitStatus> {
    Runtime::new()?.block_on(async {
        let mut exit_status = ExitStatus::Success;
        for entry in &args.entries {
            match fetch::<lentilhitch_entry::Status>(*entry, "status").await {
                Ok(it) => println!(
                    "{} in {}: {}, {} in progress, configuration before {} ({})",
                    it.instance,
                    it.zone,
                    it.state,
                    it.requests_in_progress,
                    it.config.next,
                    it.config.status
                ),
                Err(err) => {
                    eprintln!("{entry}: {err:#}");
                    exit_status = ExitStatus::Failed;
                }
            }
        }
        Ok(exit_status)
    })
}

pub(crate) fn dump(args: &args::Dump) -> anyhow::Result<ExitStatus> {
    let dump: serde_json::Value = Runtime::new()?.block_on(fetch(args.entry, "dump"))?;
    println!("{}", serde_json::to_string_pretty(&dump)?);
    Ok(ExitStatus::Success)
}

pub(crate) fn schema(args: &args::Schema) -> anyhow::Result<ExitStatus> {
    println!("{}", serde_json::to_string_pretty(&lentilhitch_config::schema(args.name))?);
    Ok(ExitStatus::Success)
}

pub(crate) fn token_digest(_: &args::TokenDigest) -> anyhow::Result<ExitStatus> {
    let mut token = String::new();
    std::io::stdin().read_to_string(&mut token)?;
    println!("{}", lentilhitch_config::token_digest(token.trim()));
    Ok(ExitStatus::Success)
}

/// Prints findings, one per line, and their number.
fn print_findings(findings: &Findings) -> ExitStatus {
    eprint!("{findings}");
    eprintln!("{} finding(s)", findings.0.len());
    ExitStatus::Findings
}

/// Requests a JSON document at the administrative address of an entry process.
async fn fetch<T: serde::de::DeserializeOwned>(entry: SocketAddr, path: &str) -> anyhow::Result<T> {
    let http = reqwest::Client::builder().no_proxy().timeout(ADMIN_TIMEOUT).build()?;
    let response = http.get(format!("http://{entry}/{path}")).send().await;
    let response = response.with_context(|| format!("no entry process answers at {entry}"))?;
    Ok(response.error_for_status()?.json().await?)
}
