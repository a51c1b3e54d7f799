//! Records a trace from the running system: stand-in engines under a seeded load, with a reclaim and a price change.

use std::{path::Path, sync::Arc, time::Duration};

use anyhow::bail;
use eventsource_stream::Eventsource;
use futures_util::StreamExt;
use parking_lot::Mutex;
use rand::{RngExt, SeedableRng, rngs::SmallRng};
use tokio::time::{Instant, sleep_until};

use crate::{
    harness::{Cluster, DURABLE_MODEL, Options, TOKEN},
    trace::{Arrival, Engine, Event, Kind, Trace},
};

const N_ZONES: usize = 4;
const DURATION_MS: u64 = 30_000;
const NOTICE_MS: u64 = 2_000;
const RECLAIM_AT_MS: u64 = 10_000;
const BACK_AT_MS: u64 = 18_000;
const PRICE_AT_MS: u64 = 20_000;
const RECLAIMED_ZONE: usize = 1;

/// A kind of request: its chance in 100, and ranges of shared, own and output tokens.
type Share = (u32, [u64; 2], [u64; 2], [u64; 2]);

/// What is particular to a deployment.
struct Deployment {
    n_engines: usize,
    network_ms: f64,
    arrivals_per_s: f64,
    recomputed_token_ms: f64,
    microusd_ms: f64,
    n_conversations: u64,
    /// Chance in 100, range of shared tokens, range of own tokens, range of output tokens.
    mix: [Share; 3],
}

fn deployment(name: &str) -> anyhow::Result<Deployment> {
    match name {
        // Whole manuscripts paragraph by paragraph, and labels for excerpts.
        "trinacria" => Ok(Deployment {
            n_engines: 12,
            network_ms: 0.5,
            arrivals_per_s: 22.0,
            recomputed_token_ms: 0.1,
            microusd_ms: 0.1,
            n_conversations: 40,
            mix: [
                (45, [1_500, 4_000], [100, 300], [40, 80]),
                (15, [400, 800], [50, 200], [30, 60]),
                (40, [0, 1], [40, 120], [4, 12]),
            ],
        }),
        // Drafts from a few templates, quick questions, tags.
        "khao-rai" => Ok(Deployment {
            n_engines: 20,
            network_ms: 1.5,
            arrivals_per_s: 36.0,
            recomputed_token_ms: 0.03,
            microusd_ms: 0.4,
            n_conversations: 8,
            mix: [
                (30, [400, 800], [600, 1_600], [60, 160]),
                (55, [0, 1], [60, 200], [20, 40]),
                (15, [0, 1], [80, 120], [4, 8]),
            ],
        }),
        _ => bail!("{name:?} is none of trinacria, khao-rai"),
    }
}

impl Deployment {
    fn arrivals(&self, rng: &mut SmallRng) -> Vec<(u64, Arrival)> {
        let shared: Vec<u64> =
            (0..self.n_conversations).map(|_| rng.random_range(0..u64::from(u32::MAX))).collect();
        let mut arrivals = Vec::new();
        let mut at_ms = 0.0;
        loop {
            at_ms += -rng.random_range(1e-9..1.0_f64).ln() * 1000.0 / self.arrivals_per_s;
            if DURATION_MS as f64 <= at_ms {
                break;
            }
            let mut chance = rng.random_range(0..100);
            let kind = self.mix.iter().find(|it| {
                let is_it = chance < it.0;
                chance = chance.saturating_sub(it.0);
                is_it
            });
            let (_, shared_range, own, output) = kind.unwrap_or(&self.mix[2]);
            let conversation = rng.random_range(0..self.n_conversations);
            // The shared part of a conversation always has one length.
            let span = shared_range[1] - shared_range[0];
            let shared_tokens =
                if span <= 1 { 0 } else { shared_range[0] + shared[conversation as usize] % span };
            arrivals.push((
                at_ms as u64,
                Arrival {
                    conversation,
                    shared_tokens,
                    prompt_tokens: shared_tokens + rng.random_range(own[0]..own[1]),
                    output_tokens: rng.random_range(output[0]..output[1]),
                    entry: rng.random_range(0..N_ZONES),
                    seen_first_token_ms: None,
                },
            ));
        }
        arrivals
    }
}

/// Runs the deployment for half a minute and writes what came and what was seen.
pub async fn run(name: &str, seed: u64, file: &Path) -> anyhow::Result<()> {
    let deployment = deployment(name)?;
    let options = Options {
        n_engines: deployment.n_engines,
        n_applications: 0,
        n_entries: N_ZONES,
        n_zones: N_ZONES,
        decode_ms: 10,
        prefill_tokens_per_s: 8_000.0,
        is_direct: true,
        ..Options::default()
    };
    let mut cluster = Cluster::start_ready(options).await?;
    let arrivals = deployment.arrivals(&mut SmallRng::seed_from_u64(seed));
    let answered = Arc::new(Mutex::new(vec![None; arrivals.len()]));
    let begun = Instant::now();
    let mut running = Vec::new();
    let mut next = 0;
    for (pause_ms, step) in
        [(RECLAIM_AT_MS, "reclaim"), (BACK_AT_MS, "back"), (DURATION_MS + 1, "end")]
    {
        while next < arrivals.len() && arrivals[next].0 < pause_ms {
            let (at_ms, arrival) = arrivals[next];
            sleep_until(begun + Duration::from_millis(at_ms)).await;
            let request = request(&cluster, next, &arrival);
            running.push(tokio::spawn(first_token(request, next, answered.clone())));
            next += 1;
        }
        sleep_until(begun + Duration::from_millis(pause_ms)).await;
        let reclaimed: Vec<_> =
            (0..deployment.n_engines).filter(|it| it % N_ZONES == RECLAIMED_ZONE).collect();
        for engine in reclaimed {
            match step {
                "reclaim" => {
                    let notice = serde_json::json!({ "is_leaving": true, "exit_in_ms": NOTICE_MS });
                    cluster.set_faults(cluster.engines[engine].address, &notice).await?;
                }
                "back" => cluster.restart_engine(engine)?,
                _ => {}
            }
        }
    }
    futures_util::future::join_all(running).await;
    let answered = answered.lock().clone();
    let trace = trace(name, seed, &deployment, &arrivals, &answered);
    trace.save(file)?;
    let n_seen = answered.iter().flatten().count();
    println!("{}: {} requests, {n_seen} answered", file.display(), arrivals.len());
    Ok(())
}

fn request(cluster: &Cluster, idx: usize, arrival: &Arrival) -> reqwest::RequestBuilder {
    let word = |it: &str, n: u64| format!("{it} ").repeat(n as usize);
    let shared = word(&format!("s{}", arrival.conversation), arrival.shared_tokens);
    let prompt = shared + &word(&format!("r{idx}"), arrival.prompt_tokens - arrival.shared_tokens);
    let body = serde_json::json!({ "model": DURABLE_MODEL, "prompt": prompt, "max_tokens": arrival.output_tokens, "stream": true });
    let url = format!("http://{}/v1/completions", cluster.entries[arrival.entry].front);
    cluster.http.post(url).bearer_auth(TOKEN).json(&body)
}

async fn first_token(
    request: reqwest::RequestBuilder,
    idx: usize,
    seen: Arc<Mutex<Vec<Option<u64>>>>,
) {
    let begun = Instant::now();
    let response = match request.send().await {
        Ok(response) if response.status().is_success() => response,
        refused => return eprintln!("request {idx}: {refused:?}"),
    };
    let mut events = response.bytes_stream().eventsource();
    if let Some(Ok(_)) = events.next().await {
        seen.lock()[idx] = Some(begun.elapsed().as_millis() as u64);
    }
    let mut last = None;
    while let Some(Ok(event)) = events.next().await {
        last = Some(event.data);
    }
    if last.as_deref() != Some("[DONE]") {
        eprintln!("request {idx}: not whole: {last:?}");
    }
}

fn trace(
    name: &str,
    seed: u64,
    deployment: &Deployment,
    arrivals: &[(u64, Arrival)],
    answered: &[Option<u64>],
) -> Trace {
    let engine = |idx: usize| Engine {
        zone: idx % N_ZONES,
        // The zones differ in price.
        price_microusd_per_hour: 600_000 + 200_000 * (idx % N_ZONES) as u64,
        slots: 64,
        prefill_tokens_per_s: 8_000.0,
        decode_ms: 10.0,
    };
    let arrival = |(it, seen): (&(u64, Arrival), &Option<u64>)| Event {
        at_ms: it.0,
        kind: Kind::Arrival(Arrival { seen_first_token_ms: *seen, ..it.1 }),
    };
    let mut events: Vec<_> = arrivals.iter().zip(answered).map(arrival).collect();
    for engine in (0..deployment.n_engines).filter(|it| it % N_ZONES == RECLAIMED_ZONE) {
        let kind = Kind::Notice { engine, gone_ms: RECLAIM_AT_MS + NOTICE_MS, back_ms: BACK_AT_MS };
        events.push(Event { at_ms: RECLAIM_AT_MS, kind });
    }
    events.push(Event {
        at_ms: PRICE_AT_MS,
        kind: Kind::Price { zone: 0, price_microusd_per_hour: 1_800_000 },
    });
    events.sort_by_key(|it| it.at_ms);
    Trace {
        deployment: name.to_owned(),
        seed,
        network_ms: deployment.network_ms,
        target_ms: 710.0,
        recomputed_token_ms: deployment.recomputed_token_ms,
        microusd_ms: deployment.microusd_ms,
        n_entries: N_ZONES,
        engines: (0..deployment.n_engines).map(engine).collect(),
        events,
    }
}
