//! Takes over which software versions the services have had, when the node starts in a running deployment: from a peer,
//! or from the store if all nodes have just started.
//!
//! What follows from the versions is decided by [`lentilhitch_policy::stream_origins`].

use std::{net::SocketAddr, rc::Rc, time::Duration};

use rand::seq::IteratorRandom as _;
use tokio::time::sleep;

use lentilhitch_policy::stream_origins::VersionHistories;

use crate::{exchange, node::Node, platform::Platform};

/// Delay before the first query, and between the first ones.
const QUERY_INTERVAL_MIN: Duration = Duration::from_millis(200);
/// Maximum delay between queries. The delay doubles until it is reached.
const QUERY_INTERVAL_MAX: Duration = Duration::from_secs(3);

/// Queries peers until one of them or the store knows the versions, or this node has followed them for long enough itself.
pub(crate) async fn learn<P: Platform>(node: Rc<Node<P>>) {
    if node.settings.is_first_start {
        return;
    }
    let Some(client) = exchange::client() else { return };
    let mut interval = QUERY_INTERVAL_MIN;
    loop {
        sleep(interval).await;
        if node.state.borrow().stream_origins.is_complete(node.now_ms()) {
            return;
        }
        interval = (2 * interval).min(QUERY_INTERVAL_MAX);
        let (source, histories) = match query_peer(&node, &client).await {
            Some(it) => ("peer", it),
            None => match node.versions_found_at_start() {
                Some(it) => ("store", it),
                None => continue,
            },
        };
        let now_ms = node.now_ms();
        node.state.borrow_mut().stream_origins.adopt(&histories, now_ms);
        node.tell_holders();
        let uptime_ms = node.clock.uptime_ms();
        let n_services = histories.services.len();
        log::info!(source, n_services, uptime_ms; "versions of the services taken over");
        return;
    }
}

/// Returns the versions that a peer knows, chosen at random, if it knows all.
async fn query_peer<P: Platform>(
    node: &Node<P>,
    client: &reqwest::Client,
) -> Option<VersionHistories> {
    let peer = node.random_peer()?;
    let res = exchange::fetch_versions(client, peer).await;
    if let Err(err) = &res {
        log::info!(peer:% = peer, error:% = err; "a peer does not know the versions of the services");
    }
    res.ok()
}

impl<P> Node<P> {
    /// Returns the versions of the services, if this node knows all and its list of upstreams is current.
    pub(crate) fn version_histories(&self) -> Option<VersionHistories> {
        let now_ms = self.now_ms();
        if !self.is_list_current(now_ms) {
            return None;
        }
        self.state.borrow().stream_origins.histories(now_ms)
    }

    /// Returns the versions that were found in the store at the start, if none can be missing.
    fn versions_found_at_start(&self) -> Option<VersionHistories> {
        let era = self.state.borrow().store_era.current()?;
        self.version_register.found_at_start(era)
    }

    /// Returns the exchange address of another node, chosen at random.
    fn random_peer(&self) -> Option<SocketAddr> {
        let mut state = self.state.borrow_mut();
        let state = &mut *state;
        state.gossip.node_addresses().map(|it| it.exchange).choose(&mut state.rng)
    }
}
