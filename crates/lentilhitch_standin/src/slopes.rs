//! Measures how the costs of a process grow with the size of the system. `docs/CAPACITY.md` lists the figures.

use std::{fs, hint::black_box, time::Instant};

use serde_json::json;

use lentilhitch_config::{Change, Declaration, PublishRecord, PublishedDeclarations};
use lentilhitch_entry::{Heartbeat, Message};
use lentilhitch_peer::{decode, encode};
use lentilhitch_policy::{
    at_most_once::{ClaimRecord, Claims, StoredResponse},
    fold::{Fold, RecordMeta},
    journal::JournalRecord,
    routing::{ExpectedCost, Load, PrefixIndex, RequestEstimate, Strategy, UpstreamView},
};
use lentilhitch_types::{
    AttemptId, Findings, Fingerprint, Incarnation, InstanceName, LogOffset, RequestId,
};

use crate::harness::{Cluster, Options, resident_kib};

/// A straight line that is fitted to measured points by least squares.
struct Line {
    base: f64,
    slope: f64,
}

impl Line {
    fn fit(points: &[(f64, f64)]) -> Self {
        let n = points.len() as f64;
        let (mean_x, mean_y) = (
            points.iter().map(|it| it.0).sum::<f64>() / n,
            points.iter().map(|it| it.1).sum::<f64>() / n,
        );
        let covariance: f64 = points.iter().map(|it| (it.0 - mean_x) * (it.1 - mean_y)).sum();
        let variance: f64 = points.iter().map(|it| (it.0 - mean_x).powi(2)).sum();
        let slope = covariance / variance;
        Self { base: mean_y - slope * mean_x, slope }
    }
}

/// Prints the line that is fitted to the points, and the points.
fn print(what: &str, unit: &str, per: &str, points: &[(f64, f64)]) {
    let line = Line::fit(points);
    let point_texts: Vec<_> = points.iter().map(|(x, y)| format!("{x:.0}: {y:.1}")).collect();
    println!(
        "{what}: {:.2} {unit} + {:.4} {unit} a {per}   ({})",
        line.base,
        line.slope,
        point_texts.join(", ")
    );
}

/// Measures and prints all slopes. Each measurement of running processes takes `seconds`. At 0 these measurements are
/// skipped.
pub async fn run(seconds: u64) -> anyhow::Result<()> {
    // Memory is measured first, in order of increasing size. Otherwise a measurement would reuse freed memory, and the
    // growth of the process would not show how much it needs.
    measure_configuration()?;
    let index = measure_prefix_index();
    measure_claims();
    drop(index);
    measure_heartbeats()?;
    measure_routing();
    measure_journals()?;
    if seconds == 0 {
        return Ok(());
    }
    measure_processes_by_peers(seconds).await?;
    measure_processes_by_upstreams(seconds).await
}

/// Returns the mean duration of a run in microseconds, over the runs that start within 100 ms.
fn time_us(mut run: impl FnMut()) -> f64 {
    let started = Instant::now();
    let mut n_runs = 0_u32;
    while started.elapsed().as_millis() < 100 {
        run();
        n_runs += 1;
    }
    started.elapsed().as_secs_f64() * 1e6 / f64::from(n_runs)
}

fn measure_heartbeats() -> anyhow::Result<()> {
    let (mut sizes, mut times) = (Vec::new(), Vec::new());
    for n_teams in [0, 5, 20, 50] {
        let demand = (0..n_teams).map(|it| Ok((format!("team-{it}").parse()?, 10.5)));
        let message = Message::Heartbeat(Heartbeat {
            incarnation: Incarnation(1_700_000_000_000),
            is_leaving: false,
            config_next: LogOffset(100_000),
            claims_next: LogOffset(100_000),
            demand: demand.collect::<anyhow::Result<_>>()?,
        });
        let encoded = encode(&message)?;
        sizes.push((f64::from(n_teams), encoded.len() as f64));
        let duration_us = time_us(|| {
            black_box(encode(&message).ok().and_then(|it| decode::<Message>(&it).ok()));
        });
        times.push((f64::from(n_teams), duration_us));
    }
    print("heartbeat, size", "B", "team with demand", &sizes);
    print("heartbeat, written and read", "us", "team with demand", &times);
    Ok(())
}

/// Returns the resident memory of this process in KiB.
fn current_resident_kib() -> f64 {
    resident_kib("/proc/self/status") as f64
}

fn measure_claims() {
    let before_kib = current_resident_kib();
    let mut claims = Claims::default();
    let (mut memory, mut times) = (vec![(0.0, 0.0)], Vec::new());
    let claimant: InstanceName = "entry-1".parse().expect("the name is valid");
    let mut n_claims = 0_u64;
    for n_claims_target in [50_000, 100_000, 200_000] {
        let started = Instant::now();
        let n_before = n_claims;
        while n_claims < n_claims_target {
            let (key, attempt) = (
                Fingerprint::of(&[&n_claims.to_le_bytes()]),
                AttemptId::from_random(u128::from(n_claims)),
            );
            let claim = ClaimRecord::Claim {
                key,
                body: key,
                attempt,
                claimant: InstanceName::clone(&claimant),
            };
            let body = Some("x".repeat(200));
            let response = StoredResponse {
                status: 201,
                content_type: Some("application/json".to_owned()),
                body,
            };
            let batch = vec![claim, ClaimRecord::Outcome { key, attempt, response }];
            claims.apply(RecordMeta { offset: LogOffset(n_claims), appended_ms: 0 }, &batch);
            n_claims += 1;
        }
        times.push((
            n_claims_target as f64,
            started.elapsed().as_secs_f64() * 1e6 / (n_claims - n_before) as f64,
        ));
        memory.push((n_claims_target as f64, current_resident_kib() - before_kib));
    }
    print("claims with answers of 200 B, memory", "KiB", "claim", &memory);
    print("claims, time of one", "us", "claim held", &times);
    let record = serde_json::to_string(&ClaimRecord::Claim {
        key: Fingerprint(u128::MAX),
        body: Fingerprint(u128::MAX),
        attempt: AttemptId::from_random(1),
        claimant,
    });
    println!("claim, size in the log: {} B", record.map_or(0, |it| it.len()));
}

/// Returns the declaration of a language service with this number of upstreams.
fn service_declaration(n_upstreams: usize, idx: usize) -> anyhow::Result<Declaration> {
    let upstreams: Vec<_> = (0..n_upstreams)
        .map(|it| json!({ "upstream": format!("engine-{idx}-{it}"), "address": "10.0.0.1:8000", "zone": "zone-1" }))
        .collect();
    let text = json!({ "service": format!("s{idx}"), "teams": ["t"], "language": { "models": [format!("m{idx}")] }, "upstreams": upstreams });
    let mut findings = Findings::default();
    let declaration = Declaration::parse("slope", &text.to_string(), &mut findings);
    declaration.ok_or_else(|| anyhow::anyhow!("{findings}"))
}

fn measure_configuration() -> anyhow::Result<()> {
    const N_SERVICES: usize = 50;
    let (mut memory, mut times, mut sizes) = (vec![(0.0, 0.0)], Vec::new(), Vec::new());
    // The declarations stay allocated. Otherwise later ones would reuse the freed memory, which would hide how much
    // they need.
    let before_kib = current_resident_kib();
    let mut kept = Vec::new();
    let (mut n_declared, mut text_bytes) = (0, 0);
    for n_upstreams in [10, 100, 400] {
        let texts = (0..N_SERVICES)
            .map(|it| publish_record_text(n_upstreams, it))
            .collect::<anyhow::Result<Vec<_>>>()?;
        let mut published = PublishedDeclarations::default();
        let started = Instant::now();
        for (offset, text) in texts.iter().enumerate() {
            let publish: PublishRecord = serde_json::from_str(text)?;
            published
                .apply(RecordMeta { offset: LogOffset(offset as u64), appended_ms: 0 }, &publish);
        }
        times.push((n_upstreams as f64, started.elapsed().as_secs_f64() * 1e6 / N_SERVICES as f64));
        sizes.push((n_upstreams as f64, texts[0].len() as f64));
        n_declared += n_upstreams * N_SERVICES;
        text_bytes += texts.iter().map(String::len).sum::<usize>();
        memory.push((
            n_declared as f64,
            current_resident_kib() - before_kib - text_bytes as f64 / 1024.0,
        ));
        kept.push((texts, published));
    }
    black_box(&kept);
    print("configuration, memory", "KiB", "declared upstream", &memory);
    print("configuration, one change read and applied", "us", "upstream of the service", &times);
    print("configuration, one change in the log", "B", "upstream of the service", &sizes);
    Ok(())
}

/// Returns the text of the log record that publishes one service.
fn publish_record_text(n_upstreams: usize, idx: usize) -> anyhow::Result<String> {
    let declaration = service_declaration(n_upstreams, idx)?;
    let change = Change { key: declaration.key(), replaces: None, declaration: Some(declaration) };
    let attempt = AttemptId::from_random(1);
    let publish = PublishRecord { attempt, operator: "rosa".to_owned(), changes: vec![change] };
    Ok(serde_json::to_string(&publish)?)
}

fn measure_routing() {
    let mut points = Vec::new();
    for n_replicas in [20, 100, 390, 1_000, 4_000] {
        let view = |idx: u32| UpstreamView {
            load: Load {
                n_requests: idx % 17,
                queued_prompt_tokens: u64::from(idx * 37 % 5_000),
                prefill_tokens_per_s: 8_000.0,
                slots: 64,
            },
            network_ms: 0.5,
            price_microusd_per_hour: 900_000,
            ..UpstreamView::default()
        };
        let views: Vec<_> = (0..n_replicas).map(view).collect();
        let estimate = RequestEstimate {
            prompt_tokens: 4_000,
            first_token_target_ms: 710.0,
            duration_ms: 20_000.0,
        };
        let mut strategy = ExpectedCost::default();
        points.push((
            f64::from(n_replicas),
            time_us(|| {
                black_box(strategy.choose(&estimate, black_box(&views)));
            }),
        ));
    }
    print("routing, one decision", "us", "replica", &points);
}

fn measure_prefix_index() -> PrefixIndex {
    let before_kib = current_resident_kib();
    let mut index = PrefixIndex::new(1_000_000);
    let name = "engine-1".parse().expect("the name is valid");
    let mut points = vec![(0.0, 0.0)];
    for n_blocks in [200_000_u64, 500_000, 1_000_000] {
        index.insert(
            &name,
            &(0..n_blocks).map(|it| it.wrapping_mul(0x9e37_79b9_7f4a_7c15)).collect::<Vec<_>>(),
        );
        points.push((n_blocks as f64, current_resident_kib() - before_kib));
    }
    print("prefix index, memory", "KiB", "block", &points);
    index
}

fn measure_journals() -> anyhow::Result<()> {
    let mut points = Vec::new();
    for n_tokens in [0_u32, 100, 1_000, 4_000] {
        let record = JournalRecord {
            request_id: RequestId::from_random(1),
            team: "ausonia".parse()?,
            service: "review".parse()?,
            fingerprint: Fingerprint(1),
            body: vec![b'x'; 1_000].into(),
            path: "/v1/completions".to_owned(),
            tokens: (0..n_tokens).map(|it| format!(" {it:04x}")).collect(),
            finish_reason: None,
        };
        points.push((f64::from(n_tokens), encode(&Message::CopyStart(record))?.len() as f64));
    }
    print("journal copy with a request of 1000 B, size", "B", "token", &points);
    Ok(())
}

/// Measures the first entry process: processor time in thousandths of a core, bytes sent to peers per second, and
/// resident memory in KiB.
async fn measure_entry_process(cluster: &Cluster, seconds: u64) -> anyhow::Result<(f64, f64, f64)> {
    let entry = &cluster.entries[0];
    let peer_sent_bytes = async || {
        anyhow::Ok(cluster.dump(entry).await?["peer_sent_bytes"].as_f64().unwrap_or_default())
    };
    let (cpu_before_ms, sent_before_bytes) = (entry.process.cpu_ms(), peer_sent_bytes().await?);
    tokio::time::sleep(std::time::Duration::from_secs(seconds)).await;
    let cpu_ms_per_s = (entry.process.cpu_ms() - cpu_before_ms) as f64 / seconds as f64;
    let bytes_per_s = (peer_sent_bytes().await? - sent_before_bytes) / seconds as f64;
    Ok((cpu_ms_per_s, bytes_per_s, entry.process.resident_kib() as f64))
}

async fn measure_processes_by_peers(seconds: u64) -> anyhow::Result<()> {
    let (mut cpu, mut bytes, mut memory) = (Vec::new(), Vec::new(), Vec::new());
    for n_entries in [1, 4, 8, 16] {
        let options = Options {
            n_engines: 1,
            n_applications: 0,
            n_entries,
            is_direct: true,
            ..Options::default()
        };
        let cluster = Cluster::start_ready(options).await?;
        let measured = measure_entry_process(&cluster, seconds).await?;
        let n_peers = (n_entries - 1) as f64;
        cpu.push((n_peers, measured.0));
        bytes.push((n_peers, measured.1));
        memory.push((n_peers, measured.2));
    }
    print("idle process, processor time", "thousandths of a core", "peer", &cpu);
    print("idle process, sent to peers", "B/s", "peer", &bytes);
    print("idle process, memory", "KiB", "peer", &memory);
    Ok(())
}

async fn measure_processes_by_upstreams(seconds: u64) -> anyhow::Result<()> {
    let (mut cpu, mut memory) = (Vec::new(), Vec::new());
    for n_upstreams in [1, 50, 200, 400] {
        let options = Options {
            n_engines: 1,
            n_applications: 0,
            n_entries: 1,
            is_direct: true,
            ..Options::default()
        };
        let cluster = Cluster::start(options).await?;
        let folder = cluster.declarations()?;
        for entry in
            fs::read_dir(&folder)?.flatten().filter(|it| it.file_name() != "team.lentilhitch.json")
        {
            fs::remove_file(entry.path())?;
        }
        // All upstreams have the address of one engine. The entry process polls the load of each upstream.
        let address = cluster.engines[0].address.to_string();
        let upstreams: Vec<_> = (0..n_upstreams)
            .map(|it| json!({ "upstream": format!("engine-{it}"), "address": address, "zone": "zone-1" }))
            .collect();
        let service = json!({ "service": "review", "teams": ["ausonia"], "language": { "models": ["m"] }, "upstreams": upstreams });
        fs::write(folder.join("review.lentilhitch.json"), service.to_string())?;
        let (succeeded, output) = cluster.publish(&folder)?;
        anyhow::ensure!(succeeded, "`lentilhitch publish` failed: {output}");
        let measured = measure_entry_process(&cluster, seconds).await?;
        cpu.push((f64::from(n_upstreams), measured.0));
        memory.push((f64::from(n_upstreams), measured.2));
    }
    print(
        "idle process, processor time",
        "thousandths of a core",
        "upstream asked twice a second",
        &cpu,
    );
    print("idle process, memory", "KiB", "upstream", &memory);
    Ok(())
}
