use bay_types::ServiceName;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::RequestHead;

/// Tells requests apart by what a target is asked to do.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Fingerprint {
    /// The service.
    pub service: ServiceName,
    /// The digest of method, path, query, key and the body's first part.
    pub digest: u64,
}

impl Fingerprint {
    /// The fingerprint of a request; `key_header` is the header that carries its key, if any.
    pub fn of<H>(service: ServiceName, head: &H, key_header: Option<&str>) -> Fingerprint
    where
        H: RequestHead,
    {
        let method = head.method().map_or("", |method| method.as_str());
        let key = key_header.and_then(|name| head.header(name)).unwrap_or("");
        let mut digest = head.body_digest();
        for part in [method, head.path(), head.query(), key] {
            digest = xxh3_64_with_seed(part.as_bytes(), digest);
        }
        Fingerprint { service, digest }
    }
}
