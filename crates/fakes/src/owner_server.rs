use std::collections::BTreeMap;
use std::time::Duration;

use bay_time::Time;
use bay_types::{SliceId, Term, Token};
use bay_wire::{Order, OrderReply, OrderRole, OrderVerdict, SliceGrant};

/// Lease and slices of a server, without I/O.
#[derive(Debug)]
pub struct OwnerServer {
    boot: u64,
    fenced: bool,
    term: Term,
    /// Highest sequence of a keeper's order in `term`.
    keeper_sequence: u64,
    /// Highest sequence of a deputy's order in `term`.
    deputy_sequence: u64,
    /// End of the lease; from then on the server owns no slice.
    lease_end: Time,
    slices: BTreeMap<SliceId, Token>,
}

/// Decision whether a server runs a request for a slice.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// The server owns the slice under this token.
    Owner,
    /// The lease has expired, or the server doesn't own the slice under this token.
    NotOwner,
}

impl OwnerServer {
    /// Creates a server that owns no slice.
    ///
    /// `boot` must differ at each start, so that an order for an earlier run grants nothing. An
    /// unfenced server checks neither the term and sequence of an order nor fencing tokens.
    pub fn new(boot: u64, fenced: bool) -> OwnerServer {
        OwnerServer {
            boot,
            fenced,
            term: Term(0),
            keeper_sequence: 0,
            deputy_sequence: 0,
            lease_end: Time::ZERO,
            slices: BTreeMap::new(),
        }
    }

    /// Applies or rejects an order and returns the reply.
    pub fn handle_order(&mut self, now: Time, order: &Order) -> OrderReply {
        self.expire(now);
        let verdict = self.apply_order(now, order);
        self.reply(now, verdict)
    }

    /// Decides whether the server may run a request for a slice.
    ///
    /// An unfenced server accepts any token for a slice that it owns.
    pub fn admit(&mut self, now: Time, slice: SliceId, token: Token) -> Admission {
        self.expire(now);
        let held = self.slices.get(&slice);
        let is_owner = if self.fenced { held == Some(&token) } else { held.is_some() };
        if is_owner { Admission::Owner } else { Admission::NotOwner }
    }

    /// Returns the slices that the server owns at `now`.
    pub fn owned_slices(&mut self, now: Time) -> impl Iterator<Item = SliceGrant> + '_ {
        self.expire(now);
        self.slices.iter().map(|(slice, token)| SliceGrant { slice: *slice, token: *token })
    }

    /// Extends the lease; an order from a keeper also changes the slices.
    ///
    /// The lease counts from the stamp of the server's own earlier reply. It therefore doesn't depend
    /// on the steward's clock, and a late order can't extend it further.
    fn apply_order(&mut self, now: Time, order: &Order) -> OrderVerdict {
        if self.fenced && !self.advance_sequence(order) {
            return OrderVerdict::Stale;
        }
        let Some(proof) = order.proof else {
            return OrderVerdict::Accepted;
        };
        let lease = Duration::from_millis(order.lease_ms);
        let start = Time::from_nanos(proof.stamp);
        if proof.boot != self.boot || start + lease <= now {
            return OrderVerdict::Late;
        }
        self.lease_end = self.lease_end.max(start + lease);
        if order.role == OrderRole::Keeper {
            self.apply_slices(order);
        }
        OrderVerdict::Accepted
    }

    /// Records the term and sequence of an order; returns whether they are newer than before.
    fn advance_sequence(&mut self, order: &Order) -> bool {
        if order.term < self.term {
            return false;
        }
        if order.term > self.term {
            self.term = order.term;
            self.keeper_sequence = 0;
            self.deputy_sequence = 0;
        }
        let last = match order.role {
            OrderRole::Keeper => &mut self.keeper_sequence,
            OrderRole::Deputy => &mut self.deputy_sequence,
        };
        let is_later = order.sequence > *last;
        *last = order.sequence.max(*last);
        is_later
    }

    fn apply_slices(&mut self, order: &Order) {
        if order.replace {
            self.slices.clear();
        }
        for grant in &order.revoke {
            if self.slices.get(&grant.slice).is_some_and(|token| *token <= grant.token) {
                self.slices.remove(&grant.slice);
            }
        }
        for SliceGrant { slice, token } in &order.grant {
            self.slices.insert(*slice, *token);
        }
    }

    fn expire(&mut self, now: Time) {
        if now >= self.lease_end {
            self.slices.clear();
        }
    }

    fn reply(&self, now: Time, verdict: OrderVerdict) -> OrderReply {
        let grants =
            self.slices.iter().map(|(slice, token)| SliceGrant { slice: *slice, token: *token });
        OrderReply {
            verdict,
            term: self.term,
            boot: self.boot,
            stamp: now.as_nanos(),
            owned: self.slices.len() as u32,
            digest: SliceGrant::digest(grants),
        }
    }
}
