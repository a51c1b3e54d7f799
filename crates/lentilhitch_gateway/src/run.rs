//! Start, run and planned stop of a node.

use std::{rc::Rc, time::Duration};

use anyhow::Context as _;
use tokio::{
    net::UdpSocket,
    signal::unix::{SignalKind, signal},
    task::{LocalSet, spawn_local},
    time::{Instant, sleep, sleep_until, timeout_at},
};

use crate::{
    discovery, duties, exchange, gossip, ingress, memory_watch,
    node::{Node, NodePhase},
    platform::Platform,
    quarantine_register::{self, Quarantines},
    rollouts,
    settings::NodeSettings,
    store_register, stream_archive, upstream_paths, version_histories,
    version_register::Versions,
};

/// Time after which the load balancer sends no more clients to a stopping node. It checks readiness once a second and
/// removes the node after two failed checks. Connections are closed only after this time.
const LOAD_BALANCER_DRAIN_TIME: Duration = Duration::from_millis(2_600);
/// Time at the end of the grace period that is reserved for the exit of the process after the last request.
const STOP_MARGIN_MS: u64 = 300;
/// Part of the reserved time in which usage counts are written, if requests were in progress to the end.
const FLUSH_TIME: Duration = Duration::from_millis(150);
/// Interval at which a stopping node checks whether requests are in progress.
const STOP_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Runs a node until SIGTERM or SIGINT. Returns when no request is in progress any more or the grace period has
/// expired.
pub fn run<P: Platform>(settings: NodeSettings, platform: P) -> anyhow::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    LocalSet::new().block_on(&runtime, run_node(settings, platform))
}

async fn run_node<P: Platform>(settings: NodeSettings, platform: P) -> anyhow::Result<()> {
    let node = Rc::new(Node::new(settings, platform)?);
    let settings = &node.settings;
    log::info!(instance = settings.instance.as_str(), zone = settings.zone.as_str(), life = node.incarnation; "node starting");
    let readiness_listener = listen(settings.readiness_address)?;
    let exchange_listener = listen(settings.exchange_address)?;
    let admin_listener = listen(settings.admin_address)?;
    let gossip_socket = UdpSocket::bind(settings.gossip_address)
        .await
        .with_context(|| format!("failed to bind gossip socket to {}", settings.gossip_address))?;
    let frontend_listener = listen(settings.frontend_address)?;
    let duty = duties::shared_duty(&node);
    spawn_local(ingress::serve_readiness(node.clone(), readiness_listener));
    spawn_local(ingress::serve_exchange(node.clone(), exchange_listener));
    spawn_local(ingress::serve_admin(node.clone(), admin_listener));
    spawn_local(ingress::serve_clients(node.clone(), frontend_listener));
    spawn_local(gossip::run(node.clone(), gossip_socket));
    spawn_local(discovery::follow_config(node.clone()));
    spawn_local(discovery::follow_upstreams(node.clone()));
    spawn_local(discovery::follow_nodes(node.clone()));
    spawn_local(discovery::tick(node.clone()));
    spawn_local(exchange::run(node.clone()));
    spawn_local(memory_watch::run(node.clone()));
    spawn_local(upstream_paths::watch(node.clone()));
    spawn_local(version_histories::learn(node.clone()));
    spawn_local(stream_archive::load(node.clone()));
    spawn_local(stream_archive::pass_on(node.clone()));
    spawn_local(stream_archive::write(node.clone()));
    spawn_local(store_register::maintain::<Versions, P>(node.clone()));
    spawn_local(quarantine_register::load(node.clone()));
    spawn_local(store_register::maintain::<Quarantines, P>(node.clone()));
    rollouts::start(&node, duty.clone());
    let has_duty = settings.has_usage_duty || settings.has_scaling_duty;
    if has_duty || settings.rollouts.is_some() {
        spawn_local(duties::keep_lease(node.clone(), duty.clone()));
    }
    if settings.has_usage_duty {
        spawn_local(duties::send_counts(node.clone(), duty.clone()));
        spawn_local(duties::report_usage(node.clone(), duty.clone()));
    }
    if settings.has_scaling_duty {
        spawn_local(duties::scale(node.clone(), duty));
    }
    wait_for_stop().await?;
    stop(&node).await;
    Ok(())
}

fn listen(address: std::net::SocketAddr) -> anyhow::Result<tokio::net::TcpListener> {
    ingress::listen(address).with_context(|| format!("failed to listen on {address}"))
}

async fn wait_for_stop() -> anyhow::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let mut hangup = signal(SignalKind::hangup())?;
    loop {
        tokio::select! {
            _ = terminate.recv() => return Ok(()),
            _ = interrupt.recv() => return Ok(()),
            _ = hangup.recv() => log::info!("SIGHUP ignored: settings are read only at startup"),
        }
    }
}

/// Continues to serve until the load balancer sends no more clients, then closes connections as they become idle.
async fn stop<P: Platform>(node: &Rc<Node<P>>) {
    let grace_ms = node.settings.bounds.stop_grace_ms.saturating_sub(STOP_MARGIN_MS);
    let end = Instant::now() + Duration::from_millis(grace_ms);
    log::info!(n_in_flight = node.n_in_flight.get(); "node stopping");
    node.phase.send_replace(NodePhase::Draining);
    sleep_until((Instant::now() + LOAD_BALANCER_DRAIN_TIME).min(end)).await;
    node.phase.send_replace(NodePhase::Closing);
    let early_flush = spawn_local({
        let node = node.clone();
        async move { duties::flush_counts(&node).await }
    });
    sleep(STOP_CHECK_INTERVAL).await;
    while node.n_in_flight.get() != 0 && Instant::now() < end {
        sleep(STOP_CHECK_INTERVAL).await;
    }
    let flush = async {
        // An error means that the task was canceled, which nobody does.
        let _ = early_flush.await;
        duties::flush_counts(node).await;
    };
    if timeout_at(end + FLUSH_TIME, flush).await.is_err() {
        log::warn!("usage counts not written before the end of the grace period");
    }
    log::info!(n_in_flight = node.n_in_flight.get(); "node stopped");
}
