use std::sync::{Arc, Mutex};

use super::buffer_gauge::{BufferGauge, HeldBytes};
use super::lock;

/// Maximum number of unused buffers that are kept.
const MAX_SPARE: usize = 64;

/// Keeps the buffers of connections for reuse, which avoids a large allocation per request.
#[derive(Debug)]
pub(crate) struct BufferPool {
    length: usize,
    gauge: Arc<BufferGauge>,
    spare_buffers: Mutex<Vec<Buffer>>,
}

/// Buffer of fixed length, counted by the gauge also while it is unused.
#[derive(Debug)]
pub(crate) struct Buffer {
    pub(crate) bytes: Box<[u8]>,
    _held: HeldBytes,
}

impl BufferPool {
    /// Creates an empty pool for buffers of `length` bytes.
    pub(crate) fn new(length: usize, gauge: Arc<BufferGauge>) -> BufferPool {
        BufferPool { length, gauge, spare_buffers: Mutex::default() }
    }

    /// Returns a buffer, whose content is unspecified.
    pub(crate) fn acquire(&self) -> Buffer {
        let spare = lock(&self.spare_buffers).pop();
        spare.unwrap_or_else(|| {
            let mut held = self.gauge.track();
            held.set(self.length);
            Buffer { bytes: vec![0; self.length].into_boxed_slice(), _held: held }
        })
    }

    /// Returns a buffer to the pool, or frees it if the pool is full.
    pub(crate) fn release(&self, buffer: Buffer) {
        let mut spare = lock(&self.spare_buffers);
        if spare.len() < MAX_SPARE {
            spare.push(buffer);
        }
    }
}
