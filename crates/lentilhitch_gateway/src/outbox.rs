//! Datagrams that wait to be sent.
//!
//! The store reader of a zone sends the changes of upstreams to each node of the zone. When all replicas of a zone leave,
//! these are many messages at once, which would overflow the queue of the machine's link. The outbox therefore sends them
//! at a fraction of the speed of the link. Updates are valid however late they arrive. Announcements of configurations
//! are urgent and do not wait behind updates.

use std::{cell::RefCell, net::SocketAddr, rc::Rc, time::Duration};

use tokio::{net::UdpSocket, sync::Notify, time::sleep};

use lentilhitch_policy::send_queue::{SendQueue, Urgency};

/// Part of the speed of the link that the outbox uses at most.
const LINK_FRACTION: f64 = 0.5;
/// Number of bytes that are sent without a pause.
const BURST_BYTES: usize = 8 * 1024;
/// Maximum number of bytes that wait. Further datagrams are dropped, as the link would do.
const WAITING_BYTES_MAX: usize = 1024 * 1024;

/// Queue of datagrams.
pub(crate) struct Outbox {
    bytes_per_s: f64,
    queue: RefCell<SendQueue<(Rc<[u8]>, SocketAddr)>>,
    added: Notify,
}

impl Outbox {
    /// Creates an empty outbox for a link of the given speed.
    pub(crate) fn new(link_bytes_per_s: f64) -> Self {
        Self {
            bytes_per_s: (link_bytes_per_s * LINK_FRACTION).max(1.0),
            queue: RefCell::new(SendQueue::new(WAITING_BYTES_MAX)),
            added: Notify::new(),
        }
    }

    /// Adds a datagram.
    pub(crate) fn push(&self, bytes: &Rc<[u8]>, to: SocketAddr, urgency: Urgency) {
        let n_bytes = bytes.len();
        if !self.queue.borrow_mut().push((bytes.clone(), to), n_bytes, urgency) {
            log::warn!("gossip message dropped: too many are waiting");
            return;
        }
        self.added.notify_one();
    }

    /// Sends the datagrams that are added until the process exits.
    pub(crate) async fn run(&self, socket: &UdpSocket) {
        let mut unpaused_bytes = 0;
        loop {
            let next = self.queue.borrow_mut().pop();
            let Some(((bytes, to), n_bytes)) = next else {
                self.added.notified().await;
                continue;
            };
            if let Err(err) = socket.send_to(&bytes, to).await {
                log::debug!("failed to send a gossip message to {to}: {err}");
            }
            unpaused_bytes += n_bytes;
            if BURST_BYTES <= unpaused_bytes {
                sleep(Duration::from_secs_f64(unpaused_bytes as f64 / self.bytes_per_s)).await;
                unpaused_bytes = 0;
            }
        }
    }
}
