//! The handshake and the frames of a connection: replay, reflection, reordering and damage.

use bay_types::{HostName, Incarnation, NodeId};
use bay_wire::{
    AcceptedLink, AuthError, ClusterKey, LinkIdentity, LinkInitiator, MAX_FIRST_FRAME_BYTES,
    MAX_FRAME_BYTES, MAX_HANDSHAKE_BYTES, Role, SecuredLink,
};
use proptest::prelude::*;

fn key(byte: u8) -> ClusterKey {
    ClusterKey::derive(&[byte; 32]).unwrap()
}

fn identity(name: &str, role: Role) -> LinkIdentity {
    let node = NodeId::of(HostName::new(name).unwrap());
    LinkIdentity { node, role, incarnation: Incarnation(u64::MAX) }
}

/// A connection from a gate to a steward, with its handshake messages.
struct Connection {
    hello: Vec<u8>,
    challenge: Vec<u8>,
    gate: SecuredLink,
    steward: SecuredLink,
}

fn accept(hello: &[u8], nonce: u8) -> AcceptedLink {
    let steward = identity("entry-2", Role::Steward);
    AcceptedLink::new(&key(7), steward, [nonce; 32], hello).unwrap()
}

fn initiate(nonce: u8) -> LinkInitiator {
    LinkInitiator::new(key(7), identity("entry-1", Role::Gate), [nonce; 32])
}

fn connect(gate_nonce: u8, steward_nonce: u8) -> Connection {
    let initiator = initiate(gate_nonce);
    let hello = initiator.hello().to_vec();
    let accepted = accept(&hello, steward_nonce);
    let challenge = accepted.challenge;
    let gate = initiator.finish(&challenge).unwrap();
    Connection { hello, challenge, gate, steward: accepted.link }
}

#[test]
fn both_ends_learn_the_peers_identity_and_exchange_frames() {
    let mut connection = connect(1, 2);
    assert_eq!(connection.gate.peer, identity("entry-2", Role::Steward));
    assert_eq!(connection.steward.peer, identity("entry-1", Role::Gate));
    for round in 0..3u8 {
        let frame = connection.gate.sealer.seal(vec![round; 10]);
        assert_eq!(connection.steward.opener.open(&frame), Ok(&[round; 10][..]));
        let frame = connection.steward.sealer.seal(vec![round; 20]);
        assert_eq!(connection.gate.opener.open(&frame), Ok(&[round; 20][..]));
    }
    assert!(connection.hello.len() <= MAX_HANDSHAKE_BYTES);
    assert!(connection.challenge.len() <= MAX_HANDSHAKE_BYTES);
}

#[test]
fn a_replayed_connection_is_rejected_by_a_new_acceptor() {
    let mut recorded = connect(1, 2);
    let frame = recorded.gate.sealer.seal(b"have".to_vec());
    let mut replayed = accept(&recorded.hello, 3).link;
    assert_eq!(replayed.opener.open(&frame), Err(AuthError::Forged));
}

#[test]
fn a_replayed_challenge_is_rejected_by_a_new_initiator() {
    let recorded = connect(1, 2);
    assert!(initiate(3).finish(&recorded.challenge).is_err());
}

#[test]
fn a_frame_opens_only_in_its_direction_and_sequence() {
    let mut connection = connect(1, 2);
    let frames = [b"a", b"b"].map(|payload| connection.gate.sealer.seal(payload.to_vec()));
    assert!(connection.gate.opener.open(&frames[0]).is_err());
    assert!(connection.steward.opener.open(&frames[1]).is_err());
    assert!(connection.steward.opener.open(&frames[0]).is_ok());
    assert!(connection.steward.opener.open(&frames[0]).is_err());
    assert!(connection.steward.opener.open(&frames[1]).is_ok());
}

#[test]
fn an_end_without_the_cluster_key_is_rejected() {
    let intruder = LinkInitiator::new(key(8), identity("entry-1", Role::Gate), [1; 32]);
    let accepted = accept(intruder.hello(), 2);
    assert!(intruder.finish(&accepted.challenge).is_err());

    let initiator = initiate(1);
    let steward = identity("entry-2", Role::Steward);
    let accepted = AcceptedLink::new(&key(8), steward, [2; 32], initiator.hello()).unwrap();
    assert!(initiator.finish(&accepted.challenge).is_err());
}

#[test]
fn the_frame_limit_is_lower_until_the_first_frame_opens() {
    let mut connection = connect(1, 2);
    assert_eq!(connection.steward.opener.max_frame_bytes(), MAX_FIRST_FRAME_BYTES);
    let frame = connection.gate.sealer.seal(b"first".to_vec());
    connection.steward.opener.open(&frame).unwrap();
    assert_eq!(connection.steward.opener.max_frame_bytes(), MAX_FRAME_BYTES);
}

proptest! {
    #[test]
    fn arbitrary_bytes_are_rejected(bytes in prop::collection::vec(any::<u8>(), 0..300)) {
        prop_assert!(initiate(1).finish(&bytes).is_err());
        prop_assert!(connect(1, 2).steward.opener.open(&bytes).is_err());
        // Arbitrary bytes may decode as a hello, but only an owner of the key can seal a frame.
        let accepted = AcceptedLink::new(&key(7), identity("a", Role::Steward), [1; 32], &bytes);
        if let Ok(mut accepted) = accepted {
            prop_assert!(accepted.link.opener.open(&bytes).is_err());
        }
    }

    #[test]
    fn a_damaged_handshake_is_rejected(
        at in any::<prop::sample::Index>(),
        bit in 0..8u8,
        in_hello in any::<bool>(),
    ) {
        let initiator = initiate(1);
        let mut hello = initiator.hello().to_vec();
        let damage = |bytes: &mut Vec<u8>| {
            let at = at.index(bytes.len());
            bytes[at] ^= 1 << bit;
        };
        if in_hello {
            damage(&mut hello);
        }
        let steward = identity("entry-2", Role::Steward);
        let Ok(accepted) = AcceptedLink::new(&key(7), steward, [2; 32], &hello) else {
            return Ok(());
        };
        let mut challenge = accepted.challenge;
        if !in_hello {
            damage(&mut challenge);
        }
        prop_assert!(initiator.finish(&challenge).is_err());
    }
}
