use std::net::SocketAddr;

use bay_types::{Incarnation, NodeId, ZoneName};

use crate::AdoptedGates;
use crate::record::{Health, Record};

/// A steward's configuration of its own membership.
#[derive(Debug, Clone, Copy)]
pub struct MemberConfig {
    /// The steward's host, its identity in the membership.
    pub node: NodeId,
    /// The host's zone, announced to the other stewards.
    pub zone: ZoneName,
    /// The address of the steward, for datagrams and connections.
    pub steward: SocketAddr,
    /// The address at which the host's gate receives datagrams from other gates; `None` while the
    /// gate is down.
    pub gate: Option<SocketAddr>,
    /// The incarnation of this start; higher than that of every earlier start.
    pub incarnation: Incarnation,
    /// Seed of the random number generator.
    pub seed: u64,
}

/// An entry of the platform's list of hosts, which may be stale.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SeedNode {
    /// The host's identifier.
    pub node: NodeId,
    /// The address of the host's steward, for datagrams.
    pub steward: SocketAddr,
}

/// This steward's view of one node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Member {
    /// The host's identifier.
    pub node: NodeId,
    /// The host's zone, by its own announcement.
    pub zone: ZoneName,
    /// The address of its steward, for datagrams and connections.
    pub steward: SocketAddr,
    /// The address at which its gate receives datagrams from other gates; `None` while the gate is
    /// down.
    pub gate: Option<SocketAddr>,
    /// The incarnation of the latest known start of its steward.
    pub incarnation: Incarnation,
    /// The liveness of its steward.
    pub state: MemberState,
    /// Hosts without a live steward whose gates are connected to this node's steward.
    pub adopted: AdoptedGates,
}

/// The liveness of a node's steward.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MemberState {
    /// The node answers probes.
    Alive,
    /// The node failed a probe and has not refuted the suspicion yet.
    Suspect,
    /// The node has announced its shutdown and is not dead yet; it may be suspected.
    Leaving,
    /// The node did not refute the suspicion in time.
    Dead,
}

impl Member {
    pub(crate) fn from_record(record: &Record) -> Member {
        let state = match record.status.health {
            Health::Dead => MemberState::Dead,
            _ if record.leaving => MemberState::Leaving,
            Health::Suspect => MemberState::Suspect,
            Health::Alive => MemberState::Alive,
        };
        Member {
            node: record.node,
            zone: record.zone,
            steward: record.steward,
            gate: record.gate,
            incarnation: record.status.incarnation,
            state,
            adopted: record.adopted,
        }
    }
}
