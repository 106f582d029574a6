use std::net::SocketAddr;

use bay_types::NodeId;
use bay_wire::{Item, KeyVersion, NodeVersions, encode};
use serde::{Deserialize, Serialize};

use crate::record::{NodeStatus, Record, Rumor};

/// Maximum payload of a datagram, in bytes. With its seal, it fits an Ethernet frame.
pub(crate) const MAX_PACKET_BYTES: usize = 1_200;

/// The payload of a datagram between stewards.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Packet {
    /// The sender's own record.
    pub(crate) sender: Record,
    /// The message proper; the other fields are piggybacked on it.
    pub(crate) kind: PacketKind,
    /// Summary hash of the sender's membership.
    pub(crate) member_summary: u64,
    /// Summary hash of the sender's item versions.
    pub(crate) item_summary: u64,
    /// Updates about members.
    pub(crate) rumors: Vec<Rumor>,
    /// Versions of items that the sender received recently.
    pub(crate) versions: Vec<KeyVersion>,
}

/// The kinds of datagrams.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum PacketKind {
    /// Asks the receiver to acknowledge, and carries the sender's view of it.
    Ping { sequence: u32, receiver: Option<NodeStatus> },
    /// Acknowledges a ping.
    Ack { sequence: u32, node: NodeId },
    /// Asks the receiver to ping another node on the sender's behalf.
    PingRequest { sequence: u32, target: NodeId, address: SocketAddr },
    /// Carries only the piggybacked fields.
    Gossip,
    /// Carries small items.
    Items(Vec<Item>),
    /// Asks for the member records of all buckets whose hashes differ from these.
    MemberBuckets(Vec<u32>),
    /// Replies to [`PacketKind::MemberBuckets`].
    MemberRecords(Vec<Record>),
    /// Asks for the item versions of all buckets whose hashes differ from these.
    ItemBuckets(Vec<u32>),
    /// Replies to [`PacketKind::ItemBuckets`].
    ItemVersions(Vec<KeyVersion>),
    /// Asks which versions the receiver has in force. The reply omits them if their hash equals
    /// `versions_hash`.
    SurveyRequest { survey: u32, versions_hash: u64 },
    /// Reports the versions in force on a node.
    SurveyAnswer { survey: u32, nodes: Vec<NodeVersions> },
}

/// Maximum size of a list in one datagram, in bytes.
const MAX_LIST_BYTES: usize = 900;

/// Splits a list into parts that each fit a datagram.
pub(crate) fn split_list<T>(list: Vec<T>) -> Vec<Vec<T>>
where
    T: Serialize,
{
    let mut parts = Vec::new();
    let mut part = Vec::new();
    let mut bytes = 0;
    for entry in list {
        let size = encode(&entry).map_or(MAX_LIST_BYTES, |bytes| bytes.len());
        if bytes + size > MAX_LIST_BYTES && !part.is_empty() {
            parts.push(std::mem::take(&mut part));
            bytes = 0;
        }
        bytes += size;
        part.push(entry);
    }
    if !part.is_empty() {
        parts.push(part);
    }
    parts
}

/// A datagram to be sent, before the piggybacked fields are added.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct OutgoingPacket {
    pub(crate) to: SocketAddr,
    pub(crate) kind: PacketKind,
}
