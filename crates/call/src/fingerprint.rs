use bay_types::ServiceName;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::RequestHead;

/// Identifies equal requests to a service, to recognize those that crash targets.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Fingerprint {
    /// The service that the request is for.
    pub service: ServiceName,
    /// The digest of method, path, query, key and the first part of the body.
    pub digest: u64,
}

impl Fingerprint {
    /// Computes the fingerprint of a request; `key_header` names the header with its key, if any.
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
