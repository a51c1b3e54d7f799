//! Publishing: read what is current, append, read what became of it, wait until it is in force.

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
    commands::{Exit, fetch, report},
};

const PLATFORM_TIMEOUT_MS: u64 = 5_000;
const LOOK: Duration = Duration::from_millis(50);

pub(crate) fn publish(args: &args::Publish) -> anyhow::Result<Exit> {
    let mut findings = Findings::default();
    let declared = collect_declarations(&args.folder, &mut findings);
    if !findings.is_empty() {
        return Ok(report(&findings));
    }
    Runtime::new()?.block_on(run(args, &declared))
}

async fn run(args: &args::Publish, declared: &[DeclarationFile]) -> anyhow::Result<Exit> {
    let http = reqwest::Client::builder().no_proxy().build()?;
    let log = LogClient::new(http, args.platform, PLATFORM_TIMEOUT_MS);
    let mut reader = Reader { log: &log, follower: Follower::default() };
    let deadline = Instant::now() + Duration::from_secs(args.wait_s);
    reader.read_to_end(deadline).await?;
    let changes = changes(declared, reader.follower.state());
    if changes.is_empty() {
        println!("nothing to publish: every declaration is in force as it stands");
        return Ok(Exit::Done);
    }
    let operator = args
        .operator
        .clone()
        .or_else(|| std::env::var("USER").ok())
        .unwrap_or_else(|| "unknown".to_owned());
    let attempt = AttemptId::from_random(rand::random());
    let publish = PublishRecord { attempt, operator, changes };
    let verdicts = append_and_settle(&log, &mut reader, &publish, deadline).await?;
    let mut exit = Exit::Done;
    let mut newest = None;
    for (key, verdict) in &verdicts {
        match verdict {
            ChangeOutcome::InForce { version } => {
                println!("{key}: version {version}");
                newest = newest.max(Some(*version));
            }
            ChangeOutcome::Conflict { current } => {
                let current = current.map_or("none".to_owned(), |it| it.to_string());
                eprintln!(
                    "{key}: not published, another version came first (now {current}); look at it and publish again"
                );
                exit = Exit::Conflict;
            }
        }
    }
    let Some(version) = newest else { return Ok(exit) };
    let is_everywhere = wait_in_force(&args.entry, version, deadline).await;
    Ok(if is_everywhere { exit } else { Exit::NotInForce })
}

/// A reader of the configuration stream.
struct Reader<'a> {
    log: &'a LogClient,
    follower: Follower<PublishedDeclarations>,
}

impl Reader<'_> {
    /// Reads to the end. Where old records have expired, waits for the checkpoint that an entry process will write.
    async fn read_to_end(&mut self, deadline: Instant) -> anyhow::Result<()> {
        loop {
            let page = self.log.read(Stream::Config, self.follower.read_from(), 0).await?;
            let is_at_end = page.records.is_empty();
            self.follower.apply_page(&page.into());
            match self.follower.status() {
                FoldStatus::Current => return Ok(()),
                FoldStatus::Gap if is_at_end && Instant::now() < deadline => sleep(LOOK).await,
                FoldStatus::Gap if is_at_end => {
                    bail!(
                        "the log has dropped old versions and holds no checkpoint; publish when an entry process runs"
                    )
                }
                _ => {}
            }
        }
    }
}

/// What differs from the versions in force.
fn changes(declared: &[DeclarationFile], published: &PublishedDeclarations) -> Vec<Change> {
    let changed = declared
        .iter()
        .filter(|it| published.declaration(&it.declaration.key()) != Some(&it.declaration));
    let change = |it: &DeclarationFile| {
        let key = it.declaration.key();
        let replaces = published.version(&key);
        Change { key, replaces, declaration: Some(it.declaration.clone()) }
    };
    changed.map(change).collect()
}

/// Appends, and finds out by reading what became of it. A record that is appended again has no effect the second time.
async fn append_and_settle(
    log: &LogClient,
    reader: &mut Reader<'_>,
    publish: &PublishRecord,
    deadline: Instant,
) -> anyhow::Result<Vec<(DeclarationKey, ChangeOutcome)>> {
    let payload = serde_json::to_string(&Payload::Record(publish.clone()))?;
    loop {
        let appended = log.append(Stream::Config, &payload).await;
        if let Some(verdicts) = find(reader, publish).await? {
            return Ok(verdicts);
        }
        match appended {
            Ok(offset) => bail!("the record at {offset} expired before it could be read"),
            Err(err) if deadline <= Instant::now() => {
                let known = match err {
                    AppendError::Rejected(_) => "nothing was published",
                    AppendError::Lost(_) => "it may be published yet; run the command again to see",
                };
                return Err(err).context(known);
            }
            Err(_) => sleep(LOOK * 4).await,
        }
    }
}

/// Reads on until the publish is found or the end is reached.
async fn find(
    reader: &mut Reader<'_>,
    publish: &PublishRecord,
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
                && found.attempt == publish.attempt
            {
                let mut state = reader.follower.state().clone();
                return Ok(Some(state.apply_changes(record.offset, publish)));
            }
            reader.follower.apply_page(&Page { records: vec![record.clone()], ..page.clone() });
        }
        if page.records.is_empty() {
            return Ok(None);
        }
    }
}

async fn wait_in_force(entries: &[SocketAddr], version: LogOffset, deadline: Instant) -> bool {
    let mut is_everywhere = true;
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
                eprintln!("not seen in force at {entry} in time");
                is_everywhere = false;
                break;
            }
            sleep(LOOK).await;
        }
    }
    is_everywhere
}
