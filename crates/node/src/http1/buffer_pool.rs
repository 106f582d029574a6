use std::sync::{Arc, Mutex};

use super::buffer_gauge::{BufferGauge, HeldBytes};
use super::lock;

/// Maximum number of unused buffers that are kept.
const MAX_SPARE: usize = 64;

/// Keeps the buffers of connections for reuse, which avoids a large allocation per request.
#[derive(Debug)]
pub(crate) struct BufferPool {
    /// Usual length of a buffer, in bytes.
    length: usize,
    /// Number of bytes of all buffers beyond which none gets larger than usual.
    max_held_bytes: u64,
    gauge: Arc<BufferGauge>,
    spare_buffers: Mutex<Vec<Buffer>>,
}

/// Buffer, counted by the gauge also while it is unused.
#[derive(Debug)]
pub(crate) struct Buffer {
    pub(crate) bytes: Box<[u8]>,
    _held: HeldBytes,
}

impl BufferPool {
    /// Creates an empty pool for buffers of `length` bytes. Larger ones are given out as long as all
    /// buffers together take less than `max_held_bytes`.
    pub(crate) fn new(length: usize, max_held_bytes: u64, gauge: Arc<BufferGauge>) -> BufferPool {
        BufferPool { length, max_held_bytes, gauge, spare_buffers: Mutex::default() }
    }

    /// Returns a buffer, whose content is unspecified.
    pub(crate) fn acquire(&self) -> Buffer {
        let spare = lock(&self.spare_buffers).pop();
        spare.unwrap_or_else(|| self.allocate(self.length))
    }

    /// Returns a buffer of `length` bytes in place of one of `current_length`; `None` if all buffers
    /// together would take too much.
    pub(crate) fn acquire_larger(&self, length: usize, current_length: usize) -> Option<Buffer> {
        let added = length.saturating_sub(current_length) as u64;
        let is_within = self.gauge.held_bytes().saturating_add(added) <= self.max_held_bytes;
        (length > current_length && is_within).then(|| self.allocate(length))
    }

    fn allocate(&self, length: usize) -> Buffer {
        let mut held = self.gauge.track();
        held.set(length);
        Buffer { bytes: vec![0; length].into_boxed_slice(), _held: held }
    }

    /// Returns a buffer to the pool. It is freed if it is larger than usual or the pool is full.
    pub(crate) fn release(&self, buffer: Buffer) {
        if buffer.bytes.len() > self.length {
            return;
        }
        let mut spare = lock(&self.spare_buffers);
        if spare.len() < MAX_SPARE {
            spare.push(buffer);
        }
    }
}
