use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use bay_time::Time;
use bay_types::NodeId;

/// Interval between probes.
pub(crate) const PROBE_PERIOD: Duration = Duration::from_secs(1);
/// Timeout of a direct ping, after which others are asked to ping the node.
pub(crate) const DIRECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Number of nodes asked to ping an unresponsive node.
pub(crate) const INDIRECT_PROBES: usize = 3;
/// Upper bound of the health multiplier.
const MAX_HEALTH_MULTIPLIER: u32 = 8;

/// The current probe, and the pings relayed for others.
#[derive(Debug)]
pub(crate) struct Prober {
    sequence: u32,
    pub(crate) current: Option<Probe>,
    relays: BTreeMap<u32, RelayedPing>,
    health_multiplier: u32,
}

/// A probe of one node.
#[derive(Debug)]
pub(crate) struct Probe {
    pub(crate) target: NodeId,
    pub(crate) sequence: u32,
    pub(crate) acknowledged: bool,
    /// When others are asked to ping the target; `None` once they have been.
    pub(crate) indirect_probes_at: Option<Time>,
    pub(crate) ends_at: Time,
}

#[derive(Debug)]
struct RelayedPing {
    origin: SocketAddr,
    sequence: u32,
    expires: Time,
}

impl Prober {
    pub(crate) fn new() -> Prober {
        Prober { sequence: 0, current: None, relays: BTreeMap::new(), health_multiplier: 1 }
    }

    pub(crate) fn next_sequence(&mut self) -> u32 {
        self.sequence = self.sequence.wrapping_add(1);
        self.sequence
    }

    pub(crate) fn start(&mut self, now: Time, target: NodeId) -> u32 {
        let sequence = self.next_sequence();
        self.current = Some(Probe {
            target,
            sequence,
            acknowledged: false,
            indirect_probes_at: Some(now + DIRECT_TIMEOUT * self.health_multiplier),
            ends_at: now + PROBE_PERIOD * self.health_multiplier,
        });
        sequence
    }

    /// Ends the current probe; returns its target if it was not acknowledged.
    ///
    /// A node whose probes fail may itself be the cause, so its health multiplier rises and it
    /// probes more slowly (Lifeguard: Dadgar, Phillips, Currey 2017).
    pub(crate) fn finish(&mut self) -> Option<NodeId> {
        let probe = self.current.take()?;
        if probe.acknowledged {
            self.health_multiplier = (self.health_multiplier - 1).max(1);
            return None;
        }
        self.health_multiplier = (self.health_multiplier + 1).min(MAX_HEALTH_MULTIPLIER);
        Some(probe.target)
    }

    /// Returns the factor on this node's timeouts; 1 while its probes succeed.
    pub(crate) fn health_multiplier(&self) -> u32 {
        self.health_multiplier
    }

    /// Registers a ping relayed for another node; returns the sequence number to send it with.
    pub(crate) fn register_relay(&mut self, now: Time, origin: SocketAddr, sequence: u32) -> u32 {
        self.relays.retain(|_, relay| relay.expires > now);
        let own = self.next_sequence();
        self.relays.insert(own, RelayedPing { origin, sequence, expires: now + PROBE_PERIOD });
        own
    }

    /// Handles an acknowledgement. If it belongs to a relayed ping, returns the address and the
    /// sequence number to forward it with.
    pub(crate) fn handle_ack(&mut self, sequence: u32) -> Option<(SocketAddr, u32)> {
        if let Some(probe) = &mut self.current
            && probe.sequence == sequence
        {
            probe.acknowledged = true;
            return None;
        }
        let relay = self.relays.remove(&sequence)?;
        Some((relay.origin, relay.sequence))
    }
}
