use bay_types::{Incarnation, NodeId};
use serde::{Deserialize, Serialize};

use crate::auth::{TAG_BYTES, split_tag};
use crate::{AuthError, ClusterKey, MAX_FRAME_BYTES, Role, decode, encode};

/// Length of a nonce, in bytes. Nonces must come from the operating system's random generator.
pub const NONCE_BYTES: usize = 32;
/// Maximum length of a handshake message, in bytes.
pub const MAX_HANDSHAKE_BYTES: usize = 128;
/// Maximum length of the first frame after the handshake, in bytes.
///
/// The peer has not yet proven that it has the cluster key.
pub const MAX_FIRST_FRAME_BYTES: usize = 64 << 10;

/// The identity of one end of a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct LinkIdentity {
    /// The host on which the process runs.
    pub node: NodeId,
    /// The role of the process.
    pub role: Role,
    /// The start number of the process.
    pub incarnation: Incarnation,
}

/// The content of a hello or a challenge.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
struct Greeting {
    identity: LinkIdentity,
    nonce: [u8; NONCE_BYTES],
}

/// The initiating side of the handshake, without I/O.
///
/// The initiator sends a hello and receives a challenge, each in one frame. Each direction of the
/// connection has a key of its own, derived from both nonces, and authentication codes cover the
/// number of the frame. Replayed connections and repeated, reordered or reflected frames are
/// therefore rejected.
#[derive(Debug)]
pub struct LinkInitiator {
    key: ClusterKey,
    hello: Vec<u8>,
}

impl LinkInitiator {
    /// Starts a handshake. The nonce must be unique to it.
    pub fn new(key: ClusterKey, identity: LinkIdentity, nonce: [u8; NONCE_BYTES]) -> LinkInitiator {
        // Encoding fails only above the maximum message length, which a greeting never reaches.
        let hello = encode(&Greeting { identity, nonce }).unwrap_or_default();
        LinkInitiator { key, hello }
    }

    /// Returns the first message of the handshake, to be sent to the acceptor.
    pub fn hello(&self) -> &[u8] {
        &self.hello
    }

    /// Verifies the acceptor's challenge and completes the handshake.
    ///
    /// # Errors
    /// Returns an error if the challenge is malformed, answers another hello or was made with another
    /// key.
    pub fn finish(self, challenge: &[u8]) -> Result<SecuredLink, AuthError> {
        let (greeting, tag) = split_tag(challenge)?;
        if !self.key.tag(&[b"challenge", &self.hello, greeting]).matches(tag) {
            return Err(AuthError::Forged);
        }
        let peer: Greeting = decode(greeting).map_err(|_| AuthError::Malformed)?;
        let keys = DirectionKeys::derive(&self.key, &self.hello, greeting);
        Ok(SecuredLink::new(peer.identity, keys.initiator, keys.acceptor))
    }
}

/// The accepting side of the handshake after a hello.
#[derive(Debug)]
pub struct AcceptedLink {
    /// The second message of the handshake, to be sent to the initiator.
    pub challenge: Vec<u8>,
    /// The connection. The peer's identity is proven when its first frame opens.
    pub link: SecuredLink,
}

impl AcceptedLink {
    /// Answers a hello. The nonce must be unique to the handshake.
    ///
    /// # Errors
    /// Returns an error if the bytes don't decode as a hello.
    pub fn new(
        key: &ClusterKey,
        identity: LinkIdentity,
        nonce: [u8; NONCE_BYTES],
        hello: &[u8],
    ) -> Result<AcceptedLink, AuthError> {
        let peer: Greeting = decode(hello).map_err(|_| AuthError::Malformed)?;
        let mut challenge = encode(&Greeting { identity, nonce }).unwrap_or_default();
        let keys = DirectionKeys::derive(key, hello, &challenge);
        let tag = key.tag(&[b"challenge", hello, &challenge]);
        challenge.extend_from_slice(&tag.0);
        let link = SecuredLink::new(peer.identity, keys.acceptor, keys.initiator);
        Ok(AcceptedLink { challenge, link })
    }
}

/// The keys of the two directions of a connection.
struct DirectionKeys {
    initiator: ClusterKey,
    acceptor: ClusterKey,
}

impl DirectionKeys {
    fn derive(key: &ClusterKey, hello: &[u8], greeting: &[u8]) -> DirectionKeys {
        let transcript = key.tag(&[b"link", hello, greeting]);
        let direction = |name: &[u8]| key.subkey(&[&transcript.0[..], name].concat());
        DirectionKeys { initiator: direction(b"initiator"), acceptor: direction(b"acceptor") }
    }
}

/// A connection whose handshake is complete.
#[derive(Debug)]
pub struct SecuredLink {
    /// The identity that the peer claims. It is proven when a frame of the peer opens.
    pub peer: LinkIdentity,
    /// Seals outgoing frames.
    pub sealer: LinkSealer,
    /// Opens incoming frames.
    pub opener: LinkOpener,
}

impl SecuredLink {
    fn new(peer: LinkIdentity, send_key: ClusterKey, receive_key: ClusterKey) -> SecuredLink {
        let sealer = LinkSealer { key: send_key, counter: 0 };
        SecuredLink { peer, sealer, opener: LinkOpener { key: receive_key, counter: 0 } }
    }
}

/// Appends authentication codes to the frames of one direction of a connection.
#[derive(Debug)]
pub struct LinkSealer {
    key: ClusterKey,
    /// Number of frames sealed so far.
    counter: u64,
}

impl LinkSealer {
    /// Number of bytes that sealing adds to a payload.
    pub const OVERHEAD_BYTES: usize = TAG_BYTES;

    /// Seals the payload of the next frame.
    pub fn seal(&mut self, mut payload: Vec<u8>) -> Vec<u8> {
        let tag = self.key.tag(&[&self.counter.to_le_bytes(), &payload]);
        self.counter += 1;
        payload.extend_from_slice(&tag.0);
        payload
    }
}

/// Verifies the frames of one direction of a connection.
#[derive(Debug)]
pub struct LinkOpener {
    key: ClusterKey,
    /// Number of frames opened so far.
    counter: u64,
}

impl LinkOpener {
    /// Returns the maximum length of the next frame, in bytes.
    ///
    /// The limit is lower for the first frame, which proves that the peer has the key.
    pub fn max_frame_bytes(&self) -> usize {
        if self.counter == 0 { MAX_FIRST_FRAME_BYTES } else { MAX_FRAME_BYTES }
    }

    /// Verifies the next frame and returns its payload.
    ///
    /// The connection must be closed after an error.
    ///
    /// # Errors
    /// Returns an error if the frame is forged, damaged or not the next one from the peer.
    pub fn open<'a>(&mut self, frame: &'a [u8]) -> Result<&'a [u8], AuthError> {
        let (payload, tag) = split_tag(frame)?;
        if !self.key.tag(&[&self.counter.to_le_bytes(), payload]).matches(tag) {
            return Err(AuthError::Forged);
        }
        self.counter += 1;
        Ok(payload)
    }
}
