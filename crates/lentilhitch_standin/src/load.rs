//! What an entry process adds to a direct call, measured in one run against the same stand-in.

use std::time::{Duration, Instant};

use eventsource_stream::Eventsource;
use futures_util::{StreamExt, stream};
use hdrhistogram::Histogram;

use crate::harness::{Cluster, INTERACTIVE_MODEL, Options};

const N_TOKENS: usize = 50;
const DECODE_MS: u64 = 10;
const LONGEST_US: u64 = 600_000_000;

/// Times of one way, in microseconds.
struct Times {
    first_token_us: Histogram<u64>,
    between_tokens_us: Histogram<u64>,
    n_failed: usize,
}

impl Times {
    fn new() -> anyhow::Result<Self> {
        Ok(Self {
            first_token_us: Histogram::new_with_bounds(1, LONGEST_US, 3)?,
            between_tokens_us: Histogram::new_with_bounds(1, LONGEST_US, 3)?,
            n_failed: 0,
        })
    }

    fn row(&self, name: &str) -> String {
        let at = |it: &Histogram<u64>, q: f64| it.value_at_quantile(q) as f64 / 1000.0;
        format!(
            "{name:8} first token {:7.2} {:7.2} ms   between tokens {:7.2} {:7.2} ms   failed {}",
            at(&self.first_token_us, 0.5),
            at(&self.first_token_us, 0.99),
            at(&self.between_tokens_us, 0.5),
            at(&self.between_tokens_us, 0.99),
            self.n_failed
        )
    }
}

/// Runs `n_requests` streams each way, `n_streams` at once, and prints times at 50 and 99 in 100.
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
    let (mut direct_times, mut through_times) = (Times::new()?, Times::new()?);
    // In turns, so that whatever else the machine does falls on both.
    let n_rounds = 4;
    let cpu_before_ms = cluster.entries[0].process.cpu_ms();
    for _ in 0..n_rounds {
        one_way(&cluster, &direct, n_streams, n_requests / n_rounds, &mut direct_times).await;
        one_way(&cluster, &through, n_streams, n_requests / n_rounds, &mut through_times).await;
    }
    let cpu_ms = cluster.entries[0].process.cpu_ms() - cpu_before_ms;
    println!(
        "{n_streams} streams at once, {n_requests} in all each way, {N_TOKENS} tokens of {DECODE_MS} ms; at 50 and 99 in 100:"
    );
    println!("{}\n{}", direct_times.row("direct"), through_times.row("through"));
    let added = |quantile| {
        let of = |it: &Times| it.first_token_us.value_at_quantile(quantile) as f64 / 1000.0;
        of(&through_times) - of(&direct_times)
    };
    println!(
        "added to the first token: {:.2} ms at 50, {:.2} ms at 99 in 100",
        added(0.5),
        added(0.99)
    );
    let n_tokens = (n_requests * N_TOKENS) as f64;
    println!(
        "processor time of the entry process: {:.1} us a token",
        cpu_ms as f64 * 1000.0 / n_tokens
    );
    memory(&cluster).await
}

async fn one_way(
    cluster: &Cluster,
    url: &str,
    n_streams: usize,
    n_requests: usize,
    times: &mut Times,
) {
    let runs = stream::iter(0..n_requests).map(|idx| one(cluster, url, idx));
    let mut runs = runs.buffer_unordered(n_streams);
    while let Some(run) = runs.next().await {
        let Some((first, between)) = run else {
            times.n_failed += 1;
            continue;
        };
        times.first_token_us.saturating_record(first.as_micros() as u64);
        for gap in between {
            times.between_tokens_us.saturating_record(gap.as_micros() as u64);
        }
    }
}

async fn one(cluster: &Cluster, url: &str, idx: usize) -> Option<(Duration, Vec<Duration>)> {
    let body = serde_json::json!({ "model": INTERACTIVE_MODEL, "prompt": format!("load {idx}"), "max_tokens": N_TOKENS, "stream": true });
    let begun = Instant::now();
    let request = cluster.http.post(url).bearer_auth(crate::harness::TOKEN).json(&body);
    let response = request.send().await.ok()?.error_for_status().ok()?;
    let mut events = response.bytes_stream().eventsource();
    let (mut first, mut last, mut between) = (None, begun, Vec::new());
    while let Some(Ok(event)) = events.next().await {
        if event.data == "[DONE]" {
            break;
        }
        let now = Instant::now();
        if first.is_some() {
            between.push(now - last);
        }
        first.get_or_insert(now - begun);
        last = now;
    }
    first.map(|it| (it, between))
}

/// Memory for each open stream.
async fn memory(cluster: &Cluster) -> anyhow::Result<()> {
    const N_OPEN: usize = 400;
    let before_kib = cluster.entries[0].process.resident_kib();
    let url = format!("http://{}/v1/completions", cluster.entries[0].front);
    let open = (0..N_OPEN).map(|it| {
        let prompt = format!("open {it} {}", "word ".repeat(200));
        let body = serde_json::json!({ "model": INTERACTIVE_MODEL, "prompt": prompt, "max_tokens": 400, "stream": true });
        cluster.http.post(&url).bearer_auth(crate::harness::TOKEN).json(&body).send()
    });
    let open = futures_util::future::try_join_all(open).await?;
    tokio::time::sleep(Duration::from_millis(500)).await;
    let grown_kib = cluster.entries[0].process.resident_kib().saturating_sub(before_kib);
    println!(
        "memory of the entry process: {before_kib} KiB, and {:.1} KiB for each of {N_OPEN} open streams",
        grown_kib as f64 / N_OPEN as f64
    );
    drop(open);
    Ok(())
}
