use std::collections::HashMap;
use std::time::Duration;

use bay_time::Time;
use bay_types::{SliceId, Term, Token};
use bay_wire::{Order, OrderReply, OrderVerdict, SliceGrant};

/// The part of a server that keeps its lease and slices, without I/O.
#[derive(Debug)]
pub struct OwnerServer {
    boot: u64,
    fenced: bool,
    term: Term,
    sequence: u64,
    lease_end: Time,
    slices: HashMap<SliceId, Token>,
}

/// Whether a server may run a request for a slice.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// The server owns the slice under this token.
    Owner,
    /// The server's lease has run out, or it does not own the slice under this token.
    NotOwner,
}

impl OwnerServer {
    /// A server that has just started and owns nothing.
    pub fn new(boot: u64, fenced: bool) -> OwnerServer {
        OwnerServer {
            boot,
            fenced,
            term: Term(0),
            sequence: 0,
            lease_end: Time::ZERO,
            slices: HashMap::new(),
        }
    }

    /// Takes or refuses an order.
    pub fn order(&mut self, now: Time, order: &Order) -> OrderReply {
        let stale = (order.term, order.sequence) <= (self.term, self.sequence);
        if self.fenced && stale {
            return self.reply(OrderVerdict::Stale);
        }
        self.expire(now);
        self.term = order.term;
        self.sequence = order.sequence;
        self.lease_end = now + Duration::from_millis(order.lease_ms);
        for grant in &order.revoke {
            if self.slices.get(&grant.slice).is_some_and(|token| *token <= grant.token) {
                self.slices.remove(&grant.slice);
            }
        }
        for SliceGrant { slice, token } in &order.grant {
            self.slices.insert(*slice, *token);
        }
        self.reply(OrderVerdict::Taken)
    }

    /// Decides whether to run a request for a slice.
    pub fn admit(&mut self, now: Time, slice: SliceId, token: Token) -> Admission {
        self.expire(now);
        let held = self.slices.get(&slice);
        let owner = if self.fenced { held == Some(&token) } else { held.is_some() };
        if owner { Admission::Owner } else { Admission::NotOwner }
    }

    /// The slices that the server owns at this moment.
    pub fn owned(&mut self, now: Time) -> impl Iterator<Item = SliceGrant> + '_ {
        self.expire(now);
        self.slices.iter().map(|(slice, token)| SliceGrant { slice: *slice, token: *token })
    }

    fn expire(&mut self, now: Time) {
        if now >= self.lease_end {
            self.slices.clear();
        }
    }

    fn reply(&self, verdict: OrderVerdict) -> OrderReply {
        let owned = self.slices.len() as u32;
        OrderReply { verdict, term: self.term, boot: self.boot, owned }
    }
}
