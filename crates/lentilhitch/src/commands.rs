//! What each command does, and its exit status.

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

const ADMIN_TIMEOUT: Duration = Duration::from_secs(5);

/// How a command ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Exit {
    Done,
    /// What the operator wrote has findings.
    Findings,
    /// Something outside failed.
    Failed,
    /// Another version came first.
    Conflict,
    /// Published, but not seen in force everywhere in time.
    NotInForce,
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        Self::from(match exit {
            Exit::Done => 0,
            Exit::Findings => 1,
            Exit::Failed => 2,
            Exit::Conflict => 3,
            Exit::NotInForce => 4,
        })
    }
}

pub(crate) fn serve(args: &args::Serve) -> anyhow::Result<Exit> {
    let settings = match Settings::load(&args.settings) {
        Ok(settings) => settings,
        Err(findings) => return Ok(report(&findings)),
    };
    logging::init()?;
    Runtime::new()?.block_on(lentilhitch_entry::serve(settings))?;
    Ok(Exit::Done)
}

pub(crate) fn edge(args: &args::Edge) -> anyhow::Result<Exit> {
    let path = match &args.settings {
        Some(path) => path.clone(),
        None => std::env::var_os(SETTINGS_PATH_VARIABLE)
            .with_context(|| format!("{SETTINGS_PATH_VARIABLE} names no settings file"))?
            .into(),
    };
    let mut boot = read_settings(&path)?;
    boot.node.strategy = args.placement;
    logging::init()?;
    log_mdc::insert("instance", boot.node.instance.to_string());
    logging::end_on_panic();
    let platform = PlatformAdapter::new(&boot)?;
    let res = lentilhitch_gateway::run(boot.node, platform);
    log::logger().flush();
    res?;
    Ok(Exit::Done)
}

pub(crate) fn check(args: &args::Check) -> Exit {
    let mut findings = Findings::default();
    let declared = collect_declarations(&args.folder, &mut findings);
    if !findings.is_empty() {
        return report(&findings);
    }
    for it in declared {
        println!("{}: {}", it.file, it.declaration.key());
    }
    Exit::Done
}

pub(crate) fn status(args: &args::Status) -> anyhow::Result<Exit> {
    Runtime::new()?.block_on(async {
        let mut exit = Exit::Done;
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
                    exit = Exit::Failed;
                }
            }
        }
        Ok(exit)
    })
}

pub(crate) fn dump(args: &args::Dump) -> anyhow::Result<Exit> {
    let dump: serde_json::Value = Runtime::new()?.block_on(fetch(args.entry, "dump"))?;
    println!("{}", serde_json::to_string_pretty(&dump)?);
    Ok(Exit::Done)
}

pub(crate) fn schema(args: &args::Schema) -> anyhow::Result<Exit> {
    println!("{}", serde_json::to_string_pretty(&lentilhitch_config::schema(args.name))?);
    Ok(Exit::Done)
}

pub(crate) fn token_digest(_: &args::TokenDigest) -> anyhow::Result<Exit> {
    let mut token = String::new();
    std::io::stdin().read_to_string(&mut token)?;
    println!("{}", lentilhitch_config::token_digest(token.trim()));
    Ok(Exit::Done)
}

/// Prints findings, one a line.
fn report(findings: &Findings) -> Exit {
    eprint!("{findings}");
    eprintln!("{} finding(s)", findings.0.len());
    Exit::Findings
}

/// Asks an entry process at its administrative address.
async fn fetch<T: serde::de::DeserializeOwned>(entry: SocketAddr, what: &str) -> anyhow::Result<T> {
    let http = reqwest::Client::builder().no_proxy().timeout(ADMIN_TIMEOUT).build()?;
    let response = http.get(format!("http://{entry}/{what}")).send().await;
    let response = response.with_context(|| format!("no entry process answers at {entry}"))?;
    Ok(response.error_for_status()?.json().await?)
}
