use std::sync::{Arc, Mutex};

use super::buffer_gauge::{BufferGauge, HeldBytes};
use super::lock;

/// Most buffers that are kept while no connection uses them.
const MAX_SPARE: usize = 64;

/// Keeps connections' buffers between uses, so that a request costs no large allocation.
#[derive(Debug)]
pub(crate) struct BufferPool {
    length: usize,
    gauge: Arc<BufferGauge>,
    spare: Mutex<Vec<Buffer>>,
}

/// A buffer of fixed length.
#[derive(Debug)]
pub(crate) struct Buffer {
    /// The bytes.
    pub(crate) bytes: Box<[u8]>,
    _held: HeldBytes,
}

impl BufferPool {
    /// No buffers yet, each of this length.
    pub(crate) fn new(length: usize, gauge: Arc<BufferGauge>) -> BufferPool {
        BufferPool { length, gauge, spare: Mutex::default() }
    }

    /// A buffer with any content.
    pub(crate) fn acquire(&self) -> Buffer {
        let spare = lock(&self.spare).pop();
        spare.unwrap_or_else(|| {
            let mut held = self.gauge.track();
            held.set(self.length);
            Buffer { bytes: vec![0; self.length].into_boxed_slice(), _held: held }
        })
    }

    /// Keeps a buffer for its next use, unless there are enough.
    pub(crate) fn release(&self, buffer: Buffer) {
        let mut spare = lock(&self.spare);
        if spare.len() < MAX_SPARE {
            spare.push(buffer);
        }
    }
}
