use std::collections::BTreeMap;
use std::time::Duration;

use bay_time::Time;
use bay_types::{SliceId, Term, Token};
use bay_wire::{LeaseProof, Order, OrderReply, OrderRole, OrderVerdict, SliceGrant};

use crate::clock_bounds::latest_end;

/// Orders sent to a server within the length of one lease.
pub(crate) const ORDERS_PER_LEASE: u32 = 4;

/// The state of one server as its keeper or deputy knows it.
#[derive(Debug)]
pub(crate) struct ServerState {
    /// The slices that the server should hold.
    pub(crate) desired: BTreeMap<SliceId, Token>,
    /// The slices that the server holds, by its own last reply.
    pub(crate) granted: BTreeMap<SliceId, Token>,
    granted_digest: u64,
    /// Whether the server may hold slices other than `granted`.
    pub(crate) granted_uncertain: bool,
    /// The highest term under which the server accepted an order.
    pub(crate) accepted_term: Option<Term>,
    /// When the server was first known to have accepted an order of that term.
    accepted_at: Time,
    /// Send time of the first unanswered order since the last reply.
    pub(crate) silent_since: Option<Time>,
    fenced: bool,
    proof: Option<(LeaseProof, Time)>,
    latest_expiry: Time,
    /// When the unanswered orders expire. A server that checks no sequence numbers accepts none of
    /// them later.
    unanswered_expire_at: Time,
    /// Send time of the last answered order.
    last_answered_sent_at: Time,
    pending: Option<PendingOrder>,
    next_send: Time,
}

/// The order in flight.
#[derive(Debug, Clone, Copy)]
struct PendingOrder {
    sent: Time,
    /// When the lease that the order renews ends at the latest.
    latest_expiry: Time,
    /// Whether the order grants slices.
    grants: bool,
}

/// The fields of an order that don't depend on the server's state.
#[derive(Debug, Clone, Copy)]
pub(crate) struct OrderHeader {
    /// The sender's host, also if the sender is the deputy.
    pub(crate) keeper: bay_types::NodeId,
    pub(crate) role: OrderRole,
    pub(crate) term: Term,
    pub(crate) sequence: u64,
    pub(crate) lease: Duration,
}

impl ServerState {
    /// Creates the state of a server that may hold a lease until `latest_expiry`.
    pub(crate) fn new(now: Time, latest_expiry: Time, fenced: bool) -> ServerState {
        ServerState {
            desired: BTreeMap::new(),
            granted: BTreeMap::new(),
            granted_digest: 0,
            granted_uncertain: true,
            accepted_term: None,
            accepted_at: Time::ZERO,
            silent_since: None,
            fenced,
            proof: None,
            latest_expiry,
            unanswered_expire_at: Time::ZERO,
            last_answered_sent_at: Time::ZERO,
            pending: None,
            next_send: now,
        }
    }

    /// Returns when the next order is due, or [`Time::MAX`] while one is in flight.
    pub(crate) fn next_send(&self) -> Time {
        if self.pending.is_some() { Time::MAX } else { self.next_send }
    }

    /// Makes the next order due at once, unless the server is silent.
    pub(crate) fn schedule_now(&mut self, now: Time) {
        if self.silent_since.is_none() {
            self.next_send = self.next_send.min(now);
        }
    }

    /// Returns the latest time at which a lease renewed by this process can still run.
    pub(crate) fn latest_expiry(&self) -> Time {
        self.pending
            .map_or(self.latest_expiry, |pending| pending.latest_expiry.max(self.latest_expiry))
    }

    /// Raises the expiry to cover a lease that may run until `latest_expiry`.
    pub(crate) fn extend_expiry(&mut self, latest_expiry: Time) {
        self.latest_expiry = self.latest_expiry.max(latest_expiry);
    }

    /// Returns the term below which the server rejects orders, and since when it does.
    ///
    /// Returns `None` if the server checks no terms or has accepted no order yet.
    pub(crate) fn term_floor(&self) -> Option<(Term, Time)> {
        Some((self.accepted_term.filter(|_| self.fenced)?, self.accepted_at))
    }

    /// Returns whether no earlier order can still change what the last reply reported.
    ///
    /// Orders of other holders may arrive until `other_orders_expire_at`.
    pub(crate) fn is_reply_final(&self, other_orders_expire_at: Time) -> bool {
        self.fenced
            || self.last_answered_sent_at > self.unanswered_expire_at.max(other_orders_expire_at)
    }

    /// Returns whether the server has accepted an order of term `since` or later and answers.
    pub(crate) fn is_reachable(&self, since: Term) -> bool {
        self.accepted_term.is_some_and(|term| term >= since) && self.silent_since.is_none()
    }

    /// Returns whether the server holds exactly the desired slices.
    pub(crate) fn is_reconciled(&self) -> bool {
        !self.granted_uncertain && self.desired == self.granted
    }

    /// Returns whether an order in flight grants slices.
    pub(crate) fn is_granting(&self) -> bool {
        self.pending.is_some_and(|pending| pending.grants)
    }

    /// Builds the next order and records it as in flight.
    ///
    /// Only a keeper's order with a lease proof grants or revokes slices.
    pub(crate) fn next_order(&mut self, now: Time, header: OrderHeader) -> Order {
        let usable = |(_, seen): &(LeaseProof, Time)| now < *seen + header.lease * 3 / 4;
        let proof = self.proof.filter(usable);
        let mut order = Order {
            keeper: header.keeper,
            role: header.role,
            term: header.term,
            sequence: header.sequence,
            proof: proof.map(|(proof, _)| proof),
            lease_ms: header.lease.as_millis() as u64,
            replace: false,
            grant: Vec::new(),
            revoke: Vec::new(),
        };
        let mut latest_expiry = Time::ZERO;
        if let Some((_, seen)) = proof {
            latest_expiry = latest_end(seen, header.lease);
            if header.role == OrderRole::Keeper {
                self.add_changes(&mut order);
            }
        }
        let grants = order.replace || !order.grant.is_empty();
        self.pending = Some(PendingOrder { sent: now, latest_expiry, grants });
        order
    }

    fn add_changes(&self, order: &mut Order) {
        order.replace = self.granted_uncertain;
        if self.granted_uncertain {
            order.grant = grants(&self.desired).collect();
            return;
        }
        let missing = |grant: &SliceGrant| self.granted.get(&grant.slice) != Some(&grant.token);
        order.grant = grants(&self.desired).filter(missing).collect();
        let unwanted = |grant: &SliceGrant| !self.desired.contains_key(&grant.slice);
        order.revoke = grants(&self.granted).filter(unwanted).collect();
    }

    /// Records the server's reply to an order, or its timeout if `reply` is `None`.
    pub(crate) fn handle_reply(&mut self, now: Time, order: &Order, reply: Option<&OrderReply>) {
        let pending = self.pending.take();
        let lease = Duration::from_millis(order.lease_ms);
        let interval = lease / ORDERS_PER_LEASE;
        let Some(reply) = reply else {
            self.record_timeout(now, pending, order);
            self.next_send = now + interval / 2;
            return;
        };
        if let Some(pending) = pending {
            self.latest_expiry = self.latest_expiry.max(pending.latest_expiry);
            self.last_answered_sent_at = pending.sent;
        }
        self.silent_since = None;
        self.proof = Some((LeaseProof { boot: reply.boot, stamp: reply.stamp }, now));
        if reply.verdict == OrderVerdict::Accepted && self.accepted_term != Some(order.term) {
            self.accepted_term = Some(order.term);
            self.accepted_at = now;
        }
        if order.role == OrderRole::Keeper {
            self.infer_granted(order, reply);
        }
        let send_now =
            order.proof.is_none() || (order.role == OrderRole::Keeper && !self.is_reconciled());
        self.next_send = if send_now { now } else { now + interval };
        if reply.verdict == OrderVerdict::Stale {
            self.next_send = now + interval;
        }
    }

    fn record_timeout(&mut self, now: Time, pending: Option<PendingOrder>, order: &Order) {
        if let Some(pending) = pending {
            self.latest_expiry = self.latest_expiry.max(pending.latest_expiry);
            self.unanswered_expire_at = self.unanswered_expire_at.max(pending.latest_expiry);
            self.silent_since.get_or_insert(pending.sent);
        }
        self.silent_since.get_or_insert(now);
        self.granted_uncertain |=
            order.replace || !order.grant.is_empty() || !order.revoke.is_empty();
    }

    /// Infers the granted slices from the digest in a reply.
    fn infer_granted(&mut self, order: &Order, reply: &OrderReply) {
        if reply.verdict != OrderVerdict::Accepted {
            self.granted_uncertain = true;
            return;
        }
        let changes = order.replace || !order.grant.is_empty() || !order.revoke.is_empty();
        if !changes && reply.digest == self.granted_digest {
            self.granted_uncertain = false;
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
        let candidates = [&expected, &self.desired];
        let same = |set: &&&BTreeMap<SliceId, Token>| reply.digest == digest(set);
        match candidates.iter().find(same) {
            Some(set) => {
                self.granted = (**set).clone();
                self.granted_digest = reply.digest;
                self.granted_uncertain = false;
            }
            None => self.granted_uncertain = true,
        }
    }
}

/// Converts a set of slices to grants.
pub(crate) fn grants(set: &BTreeMap<SliceId, Token>) -> impl Iterator<Item = SliceGrant> + '_ {
    set.iter().map(|(slice, token)| SliceGrant { slice: *slice, token: *token })
}

fn digest(set: &BTreeMap<SliceId, Token>) -> u64 {
    SliceGrant::digest(grants(set))
}
