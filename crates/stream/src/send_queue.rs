use std::collections::VecDeque;

/// Bytes that wait for their reader, in portions whose memory is freed as each is sent.
#[derive(Debug, Default)]
pub struct SendQueue {
    portions: VecDeque<Vec<u8>>,
    /// Number of bytes of the first portion that were sent.
    sent_len: usize,
    /// Number of bytes of all portions that were not sent.
    unsent_bytes: u64,
    /// Number of bytes of memory that the portions take.
    held_bytes: u64,
}

impl SendQueue {
    /// Minimum capacity of a portion, in bytes. It bounds the overhead of bodies that arrive in small
    /// pieces.
    const PORTION_BYTES: usize = 4 * 1024;

    /// Appends bytes.
    pub fn append(&mut self, bytes: &[u8]) {
        if bytes.is_empty() {
            return;
        }
        self.unsent_bytes += bytes.len() as u64;
        if let Some(last) = self.portions.back_mut()
            && last.capacity() - last.len() >= bytes.len()
        {
            last.extend_from_slice(bytes);
            return;
        }
        let mut portion = Vec::with_capacity(bytes.len().max(SendQueue::PORTION_BYTES));
        portion.extend_from_slice(bytes);
        self.held_bytes += portion.capacity() as u64;
        self.portions.push_back(portion);
    }

    /// Inserts bytes before all others, of which none may have been sent.
    pub fn prepend(&mut self, bytes: Vec<u8>) {
        debug_assert_eq!(self.sent_len, 0);
        if !bytes.is_empty() {
            self.unsent_bytes += bytes.len() as u64;
            self.held_bytes += bytes.capacity() as u64;
            self.portions.push_front(bytes);
        }
    }

    /// Returns the bytes to send next; empty if there are none.
    pub fn front(&self) -> &[u8] {
        self.portions.front().map_or(&[], |portion| &portion[self.sent_len..])
    }

    /// Removes `count` bytes, at most those of [`SendQueue::front`].
    pub fn consume(&mut self, count: usize) {
        debug_assert!(count <= self.front().len());
        self.sent_len += count;
        self.unsent_bytes -= count as u64;
        let sent_len = self.sent_len;
        if let Some(portion) = self.portions.pop_front_if(|portion| portion.len() == sent_len) {
            self.held_bytes -= portion.capacity() as u64;
            self.sent_len = 0;
        }
    }

    /// Returns the number of bytes that were not sent.
    pub fn unsent_bytes(&self) -> u64 {
        self.unsent_bytes
    }

    /// Returns the number of bytes of memory that the portions take.
    pub fn held_bytes(&self) -> u64 {
        self.held_bytes
    }

    /// Returns whether all bytes were sent.
    pub fn is_empty(&self) -> bool {
        self.unsent_bytes == 0
    }
}
