use std::collections::VecDeque;

use bay_own::{Holder, Owner, OwnerConfig, OwnerInput, StewardState, StewardView};
use bay_time::Time;
use bay_types::{Incarnation, NodeId, ZoneName};

use crate::ownership_sim::clock::SkewedClock;

/// A simulated steward process.
#[derive(Debug)]
pub(crate) struct StewardNode {
    pub(crate) node: NodeId,
    pub(crate) zone: ZoneName,
    pub(crate) incarnation: Incarnation,
    pub(crate) clock: SkewedClock,
    /// `None` while the process is down.
    pub(crate) owner: Option<Owner>,
    /// Whether the process was asked to stop.
    pub(crate) is_leaving: bool,
    pub(crate) is_paused: bool,
    /// Inputs that arrived while the process was paused.
    pub(crate) inbox: VecDeque<OwnerInput>,
    /// Virtual time of the last scheduled wake-up; none is pending once it has passed.
    pub(crate) wake_at: Time,
}

impl StewardNode {
    /// Starts the process with the next incarnation.
    pub(crate) fn start(&mut self, now: Time, seed: u64) {
        self.incarnation.0 += 1;
        let config = OwnerConfig {
            node: self.node,
            incarnation: self.incarnation,
            zone: self.zone,
            seed: seed ^ self.node.0 ^ self.incarnation.0,
        };
        self.owner = Some(Owner::new(config, self.clock.reading(now)));
        self.is_leaving = false;
        self.is_paused = false;
        self.inbox.clear();
        self.wake_at = now;
    }

    /// Returns the view of this steward in the membership of another.
    pub(crate) fn view(&self, state: StewardState) -> StewardView {
        let holder = Holder { node: self.node, incarnation: self.incarnation };
        StewardView { holder, zone: self.zone, state, candidate: true }
    }
}
