//! Asks a running node where it would send a request now, and why.

use std::net::SocketAddr;

use anyhow::Context as _;
use tokio::runtime::Runtime;

use lentilhitch_gateway::explain::{Explanation, PATH, Query, Rejection, ServiceExplanation};
use lentilhitch_types::SegmentId;

use crate::{
    args,
    commands::{ADMIN_TIMEOUT, ExitStatus},
};

/// Candidates that are shown unless the operator asks for another number.
const CANDIDATES_DEFAULT: usize = 10;

pub(super) fn explain(admin: SocketAddr, args: &args::Explain) -> anyhow::Result<ExitStatus> {
    anyhow::ensure!(args.id_and_files.is_empty(), "--admin asks a node and reads no log files");
    let query = query(args)?;
    let text = Runtime::new()?.block_on(ask(admin, &query))?;
    let explanation: Explanation =
        serde_json::from_str(&text).with_context(|| format!("unreadable answer of {admin}"))?;
    if args.json {
        println!("{}", serde_json::to_string_pretty(&explanation)?);
    } else {
        print_table(&explanation);
    }
    Ok(ExitStatus::Success)
}

fn query(args: &args::Explain) -> anyhow::Result<Query> {
    let segments = args.segments.as_deref().unwrap_or_default();
    let segments = segments.split(',').filter(|it| !it.is_empty()).map(parse_segment);
    let segments: Vec<_> = segments.collect::<anyhow::Result<_>>()?;
    let team = args.team.as_deref().map(str::parse).transpose().context("--team")?;
    let stated: u64 = segments.iter().map(|it| u64::from(it.1)).sum();
    anyhow::ensure!(
        args.input_tokens.is_none_or(|it| stated <= it),
        "--input-tokens is less than the {stated} tokens of the segments"
    );
    Ok(Query {
        host: args.host.clone().context("--host is missing")?,
        path: args.path.clone().context("--path is missing")?,
        team,
        priority: args.priority,
        input_tokens: args.input_tokens.or((!segments.is_empty()).then_some(stated)),
        segments,
        output_tokens: args.output_tokens.unwrap_or_default(),
        deadline_ms: args.deadline_ms,
        candidates_max: args.candidates.unwrap_or(CANDIDATES_DEFAULT),
    })
}

/// Parses a segment: hexadecimal id and number of tokens, as in `5c1e07a2:800`.
fn parse_segment(text: &str) -> anyhow::Result<(SegmentId, u32)> {
    let error = || format!("--segments: {text:?} is no ID:TOKENS");
    let (id, tokens) = text.split_once(':').with_context(error)?;
    Ok((id.parse().with_context(error)?, tokens.parse().with_context(error)?))
}

async fn ask(admin: SocketAddr, query: &Query) -> anyhow::Result<String> {
    let http = reqwest::Client::builder().no_proxy().timeout(ADMIN_TIMEOUT).build()?;
    let response = http.post(format!("http://{admin}{PATH}")).json(query).send().await;
    let response = response.with_context(|| format!("no node answers at {admin}"))?;
    let status = response.status();
    let text = response.text().await.with_context(|| format!("the answer of {admin} broke off"))?;
    anyhow::ensure!(status.is_success(), "{admin}: {text} (status {status})");
    Ok(text)
}

fn print_table(explanation: &Explanation) {
    let team = explanation.team.as_ref().map_or("none", |it| it.as_str());
    println!(
        "{}: route {} of configuration {}, team {team}, priority {}, {} ms left",
        explanation.instance,
        explanation.route,
        explanation.config_version,
        explanation.priority,
        explanation.remaining_ms
    );
    print_rejection(explanation.rejection.as_ref());
    for it in &explanation.services {
        print_service(it);
    }
}

fn print_service(service: &ServiceExplanation) {
    let ServiceExplanation { name, weight, n_ready, n_available, .. } = service;
    println!("service {name}, weight {weight}: {n_ready} ready, {n_available} available");
    if let (Some(expected_ms), Some(limit_ms)) = (service.expected_wait_ms, service.wait_limit_ms) {
        println!("  first token expected after {expected_ms:.0} ms, limit {limit_ms:.0} ms");
    }
    if let Some(it) = &service.rank {
        println!("  rank {:.2}, threshold {:.2}", it.rank, it.threshold);
    }
    if let Some(it) = &service.version_side {
        println!("  versions: {it}");
    }
    print_rejection(service.rejection.as_ref());
    if !service.candidates.is_empty() {
        println!(
            "  {:20} {:8} {:8} {:>4} {:>8} {:>8} {:>8} {:>9} {:>8} {:>9} {:>8} {:>5} {:>5}",
            "upstream",
            "zone",
            "version",
            "hash",
            "cost",
            "failures",
            "zone +",
            "first ms",
            "uncached",
            "requests",
            "waiting",
            "slots",
            "pace"
        );
    }
    for it in &service.candidates {
        let rank = it.hash_rank.map_or("-".to_owned(), |it| it.to_string());
        let pace = it.pace.map_or("-".to_owned(), |it| format!("{it:.0}"));
        let ejected = if it.is_ejected { " ejected" } else { "" };
        println!(
            "  {:20} {:8} {:8} {rank:>4} {:>8.1} {:>8.1} {:>8.1} {:>9.1} {:>8} {:>9} {:>8} {:>5} {pace:>5}{ejected}",
            it.upstream.as_str(),
            it.zone.as_str(),
            it.version,
            it.cost,
            it.failure_cost,
            it.zone_cost,
            it.first_token_ms,
            it.uncached_tokens,
            it.n_requests,
            it.waiting_tokens,
            it.slots
        );
    }
}

fn print_rejection(rejection: Option<&Rejection>) {
    if let Some(Rejection { status, reason, retry_after_ms: (min, max) }) = rejection {
        println!("  rejected with status {status}: {reason}; Retry-After {min} to {max} ms");
    }
}
