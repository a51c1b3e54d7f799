//! The `publish` command.
//!
//! Reads the current versions, appends a record with the changes, reads the outcome of each change from the log, and
//! waits until the new versions are in force.

use std::{net::SocketAddr, time::Duration};

use anyhow::{Context as _, bail};
use tokio::{
    runtime::Runtime,
    time::{Instant, sleep},
};

use lentilhitch_config::{
    Change, ChangeOutcome, DeclarationFile, DeclarationKey, PublishRecord, PublishedDeclarations,
    collect_declarations,
};
use lentilhitch_platform::{AppendError, LogClient, Stream};
use lentilhitch_policy::fold::{FoldStatus, Follower, Page, Payload};
use lentilhitch_types::{AttemptId, Findings, LogOffset};

use crate::{
    args,
    commands::{ExitStatus, fetch, print_findings},
};

/// Timeout of a call to the log service.
const PLATFORM_TIMEOUT_MS: u64 = 5_000;
/// Wait between polls of the log and of the entry processes.
const POLL_WAIT: Duration = Duration::from_millis(50);

pub(crate) fn publish(args: &args::Publish) -> anyhow::Result<ExitStatus> {
    let mut findings = Findings::default();
    let declarations = collect_declarations(&args.folder, &mut findings);
    if !findings.is_empty() {
        return Ok(print_findings(&findings));
    }
    Runtime::new()?.block_on(publish_declarations(args, &declarations))
}

async fn publish_declarations(
    args: &args::Publish,
    declarations: &[DeclarationFile],
) -> anyhow::Result<ExitStatus> {
    let http = reqwest::Client::builder().no_proxy().build()?;
    let log = LogClient::new(http, args.platform, PLATFORM_TIMEOUT_MS);
    let mut reader = ConfigReader { log: &log, follower: Follower::default() };
    let deadline = Instant::now() + Duration::from_secs(args.wait_s);
    reader.read_to_end(deadline).await?;
    let changes = changes_to_publish(declarations, reader.follower.state());
    if changes.is_empty() {
        println!("nothing to publish: every declaration is in force as it stands");
        return Ok(ExitStatus::Success);
    }
    let operator = args
        .operator
        .clone()
        .or_else(|| std::env::var("USER").ok())
        .unwrap_or_else(|| "unknown".to_owned());
    let attempt = AttemptId::from_random(rand::random());
    let publish_record = PublishRecord { attempt, operator, changes };
    let outcomes = append_and_confirm(&log, &mut reader, &publish_record, deadline).await?;
    let mut exit_status = ExitStatus::Success;
    let mut newest_version = None;
    for (key, outcome) in &outcomes {
        match outcome {
            ChangeOutcome::InForce { version } => {
                println!("{key}: version {version}");
                newest_version = newest_version.max(Some(*version));
            }
            ChangeOutcome::Conflict { current } => {
                let current = current.map_or("none".to_owned(), |it| it.to_string());
                eprintln!(
                    "{key}: not published, another version came first (now {current}); review it and publish again"
                );
                exit_status = ExitStatus::Conflict;
            }
        }
    }
    let Some(version) = newest_version else { return Ok(exit_status) };
    let is_in_force_everywhere = wait_until_in_force(&args.entry, version, deadline).await;
    Ok(if is_in_force_everywhere { exit_status } else { ExitStatus::NotInForce })
}

/// Reader of the configuration stream.
struct ConfigReader<'a> {
    log: &'a LogClient,
    follower: Follower<PublishedDeclarations>,
}

impl ConfigReader<'_> {
    /// Reads to the end of the stream. If old records have expired, waits for the checkpoint that an entry process will
    /// write.
    async fn read_to_end(&mut self, deadline: Instant) -> anyhow::Result<()> {
        loop {
            let page = self.log.read(Stream::Config, self.follower.read_from(), 0).await?;
            let is_at_end = page.records.is_empty();
            self.follower.apply_page(&page.into());
            match self.follower.status() {
                FoldStatus::Current => return Ok(()),
                FoldStatus::Gap if is_at_end && Instant::now() < deadline => sleep(POLL_WAIT).await,
                FoldStatus::Gap if is_at_end => {
                    bail!(
                        "old records have expired and the log has no checkpoint; publish while an entry process runs"
                    )
                }
                _ => {}
            }
        }
    }
}

/// Returns the declarations that differ from the versions in force, as changes.
fn changes_to_publish(
    declarations: &[DeclarationFile],
    published: &PublishedDeclarations,
) -> Vec<Change> {
    let changed = declarations
        .iter()
        .filter(|it| published.declaration(&it.declaration.key()) != Some(&it.declaration));
    let change = |it: &DeclarationFile| {
        let key = it.declaration.key();
        let replaces = published.version(&key);
        Change { key, replaces, declaration: Some(it.declaration.clone()) }
    };
    changed.map(change).collect()
}

/// Appends a record, reads the log until the record is found, and returns the outcome of each of its changes. Appends
/// the record again after a failure, which is safe because a record that was appended twice takes effect once.
async fn append_and_confirm(
    log: &LogClient,
    reader: &mut ConfigReader<'_>,
    publish_record: &PublishRecord,
    deadline: Instant,
) -> anyhow::Result<Vec<(DeclarationKey, ChangeOutcome)>> {
    let payload = serde_json::to_string(&Payload::Record(publish_record.clone()))?;
    loop {
        let appended = log.append(Stream::Config, &payload).await;
        if let Some(outcomes) = find_outcomes(reader, publish_record).await? {
            return Ok(outcomes);
        }
        match appended {
            Ok(offset) => bail!("the record at {offset} expired before it could be read"),
            Err(err) if deadline <= Instant::now() => {
                let hint = match err {
                    AppendError::Rejected(_) => "nothing was published",
                    AppendError::Lost(_) => "it may be published yet; run the command again to see",
                };
                return Err(err).context(hint);
            }
            Err(_) => sleep(POLL_WAIT * 4).await,
        }
    }
}

/// Reads on until the record is found, and returns the outcome of each of its changes. Returns `None` if the end of the
/// stream is reached or the log can't be read.
async fn find_outcomes(
    reader: &mut ConfigReader<'_>,
    publish_record: &PublishRecord,
) -> anyhow::Result<Option<Vec<(DeclarationKey, ChangeOutcome)>>> {
    loop {
        let Ok(page) = reader.log.read(Stream::Config, reader.follower.read_from(), 0).await else {
            return Ok(None);
        };
        let page = Page::from(page);
        for idx in 0..page.records.len() {
            let record = &page.records[idx];
            let payload = serde_json::from_str::<Payload<PublishRecord>>(&record.payload);
            if let Ok(Payload::Record(found)) = payload
                && found.attempt == publish_record.attempt
            {
                let mut state = reader.follower.state().clone();
                return Ok(Some(state.apply_changes(record.offset, publish_record)));
            }
            reader.follower.apply_page(&Page { records: vec![record.clone()], ..page.clone() });
        }
        if page.records.is_empty() {
            return Ok(None);
        }
    }
}

/// Waits until a version is in force at the given entry processes. Returns whether all of them reported it in force by
/// the deadline.
async fn wait_until_in_force(
    entries: &[SocketAddr],
    version: LogOffset,
    deadline: Instant,
) -> bool {
    let mut is_in_force_everywhere = true;
    for entry in entries {
        loop {
            let status = fetch::<lentilhitch_entry::Status>(*entry, "status").await;
            if let Ok(status) = &status
                && version < status.config.next
            {
                println!("in force at {} in {}", status.instance, status.zone);
                break;
            }
            if deadline <= Instant::now() {
                eprintln!("{entry} did not report the new version in force within the wait time");
                is_in_force_everywhere = false;
                break;
            }
            sleep(POLL_WAIT).await;
        }
    }
    is_in_force_everywhere
}
