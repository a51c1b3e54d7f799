//! Datagrams that wait to be sent.
//!
//! The store reader of a zone sends the changes of upstreams to each node of the zone. When all replicas of a zone leave,
//! these are many messages at once, which would overflow the queue of the machine's link. The outbox therefore sends them
//! at a fraction of the speed of the link. Only updates wait here, which are valid however late they arrive.

use std::{
    cell::{Cell, RefCell},
    collections::VecDeque,
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use tokio::{net::UdpSocket, sync::Notify, time::sleep};

/// Part of the speed of the link that the outbox uses at most.
const LINK_FRACTION: f64 = 0.5;
/// Number of bytes that are sent without a pause.
const BURST_BYTES: usize = 8 * 1024;
/// Maximum number of bytes that wait. Further datagrams are dropped, as the link would do.
const WAITING_BYTES_MAX: usize = 1024 * 1024;

/// Queue of datagrams.
pub(crate) struct Outbox {
    bytes_per_s: f64,
    waiting: RefCell<VecDeque<(Rc<[u8]>, SocketAddr)>>,
    waiting_bytes: Cell<usize>,
    added: Notify,
}

impl Outbox {
    /// Creates an empty outbox for a link of the given speed.
    pub(crate) fn new(link_bytes_per_s: f64) -> Self {
        Self {
            bytes_per_s: (link_bytes_per_s * LINK_FRACTION).max(1.0),
            waiting: RefCell::default(),
            waiting_bytes: Cell::new(0),
            added: Notify::new(),
        }
    }

    /// Adds a datagram.
    pub(crate) fn push(&self, bytes: &Rc<[u8]>, to: SocketAddr) {
        let waiting_bytes = self.waiting_bytes.get() + bytes.len();
        if WAITING_BYTES_MAX < waiting_bytes {
            log::warn!(waiting_bytes; "gossip message dropped: too many are waiting");
            return;
        }
        self.waiting_bytes.set(waiting_bytes);
        self.waiting.borrow_mut().push_back((bytes.clone(), to));
        self.added.notify_one();
    }

    /// Sends the datagrams that are added until the process exits.
    pub(crate) async fn run(&self, socket: &UdpSocket) {
        let mut unpaused_bytes = 0;
        loop {
            let next = self.waiting.borrow_mut().pop_front();
            let Some((bytes, to)) = next else {
                self.added.notified().await;
                continue;
            };
            self.waiting_bytes.set(self.waiting_bytes.get() - bytes.len());
            if let Err(err) = socket.send_to(&bytes, to).await {
                log::debug!("failed to send a gossip message to {to}: {err}");
            }
            unpaused_bytes += bytes.len();
            if BURST_BYTES <= unpaused_bytes {
                sleep(Duration::from_secs_f64(unpaused_bytes as f64 / self.bytes_per_s)).await;
                unpaused_bytes = 0;
            }
        }
    }
}
