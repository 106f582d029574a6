//! A gate accepts only datagrams that another gate of its cluster sealed for it.

mod support;

use std::net::UdpSocket;

use bay_types::{HostName, Incarnation, NodeId};
use bay_wire::{ClusterKey, PeerMessage, Role, Sealer, encode};
use support::{Site, SiteOptions, wait_until_async, with_site};

/// Returns the sealer of another gate. The secret of the cluster that [`Site`] belongs to is 7.
fn sealer(secret: u8) -> Sealer {
    let key = ClusterKey::derive(&[secret; 32]).unwrap();
    Sealer::new(key, NodeId::of(HostName::new("entry-2").unwrap()), Role::Gate, Incarnation(1))
}

fn send(site: &Site, bytes: &[u8]) {
    let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
    socket.send_to(bytes, site.gate.addresses().peer).unwrap();
}

#[test]
fn a_datagram_sealed_with_another_key_is_rejected() {
    with_site(SiteOptions::default(), async |site| {
        send(&site, &sealer(8).seal_to(site.gate.addresses().peer, b"x"));
        wait_until_async(async || site.counter("peer.rejected").await == 1).await;
    });
}

#[test]
fn a_datagram_for_another_gate_is_rejected() {
    with_site(SiteOptions::default(), async |site| {
        let payload = encode(&PeerMessage::Release { digest: 1, call: 1 }).unwrap();
        let other = "127.0.0.1:1".parse().unwrap();
        send(&site, &sealer(7).seal_to(other, &payload));
        wait_until_async(async || site.counter("peer.rejected").await == 1).await;
        assert_eq!(site.counter("peer.received").await, 0);
    });
}

#[test]
fn a_replayed_datagram_is_rejected() {
    with_site(SiteOptions::default(), async |site| {
        let payload = encode(&PeerMessage::Release { digest: 1, call: 1 }).unwrap();
        let sealed = sealer(7).seal_to(site.gate.addresses().peer, &payload);
        send(&site, &sealed);
        send(&site, &sealed);
        wait_until_async(async || site.counter("peer.rejected").await == 1).await;
        assert_eq!(site.counter("peer.received").await, 1);
    });
}

#[test]
fn a_datagram_that_cannot_be_decoded_is_rejected() {
    with_site(SiteOptions::default(), async |site| {
        let sealed = sealer(7).seal_to(site.gate.addresses().peer, &[255; 300]);
        send(&site, &sealed);
        send(&site, &[0; 2_000]);
        wait_until_async(async || site.counter("peer.rejected").await == 2).await;
        assert_eq!(site.counter("peer.received").await, 0);
    });
}
