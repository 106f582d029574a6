use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64;

/// Hashes of a set's entries by bucket, kept up to date entry by entry.
///
/// Two sets with equal hashes are taken as equal, so a comparison costs a few bytes however many
/// entries there are.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Buckets {
    cells: Vec<u32>,
}

/// How many buckets a set is divided into.
pub(crate) const BUCKETS: usize = 64;

impl Buckets {
    /// The buckets of an empty set.
    pub(crate) fn new() -> Buckets {
        Buckets { cells: vec![0; BUCKETS] }
    }

    /// The bucket of a key.
    pub(crate) fn of<K>(key: &K) -> usize
    where
        K: Serialize,
    {
        hash(key) as usize % BUCKETS
    }

    /// Adds an entry that is not in the set, or takes out one that is.
    pub(crate) fn toggle<K, V>(&mut self, key: &K, value: &V)
    where
        K: Serialize,
        V: Serialize,
    {
        self.cells[Buckets::of(key)] ^= hash(&(key, value)) as u32;
    }

    /// One hash for the whole set.
    pub(crate) fn summary(&self) -> u64 {
        hash(&self.cells)
    }

    /// The hash of each bucket.
    pub(crate) fn cells(&self) -> &[u32] {
        &self.cells
    }

    /// Whether a bucket's hash differs from a peer's; a bucket that the peer left out differs.
    pub(crate) fn differs(&self, bucket: usize, theirs: &[u32]) -> bool {
        theirs.get(bucket) != self.cells.get(bucket)
    }
}

fn hash<T>(value: &T) -> u64
where
    T: Serialize,
{
    // Keys and versions are far shorter than a frame, so that they always encode.
    xxh3_64(&bay_wire::encode(value).unwrap_or_default())
}
