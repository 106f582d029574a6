use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

/// Counts the bytes of all buffers that hold parts of requests and answers.
#[derive(Debug, Default)]
pub(crate) struct BufferGauge {
    held: AtomicU64,
    peak: AtomicU64,
}

/// The share of one buffer; it ends when dropped.
#[derive(Debug)]
pub(crate) struct HeldBytes {
    gauge: Arc<BufferGauge>,
    bytes: u64,
}

impl BufferGauge {
    /// The bytes held at this moment.
    pub(crate) fn held_bytes(&self) -> u64 {
        self.held.load(Ordering::Relaxed)
    }

    /// The most bytes held at once since the gate's start.
    pub(crate) fn peak_bytes(&self) -> u64 {
        self.peak.load(Ordering::Relaxed)
    }

    /// The share of a buffer that holds nothing yet.
    pub(crate) fn track(self: &Arc<BufferGauge>) -> HeldBytes {
        HeldBytes { gauge: Arc::clone(self), bytes: 0 }
    }
}

impl HeldBytes {
    /// Says how large the buffer is by now.
    pub(crate) fn set(&mut self, bytes: usize) {
        let bytes = bytes as u64;
        if bytes > self.bytes {
            let held = &self.gauge.held;
            let before = held.fetch_add(bytes - self.bytes, Ordering::Relaxed);
            self.gauge.peak.fetch_max(before + bytes - self.bytes, Ordering::Relaxed);
        } else if bytes < self.bytes {
            self.gauge.held.fetch_sub(self.bytes - bytes, Ordering::Relaxed);
        }
        self.bytes = bytes;
    }
}

impl Drop for HeldBytes {
    fn drop(&mut self) {
        self.set(0);
    }
}
