use bay_types::{Incarnation, NodeId};
use serde::{Deserialize, Serialize};

use crate::auth::{TAG_BYTES, split_tag};
use crate::{AuthError, ClusterKey, MAX_FRAME_BYTES, Role, decode, encode};

/// Bytes of a nonce; it must come from the system's random generator.
pub const NONCE_BYTES: usize = 32;
/// Longest message of the handshake, in bytes.
pub const MAX_HANDSHAKE_BYTES: usize = 128;
/// Longest frame of a peer that has not yet proven that it has the key, in bytes.
pub const MAX_FIRST_FRAME_BYTES: usize = 64 << 10;

/// Who one end of a connection is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct LinkIdentity {
    /// The host.
    pub node: NodeId,
    /// The role.
    pub role: Role,
    /// Numbers the start of the process.
    pub incarnation: Incarnation,
}

/// One end's part of the handshake.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
struct Greeting {
    identity: LinkIdentity,
    nonce: [u8; NONCE_BYTES],
}

/// The end of a connection that opens it, without I/O.
///
/// It sends its hello, gets the challenge and is then done: two messages, each sent as one frame.
/// Both nonces go into the keys of the connection, one key for each direction, and each frame is
/// counted. So neither a recording of a whole connection nor a frame that is repeated, moved or
/// turned round is accepted.
#[derive(Debug)]
pub struct LinkInitiator {
    key: ClusterKey,
    hello: Vec<u8>,
}

impl LinkInitiator {
    /// Begins a handshake with a nonce that is used once.
    pub fn new(key: ClusterKey, identity: LinkIdentity, nonce: [u8; NONCE_BYTES]) -> LinkInitiator {
        // A greeting is far shorter than a frame, so that it always encodes.
        let hello = encode(&Greeting { identity, nonce }).unwrap_or_default();
        LinkInitiator { key, hello }
    }

    /// The first message, for the acceptor.
    pub fn hello(&self) -> &[u8] {
        &self.hello
    }

    /// Takes the acceptor's challenge and ends the handshake.
    ///
    /// # Errors
    /// Returns an error if the challenge does not answer this hello or was not made with the key.
    pub fn finish(self, challenge: &[u8]) -> Result<SecuredLink, AuthError> {
        let (greeting, tag) = split_tag(challenge)?;
        if !self.key.tag(&[b"challenge", &self.hello, greeting]).fits(tag) {
            return Err(AuthError::Forged);
        }
        let peer: Greeting = decode(greeting).map_err(|_| AuthError::TooShort)?;
        let keys = Directions::derive(&self.key, &self.hello, greeting);
        Ok(SecuredLink::new(peer.identity, keys.initiator, keys.acceptor))
    }
}

/// What the end that accepts a connection has after the hello.
#[derive(Debug)]
pub struct AcceptedLink {
    /// The second message, for the initiator.
    pub challenge: Vec<u8>,
    /// The connection. Its peer has proven who it is once the first frame is opened.
    pub link: SecuredLink,
}

impl AcceptedLink {
    /// Answers a hello, with a nonce that is used once.
    ///
    /// # Errors
    /// Returns an error if the bytes are not a hello.
    pub fn new(
        key: &ClusterKey,
        identity: LinkIdentity,
        nonce: [u8; NONCE_BYTES],
        hello: &[u8],
    ) -> Result<AcceptedLink, AuthError> {
        let peer: Greeting = decode(hello).map_err(|_| AuthError::TooShort)?;
        let mut challenge = encode(&Greeting { identity, nonce }).unwrap_or_default();
        let keys = Directions::derive(key, hello, &challenge);
        let tag = key.tag(&[b"challenge", hello, &challenge]);
        challenge.extend_from_slice(&tag.0);
        let link = SecuredLink::new(peer.identity, keys.acceptor, keys.initiator);
        Ok(AcceptedLink { challenge, link })
    }
}

/// The keys of a connection's two directions.
struct Directions {
    initiator: ClusterKey,
    acceptor: ClusterKey,
}

impl Directions {
    fn derive(key: &ClusterKey, hello: &[u8], greeting: &[u8]) -> Directions {
        let transcript = key.tag(&[b"link", hello, greeting]);
        let direction = |name: &[u8]| key.subkey(&[&transcript.0[..], name].concat());
        Directions { initiator: direction(b"initiator"), acceptor: direction(b"acceptor") }
    }
}

/// A connection after the handshake.
#[derive(Debug)]
pub struct SecuredLink {
    /// Who the other end says it is; true if one of its frames opens.
    pub peer: LinkIdentity,
    /// Seals what this end sends.
    pub sealer: LinkSealer,
    /// Opens what this end receives.
    pub opener: LinkOpener,
}

impl SecuredLink {
    fn new(peer: LinkIdentity, send: ClusterKey, receive: ClusterKey) -> SecuredLink {
        let sealer = LinkSealer { key: send, counter: 0 };
        SecuredLink { peer, sealer, opener: LinkOpener { key: receive, counter: 0 } }
    }
}

/// Seals the frames of one direction of a connection.
#[derive(Debug)]
pub struct LinkSealer {
    key: ClusterKey,
    counter: u64,
}

impl LinkSealer {
    /// Bytes that a seal adds to a payload.
    pub const OVERHEAD_BYTES: usize = TAG_BYTES;

    /// Puts an authentication code on the next frame.
    pub fn seal(&mut self, mut payload: Vec<u8>) -> Vec<u8> {
        let tag = self.key.tag(&[&self.counter.to_le_bytes(), &payload]);
        self.counter += 1;
        payload.extend_from_slice(&tag.0);
        payload
    }
}

/// Opens the frames of one direction of a connection.
#[derive(Debug)]
pub struct LinkOpener {
    key: ClusterKey,
    counter: u64,
}

impl LinkOpener {
    /// Longest frame that may be read next, in bytes.
    pub fn max_frame_bytes(&self) -> usize {
        if self.counter == 0 { MAX_FIRST_FRAME_BYTES } else { MAX_FRAME_BYTES }
    }

    /// Checks the next frame and returns its payload. After an error the connection is of no more
    /// use.
    ///
    /// # Errors
    /// Returns an error unless the frame is the next one that the other end sent.
    pub fn open<'a>(&mut self, frame: &'a [u8]) -> Result<&'a [u8], AuthError> {
        let (payload, tag) = split_tag(frame)?;
        if !self.key.tag(&[&self.counter.to_le_bytes(), payload]).fits(tag) {
            return Err(AuthError::Forged);
        }
        self.counter += 1;
        Ok(payload)
    }
}
