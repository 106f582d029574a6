//! The decoders of messages between processes, given arbitrary and damaged bytes.

use std::fmt::Debug;
use std::net::SocketAddr;

use bay_types::{NodeId, ServiceName, SliceId, Term, Token, ZoneName};
use bay_wire::{
    ClusterStatus, FrameError, GateAddress, Item, ItemKey, ItemVersion, KeyVersion, LeaseProof,
    LinkMessage, MAX_FRAME_BYTES, MAX_MESSAGE_BYTES, Order, OrderReply, OrderRole, PeerMessage,
    Role, RouteRow, Routes, SliceGrant, decode, encode, frame_len, frame_len_within,
};
use proptest::prelude::*;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Decodes bytes, and checks that a decoded message survives a round trip.
fn check_decoder<T>(bytes: &[u8])
where
    T: Serialize + DeserializeOwned + PartialEq + Debug,
{
    match decode::<T>(bytes) {
        Ok(message) => assert_eq!(decode::<T>(&encode(&message).unwrap()), Ok(message)),
        Err(error) => assert!(error.to_string().starts_with("expected")),
    }
}

fn check_all_decoders(bytes: &[u8]) {
    check_decoder::<LinkMessage>(bytes);
    check_decoder::<PeerMessage>(bytes);
    check_decoder::<Item>(bytes);
    check_decoder::<Routes>(bytes);
    // Messages to and from servers and operators are JSON. These calls must not panic.
    let _ = serde_json::from_slice::<Order>(bytes);
    let _ = serde_json::from_slice::<OrderReply>(bytes);
    let _ = serde_json::from_slice::<ClusterStatus>(bytes);
}

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], port))
}

fn service() -> ServiceName {
    ServiceName::new("jobs").unwrap()
}

fn zone() -> ZoneName {
    ZoneName::new("perth-north").unwrap()
}

fn item(body: Vec<u8>) -> Item {
    let version = ItemVersion { major: 3, minor: 9 };
    Item { key: ItemKey::Routes(service(), zone()), version, base: Some(version), body }
}

fn messages() -> Vec<Vec<u8>> {
    let key = ItemKey::Document(service());
    let key_versions =
        vec![KeyVersion { key, version: ItemVersion { major: u64::MAX, minor: 0 } }; 3];
    let gate = GateAddress { node: NodeId(1), zone: zone(), address: address(1) };
    let row = RouteRow { slice: SliceId(1), token: Token(2), server: Some(0) };
    let routes = Routes { servers: vec![address(2)], rows: vec![row; 3], hot: Vec::new() };
    let routes = encode(&routes).unwrap();
    let order = Order {
        keeper: NodeId(1),
        role: OrderRole::Deputy,
        term: Term(2),
        sequence: 3,
        proof: Some(LeaseProof { boot: 5, stamp: u64::MAX }),
        lease_ms: 4,
        replace: true,
        grant: vec![SliceGrant { slice: SliceId(1), token: Token(2) }],
        revoke: Vec::new(),
    };
    let hello =
        LinkMessage::Hello { node: NodeId(1), role: Role::Gate, versions: key_versions.clone() };
    vec![
        encode(&hello).unwrap(),
        encode(&LinkMessage::RequestItems(key_versions.clone())).unwrap(),
        encode(&LinkMessage::Items(vec![item(routes.clone())])).unwrap(),
        encode(&LinkMessage::Gates(vec![gate])).unwrap(),
        encode(&LinkMessage::InForce(key_versions)).unwrap(),
        routes,
        serde_json::to_vec(&order).unwrap(),
    ]
}

#[test]
fn the_longest_sealed_message_fits_a_frame() {
    let overhead = encode(&item(Vec::new())).unwrap().len() + 3;
    let largest = encode(&item(vec![0; MAX_MESSAGE_BYTES - overhead])).unwrap();
    assert_eq!(largest.len(), MAX_MESSAGE_BYTES);
    let sealed = (largest.len() + bay_wire::LinkSealer::OVERHEAD_BYTES) as u32;
    assert_eq!(frame_len(sealed.to_le_bytes()), Ok(sealed as usize));
    let oversized = item(vec![0; MAX_MESSAGE_BYTES]);
    assert_eq!(encode(&oversized), Err(FrameError::TooLong));
}

#[test]
fn a_length_beyond_the_end_of_the_message_is_malformed() {
    // A list of 2^60 items, none of which follows. The decoder must not reserve memory for them.
    let mut bytes = vec![2];
    bytes.extend([0xff; 8]);
    bytes.push(0x0f);
    assert_eq!(decode::<LinkMessage>(&bytes), Err(FrameError::Malformed));
    assert_eq!(decode::<Routes>(&bytes[1..]), Err(FrameError::Malformed));
}

proptest! {
    #[test]
    fn arbitrary_bytes_decode_or_fail(bytes in prop::collection::vec(any::<u8>(), 0..400)) {
        check_all_decoders(&bytes);
    }

    #[test]
    fn damaged_messages_decode_or_fail(
        message_index in any::<prop::sample::Index>(),
        flips in prop::collection::vec((any::<prop::sample::Index>(), 0..8u8), 0..4),
        cut in any::<prop::sample::Index>(),
        extra in prop::collection::vec(any::<u8>(), 0..20),
    ) {
        let messages = messages();
        let whole = &messages[message_index.index(messages.len())];
        let mut bytes = whole.clone();
        for (at, bit) in flips {
            let at = at.index(bytes.len());
            bytes[at] ^= 1 << bit;
        }
        check_all_decoders(&bytes);
        check_all_decoders(&bytes[..cut.index(bytes.len())]);
        bytes.extend(extra);
        check_all_decoders(&bytes);
    }

    #[test]
    fn messages_with_trailing_bytes_are_rejected(message_index in 0..6usize, extra in 1..50usize) {
        let mut bytes = messages()[message_index].clone();
        bytes.extend(vec![0; extra]);
        if message_index == 5 {
            prop_assert!(decode::<Routes>(&bytes).is_err());
        } else {
            prop_assert!(decode::<LinkMessage>(&bytes).is_err());
        }
    }

    #[test]
    fn decoded_frame_lengths_are_bounded(header in any::<[u8; 4]>(), limit in 0..MAX_FRAME_BYTES) {
        match frame_len_within(header, limit) {
            Ok(len) => prop_assert!(len <= limit),
            Err(error) => prop_assert_eq!(error, FrameError::TooLong),
        }
        prop_assert!(frame_len(header).is_err() || frame_len(header).unwrap() <= MAX_FRAME_BYTES);
    }
}
