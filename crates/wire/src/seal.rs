use std::collections::HashMap;
use std::net::SocketAddr;

use bay_types::{Incarnation, NodeId};
use serde::{Deserialize, Serialize};

use crate::auth::split_tag;
use crate::{AuthError, ClusterKey, Role, encode};

const WINDOW_BITS: u64 = 64;

/// Says who sent a sealed message and which of its messages it is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
struct Stamp {
    from: NodeId,
    role: Role,
    incarnation: Incarnation,
    counter: u64,
}

/// Seals the datagrams of one process.
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

    /// Seals a datagram for the receiver at an address; no other receiver takes it.
    pub fn seal_to(&mut self, to: SocketAddr, payload: &[u8]) -> Vec<u8> {
        self.stamp.counter += 1;
        // A stamp is far shorter than a frame, so that it always encodes.
        let mut bytes = encode(&self.stamp).unwrap_or_default();
        bytes.extend_from_slice(payload);
        let tag = self.key.tag(&[&address_bytes(to), &bytes]);
        bytes.extend_from_slice(&tag.0);
        bytes
    }
}

/// Opens sealed datagrams and rejects forged and replayed ones.
#[derive(Debug)]
pub struct Opener {
    key: ClusterKey,
    receiver: Vec<u8>,
    windows: HashMap<(NodeId, Role), Window>,
}

impl Opener {
    /// An opener of datagrams that were sealed for the receiver at this address.
    pub fn new(key: ClusterKey, address: SocketAddr) -> Opener {
        Opener { key, receiver: address_bytes(address), windows: HashMap::new() }
    }

    /// Checks a datagram and returns its sender, the sender's incarnation and the payload.
    ///
    /// # Errors
    /// Returns an error if the datagram is forged, damaged, meant for another receiver, replayed
    /// or from an earlier start of its sender.
    pub fn open<'a>(
        &mut self,
        bytes: &'a [u8],
    ) -> Result<(NodeId, Incarnation, &'a [u8]), AuthError> {
        let (signed, tag) = split_tag(bytes)?;
        if !self.key.tag(&[&self.receiver, signed]).fits(tag) {
            return Err(AuthError::Forged);
        }
        let (stamp, payload): (Stamp, &[u8]) =
            postcard::take_from_bytes(signed).map_err(|_| AuthError::TooShort)?;
        self.windows.entry((stamp.from, stamp.role)).or_default().accept(stamp)?;
        Ok((stamp.from, stamp.incarnation, payload))
    }
}

fn address_bytes(address: SocketAddr) -> Vec<u8> {
    // An address is far shorter than a frame, so that it always encodes.
    encode(&address).unwrap_or_default()
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
