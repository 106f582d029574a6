use std::collections::VecDeque;
use std::net::SocketAddr;

use bay_time::Time;
use bay_types::{ServerName, ServiceName, ZoneName};
use bay_wire::{Order, SliceGrant};

use crate::OwnerServer;
use crate::ownership_sim::clock::SkewedClock;

/// A simulated server process.
#[derive(Debug)]
pub(crate) struct ServerNode {
    pub(crate) service: ServiceName,
    pub(crate) name: ServerName,
    pub(crate) zone: ZoneName,
    pub(crate) address: SocketAddr,
    /// Whether the server rejects stale orders and checks fencing tokens.
    pub(crate) fenced: bool,
    pub(crate) clock: SkewedClock,
    pub(crate) server: OwnerServer,
    /// Number of starts, which identifies this run of the process.
    pub(crate) boot: u64,
    pub(crate) is_up: bool,
    pub(crate) is_paused: bool,
    /// Orders that arrived while the process was paused, with their calls.
    pub(crate) inbox: VecDeque<(OrderCall, Order)>,
}

/// The steward process and call that an order's reply goes to.
#[derive(Debug, Clone, Copy)]
pub(crate) struct OrderCall {
    pub(crate) steward: usize,
    pub(crate) incarnation: bay_types::Incarnation,
    pub(crate) id: bay_own::OrderId,
}

impl ServerNode {
    /// Restarts the process, which then owns no slice.
    pub(crate) fn start(&mut self) {
        self.boot += 1;
        self.server = OwnerServer::new(self.boot, self.fenced);
        self.is_up = true;
        self.is_paused = false;
        self.inbox.clear();
    }

    /// Returns the slices that the server owns by its own clock and lease, also while paused.
    pub(crate) fn owned_slices(&mut self, now: Time) -> Vec<SliceGrant> {
        if !self.is_up {
            return Vec::new();
        }
        let now = self.clock.reading(now);
        self.server.owned_slices(now).collect()
    }
}
