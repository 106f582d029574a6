//! Sealed datagrams that are forged, damaged, misdirected, replayed or reordered.

use std::net::SocketAddr;

use bay_types::{HostName, Incarnation, NodeId};
use bay_wire::{AuthError, ClusterKey, Opener, Role, Sealer};
use proptest::prelude::*;
use test_case::test_case;

fn key(byte: u8) -> ClusterKey {
    ClusterKey::derive(&[byte; 32]).unwrap()
}

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], port))
}

fn sealer(incarnation: u64) -> Sealer {
    let node = NodeId::of(HostName::new("entry-1").unwrap());
    Sealer::new(key(7), node, Role::Steward, Incarnation(incarnation))
}

fn opener() -> Opener {
    Opener::new(key(7), address(1))
}

#[test]
fn a_datagram_opens_once_and_its_replay_is_rejected() {
    let (mut sealer, mut opener) = (sealer(1), opener());
    let sealed = sealer.seal_to(address(1), b"hello");
    let (_, incarnation, payload) = opener.open(&sealed).unwrap();
    assert_eq!((incarnation, payload), (Incarnation(1), &b"hello"[..]));
    assert_eq!(opener.open(&sealed), Err(AuthError::Replayed));
}

#[test_case(Opener::new(key(8), address(1)); "another key")]
#[test_case(Opener::new(key(7), address(2)); "another receiver")]
fn a_datagram_for_another_key_or_receiver_is_rejected(mut opener: Opener) {
    assert_eq!(opener.open(&sealer(1).seal_to(address(1), b"x")), Err(AuthError::Forged));
}

#[test]
fn reordered_datagrams_open_within_the_replay_window() {
    let (mut sealer, mut opener) = (sealer(1), opener());
    let sealed: Vec<_> = (0..200).map(|_| sealer.seal_to(address(1), b"x")).collect();
    assert!(opener.open(&sealed[63]).is_ok());
    assert!(opener.open(&sealed[0]).is_ok());
    assert!(opener.open(&sealed[199]).is_ok());
    assert_eq!(opener.open(&sealed[135]), Err(AuthError::Replayed));
    assert!(opener.open(&sealed[136]).is_ok());
    assert_eq!(opener.open(&sealed[136]), Err(AuthError::Replayed));
}

#[test]
fn a_datagram_from_an_earlier_start_is_rejected() {
    let mut opener = opener();
    let old = sealer(1).seal_to(address(1), b"x");
    assert!(opener.open(&sealer(2).seal_to(address(1), b"x")).is_ok());
    assert_eq!(opener.open(&old), Err(AuthError::Replayed));
}

proptest! {
    #[test]
    fn arbitrary_bytes_are_rejected(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        prop_assert!(opener().open(&bytes).is_err());
    }

    #[test]
    fn a_damaged_datagram_is_rejected(
        payload in prop::collection::vec(any::<u8>(), 0..100),
        at in any::<prop::sample::Index>(),
        bit in 0..8u8,
    ) {
        let mut sealed = sealer(1).seal_to(address(1), &payload);
        let at = at.index(sealed.len());
        sealed[at] ^= 1 << bit;
        prop_assert!(opener().open(&sealed).is_err());
        prop_assert!(opener().open(&sealed[..at]).is_err());
    }

    #[test]
    fn repeated_datagrams_open_at_most_once(order in prop::collection::vec(0..150usize, 0..400)) {
        let (mut sealer, mut opener) = (sealer(1), opener());
        let sealed: Vec<_> = (0..150).map(|_| sealer.seal_to(address(1), b"x")).collect();
        let mut opened = [0; 150];
        for index in order {
            opened[index] += u32::from(opener.open(&sealed[index]).is_ok());
        }
        prop_assert!(opened.iter().all(|count| *count <= 1));
    }
}
