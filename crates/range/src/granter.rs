use std::collections::BTreeMap;
use std::time::Duration;

use bay_time::Time;
use bay_types::{Term, Token};

use crate::granter_action::GranterAction;
use crate::slot::{Phase, Slot};
use crate::staged_change::StagedChange;
use crate::{
    Candidate, FormerOwner, GrantOrder, HoldProof, HoldTimes, Holding, KeyLoads, KeyRange, OrderId,
    OrderResult, OwnerId, ProvenTable, RangeTable,
};

mod planning;

/// Assigns the key ranges of one service to servers and renews their holds.
///
/// Every change is saved in the store before any order for it is sent. A range is granted to a new
/// owner only after the former owner has released it, has ended, or its hold has expired.
#[derive(Debug)]
pub struct Granter {
    hold_times: HoldTimes,
    term: Term,
    /// Term of the stored table from which this granter started.
    stored_term: Term,
    /// Counts the changes of the table within the term; part of fencing tokens.
    change: u64,
    /// Slots in key order, without overlaps.
    slots: Vec<Slot>,
    /// A change of owners that takes effect once the store has it.
    staged: Option<StagedChange>,
    save_in_flight: bool,
    /// When to save the table again without former owners that have released their keys.
    cleanup_save_at: Option<Time>,
    /// Whether a table was saved since the start of the term, or since tokens were raised. No order
    /// is sent before.
    table_saved: bool,
    /// Whether the store may have an older table than the one that was saved last.
    is_saved_table_lost: bool,
    /// Orders in flight.
    orders: BTreeMap<OrderId, PendingOrder>,
    last_order_id: u64,
    plan_at: Time,
    /// Whether the last plan found nothing to rebalance, or joined or absorbed ranges instead.
    last_plan_consolidated: bool,
    /// End of the last possible hold that an earlier granter has ordered.
    earlier_holds_until: Time,
    /// Number of servers that can be assigned keys, and since when it is unchanged.
    server_count_since: (usize, Time),
}

/// An order in flight.
#[derive(Debug, Clone)]
struct PendingOrder {
    to: OwnerId,
    token: Token,
    range: KeyRange,
    is_release: bool,
    sent_at: Time,
    /// End of the owner's last possible hold by earlier orders.
    previous_hold_until: Time,
}

impl Granter {
    /// Longest time for which a granter renews holds without confirmation by the store.
    pub const MAX_UNCONFIRMED_RENEWAL: Duration = Duration::from_secs(12);
    /// Time after which an order counts as unanswered; above the timeout of a release.
    const ORDER_TIMEOUT: Duration = Duration::from_secs(5);
    /// Time over which completed moves are gathered into one save.
    const CLEANUP_DELAY: Duration = Duration::from_millis(300);

    /// Creates the granter of a new term from the stored table.
    ///
    /// Every holding keeps its owner and gets a new fencing token. Servers that have seen it refuse
    /// orders of earlier granters.
    pub fn take_over(now: Time, term: Term, hold_times: HoldTimes, proven: ProvenTable) -> Granter {
        let (stored, proof) = proven.into_parts();
        // Until a server has acknowledged the new term, an earlier granter may renew its holds.
        let until = now + Granter::MAX_UNCONFIRMED_RENEWAL + hold_times.max_after_arrival();
        let mut granter = Granter {
            hold_times,
            term,
            stored_term: stored.term,
            change: if stored.term == term { stored.change + 1 } else { 1 },
            slots: Vec::new(),
            staged: None,
            save_in_flight: false,
            cleanup_save_at: None,
            table_saved: false,
            is_saved_table_lost: false,
            orders: BTreeMap::new(),
            // Results of orders from an earlier term of this process may still arrive. Starting at
            // the current time keeps their ids distinct.
            last_order_id: now.as_nanos(),
            plan_at: now,
            last_plan_consolidated: false,
            earlier_holds_until: until,
            server_count_since: (0, now),
        };
        let token = granter.current_token();
        for holding in stored.holdings {
            let holding = Holding { token, ..holding };
            match granter.slots.last_mut() {
                Some(last) if can_join(&last.holding, &holding) => {
                    last.holding.range.last = holding.range.last;
                }
                _ => granter.slots.push(Slot::from_stored(holding, now, until)),
            }
        }
        match proof {
            HoldProof::Complete => {}
            HoldProof::Expired => granter.record_earlier_holds_expired(now),
        }
        granter
    }

    /// Records that earlier granters send no renewals after `now`.
    pub fn record_earlier_granters_ended(&mut self, now: Time) {
        let until = now + self.hold_times.max_after_arrival();
        self.earlier_holds_until = self.earlier_holds_until.min(until);
        for slot in &mut self.slots {
            slot.limit_earlier_holds(until);
        }
    }

    /// Records that the earlier granter left no order unanswered.
    ///
    /// No late order can then give released keys back to a server.
    pub fn record_predecessor_settled(&mut self, now: Time) {
        self.record_earlier_granters_ended(now);
        self.earlier_holds_until = now;
        self.slots.iter_mut().for_each(Slot::record_predecessor_settled);
    }

    /// Records that all holds by orders of earlier granters have expired, so that the keys can be granted
    /// to any server.
    fn record_earlier_holds_expired(&mut self, now: Time) {
        self.earlier_holds_until = now;
        self.slots.iter_mut().for_each(|slot| slot.record_no_holder(now));
    }

    /// Returns the ranges that no server can hold by any order of this granter or of an earlier one,
    /// although they have an owner: it has left, and its last possible hold has expired.
    ///
    /// Earlier granters must have ended.
    pub fn ended_holds(&self, now: Time) -> Vec<KeyRange> {
        let in_flight =
            |slot: &Slot| self.orders.values().any(|each| each.range.overlaps(slot.holding.range));
        let has_ended = |slot: &&Slot| {
            now >= self.earlier_holds_until && slot.has_no_holder(now) && !in_flight(slot)
        };
        self.slots.iter().filter(has_ended).map(|slot| slot.holding.range).collect()
    }

    /// Records that no server holds keys of these ranges, by the [`Granter::ended_holds`] of the
    /// granter of term `by`. They need no release before the next grant.
    ///
    /// Ignored if a later granter has saved the table that this one started from, as it may have sent
    /// orders since.
    pub fn record_ended_holds(&mut self, now: Time, by: Term, ended: &[KeyRange]) {
        if self.stored_term > by {
            return;
        }
        for slot in &mut self.slots {
            let range = slot.holding.range;
            if ended.iter().any(|each| each.first <= range.first && range.last <= each.last) {
                slot.record_no_holder(now);
            }
        }
    }

    /// Returns whether no order, in flight or unanswered, can still give keys to a server.
    pub fn is_settled(&self, now: Time) -> bool {
        let settled = |slot: &Slot| slot.is_settled(now);
        self.orders.is_empty() && now >= self.earlier_holds_until && self.slots.iter().all(settled)
    }

    /// Returns whether no order of these granters, one for each service, can still give keys to a
    /// server; `None` if a table is not loaded and the loaded ones are settled. Orders for the keys of
    /// the table that is not loaded are then as the predecessor left them.
    pub fn are_all_settled<'a, I>(now: Time, granters: I) -> Option<bool>
    where
        I: IntoIterator<Item = Option<&'a Granter>>,
    {
        let mut is_loaded = true;
        for granter in granters {
            match granter {
                Some(granter) if !granter.is_settled(now) => return Some(false),
                Some(_) => {}
                None => is_loaded = false,
            }
        }
        is_loaded.then_some(true)
    }

    /// Records that the store was restored from a copy, so that the table must be saved again.
    pub fn record_store_restored(&mut self) {
        self.is_saved_table_lost = true;
    }

    /// Returns whether the store has a table of this granter, so that it may have sent orders.
    pub fn may_have_sent_orders(&self) -> bool {
        self.table_saved || !self.orders.is_empty()
    }

    /// Returns the ranges whose owners hold them, with the owners, for routing.
    pub fn served_ranges(&self) -> Vec<(KeyRange, OwnerId)> {
        let held = self.slots.iter().filter(|slot| slot.is_served());
        held.map(|slot| (slot.holding.range, slot.holding.owner)).collect()
    }

    /// Returns the holdings whose owners do not hold them yet, with the reason.
    pub fn unserved_ranges(&self) -> impl Iterator<Item = (&Holding, &'static str)> {
        self.slots.iter().filter(|slot| !slot.is_served()).map(|slot| {
            let reason = match slot.phase {
                Phase::Releasing { .. } => "former owner has not released",
                Phase::AwaitingExpiry { .. } => "former owner's hold may not have expired",
                Phase::Granting { .. } | Phase::Held { .. } => "owner has not acknowledged",
            };
            (&slot.holding, reason)
        })
    }

    /// Records that the store has the table with this change; applies the staged change.
    pub fn record_save(&mut self, now: Time, change: u64, out: &mut Vec<GranterAction>) {
        self.save_in_flight = false;
        self.table_saved = true;
        self.is_saved_table_lost = false;
        if let Some(staged) = self.staged.take_if(|staged| staged.change <= change) {
            staged.apply(&mut self.slots, now);
        }
        out.push(GranterAction::Publish);
    }

    /// Records that a save failed or that its result is unknown.
    ///
    /// The next tick repeats the save of a staged change or of new tokens.
    pub fn record_save_failure(&mut self) {
        self.save_in_flight = false;
    }

    /// Handles the result of an order; results of unknown orders are ignored.
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
        let mut publish = false;
        let mut is_token_refused = false;
        for slot in &mut self.slots {
            if !slot.holding.range.overlaps(order.range) {
                continue;
            }
            let served = slot.is_served();
            let is_former = slot.holding.former.is_some_and(|each| each.token == order.token);
            if slot.has_token(order.token) && !order.is_release {
                is_token_refused |= *result == OrderResult::Outdated;
                slot.handle_grant_result(
                    now,
                    order.sent_at,
                    order.previous_hold_until,
                    result,
                    &self.hold_times,
                );
                if slot.is_held() && !served {
                    self.cleanup_save_at.get_or_insert(now + Granter::CLEANUP_DELAY);
                }
            } else if is_former && order.is_release {
                slot.handle_release_result(now, result);
            } else if !order.is_release && result.may_take_effect() {
                slot.extend_holds_of(order.to, now + self.hold_times.max_after_arrival());
            }
            publish |= served != slot.is_served();
        }
        if is_token_refused {
            self.raise_token(now, order.token);
        }
        if publish {
            out.push(GranterAction::Publish);
        }
    }

    /// Plans changes, saves the table and sends orders, as far as they are due.
    ///
    /// Nothing is planned or saved with `renew_only`, which is set while the store does not confirm
    /// the granter.
    pub fn tick(
        &mut self,
        now: Time,
        candidates: &[Candidate],
        loads: &KeyLoads,
        renew_only: bool,
        out: &mut Vec<GranterAction>,
    ) {
        if !renew_only && !self.save_in_flight {
            if self.staged.is_none() {
                self.stage_change(now, candidates, loads);
            }
            let cleanup_due = self.cleanup_save_at.is_some_and(|at| now >= at);
            let must_save = !self.table_saved || self.is_saved_table_lost;
            if self.staged.is_some() || cleanup_due || must_save {
                self.save(out);
            }
        }
        self.expire_orders(now, out);
        self.send_due_orders(now, candidates, out);
    }

    /// Gives a higher token to the holdings whose token a server refused as outdated.
    ///
    /// The table with it is saved before any order is sent. Orders in flight have the refused token,
    /// so that their results no longer concern the holdings, which get orders of their own.
    fn raise_token(&mut self, now: Time, refused: Token) {
        self.change += 1;
        let token = self.current_token();
        for slot in &mut self.slots {
            if slot.has_token(refused) {
                slot.raise_token(now, token);
            }
        }
        self.table_saved = false;
    }

    fn current_token(&self) -> Token {
        RangeTable { term: self.term, change: self.change, holdings: Vec::new(), store_era: None }
            .token()
    }

    /// Returns the table without the staged change.
    fn current_table(&self) -> RangeTable {
        let holdings = self.slots.iter().map(|slot| slot.holding.clone()).collect();
        RangeTable { term: self.term, change: self.change, holdings, store_era: None }
    }

    fn save(&mut self, out: &mut Vec<GranterAction>) {
        if self.staged.is_none() && self.table_saved {
            self.change += 1;
        }
        self.save_in_flight = true;
        self.cleanup_save_at = None;
        let mut table = self.current_table();
        if let Some(staged) = &self.staged {
            staged.apply_to_table(&mut table);
        }
        out.push(GranterAction::Save(table));
    }

    /// Handles orders whose results are overdue as unanswered.
    ///
    /// Otherwise their slots would wait for them forever, and the keys would get no more renewals.
    fn expire_orders(&mut self, now: Time, out: &mut Vec<GranterAction>) {
        let overdue = |order: &&PendingOrder| now.since(order.sent_at) > Granter::ORDER_TIMEOUT;
        let lost: Vec<OrderId> =
            self.orders.iter().filter(|(_, order)| overdue(order)).map(|(id, _)| *id).collect();
        for id in lost {
            self.handle_order_result(now, id, &OrderResult::Unanswered, out);
        }
    }

    /// Sends the orders that slots need now, once the table of this term is saved.
    fn send_due_orders(
        &mut self,
        now: Time,
        candidates: &[Candidate],
        out: &mut Vec<GranterAction>,
    ) {
        if !self.table_saved {
            return;
        }
        for slot in &mut self.slots {
            if let Some(former) = slot.holding.former {
                if candidates.iter().any(|each| has_restarted(&former, each)) {
                    // The restarted process does not know the tokens that the previous one had
                    // seen, so that it accepts orders of earlier granters.
                    slot.former_unanswered_until =
                        slot.former_unanswered_until.max(self.earlier_holds_until);
                }
                let ended = candidates.iter().any(|each| has_ended(&former, each));
                slot.grant_if_former_expired(now, ended);
            }
            let previous_hold_until = slot.owner_hold_until;
            let Some((order, to, address, token)) =
                prepare_due_order(slot, now, &self.hold_times, &self.orders)
            else {
                continue;
            };
            let is_release = matches!(order, GrantOrder::Release { .. });
            self.last_order_id += 1;
            let id = OrderId(self.last_order_id);
            let range = slot.holding.range;
            self.orders.insert(
                id,
                PendingOrder { to, token, range, is_release, sent_at: now, previous_hold_until },
            );
            out.push(GranterAction::Order { id, to, address, order });
        }
    }
}

/// Marks a slot's due order as in flight and returns it with its recipient and token.
fn prepare_due_order(
    slot: &mut Slot,
    now: Time,
    hold_times: &HoldTimes,
    orders: &BTreeMap<OrderId, PendingOrder>,
) -> Option<(GrantOrder, OwnerId, std::net::SocketAddr, Token)> {
    let range = slot.holding.range;
    match slot.phase {
        Phase::Releasing { next, in_flight: false } if now >= next => {
            let former = slot.holding.former?;
            let renewing = |order: &PendingOrder| {
                !order.is_release && order.to == former.owner && order.range.overlaps(range)
            };
            // A grant in flight, also one with an earlier token, could take effect after the release.
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
    slot.owner_hold_until = slot.owner_hold_until.max(now + hold_times.max_after_decision());
    let holding = &slot.holding;
    let handover = if slot.is_held() { None } else { slot.handover.clone() };
    let order = GrantOrder::Grant { range, token: holding.token, hold: hold_times.hold, handover };
    Some((order, holding.owner, holding.address, holding.token))
}

/// Returns whether a candidate proves that a former owner has ended.
///
/// Only a later process of the same server at another address does.
/// At the same address it proves nothing, as a renewal may have reached the later process. Another
/// server at the address proves nothing either, as its entry may be outdated. If that server is
/// live, it refuses the release.
fn has_ended(former: &FormerOwner, candidate: &Candidate) -> bool {
    candidate.owner.server == former.owner.server
        && candidate.owner.started > former.owner.started
        && candidate.address != former.address
}

/// Returns whether a candidate is another process of the former owner's server.
fn has_restarted(former: &FormerOwner, candidate: &Candidate) -> bool {
    candidate.owner.server == former.owner.server && candidate.owner.started != former.owner.started
}

/// Returns whether `b` starts right after `a`.
fn is_adjacent(a: KeyRange, b: KeyRange) -> bool {
    u32::from(a.last) + 1 == u32::from(b.first)
}

/// Returns whether two holdings can be joined: adjacent, of one owner, without former owners.
fn can_join(a: &Holding, b: &Holding) -> bool {
    is_adjacent(a.range, b.range) && a.owner == b.owner && a.former.is_none() && b.former.is_none()
}
