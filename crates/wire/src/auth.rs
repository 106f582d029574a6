use std::fmt;

/// Length of an authentication code, in bytes.
pub(crate) const TAG_BYTES: usize = 16;

/// The shared key that authenticates messages between the processes of a cluster.
#[derive(Clone)]
pub struct ClusterKey([u8; blake3::KEY_LEN]);

impl ClusterKey {
    /// Minimum length of a secret, in bytes.
    pub const MIN_SECRET_BYTES: usize = 32;

    /// Derives the key from a secret. Returns `None` if the secret is shorter than
    /// [`ClusterKey::MIN_SECRET_BYTES`].
    pub fn derive(secret: &[u8]) -> Option<ClusterKey> {
        let long_enough = secret.len() >= ClusterKey::MIN_SECRET_BYTES;
        long_enough.then(|| ClusterKey(blake3::derive_key("dragonflybay 2026 cluster key", secret)))
    }

    /// Derives a key for one purpose from this key.
    pub(crate) fn subkey(&self, purpose: &[u8]) -> ClusterKey {
        ClusterKey(*blake3::keyed_hash(&self.0, purpose).as_bytes())
    }

    /// Computes the authentication code of the parts, each prefixed with its length.
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

/// An authentication code: a keyed BLAKE3 hash, truncated to [`TAG_BYTES`].
#[derive(Debug, Clone, Copy)]
pub(crate) struct Tag(pub(crate) [u8; TAG_BYTES]);

impl Tag {
    /// Compares the code with received bytes in constant time.
    pub(crate) fn matches(self, received: &[u8]) -> bool {
        if received.len() != TAG_BYTES {
            return false;
        }
        let pad = |bytes: &[u8]| {
            let mut padded = [0; blake3::OUT_LEN];
            padded[..TAG_BYTES].copy_from_slice(bytes);
            blake3::Hash::from(padded)
        };
        pad(&self.0) == pad(received)
    }
}

/// Splits a message into its signed part and its authentication code.
pub(crate) fn split_tag(bytes: &[u8]) -> Result<(&[u8], &[u8]), AuthError> {
    let split = bytes.len().checked_sub(TAG_BYTES).ok_or(AuthError::Malformed)?;
    Ok(bytes.split_at(split))
}

/// The reason why a sealed message or a handshake message was rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AuthError {
    /// The message is shorter than an authentication code, or its signed part doesn't decode.
    Malformed,
    /// The authentication code doesn't match the message.
    Forged,
    /// The message was received before, is older than the replay window, or is from an earlier
    /// start of its sender.
    Replayed,
}

impl fmt::Display for AuthError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            AuthError::Malformed => "the message is too short or malformed",
            AuthError::Forged => "the authentication code does not match; check the key files",
            AuthError::Replayed => "the message was received before or is too old",
        })
    }
}

impl std::error::Error for AuthError {}
