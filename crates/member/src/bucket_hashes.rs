use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64;

/// Hashes of a set's entries by bucket, updated incrementally.
///
/// Sets with equal hashes are assumed to be equal. A comparison therefore costs the same few bytes
/// for any number of entries.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct BucketHashes {
    hashes: Vec<u32>,
}

/// Number of buckets; all nodes must use the same.
pub(crate) const BUCKET_COUNT: usize = 64;

impl BucketHashes {
    /// Creates the hashes of an empty set.
    pub(crate) fn new() -> BucketHashes {
        BucketHashes { hashes: vec![0; BUCKET_COUNT] }
    }

    /// Returns the bucket index of a key.
    pub(crate) fn index_of<K>(key: &K) -> usize
    where
        K: Serialize,
    {
        hash(key) as usize % BUCKET_COUNT
    }

    /// Adds an entry, or removes it if it is in the set.
    pub(crate) fn toggle<K, V>(&mut self, key: &K, value: &V)
    where
        K: Serialize,
        V: Serialize,
    {
        self.hashes[BucketHashes::index_of(key)] ^= hash(&(key, value)) as u32;
    }

    /// Returns a single hash of the whole set.
    pub(crate) fn summary(&self) -> u64 {
        hash(&self.hashes)
    }

    /// Returns the hash of each bucket.
    pub(crate) fn hashes(&self) -> &[u32] {
        &self.hashes
    }

    /// Whether a bucket's hash differs from a peer's. A missing bucket differs.
    pub(crate) fn differs(&self, bucket: usize, theirs: &[u32]) -> bool {
        theirs.get(bucket) != self.hashes.get(bucket)
    }
}

fn hash<T>(value: &T) -> u64
where
    T: Serialize,
{
    // Keys and versions are far shorter than a frame, so encoding them cannot fail.
    xxh3_64(&bay_wire::encode(value).unwrap_or_default())
}
