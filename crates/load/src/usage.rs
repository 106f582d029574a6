use std::net::SocketAddr;

use bay_time::Time;
use bay_types::NodeId;
use bay_wire::GateAddress;

use crate::home::Home;
use crate::slot_ledger::LentSlot;
use crate::target::{HeldLoan, InFlightRequest, Target};
use crate::{Pool, TargetId};

/// A gate's use of the slots of a service's targets, for metrics.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct Usage {
    /// This gate's requests in flight.
    pub in_flight: u32,
    /// Requests queued for a slot.
    pub waiting: u32,
    /// Slots borrowed from other gates.
    pub borrowed: u32,
    /// Borrowed slots that no request uses.
    pub idle: u32,
    /// Slots lent to other gates.
    pub lent: u32,
    /// Free slots of the targets that this gate is home to.
    pub free: u32,
}

impl Pool {
    /// Estimates the size of the pool's state in bytes, without allocator overhead.
    pub fn state_bytes(&self) -> usize {
        let targets = self.targets.values().map(|target| {
            let lent = target.ledger.as_ref().map_or(0, |ledger| ledger.lent_slots.capacity());
            size_of::<Target>()
                + target.loans.capacity() * size_of::<HeldLoan>()
                + target.in_flight.capacity() * size_of::<InFlightRequest>()
                + lent * size_of::<LentSlot>()
        });
        let index = size_of::<(SocketAddr, TargetId)>() + 2 * size_of::<TargetId>();
        let gates = size_of::<GateAddress>() + size_of::<(NodeId, Home)>();
        targets.sum::<usize>() + self.targets.len() * index + self.gates.len() * gates
    }

    /// Returns the current use of slots.
    pub fn usage(&self, now: Time) -> Usage {
        let mut usage = Usage { waiting: self.queue.len() as u32, ..Usage::default() };
        for target in self.targets.values() {
            usage.in_flight += target.in_flight.len() as u32;
            usage.borrowed += target.loans.len() as u32;
            usage.idle += target.loans.iter().filter(|l| l.idle_since.is_some()).count() as u32;
            if let Some(ledger) = &target.ledger {
                usage.lent += ledger.lent_slots.len() as u32;
                usage.free += target.free_slots(now);
            }
        }
        usage
    }
}
