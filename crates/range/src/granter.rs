use std::collections::BTreeMap;
use std::time::Duration;

use bay_time::Time;
use bay_types::{Term, Token};

use crate::granter_io::GranterAction;
use crate::slot::{Phase, Slot};
use crate::staging::Staged;
use crate::{
    Candidate, FormerOwner, GrantOrder, HoldTimes, Holding, KeyLoads, KeyRange, OrderId,
    OrderResult, OwnerId, RangeTable,
};

mod planning;

/// Decides which server holds which keys of one service, and keeps the holds alive.
///
/// Every change is saved before it is acted on. A range goes to a new owner only once the former
/// one has released it, is known to have ended, or cannot hold it any more.
#[derive(Debug)]
pub struct Granter {
    times: HoldTimes,
    term: Term,
    change: u64,
    slots: Vec<Slot>,
    staged: Option<Staged>,
    saving: bool,
    /// Whether the store has to be told which former owners have let go.
    settle_at: Option<Time>,
    /// Whether the table of this term was saved once.
    begun: bool,
    orders: BTreeMap<OrderId, PendingOrder>,
    next_order: u64,
    plan_at: Time,
    /// Whether the last plan was made before the load was looked at, to join ranges or to replace
    /// owners; the next one does not give quiet ranges away.
    consolidated: bool,
    /// Until when servers may hold keys by the orders of earlier granters.
    stale_until: Time,
    /// How many servers there were before the first assignment, and since when.
    first_seen: (usize, Time),
}

#[derive(Debug, Clone)]
struct PendingOrder {
    token: Token,
    range: KeyRange,
    release: bool,
    sent: Time,
    /// When the owner's last possible hold ended before the order was sent.
    until_before: Time,
}

impl Granter {
    /// Longest time for which a granter that the store does not confirm goes on renewing holds.
    pub const MAX_UNCONFIRMED_RENEWAL: Duration = Duration::from_secs(12);
    /// Longest time for the result of an order; above that of a release.
    const ORDER_LIMIT: Duration = Duration::from_secs(5);
    /// Time over which settled moves are gathered into one save.
    const SETTLE: Duration = Duration::from_millis(300);

    /// Takes over the table that the store has, on behalf of a new term.
    ///
    /// Every holding keeps its owner and gets a new token, so that servers refuse the orders of
    /// earlier granters once they have seen it.
    pub fn take_over(now: Time, term: Term, times: HoldTimes, stored: RangeTable) -> Granter {
        // Until a server has acknowledged the new term, an earlier granter may renew its holds.
        let until = now + Granter::MAX_UNCONFIRMED_RENEWAL + times.max_after_arrival();
        let mut granter = Granter {
            times,
            term,
            change: if stored.term == term { stored.change + 1 } else { 1 },
            slots: Vec::new(),
            staged: None,
            saving: false,
            settle_at: None,
            begun: false,
            orders: BTreeMap::new(),
            // Results of orders of an earlier granter in this process have other numbers.
            next_order: now.as_nanos(),
            plan_at: now,
            consolidated: false,
            stale_until: until,
            first_seen: (0, now),
        };
        let token = granter.token();
        for holding in stored.holdings {
            let holding = Holding { token, ..holding };
            match granter.slots.last_mut() {
                Some(last) if can_join(&last.holding, &holding) => {
                    last.holding.range.last = holding.range.last;
                }
                _ => granter.slots.push(Slot::taken_over(holding, now, until)),
            }
        }
        granter
    }

    /// Takes note that the earlier granters renew no holds any more.
    pub fn record_predecessors_ended(&mut self, now: Time) {
        let until = now + self.times.max_after_arrival();
        self.stale_until = self.stale_until.min(until);
        for slot in &mut self.slots {
            slot.bound(until);
        }
    }

    /// Takes note that the earlier granter left no order unanswered: a server that has released
    /// keys cannot get them back by one.
    pub fn record_predecessor_settled(&mut self, now: Time) {
        self.record_predecessors_ended(now);
        self.stale_until = now;
        self.slots.iter_mut().for_each(Slot::settle);
    }

    /// Whether no order is under way that could still give keys to a server.
    pub fn is_settled(&self, now: Time) -> bool {
        let settled = |slot: &Slot| slot.is_settled(now);
        self.orders.is_empty() && now >= self.stale_until && self.slots.iter().all(settled)
    }

    /// The ranges whose owners hold them, for routing.
    pub fn served_ranges(&self) -> Vec<(KeyRange, OwnerId)> {
        let held = self.slots.iter().filter(|slot| slot.serves());
        held.map(|slot| (slot.holding.range, slot.holding.owner)).collect()
    }

    /// The ranges whose owners do not hold them yet, with what they wait for.
    pub fn unserved_ranges(&self) -> impl Iterator<Item = (&Holding, &'static str)> {
        self.slots.iter().filter(|slot| !slot.serves()).map(|slot| {
            let reason = match slot.phase {
                Phase::Releasing { .. } => "former owner has not released",
                Phase::Lapsing { .. } => "former owner's hold may last",
                Phase::Granting { .. } | Phase::Held { .. } => "owner has not acknowledged",
            };
            (&slot.holding, reason)
        })
    }

    /// Takes note that the table with this change is in the store.
    pub fn record_save(&mut self, now: Time, change: u64, out: &mut Vec<GranterAction>) {
        self.saving = false;
        self.begun = true;
        if let Some(staged) = self.staged.take_if(|staged| staged.change <= change) {
            staged.apply(&mut self.slots, now);
        }
        out.push(GranterAction::Publish);
    }

    /// Takes note that the table could not be saved, or may not have been.
    pub fn record_save_failure(&mut self) {
        self.saving = false;
    }

    /// Takes the result of an order.
    pub fn handle_order_result(
        &mut self,
        now: Time,
        id: OrderId,
        result: &OrderResult,
        out: &mut Vec<GranterAction>,
    ) {
        let Some(order) = self.orders.remove(&id) else {
            return;
        };
        let longest = self.times.max_after_arrival();
        let mut publish = false;
        for slot in &mut self.slots {
            if !slot.holding.range.overlaps(order.range) {
                continue;
            }
            let served = slot.serves();
            let former = slot.holding.former.filter(|former| former.token == order.token);
            if slot.has_token(order.token) && !order.release {
                slot.on_grant(now, order.sent, order.until_before, result, &self.times);
                if slot.is_held() && !served {
                    self.settle_at.get_or_insert(now + Granter::SETTLE);
                }
            } else if former.is_some() {
                if order.release {
                    slot.on_release(now, result);
                } else if result.may_take_effect() {
                    slot.former_doubt = slot.former_doubt.max(now + longest);
                }
            }
            publish |= served != slot.serves();
        }
        if *result == OrderResult::Outdated && !order.release {
            self.refence(order.token);
        }
        if publish {
            out.push(GranterAction::Publish);
        }
    }

    /// Does what is due; `renew_only` while the store does not confirm the granter.
    pub fn tick(
        &mut self,
        now: Time,
        candidates: &[Candidate],
        loads: &KeyLoads,
        renew_only: bool,
        out: &mut Vec<GranterAction>,
    ) {
        if !renew_only && !self.saving {
            if self.staged.is_none() {
                self.stage(now, candidates, loads);
            }
            let settled = self.settle_at.is_some_and(|at| now >= at);
            if self.staged.is_some() || settled || !self.begun {
                self.save(out);
            }
        }
        self.expire_orders(now, out);
        self.advance(now, candidates, out);
    }

    /// Gives the holdings with a refused token a higher one.
    fn refence(&mut self, refused: Token) {
        self.change += 1;
        let token = self.token();
        for slot in &mut self.slots {
            if slot.has_token(refused) {
                slot.holding.token = token;
            }
        }
        self.begun = false;
    }

    fn token(&self) -> Token {
        RangeTable { term: self.term, change: self.change, holdings: Vec::new() }.next_token()
    }

    /// The table without what is staged.
    fn table(&self) -> RangeTable {
        let holdings = self.slots.iter().map(|slot| slot.holding.clone()).collect();
        RangeTable { term: self.term, change: self.change, holdings }
    }

    fn save(&mut self, out: &mut Vec<GranterAction>) {
        if self.staged.is_none() && self.begun {
            self.change += 1;
        }
        self.saving = true;
        self.settle_at = None;
        let mut table = self.table();
        if let Some(staged) = &self.staged {
            staged.apply_to_table(&mut table);
        }
        out.push(GranterAction::Save(table));
    }

    /// Gives up orders whose results were lost.
    fn expire_orders(&mut self, now: Time, out: &mut Vec<GranterAction>) {
        let overdue = |order: &&PendingOrder| now.since(order.sent) > Granter::ORDER_LIMIT;
        let lost: Vec<OrderId> =
            self.orders.iter().filter(|(_, order)| overdue(order)).map(|(id, _)| *id).collect();
        for id in lost {
            self.handle_order_result(now, id, &OrderResult::Unanswered, out);
        }
    }

    /// Sends the orders that are due.
    fn advance(&mut self, now: Time, candidates: &[Candidate], out: &mut Vec<GranterAction>) {
        if !self.begun {
            return;
        }
        for slot in &mut self.slots {
            if let Some(former) = slot.holding.former {
                if candidates.iter().any(|each| has_restarted(&former, each)) {
                    // The new life does not know the tokens that the last one had seen.
                    slot.former_doubt = slot.former_doubt.max(self.stale_until);
                }
                let ended = candidates.iter().any(|each| has_ended(&former, each));
                slot.expire(now, ended);
            }
            let until_before = slot.owner_until;
            let Some((order, to, address, token)) = due(slot, now, &self.times, &self.orders)
            else {
                continue;
            };
            let release = matches!(order, GrantOrder::Release { .. });
            self.next_order += 1;
            let id = OrderId(self.next_order);
            let range = slot.holding.range;
            self.orders.insert(id, PendingOrder { token, range, release, sent: now, until_before });
            out.push(GranterAction::Order { id, to, address, order });
        }
    }
}

/// The order that a slot needs now.
fn due(
    slot: &mut Slot,
    now: Time,
    times: &HoldTimes,
    orders: &BTreeMap<OrderId, PendingOrder>,
) -> Option<(GrantOrder, OwnerId, std::net::SocketAddr, Token)> {
    let range = slot.holding.range;
    match slot.phase {
        Phase::Releasing { next, in_flight: false } if now >= next => {
            let former = slot.holding.former?;
            let renewing = |order: &PendingOrder| {
                !order.release && order.token == former.token && order.range.overlaps(range)
            };
            // A renewal under way could take effect after the release.
            if orders.values().any(renewing) {
                return None;
            }
            slot.phase = Phase::Releasing { next, in_flight: true };
            let order = GrantOrder::Release { range, token: former.token };
            return Some((order, former.owner, former.address, former.token));
        }
        Phase::Granting { next, in_flight: false } if now >= next => {
            slot.phase = Phase::Granting { next, in_flight: true };
        }
        Phase::Held { renew_at, in_flight: false } if now >= renew_at => {
            slot.phase = Phase::Held { renew_at, in_flight: true };
        }
        _ => return None,
    }
    slot.owner_until = slot.owner_until.max(now + times.max_after_decision());
    let holding = &slot.holding;
    let handover = if slot.is_held() { None } else { slot.handover.clone() };
    let order = GrantOrder::Grant { range, token: holding.token, hold: times.hold, handover };
    Some((order, holding.owner, holding.address, holding.token))
}

/// Whether a server that is listed shows that a former owner has ended: a later life of it at
/// another address does.
///
/// At the same address it shows nothing, as a renewal may have reached the later life. Another
/// server at the address shows nothing, as its entry may be the older one; if it is there, it
/// refuses the release.
fn has_ended(former: &FormerOwner, listed: &Candidate) -> bool {
    listed.owner.server == former.owner.server
        && listed.owner.started > former.owner.started
        && listed.address != former.address
}

/// Whether a former owner's address belongs to a later life of the same server.
fn has_restarted(former: &FormerOwner, listed: &Candidate) -> bool {
    listed.owner.server == former.owner.server && listed.owner.started != former.owner.started
}

fn adjacent(a: KeyRange, b: KeyRange) -> bool {
    u32::from(a.last) + 1 == u32::from(b.first)
}

/// Whether two holdings of one server can be one.
fn can_join(a: &Holding, b: &Holding) -> bool {
    adjacent(a.range, b.range) && a.owner == b.owner && a.former.is_none() && b.former.is_none()
}
