use std::net::SocketAddr;

use bay_time::Time;
use bay_types::{NodeId, ZoneName};
use bay_wire::GateAddress;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Another gate in its role as the home of targets.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Home {
    pub(crate) zone: ZoneName,
    /// Whether the gate is in this gate's zone.
    pub(crate) same_zone: bool,
    /// Whether the gate is in another zone, where it could use slots of nearer targets in service.
    pub(crate) has_local_targets: bool,
    /// Spare slots by the gate's last message, less those requested since.
    pub(crate) spare: u32,
    /// Slots requested and not yet lent.
    pub(crate) requested_slots: u32,
    /// When `requested_slots` expires, as the request or its reply counts as lost.
    pub(crate) request_expires: Time,
    /// Earliest time of the next [`bay_wire::LoadMessage::Renew`].
    pub(crate) next_renewal: Time,
    /// When loans were last requested, received or returned.
    pub(crate) changed_at: Time,
    /// When the latest answered [`bay_wire::LoadMessage::Renew`] was sent.
    pub(crate) last_renewal: Time,
    /// Loans requested before this time, in nanoseconds on this gate's clock, are not accepted.
    pub(crate) settled: u64,
}

impl Home {
    /// Spare slots assumed before the gate has stated any.
    const INITIAL_SPARE: u32 = 1;

    pub(crate) fn new(zone: ZoneName, same_zone: bool) -> Home {
        Home {
            zone,
            same_zone,
            has_local_targets: false,
            spare: Home::INITIAL_SPARE,
            requested_slots: 0,
            request_expires: Time::ZERO,
            next_renewal: Time::ZERO,
            changed_at: Time::ZERO,
            last_renewal: Time::ZERO,
            settled: 0,
        }
    }

    /// Counts the slots requested whose reply may still arrive.
    pub(crate) fn outstanding(&self, now: Time) -> u32 {
        if now < self.request_expires { self.requested_slots } else { 0 }
    }
}

/// Chooses the home of a target by rendezvous hashing (Thaler and Ravishankar 1998) among the
/// gates in the target's zone, or among all gates if that zone has none.
pub(crate) fn choose_home(
    gates: &[GateAddress],
    target: SocketAddr,
    zone: ZoneName,
) -> Option<NodeId> {
    let target = target.to_string();
    let score = |gate: &&GateAddress| {
        let hash = xxh3_64_with_seed(target.as_bytes(), gate.node.0);
        (gate.zone == zone, hash, gate.node)
    };
    gates.iter().max_by_key(score).map(|gate| gate.node)
}
