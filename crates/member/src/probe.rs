use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use bay_time::Time;
use bay_types::NodeId;

/// Time between two probes.
pub(crate) const PROBE_PERIOD: Duration = Duration::from_secs(1);
/// Time that a probed node has before others are asked to ping it.
pub(crate) const DIRECT_TIMEOUT: Duration = Duration::from_millis(300);
/// How many others are asked to ping a node that does not answer.
pub(crate) const INDIRECT_PROBES: usize = 3;
/// The most that a node stretches its periods while its probes go unanswered.
const MAX_HEALTH_MULTIPLIER: u32 = 8;

/// The probe under way, and the pings made for others.
#[derive(Debug)]
pub(crate) struct Prober {
    sequence: u32,
    pub(crate) current: Option<Probe>,
    relays: BTreeMap<u32, RelayedPing>,
    health_multiplier: u32,
}

/// One probe of one node.
#[derive(Debug)]
pub(crate) struct Probe {
    pub(crate) target: NodeId,
    pub(crate) sequence: u32,
    pub(crate) acknowledged: bool,
    /// When others are asked, or `None` if they have been.
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

    /// Ends the probe under way and returns its target if nobody could reach it.
    ///
    /// A node whose probes fail takes it that it may be the cause, and probes more slowly (Lifeguard:
    /// Dadgar, Phillips, Currey 2017).
    pub(crate) fn finish(&mut self) -> Option<NodeId> {
        let probe = self.current.take()?;
        if probe.acknowledged {
            self.health_multiplier = (self.health_multiplier - 1).max(1);
            return None;
        }
        self.health_multiplier = (self.health_multiplier + 1).min(MAX_HEALTH_MULTIPLIER);
        Some(probe.target)
    }

    /// By how much this node stretches its times.
    pub(crate) fn health_multiplier(&self) -> u32 {
        self.health_multiplier
    }

    /// Notes a ping made for another node and returns the sequence number to send.
    pub(crate) fn register_relay(&mut self, now: Time, origin: SocketAddr, sequence: u32) -> u32 {
        self.relays.retain(|_, relay| relay.expires > now);
        let own = self.next_sequence();
        self.relays.insert(own, RelayedPing { origin, sequence, expires: now + PROBE_PERIOD });
        own
    }

    /// Takes an acknowledgement; returns to whom it has to be passed on, and under which number.
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
