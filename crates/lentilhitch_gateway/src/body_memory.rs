//! Limit on the memory of the request and response bodies that a node reads at the same time.

use std::rc::Rc;

use crate::node::Node;

/// Bodies that are being read may take at most the node's memory divided by this number.
const BODY_MEMORY_DIVISOR: u64 = 5;

/// The bodies that are being read take all of the memory that they may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct MemoryExhausted;

/// Memory that is reserved for a body while it is being read. Released when dropped.
pub(crate) struct BodyMemoryGuard<'a, P> {
    node: &'a Rc<Node<P>>,
    n_bytes: usize,
}

impl<'a, P> BodyMemoryGuard<'a, P> {
    pub(crate) fn new(node: &'a Rc<Node<P>>) -> Self {
        Self { node, n_bytes: 0 }
    }

    /// Returns the number of reserved bytes.
    pub(crate) fn n_bytes(&self) -> usize {
        self.n_bytes
    }

    /// Reserves memory for received bytes.
    pub(crate) fn reserve(&mut self, n_bytes: usize) -> Result<(), MemoryExhausted> {
        let bytes_max = (self.node.settings.memory_bytes / BODY_MEMORY_DIVISOR) as usize;
        let mut state = self.node.state.borrow_mut();
        if bytes_max < state.buffered_bytes + n_bytes {
            return Err(MemoryExhausted);
        }
        state.buffered_bytes += n_bytes;
        self.n_bytes += n_bytes;
        Ok(())
    }
}

impl<P> Drop for BodyMemoryGuard<'_, P> {
    fn drop(&mut self) {
        self.node.state.borrow_mut().buffered_bytes -= self.n_bytes;
    }
}
