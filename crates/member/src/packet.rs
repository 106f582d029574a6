use std::net::SocketAddr;

use bay_types::NodeId;
use bay_wire::{Item, KeyVersion, NodeVersions, encode};
use serde::{Deserialize, Serialize};

use crate::record::{MemberState, Record, Rumor};

/// Longest payload of a datagram, in bytes; with its seal it fits an Ethernet frame.
pub(crate) const MAX_PACKET_BYTES: usize = 1_200;

/// One datagram between stewards.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Packet {
    /// The sender's own record.
    pub(crate) sender: Record,
    /// What the datagram is for.
    pub(crate) kind: PacketKind,
    /// A hash of the members that the sender knows.
    pub(crate) members: u64,
    /// A hash of the item versions that the sender has.
    pub(crate) items: u64,
    /// News of members.
    pub(crate) rumors: Vec<Rumor>,
    /// Items that the sender got lately.
    pub(crate) news: Vec<KeyVersion>,
}

/// What a datagram is for.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum PacketKind {
    /// Asks the receiver to acknowledge; tells it what the sender thinks of it.
    Ping { sequence: u32, receiver: Option<MemberState> },
    /// Acknowledges a ping.
    Ack { sequence: u32, node: NodeId },
    /// Asks the receiver to ping another node on the sender's behalf.
    PingRequest { sequence: u32, target: NodeId, address: SocketAddr },
    /// Carries news only.
    News,
    /// Carries items that are small.
    Items(Vec<Item>),
    /// Asks for the records of the buckets that differ.
    MemberBuckets(Vec<u32>),
    /// Carries records.
    MemberRecords(Vec<Record>),
    /// Asks for the item versions of the buckets that differ.
    ItemBuckets(Vec<u32>),
    /// Carries item versions.
    ItemVersions(Vec<KeyVersion>),
    /// Asks which versions the receiver has in force, unless their hash is this one.
    SurveyAsk { survey: u32, items: u64 },
    /// Says which versions nodes have in force.
    SurveyAnswer { survey: u32, nodes: Vec<NodeVersions> },
}

/// Bytes of a list in one datagram.
const MAX_LIST_BYTES: usize = 900;

/// Parts a list so that each part fits a datagram.
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

/// A datagram that still lacks what rides on it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Outgoing {
    pub(crate) to: SocketAddr,
    pub(crate) kind: PacketKind,
}
