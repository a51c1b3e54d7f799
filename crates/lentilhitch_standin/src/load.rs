//! Measures what an entry process adds to a direct call in latency, processor time and memory. Direct calls and calls
//! through the entry process run against the same stand-in in one run.

use std::time::{Duration, Instant};

use eventsource_stream::Eventsource;
use futures_util::{StreamExt, stream};
use hdrhistogram::Histogram;

use crate::harness::{Cluster, INTERACTIVE_MODEL, Options};

const N_TOKENS: usize = 50;
const DECODE_MS: u64 = 10;
/// Upper limit of the histograms. Longer times are recorded as this value.
const RECORDED_MAX_US: u64 = 600_000_000;

/// Measured times of the direct calls, or of the calls through the entry process.
struct Latencies {
    first_token_us: Histogram<u64>,
    between_tokens_us: Histogram<u64>,
    n_failed: usize,
}

impl Latencies {
    fn new() -> anyhow::Result<Self> {
        Ok(Self {
            first_token_us: Histogram::new_with_bounds(1, RECORDED_MAX_US, 3)?,
            between_tokens_us: Histogram::new_with_bounds(1, RECORDED_MAX_US, 3)?,
            n_failed: 0,
        })
    }

    /// Returns a line of the printed result: median and 99th percentile of each latency.
    fn row(&self, name: &str) -> String {
        let quantile_ms =
            |it: &Histogram<u64>, quantile: f64| it.value_at_quantile(quantile) as f64 / 1000.0;
        format!(
            "{name:8} first token {:7.2} {:7.2} ms   between tokens {:7.2} {:7.2} ms   failed {}",
            quantile_ms(&self.first_token_us, 0.5),
            quantile_ms(&self.first_token_us, 0.99),
            quantile_ms(&self.between_tokens_us, 0.5),
            quantile_ms(&self.between_tokens_us, 0.99),
            self.n_failed
        )
    }
}

/// Runs `n_requests` direct streams and as many through an entry process, `n_streams` of them concurrently. Prints the
/// median and the 99th percentile of the latencies.
pub async fn run(n_streams: usize, n_requests: usize) -> anyhow::Result<()> {
    let options = Options {
        n_engines: 1,
        n_applications: 0,
        n_entries: 1,
        decode_ms: DECODE_MS,
        is_direct: true,
        prefill_tokens_per_s: 1e6,
        ..Options::default()
    };
    let cluster = Cluster::start_ready(options).await?;
    let direct = format!("http://{}/v1/completions", cluster.engines[0].address);
    let through = format!("http://{}/v1/completions", cluster.entries[0].front);
    let (mut direct_latencies, mut through_latencies) = (Latencies::new()?, Latencies::new()?);
    // Direct and relayed streams alternate in rounds, so that other load on the machine affects both.
    let n_rounds = 4;
    let cpu_before_ms = cluster.entries[0].process.cpu_ms();
    for _ in 0..n_rounds {
        measure_streams(&cluster, &direct, n_streams, n_requests / n_rounds, &mut direct_latencies)
            .await;
        measure_streams(
            &cluster,
            &through,
            n_streams,
            n_requests / n_rounds,
            &mut through_latencies,
        )
        .await;
    }
    let cpu_ms = cluster.entries[0].process.cpu_ms() - cpu_before_ms;
    println!(
        "{n_streams} streams at once, {n_requests} in all each way, {N_TOKENS} tokens of {DECODE_MS} ms; at 50 and 99 in 100:"
    );
    println!("{}\n{}", direct_latencies.row("direct"), through_latencies.row("through"));
    let added_ms = |quantile| {
        let first_token_ms =
            |it: &Latencies| it.first_token_us.value_at_quantile(quantile) as f64 / 1000.0;
        first_token_ms(&through_latencies) - first_token_ms(&direct_latencies)
    };
    println!(
        "added to the first token: {:.2} ms at 50, {:.2} ms at 99 in 100",
        added_ms(0.5),
        added_ms(0.99)
    );
    let n_tokens = (n_requests * N_TOKENS) as f64;
    println!(
        "processor time of the entry process: {:.1} us a token",
        cpu_ms as f64 * 1000.0 / n_tokens
    );
    measure_memory(&cluster).await
}

/// Runs streams at a URL, `n_streams` of them concurrently, and records their latencies.
async fn measure_streams(
    cluster: &Cluster,
    url: &str,
    n_streams: usize,
    n_requests: usize,
    latencies: &mut Latencies,
) {
    let runs = stream::iter(0..n_requests).map(|idx| measure_stream(cluster, url, idx));
    let mut results = runs.buffer_unordered(n_streams);
    while let Some(result) = results.next().await {
        let Some((first_token, between_tokens)) = result else {
            latencies.n_failed += 1;
            continue;
        };
        latencies.first_token_us.saturating_record(first_token.as_micros() as u64);
        for interval in between_tokens {
            latencies.between_tokens_us.saturating_record(interval.as_micros() as u64);
        }
    }
}

/// Runs one stream. Returns the time to the first token and the times between tokens, or `None` if the request fails.
async fn measure_stream(
    cluster: &Cluster,
    url: &str,
    idx: usize,
) -> Option<(Duration, Vec<Duration>)> {
    let body = serde_json::json!({ "model": INTERACTIVE_MODEL, "prompt": format!("load {idx}"), "max_tokens": N_TOKENS, "stream": true });
    let started = Instant::now();
    let request = cluster.http.post(url).bearer_auth(crate::harness::TOKEN).json(&body);
    let response = request.send().await.ok()?.error_for_status().ok()?;
    let mut events = response.bytes_stream().eventsource();
    let (mut first_token, mut last_token, mut between_tokens) = (None, started, Vec::new());
    while let Some(Ok(event)) = events.next().await {
        if event.data == "[DONE]" {
            break;
        }
        let now = Instant::now();
        if first_token.is_some() {
            between_tokens.push(now - last_token);
        }
        first_token.get_or_insert(now - started);
        last_token = now;
    }
    first_token.map(|it| (it, between_tokens))
}

/// Measures and prints the memory of the entry process for each open stream.
async fn measure_memory(cluster: &Cluster) -> anyhow::Result<()> {
    const N_OPEN: usize = 400;
    let before_kib = cluster.entries[0].process.resident_kib();
    let url = format!("http://{}/v1/completions", cluster.entries[0].front);
    let requests = (0..N_OPEN).map(|it| {
        let prompt = format!("open {it} {}", "word ".repeat(200));
        let body = serde_json::json!({ "model": INTERACTIVE_MODEL, "prompt": prompt, "max_tokens": 400, "stream": true });
        cluster.http.post(&url).bearer_auth(crate::harness::TOKEN).json(&body).send()
    });
    let open_streams = futures_util::future::try_join_all(requests).await?;
    tokio::time::sleep(Duration::from_millis(500)).await;
    let added_kib = cluster.entries[0].process.resident_kib().saturating_sub(before_kib);
    println!(
        "memory of the entry process: {before_kib} KiB, and {:.1} KiB for each of {N_OPEN} open streams",
        added_kib as f64 / N_OPEN as f64
    );
    drop(open_streams);
    Ok(())
}
