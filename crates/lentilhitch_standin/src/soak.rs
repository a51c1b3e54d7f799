//! A fault soak: real nodes under traffic, with faults drawn from a seed, checked from what clients and upstreams see.
//!
//! The promises that are checked while it runs: what may run once runs once; what is told not to have run has not and
//! does not; a success is the upstream's own answer, whole and to its own request; events come in order, each once; a
//! request carries its team; at the end everything serves again.

use std::{
    collections::BTreeMap,
    sync::Arc,
    time::{Duration, Instant},
};

use anyhow::{bail, ensure};
use parking_lot::Mutex;
use rand::{RngExt as _, SeedableRng, rngs::SmallRng};
use serde_json::json;

use crate::{
    harness::until,
    users_platform::{Behavior, ClientResponse, Site, SiteOptions, StoreFault},
};

/// What a soak runs on.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    pub seed: u64,
    /// How long faults go on.
    pub duration: Duration,
    pub n_nodes: usize,
    pub n_clients: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Self { seed: 1, duration: Duration::from_secs(8), n_nodes: 3, n_clients: 8 }
    }
}

/// What clients were told, by request.
type Told = Arc<Mutex<BTreeMap<String, (Kind, Result<ClientResponse, String>)>>>;

/// Kinds of request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Kind {
    Once,
    Idempotent,
    Stream,
    ResumableStream,
}

impl Kind {
    const ALL: [Self; 4] = [Self::Once, Self::Idempotent, Self::Stream, Self::ResumableStream];

    fn path(self) -> &'static str {
        match self {
            Self::Once => "/book/soak",
            Self::Idempotent => "/status/soak",
            Self::Stream => "/ask/soak",
            Self::ResumableStream => "/review/soak",
        }
    }

    fn may_repeat(self) -> bool {
        matches!(self, Self::Idempotent | Self::ResumableStream)
    }
}

/// Events of a whole stream.
const N_EVENTS: u64 = 12;
/// The longest pause between two faults.
const PAUSE_MAX_MS: u64 = 400;
/// Clients pause for up to so long between requests.
const CLIENT_PAUSE_MAX_MS: u64 = 40;

/// Runs one soak; returns how many requests were answered with a success, and how many at all.
pub async fn run(settings: Settings) -> anyhow::Result<(usize, usize)> {
    let options = SiteOptions {
        n_nodes: settings.n_nodes,
        n_engines: 3,
        n_applications: 3,
        ..SiteOptions::default()
    };
    let mut site = Site::start(options).await?;
    reset(&site);
    let told: Told = Told::default();
    let end = Instant::now() + settings.duration;
    let clients: Vec<_> = (0..settings.n_clients)
        .map(|it| tokio::spawn(client(it, settings, site.client(), told.clone(), end)))
        .collect();
    disturb(&mut site, settings, end).await?;
    for it in clients {
        it.await?;
    }
    reset(&site);
    site.until_ready().await?;
    for node in 0..settings.n_nodes {
        for kind in Kind::ALL {
            let id = format!("after-{node}-{kind:?}");
            until("everything serves again", || async {
                site.call(node, &id, kind.path()).await.is_ok_and(|it| it.status == 200)
            })
            .await?;
        }
    }
    check(&site, &told.lock())
}

fn reset(site: &Site) {
    site.store.set_fault(StoreFault::None);
    for it in &site.applications {
        it.set(Behavior::Serve { work_ms: 5 });
    }
    for it in &site.engines {
        it.set(Behavior::Stream { n_events: N_EVENTS, interval_ms: 5, break_after: None });
    }
}

async fn client(
    idx: usize,
    settings: Settings,
    caller: crate::users_platform::Client,
    told: Told,
    end: Instant,
) {
    let mut rng = SmallRng::seed_from_u64(settings.seed ^ (idx as u64) << 32);
    let mut n_sent = 0;
    while Instant::now() < end {
        let kind = Kind::ALL[rng.random_range(0..Kind::ALL.len())];
        let node = rng.random_range(0..settings.n_nodes);
        let id = format!("soak-{idx}-{n_sent}");
        n_sent += 1;
        let answer = caller.call(node, &id, kind.path()).await.map_err(|it| it.to_string());
        told.lock().insert(id, (kind, answer));
        let interval_ms = rng.random_range(0..CLIENT_PAUSE_MAX_MS);
        tokio::time::sleep(Duration::from_millis(interval_ms)).await;
    }
}

async fn disturb(site: &mut Site, settings: Settings, end: Instant) -> anyhow::Result<()> {
    let mut rng = SmallRng::seed_from_u64(settings.seed);
    while Instant::now() < end {
        let node = rng.random_range(0..settings.n_nodes);
        let upstream = rng.random_range(0..site.engines.len());
        match rng.random_range(0..9) {
            0 => {
                site.nodes[node].process.kill();
                site.restart(node)?;
            }
            1 => {
                site.nodes[node].process.terminate();
                let _ = site.nodes[node].process.wait()?;
                site.restart(node)?;
            }
            2 => {
                site.nodes[node].process.freeze();
                let interval_ms = rng.random_range(100..1_500);
                tokio::time::sleep(Duration::from_millis(interval_ms)).await;
                site.nodes[node].process.thaw();
            }
            3 => {
                let faults = [
                    StoreFault::None,
                    StoreFault::Unavailable,
                    StoreFault::Unresponsive,
                    StoreFault::LostResponses,
                ];
                site.store.set_fault(faults[rng.random_range(0..faults.len())]);
            }
            4 => {
                let behaviors = [
                    Behavior::Serve { work_ms: 5 },
                    Behavior::Drop,
                    Behavior::Full,
                    Behavior::Fail,
                    Behavior::OtherId,
                ];
                site.applications[upstream].set(behaviors[rng.random_range(0..behaviors.len())]);
            }
            5 => {
                let break_after =
                    Some(rng.random_range(0..N_EVENTS)).filter(|_| rng.random_bool(0.7));
                let interval_ms = rng.random_range(1..20);
                let stream = Behavior::Stream { n_events: N_EVENTS, interval_ms, break_after };
                let behaviors = [stream, Behavior::Full, Behavior::Drop];
                site.engines[upstream].set(behaviors[rng.random_range(0..behaviors.len())]);
            }
            6 => {
                let state = ["ready", "draining"][rng.random_range(0..2)];
                let born = rng.random_range(1..1_000_000);
                site.engines[upstream]
                    .write_entry(&site.store, &json!({ "state": state, "born": born }));
            }
            7 => {
                site.put_config(|_| {});
                site.store.truncate_history("keyed.op");
            }
            _ => reset(site),
        }
        let interval_ms = rng.random_range(0..PAUSE_MAX_MS);
        tokio::time::sleep(Duration::from_millis(interval_ms)).await;
    }
    let latest = 2_000_000;
    for it in &site.engines {
        it.write_entry(&site.store, &json!({ "state": "ready", "born": latest }));
    }
    Ok(())
}

fn check(
    site: &Site,
    told: &BTreeMap<String, (Kind, Result<ClientResponse, String>)>,
) -> anyhow::Result<(usize, usize)> {
    let mut n_served = 0;
    let mut ran: BTreeMap<String, usize> = BTreeMap::new();
    for it in site
        .engines
        .iter()
        .chain(&site.applications)
        .flat_map(crate::users_platform::Upstream::executed)
    {
        ensure!(it.header("x-tenant") == "etna", "{}: team {:?}", it.id, it.header("x-tenant"));
        ensure!(it.header("authorization").is_empty(), "{}: the key was passed on", it.id);
        *ran.entry(it.id).or_default() += 1;
    }
    for (id, (kind, answer)) in told {
        let n_runs = ran.get(id).copied().unwrap_or(0);
        if !kind.may_repeat() && 1 < n_runs {
            bail!("{id}: {kind:?} ran {n_runs} times");
        }
        let Ok(answer) = answer else { continue };
        match answer.status {
            200 => {
                n_served += 1;
                check_success(id, *kind, answer)?;
            }
            408 | 421 | 429 | 503 if !kind.may_repeat() => {
                ensure!(n_runs == 0, "{id}: told {} and ran {n_runs} times", answer.status);
            }
            408 | 421 | 429 | 500 | 502 | 503 | 504 => {}
            status => bail!("{id}: status {status}"),
        }
    }
    Ok((n_served, told.len()))
}

fn check_success(id: &str, kind: Kind, answer: &ClientResponse) -> anyhow::Result<()> {
    ensure!(answer.header("x-attempt-id") == id, "{id}: another request's answer");
    ensure!(answer.header("x-server-stamp").starts_with("stamp."), "{id}: no upstream's answer");
    if matches!(kind, Kind::Once | Kind::Idempotent) {
        let is_own = answer.body.starts_with(b"answer of ");
        ensure!(answer.is_complete && is_own, "{id}: {answer:?}");
        return Ok(());
    }
    let ids = answer.event_ids();
    let is_prefix = ids.iter().copied().eq(1..=ids.len() as u64);
    ensure!(is_prefix, "{id}: events {ids:?}");
    ensure!(
        !answer.is_complete || ids.len() as u64 == N_EVENTS,
        "{id}: ends early as if whole: {ids:?}"
    );
    Ok(())
}
