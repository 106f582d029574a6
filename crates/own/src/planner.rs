use bay_types::{ServerName, SliceId};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The owner of a slice by weighted rendezvous hashing (Thaler and Ravishankar, 1998; weights as
/// in Schindelhauer and Schomaker, 2005), or `None` without servers.
pub fn rendezvous_owner<I>(slice: SliceId, servers: I) -> Option<ServerName>
where
    I: IntoIterator<Item = (ServerName, u32)>,
{
    let scored = servers.into_iter().map(|(name, weight)| (score(slice, name, weight), name));
    let best = scored.max_by(|left, right| left.0.total_cmp(&right.0).then(left.1.cmp(&right.1)));
    best.map(|(_, name)| name)
}

fn score(slice: SliceId, name: ServerName, weight: u32) -> f64 {
    let hash = xxh3_64_with_seed(name.as_str().as_bytes(), u64::from(slice.0));
    // Maps the hash into the open interval from 0 to 1.
    let unit = ((hash >> 11) as f64 + 0.5) / (1u64 << 53) as f64;
    f64::from(weight) / -unit.ln()
}
