use std::collections::HashMap;
use std::net::SocketAddr;

use bay_types::{Incarnation, NodeId};
use serde::{Deserialize, Serialize};

use crate::auth::split_tag;
use crate::{AuthError, ClusterKey, Role, encode};

/// Number of counters that a replay window covers, ending with the highest one received.
const WINDOW_BITS: u64 = 64;

/// The header of a sealed datagram. No two datagrams have the same one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
struct DatagramHeader {
    sender: NodeId,
    role: Role,
    incarnation: Incarnation,
    counter: u64,
}

/// Seals the datagrams that a process sends.
#[derive(Debug)]
pub struct Sealer {
    key: ClusterKey,
    header: DatagramHeader,
}

impl Sealer {
    /// Creates a sealer. No two sealers may share node, role and incarnation.
    pub fn new(key: ClusterKey, sender: NodeId, role: Role, incarnation: Incarnation) -> Sealer {
        Sealer { key, header: DatagramHeader { sender, role, incarnation, counter: 0 } }
    }

    /// Seals a datagram. Only the receiver with this address accepts it.
    pub fn seal_to(&mut self, to: SocketAddr, payload: &[u8]) -> Vec<u8> {
        self.header.counter += 1;
        // Encoding fails only above the maximum message length, which a header never reaches.
        let mut bytes = encode(&self.header).unwrap_or_default();
        bytes.extend_from_slice(payload);
        let tag = self.key.tag(&[&address_bytes(to), &bytes]);
        bytes.extend_from_slice(&tag.0);
        bytes
    }
}

/// Opens received datagrams and rejects forged and replayed ones.
#[derive(Debug)]
pub struct Opener {
    key: ClusterKey,
    receiver: Vec<u8>,
    windows: HashMap<(NodeId, Role), ReplayWindow>,
}

impl Opener {
    /// Creates an opener for the receiver with this address.
    pub fn new(key: ClusterKey, address: SocketAddr) -> Opener {
        Opener { key, receiver: address_bytes(address), windows: HashMap::new() }
    }

    /// Verifies a datagram and returns its sender, the sender's incarnation and the payload.
    ///
    /// # Errors
    /// Returns an error if the datagram is forged, damaged, sealed for another receiver, replayed,
    /// older than the replay window, or from an earlier start of its sender.
    pub fn open<'a>(
        &mut self,
        bytes: &'a [u8],
    ) -> Result<(NodeId, Incarnation, &'a [u8]), AuthError> {
        let (signed, tag) = split_tag(bytes)?;
        if !self.key.tag(&[&self.receiver, signed]).matches(tag) {
            return Err(AuthError::Forged);
        }
        let (header, payload): (DatagramHeader, &[u8]) =
            postcard::take_from_bytes(signed).map_err(|_| AuthError::Malformed)?;
        self.windows.entry((header.sender, header.role)).or_default().accept(header)?;
        Ok((header.sender, header.incarnation, payload))
    }
}

fn address_bytes(address: SocketAddr) -> Vec<u8> {
    // Encoding fails only above the maximum message length, which an address never reaches.
    encode(&address).unwrap_or_default()
}

/// The anti-replay window of a sender's latest start (RFC 4303, section 3.4.3).
///
/// Bit `n` of `received` stands for the counter `highest_counter - n`.
#[derive(Debug, Default)]
struct ReplayWindow {
    incarnation: Incarnation,
    highest_counter: u64,
    received: u64,
}

impl ReplayWindow {
    fn accept(&mut self, header: DatagramHeader) -> Result<(), AuthError> {
        if header.incarnation < self.incarnation {
            return Err(AuthError::Replayed);
        }
        if header.incarnation > self.incarnation {
            *self =
                ReplayWindow { incarnation: header.incarnation, highest_counter: 0, received: 0 };
        }
        if header.counter > self.highest_counter {
            let advance = header.counter - self.highest_counter;
            self.received = if advance < WINDOW_BITS { (self.received << advance) | 1 } else { 1 };
            self.highest_counter = header.counter;
            return Ok(());
        }
        let age = self.highest_counter - header.counter;
        if age >= WINDOW_BITS || self.received & (1 << age) != 0 {
            return Err(AuthError::Replayed);
        }
        self.received |= 1 << age;
        Ok(())
    }
}
