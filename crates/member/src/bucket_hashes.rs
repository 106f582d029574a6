use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64;

/// Hashes of a set's entries by bucket, kept up to date entry by entry.
///
/// Two sets with equal hashes are taken as equal, so a comparison costs a few bytes however many
/// entries there are.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct BucketHashes {
    hashes: Vec<u32>,
}

/// How many buckets a set is divided into.
pub(crate) const BUCKET_COUNT: usize = 64;

impl BucketHashes {
    /// The buckets of an empty set.
    pub(crate) fn new() -> BucketHashes {
        BucketHashes { hashes: vec![0; BUCKET_COUNT] }
    }

    /// The bucket of a key.
    pub(crate) fn index_of<K>(key: &K) -> usize
    where
        K: Serialize,
    {
        hash(key) as usize % BUCKET_COUNT
    }

    /// Adds an entry that is not in the set, or takes out one that is.
    pub(crate) fn toggle<K, V>(&mut self, key: &K, value: &V)
    where
        K: Serialize,
        V: Serialize,
    {
        self.hashes[BucketHashes::index_of(key)] ^= hash(&(key, value)) as u32;
    }

    /// One hash for the whole set.
    pub(crate) fn summary(&self) -> u64 {
        hash(&self.hashes)
    }

    /// The hash of each bucket.
    pub(crate) fn hashes(&self) -> &[u32] {
        &self.hashes
    }

    /// Whether a bucket's hash differs from a peer's; a bucket that the peer left out differs.
    pub(crate) fn differs(&self, bucket: usize, theirs: &[u32]) -> bool {
        theirs.get(bucket) != self.hashes.get(bucket)
    }
}

fn hash<T>(value: &T) -> u64
where
    T: Serialize,
{
    // Keys and versions are far shorter than a frame, so that they always encode.
    xxh3_64(&bay_wire::encode(value).unwrap_or_default())
}
