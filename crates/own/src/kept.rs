use std::collections::BTreeMap;
use std::time::Duration;

use bay_time::Time;
use bay_types::{SliceId, Term, Token};
use bay_wire::{LeaseProof, Order, OrderReply, OrderRole, OrderVerdict, SliceGrant};

use crate::bounds::latest_end;

/// Orders sent within one lease.
pub(crate) const ORDERS_A_LEASE: u32 = 4;

/// One server as its keeper or deputy knows it.
#[derive(Debug)]
pub(crate) struct Kept {
    pub(crate) wanted: BTreeMap<SliceId, Token>,
    /// What the server has, by its own last answer.
    pub(crate) granted: BTreeMap<SliceId, Token>,
    granted_digest: u64,
    /// Whether the server may have something other than `granted`.
    pub(crate) unsure: bool,
    /// The highest term under which the server took an order.
    pub(crate) taken: Option<Term>,
    /// When the server was first known to have taken an order of that term.
    taken_at: Time,
    /// Since when orders have gone without an answer.
    pub(crate) silent_since: Option<Time>,
    fenced: bool,
    proof: Option<(LeaseProof, Time)>,
    bound: Time,
    /// From when on a server that checks no sequence takes none of the orders that went unanswered.
    quiet_at: Time,
    /// When the last order that was answered was sent.
    answered_sent: Time,
    pending: Option<Pending>,
    next_send: Time,
}

#[derive(Debug, Clone, Copy)]
struct Pending {
    sent: Time,
    bound: Time,
    grants: bool,
}

/// What an order is made of besides the server's own state.
#[derive(Debug, Clone, Copy)]
pub(crate) struct OrderFrame {
    pub(crate) keeper: bay_types::NodeId,
    pub(crate) role: OrderRole,
    pub(crate) term: Term,
    pub(crate) sequence: u64,
    pub(crate) lease: Duration,
}

impl Kept {
    /// A server that may still hold a lease until `bound`.
    pub(crate) fn new(now: Time, bound: Time, fenced: bool) -> Kept {
        Kept {
            wanted: BTreeMap::new(),
            granted: BTreeMap::new(),
            granted_digest: 0,
            unsure: true,
            taken: None,
            taken_at: Time::ZERO,
            silent_since: None,
            fenced,
            proof: None,
            bound,
            quiet_at: Time::ZERO,
            answered_sent: Time::ZERO,
            pending: None,
            next_send: now,
        }
    }

    /// When the next order is due, or [`Time::MAX`] while one is unanswered.
    pub(crate) fn next_send(&self) -> Time {
        if self.pending.is_some() { Time::MAX } else { self.next_send }
    }

    /// Makes the next order due at once.
    pub(crate) fn hurry(&mut self, now: Time) {
        if self.silent_since.is_none() {
            self.next_send = self.next_send.min(now);
        }
    }

    /// The last moment at which a lease that this process extended can still run.
    pub(crate) fn lease_bound(&self) -> Time {
        self.pending.map_or(self.bound, |pending| pending.bound.max(self.bound))
    }

    /// Takes account of a lease that may run until `bound`.
    pub(crate) fn raise_bound(&mut self, bound: Time) {
        self.bound = self.bound.max(bound);
    }

    /// The first term that the server refuses earlier holders for, and since when.
    pub(crate) fn refuses_before(&self) -> Option<(Term, Time)> {
        Some((self.taken.filter(|_| self.fenced)?, self.taken_at))
    }

    /// Whether the server's last answer shows what it has for good: no order of an earlier moment
    /// can change it, neither of this process nor, until `others`, of other holders.
    pub(crate) fn quiet(&self, others: Time) -> bool {
        self.fenced || self.answered_sent > self.quiet_at.max(others)
    }

    /// Whether the server has taken an order of this term or a later one and still answers.
    pub(crate) fn reached(&self, since: Term) -> bool {
        self.taken.is_some_and(|term| term >= since) && self.silent_since.is_none()
    }

    /// Whether the server has all that it should have, and nothing else.
    pub(crate) fn settled(&self) -> bool {
        !self.unsure && self.wanted == self.granted
    }

    /// Whether an order that is on its way grants slices.
    pub(crate) fn granting(&self) -> bool {
        self.pending.is_some_and(|pending| pending.grants)
    }

    /// Makes the next order.
    pub(crate) fn order(&mut self, now: Time, frame: OrderFrame) -> Order {
        let usable = |(_, seen): &(LeaseProof, Time)| now < *seen + frame.lease * 3 / 4;
        let proof = self.proof.filter(usable);
        let mut order = Order {
            keeper: frame.keeper,
            role: frame.role,
            term: frame.term,
            sequence: frame.sequence,
            proof: proof.map(|(proof, _)| proof),
            lease_ms: frame.lease.as_millis() as u64,
            replace: false,
            grant: Vec::new(),
            revoke: Vec::new(),
        };
        let mut bound = Time::ZERO;
        if let Some((_, seen)) = proof {
            bound = latest_end(seen, frame.lease);
            if frame.role == OrderRole::Keeper {
                self.fill(&mut order);
            }
        }
        let grants = order.replace || !order.grant.is_empty();
        self.pending = Some(Pending { sent: now, bound, grants });
        order
    }

    fn fill(&self, order: &mut Order) {
        order.replace = self.unsure;
        if self.unsure {
            order.grant = grants(&self.wanted).collect();
            return;
        }
        let missing = |grant: &SliceGrant| self.granted.get(&grant.slice) != Some(&grant.token);
        order.grant = grants(&self.wanted).filter(missing).collect();
        let unwanted = |grant: &SliceGrant| !self.wanted.contains_key(&grant.slice);
        order.revoke = grants(&self.granted).filter(unwanted).collect();
    }

    /// Takes the server's answer to an order, or the lack of one.
    pub(crate) fn answered(&mut self, now: Time, order: &Order, reply: Option<&OrderReply>) {
        let pending = self.pending.take();
        let lease = Duration::from_millis(order.lease_ms);
        let interval = lease / ORDERS_A_LEASE;
        let Some(reply) = reply else {
            self.unanswered(now, pending, order);
            self.next_send = now + interval / 2;
            return;
        };
        if let Some(pending) = pending {
            self.bound = self.bound.max(pending.bound);
            self.answered_sent = pending.sent;
        }
        self.silent_since = None;
        self.proof = Some((LeaseProof { boot: reply.boot, stamp: reply.stamp }, now));
        if reply.verdict == OrderVerdict::Taken && self.taken != Some(order.term) {
            self.taken = Some(order.term);
            self.taken_at = now;
        }
        if order.role == OrderRole::Keeper {
            self.compare(order, reply);
        }
        let again = order.proof.is_none() || (order.role == OrderRole::Keeper && !self.settled());
        self.next_send = if again { now } else { now + interval };
        if reply.verdict == OrderVerdict::Stale {
            self.next_send = now + interval;
        }
    }

    fn unanswered(&mut self, now: Time, pending: Option<Pending>, order: &Order) {
        if let Some(pending) = pending {
            self.bound = self.bound.max(pending.bound);
            self.quiet_at = self.quiet_at.max(pending.bound);
            self.silent_since.get_or_insert(pending.sent);
        }
        self.silent_since.get_or_insert(now);
        self.unsure |= order.replace || !order.grant.is_empty() || !order.revoke.is_empty();
    }

    /// Learns from the digest what the server has.
    fn compare(&mut self, order: &Order, reply: &OrderReply) {
        if reply.verdict != OrderVerdict::Taken {
            self.unsure = true;
            return;
        }
        let changes = order.replace || !order.grant.is_empty() || !order.revoke.is_empty();
        if !changes && reply.digest == self.granted_digest {
            self.unsure = false;
            return;
        }
        let mut expected = self.granted.clone();
        if order.proof.is_some() {
            if order.replace {
                expected.clear();
            }
            for grant in &order.revoke {
                expected.remove(&grant.slice);
            }
            expected.extend(order.grant.iter().map(|grant| (grant.slice, grant.token)));
        }
        let candidates = [&expected, &self.wanted];
        let same = |set: &&&BTreeMap<SliceId, Token>| reply.digest == digest(set);
        match candidates.iter().find(same) {
            Some(set) => {
                self.granted = (**set).clone();
                self.granted_digest = reply.digest;
                self.unsure = false;
            }
            None => self.unsure = true,
        }
    }
}

/// A set of slices as grants.
pub(crate) fn grants(set: &BTreeMap<SliceId, Token>) -> impl Iterator<Item = SliceGrant> + '_ {
    set.iter().map(|(slice, token)| SliceGrant { slice: *slice, token: *token })
}

fn digest(set: &BTreeMap<SliceId, Token>) -> u64 {
    SliceGrant::digest(grants(set))
}
