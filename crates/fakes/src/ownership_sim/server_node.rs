use std::collections::VecDeque;
use std::net::SocketAddr;

use bay_time::Time;
use bay_types::{ServerName, ServiceName, ZoneName};
use bay_wire::{Order, SliceGrant};

use crate::OwnerServer;
use crate::ownership_sim::clock::SkewedClock;

/// A server in the driver.
#[derive(Debug)]
pub(crate) struct ServerNode {
    pub(crate) service: ServiceName,
    pub(crate) name: ServerName,
    pub(crate) zone: ZoneName,
    pub(crate) address: SocketAddr,
    pub(crate) fenced: bool,
    pub(crate) clock: SkewedClock,
    pub(crate) server: OwnerServer,
    pub(crate) boot: u64,
    pub(crate) up: bool,
    pub(crate) paused: bool,
    /// Orders that came while the process was paused, with the call that each belongs to.
    pub(crate) inbox: VecDeque<(OrderCall, Order)>,
}

/// Who waits for the answer to an order.
#[derive(Debug, Clone, Copy)]
pub(crate) struct OrderCall {
    pub(crate) steward: usize,
    pub(crate) incarnation: bay_types::Incarnation,
    pub(crate) id: bay_own::OrderId,
}

impl ServerNode {
    /// Starts the process anew; it owns nothing.
    pub(crate) fn start(&mut self) {
        self.boot += 1;
        self.server = OwnerServer::new(self.boot, self.fenced);
        self.up = true;
        self.paused = false;
        self.inbox.clear();
    }

    /// What it owns by its own clock and lease; a paused server still does.
    pub(crate) fn owned(&mut self, now: Time) -> Vec<SliceGrant> {
        if !self.up {
            return Vec::new();
        }
        let now = self.clock.reading(now);
        self.server.owned_slices(now).collect()
    }
}
