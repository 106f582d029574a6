use std::fmt;

/// Bytes of an authentication code.
pub(crate) const TAG_BYTES: usize = 16;

/// The shared key with which processes prove that they belong to the system.
#[derive(Clone)]
pub struct ClusterKey([u8; blake3::KEY_LEN]);

impl ClusterKey {
    /// Shortest secret, in bytes.
    pub const MIN_SECRET_BYTES: usize = 32;

    /// Derives a key from a secret, or returns `None` if the secret is too short.
    pub fn derive(secret: &[u8]) -> Option<ClusterKey> {
        let long_enough = secret.len() >= ClusterKey::MIN_SECRET_BYTES;
        long_enough.then(|| ClusterKey(blake3::derive_key("dragonflybay 2026 cluster key", secret)))
    }

    /// A key for one purpose, derived from this one.
    pub(crate) fn subkey(&self, purpose: &[u8]) -> ClusterKey {
        ClusterKey(*blake3::keyed_hash(&self.0, purpose).as_bytes())
    }

    /// The authentication code of the parts, each preceded by its length.
    pub(crate) fn tag(&self, parts: &[&[u8]]) -> Tag {
        let mut hasher = blake3::Hasher::new_keyed(&self.0);
        for part in parts {
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        let mut tag = [0; TAG_BYTES];
        tag.copy_from_slice(&hasher.finalize().as_bytes()[..TAG_BYTES]);
        Tag(tag)
    }
}

impl fmt::Debug for ClusterKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("ClusterKey")
    }
}

/// An authentication code.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Tag(pub(crate) [u8; TAG_BYTES]);

impl Tag {
    /// Compares the code with received bytes in constant time.
    pub(crate) fn fits(self, received: &[u8]) -> bool {
        if received.len() != TAG_BYTES {
            return false;
        }
        let widen = |bytes: &[u8]| {
            let mut wide = [0; blake3::OUT_LEN];
            wide[..TAG_BYTES].copy_from_slice(bytes);
            blake3::Hash::from(wide)
        };
        widen(&self.0) == widen(received)
    }
}

/// Splits a message into what was signed and the authentication code.
pub(crate) fn split_tag(bytes: &[u8]) -> Result<(&[u8], &[u8]), AuthError> {
    let split = bytes.len().checked_sub(TAG_BYTES).ok_or(AuthError::TooShort)?;
    Ok(bytes.split_at(split))
}

/// Why a sealed message was rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AuthError {
    /// The message is too short to be sealed.
    TooShort,
    /// The authentication code does not fit.
    Forged,
    /// The message was seen before, is too old, or is from an earlier start.
    Replayed,
}

impl fmt::Display for AuthError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            AuthError::TooShort => "expected a sealed message, found too few bytes",
            AuthError::Forged => "the authentication code does not fit; check the key files",
            AuthError::Replayed => "the message was seen before or is too old",
        })
    }
}

impl std::error::Error for AuthError {}
