use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

/// Counts the bytes of all buffers that hold parts of requests and responses.
#[derive(Debug, Default)]
pub(crate) struct BufferGauge {
    held_bytes: AtomicU64,
    peak_bytes: AtomicU64,
}

/// Number of bytes that one buffer adds to the gauge, until dropped.
#[derive(Debug)]
pub(crate) struct HeldBytes {
    gauge: Arc<BufferGauge>,
    bytes: u64,
}

impl BufferGauge {
    /// Returns the number of bytes held now.
    pub(crate) fn held_bytes(&self) -> u64 {
        self.held_bytes.load(Ordering::Relaxed)
    }

    /// Returns the highest number of bytes held at once since the process started.
    pub(crate) fn peak_bytes(&self) -> u64 {
        self.peak_bytes.load(Ordering::Relaxed)
    }

    /// Starts to count a buffer, with a size of zero.
    pub(crate) fn track(self: &Arc<BufferGauge>) -> HeldBytes {
        HeldBytes { gauge: Arc::clone(self), bytes: 0 }
    }
}

impl HeldBytes {
    /// Updates the size of the buffer.
    pub(crate) fn set(&mut self, bytes: usize) {
        let bytes = bytes as u64;
        if bytes > self.bytes {
            let held = &self.gauge.held_bytes;
            let before = held.fetch_add(bytes - self.bytes, Ordering::Relaxed);
            self.gauge.peak_bytes.fetch_max(before + bytes - self.bytes, Ordering::Relaxed);
        } else if bytes < self.bytes {
            self.gauge.held_bytes.fetch_sub(self.bytes - bytes, Ordering::Relaxed);
        }
        self.bytes = bytes;
    }
}

impl Drop for HeldBytes {
    fn drop(&mut self) {
        self.set(0);
    }
}
