//! Records a trace from the running system: stand-in engines under a seeded load, with a reclaim of one zone. The price
//! change of the trace is added to the record and does not take place in the run.

use std::{path::Path, sync::Arc, time::Duration};

use anyhow::bail;
use eventsource_stream::Eventsource;
use futures_util::StreamExt;
use parking_lot::Mutex;
use rand::{RngExt, SeedableRng, rngs::SmallRng};
use tokio::time::{Instant, sleep_until};

use crate::{
    harness::{Cluster, DURABLE_MODEL, Options, TOKEN},
    trace::{Arrival, Engine, Event, EventKind, Trace},
};

const N_ZONES: usize = 4;
const DURATION_MS: u64 = 30_000;
/// Time from the notice of a reclaim to the exit of the engines.
const NOTICE_MS: u64 = 2_000;
const RECLAIM_AT_MS: u64 = 10_000;
const RESTART_AT_MS: u64 = 18_000;
const PRICE_CHANGE_AT_MS: u64 = 20_000;
const RECLAIMED_ZONE: usize = 1;

/// A kind of request: its percentage of all requests, and the ranges of its shared prompt tokens, its other prompt
/// tokens and its output tokens.
type RequestKind = (u32, [u64; 2], [u64; 2], [u64; 2]);

/// Properties of a deployment.
struct Deployment {
    n_engines: usize,
    /// One-way network latency between two zones, in milliseconds.
    network_ms: f64,
    arrivals_per_s: f64,
    /// Cost of each recomputed token, in milliseconds.
    recomputed_token_ms: f64,
    /// Cost of each millionth of a dollar, in milliseconds.
    microusd_ms: f64,
    n_conversations: u64,
    /// Kinds of requests. Their percentages add up to 100.
    request_kinds: [RequestKind; 3],
}

/// Returns the deployment with this name.
fn deployment(name: &str) -> anyhow::Result<Deployment> {
    match name {
        // Reviews of complete manuscripts, paragraph by paragraph, and labels for excerpts.
        "trinacria" => Ok(Deployment {
            n_engines: 12,
            network_ms: 0.5,
            arrivals_per_s: 22.0,
            recomputed_token_ms: 0.1,
            microusd_ms: 0.1,
            n_conversations: 40,
            request_kinds: [
                (45, [1_500, 4_000], [100, 300], [40, 80]),
                (15, [400, 800], [50, 200], [30, 60]),
                (40, [0, 1], [40, 120], [4, 12]),
            ],
        }),
        // Drafts from a few templates, short questions and tags.
        "khao-rai" => Ok(Deployment {
            n_engines: 20,
            network_ms: 1.5,
            arrivals_per_s: 36.0,
            recomputed_token_ms: 0.03,
            microusd_ms: 0.4,
            n_conversations: 8,
            request_kinds: [
                (30, [400, 800], [600, 1_600], [60, 160]),
                (55, [0, 1], [60, 200], [20, 40]),
                (15, [0, 1], [80, 120], [4, 8]),
            ],
        }),
        _ => bail!("unknown deployment {name:?}: expected trinacria or khao-rai"),
    }
}

impl Deployment {
    /// Generates the requests and their arrival times in milliseconds, with exponentially distributed intervals.
    fn arrivals(&self, rng: &mut SmallRng) -> Vec<(u64, Arrival)> {
        let shared_seeds: Vec<u64> =
            (0..self.n_conversations).map(|_| rng.random_range(0..u64::from(u32::MAX))).collect();
        let mut arrivals = Vec::new();
        let mut at_ms = 0.0;
        loop {
            at_ms += -rng.random_range(1e-9..1.0_f64).ln() * 1000.0 / self.arrivals_per_s;
            if DURATION_MS as f64 <= at_ms {
                break;
            }
            let mut draw = rng.random_range(0..100);
            let kind = self.request_kinds.iter().find(|it| {
                let is_chosen = draw < it.0;
                draw = draw.saturating_sub(it.0);
                is_chosen
            });
            let (_, shared_range, other_range, output_range) =
                kind.unwrap_or(&self.request_kinds[2]);
            let conversation = rng.random_range(0..self.n_conversations);
            // All requests of one kind in a conversation have the same number of shared tokens.
            let n_lengths = shared_range[1] - shared_range[0];
            let shared_tokens = if n_lengths <= 1 {
                0
            } else {
                shared_range[0] + shared_seeds[conversation as usize] % n_lengths
            };
            arrivals.push((
                at_ms as u64,
                Arrival {
                    conversation,
                    shared_tokens,
                    prompt_tokens: shared_tokens + rng.random_range(other_range[0]..other_range[1]),
                    output_tokens: rng.random_range(output_range[0]..output_range[1]),
                    entry: rng.random_range(0..N_ZONES),
                    measured_first_token_ms: None,
                },
            ));
        }
        arrivals
    }
}

/// Runs a deployment under load for half a minute, and writes a trace with the requests and the latencies that clients
/// measured.
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
    let first_token_times = Arc::new(Mutex::new(vec![None; arrivals.len()]));
    let started = Instant::now();
    let mut running = Vec::new();
    let mut next_idx = 0;
    for (step_at_ms, step) in
        [(RECLAIM_AT_MS, "reclaim"), (RESTART_AT_MS, "back"), (DURATION_MS + 1, "end")]
    {
        while next_idx < arrivals.len() && arrivals[next_idx].0 < step_at_ms {
            let (at_ms, arrival) = arrivals[next_idx];
            sleep_until(started + Duration::from_millis(at_ms)).await;
            let request = request(&cluster, next_idx, &arrival);
            running.push(tokio::spawn(measure_first_token(
                request,
                next_idx,
                first_token_times.clone(),
            )));
            next_idx += 1;
        }
        sleep_until(started + Duration::from_millis(step_at_ms)).await;
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
    let first_token_times = first_token_times.lock().clone();
    let trace = build_trace(name, seed, &deployment, &arrivals, &first_token_times);
    trace.save(file)?;
    let n_answered = first_token_times.iter().flatten().count();
    println!("{}: {} requests, {n_answered} answered", file.display(), arrivals.len());
    Ok(())
}

/// Builds the request of an arrival. Its prompt repeats one word for the shared tokens and another one for the rest.
fn request(cluster: &Cluster, idx: usize, arrival: &Arrival) -> reqwest::RequestBuilder {
    let repeat_word = |it: &str, n: u64| format!("{it} ").repeat(n as usize);
    let shared = repeat_word(&format!("s{}", arrival.conversation), arrival.shared_tokens);
    let prompt =
        shared + &repeat_word(&format!("r{idx}"), arrival.prompt_tokens - arrival.shared_tokens);
    let body = serde_json::json!({ "model": DURABLE_MODEL, "prompt": prompt, "max_tokens": arrival.output_tokens, "stream": true });
    let url = format!("http://{}/v1/completions", cluster.entries[arrival.entry].front);
    cluster.http.post(url).bearer_auth(TOKEN).json(&body)
}

/// Sends a request, records the time to its first token and reads its stream to the end. Prints an error if the
/// request fails or the stream is incomplete.
async fn measure_first_token(
    request: reqwest::RequestBuilder,
    idx: usize,
    first_token_times: Arc<Mutex<Vec<Option<u64>>>>,
) {
    let started = Instant::now();
    let response = match request.send().await {
        Ok(response) if response.status().is_success() => response,
        rejected => return eprintln!("request {idx}: no successful response: {rejected:?}"),
    };
    let mut events = response.bytes_stream().eventsource();
    if let Some(Ok(_)) = events.next().await {
        first_token_times.lock()[idx] = Some(started.elapsed().as_millis() as u64);
    }
    let mut last_data = None;
    while let Some(Ok(event)) = events.next().await {
        last_data = Some(event.data);
    }
    if last_data.as_deref() != Some("[DONE]") {
        eprintln!("request {idx}: stream incomplete: the last event is {last_data:?}");
    }
}

/// Builds the trace from the requests and their measured times, with the reclaim and a price change.
fn build_trace(
    name: &str,
    seed: u64,
    deployment: &Deployment,
    arrivals: &[(u64, Arrival)],
    first_token_times: &[Option<u64>],
) -> Trace {
    let engine_of = |idx: usize| Engine {
        zone: idx % N_ZONES,
        // Prices differ between zones.
        price_microusd_per_hour: 600_000 + 200_000 * (idx % N_ZONES) as u64,
        slots: 64,
        prefill_tokens_per_s: 8_000.0,
        decode_ms: 10.0,
    };
    let arrival_event = |(it, first_token_ms): (&(u64, Arrival), &Option<u64>)| Event {
        at_ms: it.0,
        kind: EventKind::Arrival(Arrival { measured_first_token_ms: *first_token_ms, ..it.1 }),
    };
    let mut events: Vec<_> = arrivals.iter().zip(first_token_times).map(arrival_event).collect();
    for engine in (0..deployment.n_engines).filter(|it| it % N_ZONES == RECLAIMED_ZONE) {
        let kind = EventKind::Notice {
            engine,
            stopped_ms: RECLAIM_AT_MS + NOTICE_MS,
            restarted_ms: RESTART_AT_MS,
        };
        events.push(Event { at_ms: RECLAIM_AT_MS, kind });
    }
    events.push(Event {
        at_ms: PRICE_CHANGE_AT_MS,
        kind: EventKind::Price { zone: 0, price_microusd_per_hour: 1_800_000 },
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
        engines: (0..deployment.n_engines).map(engine_of).collect(),
        events,
    }
}
