/// Keys of changes to piggyback on datagrams, each a limited number of times.
///
/// The least often sent go first, as in SWIM (Das, Gupta, Motivala 2002, section 4.1).
#[derive(Debug)]
pub(crate) struct RumorQueue<K> {
    entries: Vec<Entry<K>>,
}

#[derive(Debug)]
struct Entry<K> {
    key: K,
    times_sent: u32,
}

impl<K> RumorQueue<K>
where
    K: Copy + PartialEq,
{
    /// Creates an empty queue.
    pub(crate) fn new() -> RumorQueue<K> {
        RumorQueue { entries: Vec::new() }
    }

    /// Adds a key; if it is queued already, its count restarts.
    pub(crate) fn push(&mut self, key: K) {
        self.entries.retain(|entry| entry.key != key);
        self.entries.insert(0, Entry { key, times_sent: 0 });
    }

    /// Returns the values for one datagram, at most `budget` bytes in total. Keys that have been
    /// sent `limit` times, and keys that `load` no longer finds, are dropped.
    pub(crate) fn next_batch<T, F>(&mut self, limit: u32, mut budget: usize, load: F) -> Vec<T>
    where
        T: serde::Serialize,
        F: Fn(K) -> Option<T>,
    {
        let mut batch = Vec::new();
        for entry in &mut self.entries {
            let Some(value) = load(entry.key) else {
                entry.times_sent = limit;
                continue;
            };
            let size = bay_wire::encode(&value).map_or(usize::MAX, |bytes| bytes.len());
            if size > budget {
                break;
            }
            budget -= size;
            entry.times_sent += 1;
            batch.push(value);
        }
        self.entries.retain(|entry| entry.times_sent < limit);
        self.entries.sort_by_key(|entry| entry.times_sent);
        batch
    }
}

/// Returns how often each of `members` nodes sends a rumor; it grows with their logarithm.
pub(crate) fn max_transmissions(members: usize) -> u32 {
    const PER_DECADE: u32 = 4;
    let decades = (members + 1).checked_ilog10().unwrap_or(0) + 1;
    PER_DECADE * decades
}
