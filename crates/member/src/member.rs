use std::net::SocketAddr;

use bay_types::{Incarnation, NodeId, ZoneName};

use crate::AdoptedGates;
use crate::record::{Health, Record};

/// What a steward is told about itself at its start.
#[derive(Debug, Clone, Copy)]
pub struct MemberConfig {
    /// The steward's host.
    pub node: NodeId,
    /// The host's zone.
    pub zone: ZoneName,
    /// Where the steward takes datagrams and connections.
    pub steward: SocketAddr,
    /// Where the host's gate takes datagrams of other gates, while the gate runs.
    pub gate: Option<SocketAddr>,
    /// Numbers this start of the steward.
    pub incarnation: Incarnation,
    /// Seeds the random choices.
    pub seed: u64,
}

/// One entry of the platform's lagging list of hosts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SeedNode {
    /// The host.
    pub node: NodeId,
    /// Where its steward takes datagrams.
    pub steward: SocketAddr,
}

/// One node as this steward sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Member {
    /// The host.
    pub node: NodeId,
    /// The host's zone.
    pub zone: ZoneName,
    /// Where its steward takes datagrams and connections.
    pub steward: SocketAddr,
    /// Where its gate takes datagrams of other gates, while the gate runs.
    pub gate: Option<SocketAddr>,
    /// Numbers the latest start of its steward.
    pub incarnation: Incarnation,
    /// How it stands.
    pub state: MemberState,
    /// Hosts without a live steward whose gates follow this node's steward.
    pub adopted: AdoptedGates,
}

/// How a node stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MemberState {
    /// The node answers.
    Alive,
    /// The node has not answered lately and may be dead.
    Suspect,
    /// The node answers and has said that it will stop.
    Leaving,
    /// The node has not answered for the whole suspicion time.
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
