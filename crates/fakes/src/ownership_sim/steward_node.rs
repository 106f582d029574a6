use std::collections::VecDeque;

use bay_own::{Holder, Owner, OwnerConfig, OwnerInput, StewardState, StewardView};
use bay_time::Time;
use bay_types::{Incarnation, NodeId, ZoneName};

use crate::ownership_sim::clock::SkewedClock;

/// A steward in the driver.
#[derive(Debug)]
pub(crate) struct StewardNode {
    pub(crate) node: NodeId,
    pub(crate) zone: ZoneName,
    pub(crate) incarnation: Incarnation,
    pub(crate) clock: SkewedClock,
    /// The owner, or `None` while the process is down.
    pub(crate) owner: Option<Owner>,
    pub(crate) leaving: bool,
    pub(crate) paused: bool,
    /// What came while the process was paused.
    pub(crate) inbox: VecDeque<OwnerInput>,
    pub(crate) wake: Time,
}

impl StewardNode {
    /// Starts the process anew.
    pub(crate) fn start(&mut self, now: Time, seed: u64) {
        self.incarnation.0 += 1;
        let config = OwnerConfig {
            node: self.node,
            incarnation: self.incarnation,
            zone: self.zone,
            seed: seed ^ self.node.0 ^ self.incarnation.0,
        };
        self.owner = Some(Owner::new(config, self.clock.reading(now)));
        self.leaving = false;
        self.paused = false;
        self.inbox.clear();
        self.wake = now;
    }

    /// The process as another steward sees it.
    pub(crate) fn view(&self, state: StewardState) -> StewardView {
        let holder = Holder { node: self.node, incarnation: self.incarnation };
        StewardView { holder, zone: self.zone, state, candidate: true }
    }
}
