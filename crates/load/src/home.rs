use std::net::SocketAddr;

use bay_time::Time;
use bay_types::{NodeId, ZoneName};
use bay_wire::GateAddress;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Another gate, as a lender.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Home {
    pub(crate) zone: ZoneName,
    /// Whether it is in this gate's zone.
    pub(crate) same_zone: bool,
    /// Whether it could use slots of targets nearer to it than those of this gate's zone.
    pub(crate) has_nearer: bool,
    /// Slots that it has left to lend, as it last said, less those asked for since.
    pub(crate) spare: u32,
    /// Slots asked for and not yet lent.
    pub(crate) requested_slots: u32,
    /// When what was asked counts as lost.
    pub(crate) request_expires: Time,
    /// When loans may next be listed.
    pub(crate) renew_at: Time,
    /// When loans last came or went.
    pub(crate) changed_at: Time,
    /// When the list was sent that the home last answered.
    pub(crate) listed_at: Time,
    /// Loans asked for before this time on the gate's clock, in nanoseconds, are not taken.
    pub(crate) settled: u64,
}

impl Home {
    /// Slots that a home is taken to have before it has said so.
    const UNKNOWN_SPARE: u32 = 1;

    pub(crate) fn new(zone: ZoneName, same_zone: bool) -> Home {
        Home {
            zone,
            same_zone,
            has_nearer: false,
            spare: Home::UNKNOWN_SPARE,
            requested_slots: 0,
            request_expires: Time::ZERO,
            renew_at: Time::ZERO,
            changed_at: Time::ZERO,
            listed_at: Time::ZERO,
            settled: 0,
        }
    }

    /// Slots asked for whose answer may still come.
    pub(crate) fn outstanding(&self, now: Time) -> u32 {
        if now < self.request_expires { self.requested_slots } else { 0 }
    }
}

/// The home of a target: the highest in rendezvous order (Thaler and Ravishankar 1998) among
/// the gates in the target's zone, or among all if that zone has none.
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
