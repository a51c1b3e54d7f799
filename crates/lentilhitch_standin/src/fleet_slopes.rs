//! Measures how the work and the messages of a node (`lentilhitch edge`) grow with the number of nodes and upstreams.
//! Uses no network. `docs/CAPACITY.md` lists the figures.

use std::{
    hint::black_box,
    net::{Ipv4Addr, SocketAddr, SocketAddrV4},
    time::Instant,
};

use rand::{RngExt as _, SeedableRng as _, rngs::SmallRng};

use lentilhitch_policy::{
    catalog::{self, Catalog},
    gossip::{
        Gossip, Outgoing, Role, Settings, Update,
        message::{LocalState, Message, NodeAddress, NodeReport, StoreCopy, ZoneSummary},
    },
    placement::{self, AttemptResult, InProgress, LoadTable, Prompt, PromptSegment, upstream_hash},
    restrictions::Restrictions,
    traffic::{EntryState, UpstreamEntry},
};
use lentilhitch_types::{LogPosition, SegmentId, ServiceName, UpstreamName};

/// Size of a deployment. All upstreams belong to one service.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    pub n_nodes: usize,
    pub n_upstreams: usize,
    pub n_zones: usize,
}

/// Requests per second that each node sends to upstreams.
const REQUESTS_PER_S: f64 = 53.0;
/// Requests that each node has in progress, and those among them whose response has not started.
const IN_PROGRESS: usize = 60;
const WAITING: usize = 4;
/// Interval at which an upstream writes its entry again.
const HEARTBEAT_MS: f64 = 1_200.0;
/// Number of intervals after which the interval between summaries no longer changes.
const SETTLING_INTERVALS: usize = 8;

/// What a primary delegate sends, and what a node receives of it.
#[derive(Clone, Copy, Debug, Default)]
pub struct Traffic {
    pub interval_ms: u64,
    /// Messages and bytes per second that the primary sends.
    pub sent_per_s: f64,
    pub sent_bytes_per_s: f64,
    /// Bytes of the largest summary, and bytes per second that a node receives in summaries.
    pub summary_bytes: usize,
    pub received_bytes_per_s: f64,
    /// Number of upstreams that a summary names.
    pub named_upstreams: usize,
    /// Upstreams in all reports and states of zones that the primary adds up for each interval.
    pub added_up: usize,
    /// Time that the primary takes for its messages, and that a node takes to decode a summary, in microseconds.
    pub primary_us: f64,
    pub decode_us: f64,
}

fn upstream_name(idx: usize) -> UpstreamName {
    format!("engine-{idx:05}").parse().expect("the name is valid")
}

fn service() -> ServiceName {
    "assistant".parse().expect("the name is valid")
}

fn entry(idx: usize, n_zones: usize) -> UpstreamEntry {
    UpstreamEntry {
        id: upstream_name(idx),
        service: service(),
        address: SocketAddr::V4(SocketAddrV4::new(Ipv4Addr::LOCALHOST, 9_000)),
        zone: format!("zone-{}", idx % n_zones).parse().expect("the name is valid"),
        version: "1.0.0".to_owned().into(),
        state: EntryState::Ready,
        slots: 14,
        started_ms: 1_700_000_000_000,
        is_spot: false,
        leaves_in_ms: None,
    }
}

fn address(node: usize, size: Size) -> NodeAddress {
    let ip = Ipv4Addr::from_bits(0x7F00_0001 + node as u32);
    NodeAddress {
        node: node as u64,
        zone: (node % size.n_zones) as u32,
        gossip: SocketAddr::V4(SocketAddrV4::new(ip, 9_000)),
        exchange: SocketAddr::V4(SocketAddrV4::new(ip, 9_001)),
    }
}

/// Returns what the requests of `n_nodes` nodes add up to at each upstream.
fn loads(n_nodes: usize, size: Size, rng: &mut SmallRng) -> Vec<(u32, InProgress)> {
    let mut total = std::collections::BTreeMap::<u32, (u32, u32, u32)>::new();
    for _ in 0..n_nodes {
        for idx in 0..IN_PROGRESS {
            let upstream = upstream_hash(&upstream_name(rng.random_range(0..size.n_upstreams)));
            let it = total.entry(upstream).or_default();
            it.0 += 1;
            if idx < WAITING {
                it.1 += 1;
                it.2 += 2_000;
            }
        }
    }
    total.into_iter().map(|(upstream, it)| (upstream, it.into())).collect()
}

fn local_state(n_nodes: usize, size: Size, rng: &mut SmallRng) -> LocalState {
    LocalState {
        wall_ms: 1_700_000_000_000,
        config: StoreCopy { version: 100, age_ms: 100 },
        upstreams: StoreCopy { version: u64::MAX / 3, age_ms: 100 },
        loads: loads(n_nodes, size, rng),
        admitted: (0..16).map(|it| (it * 0x0765_4321, 12_345.6)).collect(),
        demand: vec![(0x1234_5678, 4_321.0)],
        ..LocalState::default()
    }
}

fn encode(message: &Message) -> Vec<u8> {
    let mut bytes = Vec::new();
    ciborium::into_writer(message, &mut bytes).expect("a message can be encoded");
    bytes
}

/// Returns the traffic of the primary of a zone. The other nodes of its zone report to it, and the primaries of the other
/// zones send it their states.
pub fn gossip_traffic(size: Size) -> Traffic {
    let mut rng = SmallRng::seed_from_u64(1);
    let n_in_zone = size.n_nodes.div_ceil(size.n_zones);
    let mut primary = Gossip::new(Settings::default(), address(0, size), 1);
    for node in 1..size.n_nodes {
        primary.on_listed(address(node, size), true, 0);
    }
    let states: Vec<_> = (0..n_in_zone).map(|_| local_state(1, size, &mut rng)).collect();
    let zone_loads: Vec<_> = (0..size.n_zones).map(|_| loads(n_in_zone, size, &mut rng)).collect();
    let mut template: Option<ZoneSummary> = None;
    let mut traffic = Traffic::default();
    let (mut now_ms, mut number) = (1_000, 0);
    let mut n_intervals = 0;
    while n_intervals < SETTLING_INTERVALS {
        number += 1;
        for (idx, state) in states.iter().enumerate().skip(1) {
            let from = address(idx * size.n_zones, size);
            let report = NodeReport { from, incarnation: 1, number, state: state.clone() };
            primary.on_message(Message::Report(Box::new(report)), now_ms);
        }
        for (zone, loads) in zone_loads.iter().enumerate().skip(1) {
            let Some(template) = &template else { break };
            let mut summary = template.clone();
            summary.from = address(zone, size);
            summary.standby = Some(address(zone + size.n_zones, size).gossip);
            (summary.state.zone, summary.state.source) = (zone as u32, zone as u64);
            (summary.state.number, summary.loads) = (number, loads.clone());
            primary.on_message(Message::Zone(Box::new(summary)), now_ms);
        }
        traffic = Traffic::default();
        let mut messages: Vec<Outgoing> = Vec::new();
        let start_ms = now_ms;
        let mut elapsed_us = 0.0;
        loop {
            let started = Instant::now();
            let output = primary.tick(states[0].clone(), now_ms);
            elapsed_us += started.elapsed().as_secs_f64() * 1e6;
            messages.extend(output.outgoing);
            let summaries = output.updates.iter().map(|it| match it {
                Update::Cluster { summary, .. } => summary.loads.len(),
                Update::Rates(_) => 0,
            });
            traffic.named_upstreams = summaries.max().unwrap_or(0).max(traffic.named_upstreams);
            now_ms += primary.next_tick_ms(false, now_ms);
            if primary.starts_interval() {
                break;
            }
        }
        let (mut n_bytes, mut largest) = (0, Vec::new());
        for it in &messages {
            let started = Instant::now();
            let bytes = encode(&it.message);
            elapsed_us += started.elapsed().as_secs_f64() * 1e6;
            n_bytes += bytes.len();
            match &it.message {
                Message::Summary(_) if largest.len() < bytes.len() => largest = bytes,
                Message::Zone(it) => template = Some((**it).clone()),
                _ => {}
            }
        }
        if primary.role() != Role::Primary {
            continue;
        }
        n_intervals += 1;
        primary.on_summary_sent(largest.len() as u64);
        let per_s = 1_000.0 / (now_ms - start_ms) as f64;
        let decode = || ciborium::from_reader::<Message, _>(&largest[..]).ok();
        let decode_us = if largest.is_empty() { 0.0 } else { time_us(decode) };
        traffic = Traffic {
            interval_ms: now_ms - start_ms,
            sent_per_s: messages.len() as f64 * per_s,
            sent_bytes_per_s: n_bytes as f64 * per_s,
            summary_bytes: largest.len(),
            received_bytes_per_s: largest.len() as f64 * per_s,
            added_up: states.iter().map(|it| it.loads.len()).sum::<usize>()
                + zone_loads.iter().skip(1).map(Vec::len).sum::<usize>(),
            primary_us: elapsed_us * per_s,
            decode_us: decode_us * per_s,
            ..traffic
        };
    }
    traffic
}

/// Returns the mean duration of a run in microseconds, over the runs that start within 30 ms.
fn time_us<T>(mut run: impl FnMut() -> T) -> f64 {
    let started = Instant::now();
    let mut n_runs = 0_u32;
    while started.elapsed().as_millis() < 30 {
        black_box(run());
        n_runs += 1;
    }
    started.elapsed().as_secs_f64() * 1e6 / f64::from(n_runs)
}

/// Measures and prints the processor time of the parts in microseconds per second, and the bytes per second.
pub fn run() -> anyhow::Result<()> {
    println!(
        "nodes upstreams zones | first request us | us/s: assign retry_after confirm peer_loads decode_summary primary | reader: json \
         insert | list: replace | summary B interval_ms named | B/s: summaries primary"
    );
    for n_zones in [4, 31] {
        for (n_nodes, n_upstreams) in [(30, 298), (100, 1_000), (300, 3_000), (340, 12_000)] {
            print_size(Size { n_nodes, n_upstreams, n_zones })?;
        }
    }
    Ok(())
}

fn print_size(size: Size) -> anyhow::Result<()> {
    let Size { n_nodes, n_upstreams, n_zones } = size;
    let mut rng = SmallRng::seed_from_u64(2);
    let mut catalog = Catalog::new(catalog::Settings::default());
    let entries: Vec<_> = (0..n_upstreams).map(|it| entry(it, n_zones)).collect();
    let list: Vec<_> = entries.iter().map(|it| (it.clone(), LogPosition::from(1))).collect();
    catalog.replace(list.clone(), LogPosition::from(1), 0);
    let mut table = LoadTable::new(placement::Settings::default(), "zone-0".parse()?);
    let restrictions = Restrictions::default();
    let service = service();
    let peer_loads = loads(n_nodes - 1, size, &mut rng);
    let peers_us = time_us(|| table.on_peer_report(0, peer_loads.clone(), 1));
    let segment = |id: u64, tokens| PromptSegment { id: SegmentId(id), tokens };
    let mut assign = || {
        let segments = vec![segment(rng.random_range(0..200), 2_000), segment(rng.random(), 600)];
        let prompt = Prompt { segments, input_tokens: 2_600, output_tokens_max: 40 };
        let ready = catalog.ready(&service);
        let candidates = ready.filter(|it| restrictions.remaining_ms(&it.entry, 1).is_none());
        let assigned = table.assign(Some(&prompt), candidates, &[], 1, &mut rng);
        if let Some(it) = assigned {
            table.release(it, AttemptResult::Served, 1);
        }
    };
    let started = Instant::now();
    assign();
    let first_assign_us = started.elapsed().as_secs_f64() * 1e6;
    let assign_us = time_us(&mut assign);
    let retry_after_us = time_us(|| {
        let ready = catalog.ready(&service);
        let delays = ready.map(|it| table.expected_first_token_ms(&it.entry.id, 0, 1));
        delays.fold(f64::INFINITY, f64::min)
    });
    let digest_us = time_us(|| catalog.digest());
    let text = serde_json::to_vec(&entries[0])?;
    let json_us = time_us(|| serde_json::from_slice::<UpstreamEntry>(&text).ok());
    let mut position = 1;
    let insert_us = time_us(|| {
        position += 1;
        let entry = entries[position as usize % entries.len()].clone();
        catalog.insert(entry, LogPosition::from(position), 1)
    });
    let replace_us = time_us(|| {
        position += 1;
        catalog.replace(list.clone(), LogPosition::from(position), 1)
    });
    let traffic = gossip_traffic(size);
    let per_s = 1_000.0 / traffic.interval_ms as f64;
    let heartbeats_per_s = n_upstreams as f64 * 1_000.0 / HEARTBEAT_MS;
    println!(
        "{n_nodes} {n_upstreams} {n_zones} | {first_assign_us:.0} | {:.0} {:.0} {:.0} {:.0} {:.0} {:.0} | {:.0} {:.0} | {:.0} | {} {} {} | {:.0} \
         {:.0}",
        assign_us * REQUESTS_PER_S,
        retry_after_us * REQUESTS_PER_S,
        digest_us * per_s * n_zones as f64,
        peers_us * per_s,
        traffic.decode_us,
        traffic.primary_us,
        json_us * heartbeats_per_s,
        insert_us * heartbeats_per_s,
        replace_us,
        traffic.summary_bytes,
        traffic.interval_ms,
        traffic.named_upstreams,
        traffic.received_bytes_per_s,
        traffic.sent_bytes_per_s,
    );
    Ok(())
}
