//! Queue of datagrams that are sent at a limited rate. Urgent ones are sent first.

use std::collections::VecDeque;

/// Whether a datagram is sent before the others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Urgency {
    Normal,
    Urgent,
}

#[derive(Debug)]
struct Queued<T> {
    datagram: T,
    n_bytes: usize,
}

/// Datagrams that wait to be sent, in the order of their arrival within each urgency.
#[derive(Debug)]
pub struct SendQueue<T> {
    urgent: VecDeque<Queued<T>>,
    normal: VecDeque<Queued<T>>,
    waiting_bytes: usize,
    waiting_bytes_max: usize,
}

impl<T> SendQueue<T> {
    /// Creates an empty queue for at most `waiting_bytes_max` bytes.
    pub fn new(waiting_bytes_max: usize) -> Self {
        Self {
            urgent: VecDeque::new(),
            normal: VecDeque::new(),
            waiting_bytes: 0,
            waiting_bytes_max,
        }
    }

    /// Adds a datagram. Returns whether there was room for it. Urgent datagrams are small and always have room.
    pub fn push(&mut self, datagram: T, n_bytes: usize, urgency: Urgency) -> bool {
        let waiting_bytes = self.waiting_bytes + n_bytes;
        if urgency == Urgency::Normal && self.waiting_bytes_max < waiting_bytes {
            return false;
        }
        self.waiting_bytes = waiting_bytes;
        let queue = match urgency {
            Urgency::Normal => &mut self.normal,
            Urgency::Urgent => &mut self.urgent,
        };
        queue.push_back(Queued { datagram, n_bytes });
        true
    }

    /// Removes and returns the next datagram and its size.
    pub fn pop(&mut self) -> Option<(T, usize)> {
        let Queued { datagram, n_bytes } =
            self.urgent.pop_front().or_else(|| self.normal.pop_front())?;
        self.waiting_bytes -= n_bytes;
        Some((datagram, n_bytes))
    }
}
