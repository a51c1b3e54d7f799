//! Size of summaries and of states of zones at 340 nodes and 12,000 upstreams.

use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};

use lentilhitch_policy::{
    gossip::{
        Gossip, Settings,
        message::{Loads, LocalState, Message, NodeAddress, NodeReport, UnnamedLoads},
    },
    placement::{InProgress, LoadTable, Settings as PlacementSettings, upstream_hash},
};
use lentilhitch_types::UpstreamName;

const N_ZONES: usize = 4;
const LOAD: InProgress = InProgress { n_requests: 3, n_waiting: 1, waiting_tokens: 500 };

fn address(node: usize) -> NodeAddress {
    let gossip = SocketAddrV4::new(Ipv4Addr::from_bits(0x7F00_0001 + node as u32), 1);
    let gossip = SocketAddr::V4(gossip);
    let zone = (node % N_ZONES) as u32;
    NodeAddress { node: node as u64, zone, gossip, exchange: gossip }
}

/// Returns the messages of a primary in one interval, whose zone's nodes have requests at `n_upstreams` upstreams.
fn messages(n_nodes: usize, n_upstreams: usize) -> Vec<Message> {
    let mut gossip = Gossip::new(Settings::default(), address(0), 1);
    for node in 1..n_nodes {
        gossip.on_listed(address(node), true, 0);
    }
    let reporters: Vec<_> = (0..n_nodes).step_by(N_ZONES).collect();
    let loads = |node: usize| -> Loads {
        let position = node / N_ZONES;
        let upstreams = (0..n_upstreams).filter(|it| it % reporters.len() == position);
        upstreams.map(|it| (it as u32, LOAD)).collect()
    };
    let state = |node| LocalState { loads: loads(node), ..LocalState::default() };
    let (mut now_ms, mut sent) = (1_000, Vec::new());
    for number in 1..6 {
        for node in &reporters[1..] {
            let report =
                NodeReport { from: address(*node), incarnation: 1, number, state: state(*node) };
            gossip.on_message(Message::Report(Box::new(report)), now_ms);
        }
        sent.clear();
        loop {
            let output = gossip.tick(state(0), now_ms);
            sent.extend(output.outgoing.into_iter().map(|it| it.message));
            now_ms += gossip.next_tick_ms(false, now_ms);
            if gossip.starts_interval() {
                break;
            }
        }
    }
    sent
}

fn n_bytes(messages: &[Message]) -> usize {
    let mut bytes = Vec::new();
    for it in messages {
        ciborium::into_writer(it, &mut bytes).unwrap();
    }
    bytes.len()
}

/// Guards against messages that grow with the number of upstreams, and against requests that are left out of the sums.
#[test]
fn messages_do_not_grow_with_the_upstreams() {
    let small = messages(340, 298);
    let large = messages(340, 12_000);
    assert_eq!(small.len(), large.len());
    let (small_bytes, large_bytes) = (n_bytes(&small), n_bytes(&large));
    assert!(large_bytes < 2 * small_bytes, "{large_bytes} B, {small_bytes} B at 298 upstreams");
    let mut n_summaries = 0;
    for it in &large {
        let (Message::Summary(summary), n_others) = (it, 12_000 - 12_000 / 85) else { continue };
        n_summaries += 1;
        let named: u64 = summary.loads.iter().map(|it| u64::from(it.1.n_requests)).sum();
        let unnamed = summary.unnamed.map_or(0, |it| it.n_requests);
        // 12,000 is no multiple of 85, so that some nodes have requests at one upstream fewer.
        assert!((named + unnamed).abs_diff(3 * n_others) <= 3, "{named} + {unnamed}");
    }
    assert_eq!(n_summaries, 84);
}

/// Guards against a table that takes unnamed upstreams for idle, which would lower the need for replicas.
#[test]
fn unnamed_requests_stay_in_the_sum_over_the_upstreams() {
    let mut table = LoadTable::new(PlacementSettings::default(), "a".parse().unwrap());
    let names: Vec<UpstreamName> =
        (0..12_000).map(|it| format!("u{it}").parse().unwrap()).collect();
    table.on_peer_report(0, vec![(upstream_hash(&names[0]), LOAD)], 0);
    let unnamed = UnnamedLoads { n_requests: 4_800, n_waiting: 0, waiting_tokens: 0 };
    table.set_unnamed_loads(Some(unnamed), names.len());
    let total: u32 = names.iter().map(|it| table.n_requests(it, 0)).sum();
    // The hashes round 0.4 requests up at 4,800 of the upstreams, give or take 4 standard deviations.
    assert!(total.abs_diff(4_803) <= 215, "{total}");
    table.set_unnamed_loads(None, names.len());
    assert_eq!(table.n_requests(&names[1], 0), 0);
}
