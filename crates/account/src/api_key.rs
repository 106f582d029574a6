use std::fmt;

/// Digest of an API key.
///
/// The text of a key is kept nowhere, so that no log, metric or error can reveal it.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
pub struct ApiKey([u8; ApiKey::BYTES]);

impl ApiKey {
    /// Length of the digest, in bytes.
    const BYTES: usize = 16;

    /// Computes the digest of a key's text.
    pub fn new(text: &[u8]) -> ApiKey {
        let mut bytes = [0; ApiKey::BYTES];
        bytes.copy_from_slice(&blake3::hash(text).as_bytes()[..ApiKey::BYTES]);
        ApiKey(bytes)
    }
}

impl fmt::Debug for ApiKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("ApiKey(..)")
    }
}
