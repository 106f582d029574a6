use std::collections::HashMap;
use std::fmt;

use bay_types::{Incarnation, NodeId};
use serde::{Deserialize, Serialize};

use crate::{Role, encode};

const TAG_BYTES: usize = 16;
const WINDOW_BITS: u64 = 64;

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

    fn tag(&self, bytes: &[u8]) -> [u8; TAG_BYTES] {
        let hash = blake3::keyed_hash(&self.0, bytes);
        let mut tag = [0; TAG_BYTES];
        tag.copy_from_slice(&hash.as_bytes()[..TAG_BYTES]);
        tag
    }
}

impl fmt::Debug for ClusterKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("ClusterKey")
    }
}

/// Says who sent a sealed message and which of its messages it is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
struct Stamp {
    from: NodeId,
    role: Role,
    incarnation: Incarnation,
    counter: u64,
}

/// Seals the messages of one process.
#[derive(Debug)]
pub struct Sealer {
    key: ClusterKey,
    stamp: Stamp,
}

impl Sealer {
    /// A sealer for one start of one process; no two share node, role and incarnation.
    pub fn new(key: ClusterKey, from: NodeId, role: Role, incarnation: Incarnation) -> Sealer {
        Sealer { key, stamp: Stamp { from, role, incarnation, counter: 0 } }
    }

    /// Puts a stamp and an authentication code on a message.
    pub fn seal(&mut self, payload: &[u8]) -> Vec<u8> {
        self.stamp.counter += 1;
        let mut bytes = encode(&self.stamp).unwrap_or_default();
        bytes.extend_from_slice(payload);
        let tag = self.key.tag(&bytes);
        bytes.extend_from_slice(&tag);
        bytes
    }
}

/// Opens sealed messages and rejects forged and replayed ones.
#[derive(Debug)]
pub struct Opener {
    key: ClusterKey,
    windows: HashMap<(NodeId, Role), Window>,
}

impl Opener {
    /// An opener that has seen no message.
    pub fn new(key: ClusterKey) -> Opener {
        Opener { key, windows: HashMap::new() }
    }

    /// Checks a message and returns its sender, the sender's incarnation and the payload.
    ///
    /// # Errors
    /// Returns an error if the message is forged, damaged, replayed or from an earlier start of
    /// its sender.
    pub fn open<'a>(
        &mut self,
        bytes: &'a [u8],
    ) -> Result<(NodeId, Incarnation, &'a [u8]), AuthError> {
        let split = bytes.len().checked_sub(TAG_BYTES).ok_or(AuthError::Short)?;
        let (signed, tag) = bytes.split_at(split);
        let expected = self.key.tag(signed);
        // A keyed hash compares in constant time.
        if blake3::Hash::from(widen(expected)) != blake3::Hash::from(widen_slice(tag)) {
            return Err(AuthError::Forged);
        }
        let (stamp, payload) = split_stamp(signed)?;
        self.windows.entry((stamp.from, stamp.role)).or_default().accept(stamp)?;
        Ok((stamp.from, stamp.incarnation, payload))
    }
}

fn split_stamp(signed: &[u8]) -> Result<(Stamp, &[u8]), AuthError> {
    postcard::take_from_bytes(signed).map_err(|_| AuthError::Short)
}

fn widen(tag: [u8; TAG_BYTES]) -> [u8; blake3::OUT_LEN] {
    widen_slice(&tag)
}

fn widen_slice(tag: &[u8]) -> [u8; blake3::OUT_LEN] {
    let mut wide = [0; blake3::OUT_LEN];
    wide[..TAG_BYTES].copy_from_slice(tag);
    wide
}

/// The counters seen from the latest start of one sender (RFC 4303, section 3.4.3).
#[derive(Debug, Default)]
struct Window {
    incarnation: Incarnation,
    highest: u64,
    seen: u64,
}

impl Window {
    fn accept(&mut self, stamp: Stamp) -> Result<(), AuthError> {
        if stamp.incarnation < self.incarnation {
            return Err(AuthError::Replayed);
        }
        if stamp.incarnation > self.incarnation {
            *self = Window { incarnation: stamp.incarnation, highest: 0, seen: 0 };
        }
        if stamp.counter > self.highest {
            let step = stamp.counter - self.highest;
            self.seen = if step < WINDOW_BITS { (self.seen << step) | 1 } else { 1 };
            self.highest = stamp.counter;
            return Ok(());
        }
        let age = self.highest - stamp.counter;
        if age >= WINDOW_BITS || self.seen & (1 << age) != 0 {
            return Err(AuthError::Replayed);
        }
        self.seen |= 1 << age;
        Ok(())
    }
}

/// Why a sealed message was rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AuthError {
    /// The message is too short to be sealed.
    Short,
    /// The authentication code does not fit.
    Forged,
    /// The message was seen before, is too old, or is from an earlier start.
    Replayed,
}

impl fmt::Display for AuthError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            AuthError::Short => "expected a sealed message, found too few bytes",
            AuthError::Forged => "the authentication code does not fit; check the key files",
            AuthError::Replayed => "the message was seen before or is too old",
        })
    }
}

impl std::error::Error for AuthError {}
