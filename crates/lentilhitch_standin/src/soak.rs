//! Soak test with faults: real nodes serve requests while faults from a seeded generator are injected.
//!
//! The checks use only what clients and upstreams receive:
//!
//! - A request that must not be repeated runs at most once.
//! - A request that is reported to the client as not run did not run, before or after the report.
//! - A successful response comes from an upstream, belongs to the request, and is complete. A stream may end early
//!   only if its connection breaks.
//! - Events arrive in order, each exactly once.
//! - Each request that an upstream receives carries its team.
//! - After the faults, every node serves every kind of request again.

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

/// Settings of a soak test.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    pub seed: u64,
    /// Duration of the faults and of the traffic.
    pub duration: Duration,
    pub n_nodes: usize,
    pub n_clients: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Self { seed: 1, duration: Duration::from_secs(8), n_nodes: 3, n_clients: 8 }
    }
}

/// Results that clients received, by request ID.
type ClientResults = Arc<Mutex<BTreeMap<String, (RequestKind, Result<ClientResponse, String>)>>>;

/// Kind of a request, by the route that it uses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RequestKind {
    AtMostOnce,
    Idempotent,
    Stream,
    ResumableStream,
}

impl RequestKind {
    const ALL: [Self; 4] =
        [Self::AtMostOnce, Self::Idempotent, Self::Stream, Self::ResumableStream];

    fn path(self) -> &'static str {
        match self {
            Self::AtMostOnce => "/book/soak",
            Self::Idempotent => "/status/soak",
            Self::Stream => "/ask/soak",
            Self::ResumableStream => "/review/soak",
        }
    }

    fn is_repeatable(self) -> bool {
        matches!(self, Self::Idempotent | Self::ResumableStream)
    }
}

/// Number of events in a complete stream.
const N_EVENTS: u64 = 12;
/// Longest interval between two faults.
const FAULT_INTERVAL_MAX_MS: u64 = 400;
/// Longest interval between a response and the client's next request.
const CLIENT_INTERVAL_MAX_MS: u64 = 40;

/// Runs one soak test. Returns the number of successful requests and the number of all requests.
pub async fn run(settings: Settings) -> anyhow::Result<(usize, usize)> {
    let options = SiteOptions {
        n_nodes: settings.n_nodes,
        n_engines: 3,
        n_applications: 3,
        ..SiteOptions::default()
    };
    let mut site = Site::start(options).await?;
    reset(&site);
    let results: ClientResults = ClientResults::default();
    let end = Instant::now() + settings.duration;
    let clients: Vec<_> = (0..settings.n_clients)
        .map(|it| tokio::spawn(client(it, settings, site.client(), results.clone(), end)))
        .collect();
    inject_faults(&mut site, settings, end).await?;
    for it in clients {
        it.await?;
    }
    reset(&site);
    site.until_ready().await?;
    for node in 0..settings.n_nodes {
        for kind in RequestKind::ALL {
            let id = format!("after-{node}-{kind:?}");
            until("everything serves again", || async {
                site.call(node, &id, kind.path()).await.is_ok_and(|it| it.status == 200)
            })
            .await?;
        }
    }
    check(&site, &results.lock())
}

/// Removes the faults of the store and of all upstreams.
fn reset(site: &Site) {
    site.store.set_fault(StoreFault::None);
    for it in &site.applications {
        it.set(Behavior::Serve { work_ms: 5 });
    }
    for it in &site.engines {
        it.set(Behavior::Stream { n_events: N_EVENTS, interval_ms: 5, break_after: None });
        it.state_leaving(false);
    }
}

/// Sends requests to random nodes until `end`, and records the results.
async fn client(
    idx: usize,
    settings: Settings,
    client: crate::users_platform::Client,
    results: ClientResults,
    end: Instant,
) {
    let mut rng = SmallRng::seed_from_u64(settings.seed ^ (idx as u64) << 32);
    let mut n_sent = 0;
    while Instant::now() < end {
        let kind = RequestKind::ALL[rng.random_range(0..RequestKind::ALL.len())];
        let node = rng.random_range(0..settings.n_nodes);
        let id = format!("soak-{idx}-{n_sent}");
        n_sent += 1;
        let response = client.call(node, &id, kind.path()).await.map_err(|it| it.to_string());
        results.lock().insert(id, (kind, response));
        let interval_ms = rng.random_range(0..CLIENT_INTERVAL_MAX_MS);
        tokio::time::sleep(Duration::from_millis(interval_ms)).await;
    }
}

/// Injects faults at random intervals until `end`, and then writes all engines' entries as ready.
async fn inject_faults(site: &mut Site, settings: Settings, end: Instant) -> anyhow::Result<()> {
    let mut rng = SmallRng::seed_from_u64(settings.seed);
    site.store.take_copy();
    while Instant::now() < end {
        let node = rng.random_range(0..settings.n_nodes);
        let upstream = rng.random_range(0..site.engines.len());
        match rng.random_range(0..11) {
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
                let freeze_ms = rng.random_range(100..1_500);
                tokio::time::sleep(Duration::from_millis(freeze_ms)).await;
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
                    Behavior::Pause,
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
                let behaviors = [stream, Behavior::Full, Behavior::Pause, Behavior::Drop];
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
            8 => site.engines[upstream].state_leaving(true),
            9 if rng.random_bool(0.5) => site.store.take_copy(),
            9 => {
                site.store.restore();
                // Operators and upstreams write again what the copy lacks.
                site.put_config(|_| {});
                for it in &site.applications {
                    it.write_entry(&site.store, &json!({}));
                }
            }
            _ => reset(site),
        }
        let interval_ms = rng.random_range(0..FAULT_INTERVAL_MAX_MS);
        tokio::time::sleep(Duration::from_millis(interval_ms)).await;
    }
    let newest_born = 2_000_000;
    for it in &site.engines {
        it.write_entry(&site.store, &json!({ "state": "ready", "born": newest_born }));
    }
    Ok(())
}

/// Checks the results of all clients. Returns the number of successful requests and the number of all requests.
fn check(
    site: &Site,
    results: &BTreeMap<String, (RequestKind, Result<ClientResponse, String>)>,
) -> anyhow::Result<(usize, usize)> {
    let mut n_served = 0;
    let mut n_runs_by_id: BTreeMap<String, usize> = BTreeMap::new();
    for it in site
        .engines
        .iter()
        .chain(&site.applications)
        .flat_map(crate::users_platform::Upstream::executed)
    {
        ensure!(it.header("x-tenant") == "etna", "{}: team {:?}", it.id, it.header("x-tenant"));
        ensure!(it.header("authorization").is_empty(), "{}: the API key was forwarded", it.id);
        *n_runs_by_id.entry(it.id).or_default() += 1;
    }
    for (id, (kind, response)) in results {
        let n_runs = n_runs_by_id.get(id).copied().unwrap_or(0);
        if !kind.is_repeatable() && 1 < n_runs {
            bail!("{id}: {kind:?} ran {n_runs} times");
        }
        let Ok(response) = response else { continue };
        match response.status {
            200 => {
                n_served += 1;
                check_success(id, *kind, response)?;
            }
            408 | 421 | 429 | 503 if !kind.is_repeatable() => {
                ensure!(
                    n_runs == 0,
                    "{id}: status {} although it ran {n_runs} times",
                    response.status
                );
            }
            408 | 421 | 429 | 500 | 502 | 503 | 504 => {}
            status => bail!("{id}: status {status}"),
        }
    }
    Ok((n_served, results.len()))
}

fn check_success(id: &str, kind: RequestKind, response: &ClientResponse) -> anyhow::Result<()> {
    ensure!(response.header("x-attempt-id") == id, "{id}: the response belongs to another request");
    ensure!(
        response.header("x-server-stamp").starts_with("stamp."),
        "{id}: the response is not from an upstream"
    );
    if matches!(kind, RequestKind::AtMostOnce | RequestKind::Idempotent) {
        let is_from_upstream = response.body.starts_with(b"answer of ");
        ensure!(response.is_complete && is_from_upstream, "{id}: {response:?}");
        return Ok(());
    }
    let ids = response.event_ids();
    let is_contiguous = ids.iter().copied().eq(1..=ids.len() as u64);
    ensure!(is_contiguous, "{id}: events {ids:?}");
    ensure!(
        !response.is_complete || ids.len() as u64 == N_EVENTS,
        "{id}: the stream ended early as if complete: {ids:?}"
    );
    Ok(())
}
