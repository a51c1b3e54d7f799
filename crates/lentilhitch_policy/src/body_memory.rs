//! Account of the memory that the bodies of requests and responses take at a node.
//!
//! A body is charged to the account from its first byte on. [`Reservation::hold`] binds the charge to the bytes, so that
//! it ends when their last copy is dropped: by whoever waits to send them again, or by the HTTP library when it has
//! written them. What the bodies may take together follows from the memory of the node, less what the rest of the
//! process takes.
//!
//! A body of more than [`SMALL_BODY_BYTES`] is also limited by what is still free: the large bodies of one team, or of all
//! responses, may take as much as remains free after them. So one team leaves room for others, and large bodies for small ones.

use std::sync::{
    Arc,
    atomic::{AtomicUsize, Ordering},
};

use bytes::{Bytes, BytesMut};
use parking_lot::Mutex;
use rustc_hash::FxHashMap;

/// Size up to which a body is limited by the whole account only.
const SMALL_BODY_BYTES: usize = 64 * 1024;
/// Part of the memory of the node that the process may take, in percent.
const PROCESS_SHARE_PERCENT: usize = 90;
/// Bodies may take the memory of the node divided by this number, whatever the rest of the process takes.
const BODIES_MIN_DIVISOR: usize = 5;
/// What the rest of the process takes before it was measured: the memory of the node divided by this number.
const REST_DEFAULT_DIVISOR: usize = 2;

/// There is no memory for more of a body at present.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemoryExhausted;

/// Whose bodies are limited together.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Owner {
    /// Requests of a team, by the hash of its name, or of clients without a team.
    Team(Option<u32>),
    /// Requests that other nodes send through this one.
    Peers,
    Responses,
}

/// Account of the memory of bodies.
#[derive(Debug)]
pub struct BodyMemory {
    memory_bytes: usize,
    /// What the rest of the process takes.
    rest_bytes: AtomicUsize,
    charges: Mutex<Charges>,
}

#[derive(Debug, Default)]
struct Charges {
    n_bytes: usize,
    large: FxHashMap<Owner, usize>,
}

impl BodyMemory {
    /// Creates the account of a node with the given memory.
    pub fn new(memory_bytes: u64) -> Arc<Self> {
        let memory_bytes = memory_bytes as usize;
        let rest_bytes = AtomicUsize::new(memory_bytes / REST_DEFAULT_DIVISOR);
        Arc::new(Self { memory_bytes, rest_bytes, charges: Mutex::default() })
    }

    /// Returns the number of bytes that are charged.
    pub fn n_bytes(&self) -> usize {
        self.charges.lock().n_bytes
    }

    /// Handles a measurement of the memory of the whole process.
    pub fn on_resident_bytes(&self, resident_bytes: usize) {
        self.rest_bytes.store(resident_bytes.saturating_sub(self.n_bytes()), Ordering::Relaxed);
    }

    /// Returns the number of bytes that bodies may take.
    fn bytes_max(&self) -> usize {
        let of_process = self.memory_bytes / 100 * PROCESS_SHARE_PERCENT;
        let rest_bytes = self.rest_bytes.load(Ordering::Relaxed);
        of_process.saturating_sub(rest_bytes).max(self.memory_bytes / BODIES_MIN_DIVISOR)
    }
}

/// Memory that is charged for a body. Released when dropped.
#[derive(Debug)]
pub struct Reservation {
    memory: Arc<BodyMemory>,
    owner: Owner,
    n_bytes: usize,
}

impl Reservation {
    pub fn new(memory: &Arc<BodyMemory>, owner: Owner) -> Self {
        Self { memory: memory.clone(), owner, n_bytes: 0 }
    }

    /// Charges more bytes.
    pub fn reserve(&mut self, n_bytes: usize) -> Result<(), MemoryExhausted> {
        let bytes_max = self.memory.bytes_max();
        let mut charges = self.memory.charges.lock();
        let total = charges.n_bytes + n_bytes;
        if bytes_max < total {
            return Err(MemoryExhausted);
        }
        let own = self.n_bytes + n_bytes;
        if SMALL_BODY_BYTES < own {
            // A body that was small so far counts as a whole from now on.
            let added = if self.n_bytes <= SMALL_BODY_BYTES { own } else { n_bytes };
            let of_owner = charges.large.get(&self.owner).copied().unwrap_or_default() + added;
            if bytes_max - total < of_owner {
                return Err(MemoryExhausted);
            }
            charges.large.insert(self.owner, of_owner);
        }
        charges.n_bytes = total;
        self.n_bytes = own;
        Ok(())
    }

    /// Binds the charge to the bytes of the body, until their last copy is dropped.
    pub fn hold(self, bytes: Bytes) -> Bytes {
        if bytes.is_empty() {
            return bytes;
        }
        Bytes::from_owner(HeldBytes { bytes, _reservation: self })
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        let mut charges = self.memory.charges.lock();
        charges.n_bytes -= self.n_bytes;
        if SMALL_BODY_BYTES < self.n_bytes
            && let Some(of_owner) = charges.large.get_mut(&self.owner)
        {
            *of_owner -= self.n_bytes;
            if *of_owner == 0 {
                charges.large.remove(&self.owner);
            }
        }
    }
}

struct HeldBytes {
    bytes: Bytes,
    _reservation: Reservation,
}

impl AsRef<[u8]> for HeldBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// Reason for which a body was not read to its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyError {
    MemoryExhausted,
    TooLarge,
}

/// Buffer for a body that arrives in chunks.
pub struct BodyBuffer {
    reservation: Reservation,
    bytes_max: usize,
    /// Length that the head states, or 0.
    stated_bytes: usize,
    /// The first chunk, while it is the only one.
    first: Option<Bytes>,
    buffer: BytesMut,
}

impl BodyBuffer {
    pub fn new(reservation: Reservation, bytes_max: usize, stated_bytes: u64) -> Self {
        let stated_bytes = (stated_bytes as usize).min(bytes_max);
        Self { reservation, bytes_max, stated_bytes, first: None, buffer: BytesMut::new() }
    }

    /// Appends a chunk.
    pub fn push(&mut self, chunk: Bytes) -> Result<(), BodyError> {
        let n_before = self.first.as_ref().map_or(self.buffer.len(), Bytes::len);
        if self.bytes_max < n_before + chunk.len() {
            return Err(BodyError::TooLarge);
        }
        if n_before == 0 {
            self.charge(chunk.len())?;
            self.first = Some(chunk);
            return Ok(());
        }
        self.grow(n_before + chunk.len())?;
        if let Some(first) = self.first.take() {
            self.buffer.extend_from_slice(&first);
        }
        self.buffer.extend_from_slice(&chunk);
        Ok(())
    }

    /// Makes room for a body of so many bytes in all. Room for what has not been received is at most as much again, and
    /// ends at the stated length.
    fn grow(&mut self, n_bytes: usize) -> Result<(), BodyError> {
        if n_bytes <= self.buffer.capacity() {
            return Ok(());
        }
        let is_as_stated = n_bytes <= self.stated_bytes;
        let capacity_max = if is_as_stated { self.stated_bytes } else { self.bytes_max };
        let capacity = (2 * n_bytes).min(capacity_max);
        self.charge(capacity.saturating_sub(self.reservation.n_bytes))?;
        let mut buffer = BytesMut::with_capacity(capacity);
        buffer.extend_from_slice(&self.buffer);
        self.buffer = buffer;
        Ok(())
    }

    fn charge(&mut self, n_bytes: usize) -> Result<(), BodyError> {
        self.reservation.reserve(n_bytes).map_err(|MemoryExhausted| BodyError::MemoryExhausted)
    }

    /// Returns the body, which stays charged as long as it is held.
    pub fn finish(self) -> Bytes {
        let bytes = self.first.unwrap_or_else(|| self.buffer.freeze());
        self.reservation.hold(bytes)
    }
}
