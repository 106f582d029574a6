/// The keys of changes that ride on datagrams, each a limited number of times.
///
/// The least often sent go first, as in SWIM (Das, Gupta, Motivala 2002, section 4.1).
#[derive(Debug)]
pub(crate) struct RumorQueue<K> {
    entries: Vec<Rumor<K>>,
}

#[derive(Debug)]
struct Rumor<K> {
    key: K,
    sent: u32,
}

impl<K> RumorQueue<K>
where
    K: Copy + PartialEq,
{
    /// A queue without rumors.
    pub(crate) fn new() -> RumorQueue<K> {
        RumorQueue { entries: Vec::new() }
    }

    /// Adds a key, or starts its count afresh.
    pub(crate) fn push(&mut self, key: K) {
        self.entries.retain(|entry| entry.key != key);
        self.entries.insert(0, Rumor { key, sent: 0 });
    }

    /// Takes the rumors for one datagram of at most this many bytes and drops those that were
    /// sent often enough. A key that `load` no longer knows is dropped.
    pub(crate) fn take<T, F>(&mut self, limit: u32, mut budget: usize, load: F) -> Vec<T>
    where
        T: serde::Serialize,
        F: Fn(K) -> Option<T>,
    {
        let mut taken = Vec::new();
        for entry in &mut self.entries {
            let Some(value) = load(entry.key) else {
                entry.sent = limit;
                continue;
            };
            let size = bay_wire::encode(&value).map_or(usize::MAX, |bytes| bytes.len());
            if size > budget {
                break;
            }
            budget -= size;
            entry.sent += 1;
            taken.push(value);
        }
        self.entries.retain(|entry| entry.sent < limit);
        self.entries.sort_by_key(|entry| entry.sent);
        taken
    }
}

/// How often a rumor is sent by each of `members` nodes.
pub(crate) fn transmissions(members: usize) -> u32 {
    const PER_DECADE: u32 = 4;
    let decades = (members + 1).checked_ilog10().unwrap_or(0) + 1;
    PER_DECADE * decades
}
