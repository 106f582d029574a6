use std::collections::BTreeMap;
use std::time::Duration;

use bay_time::Time;
use bay_types::{Term, Token};

use crate::granter_io::GranterAction;
use crate::planner::{Held, Planner};
use crate::sharing::Sharing;
use crate::{
    Candidate, Former, GrantOrder, HoldTimes, Holding, KeyLoads, KeyRange, OrderId, OrderResult,
    OwnerId, RangeTable,
};

/// Decides which server holds which keys of one service, and keeps the holds alive.
///
/// Every change is saved before it is acted on. A range goes to a new owner only once the former
/// one has released it, is known to have ended, or cannot hold it any more.
#[derive(Debug)]
pub struct Granter {
    times: HoldTimes,
    term: Term,
    change: u64,
    /// Whether memory is ahead of the last save that was asked for.
    dirty: bool,
    saving: bool,
    slots: Vec<Slot>,
    orders: BTreeMap<OrderId, PendingOrder>,
    next_order: u64,
    plan_at: Time,
    settle_at: Option<Time>,
    /// How many servers there were before the first assignment, and since when.
    first_seen: (usize, Time),
    /// The directory's entries of servers that still have keys, by owner.
    known: BTreeMap<OwnerId, Candidate>,
}

/// A holding and how far its grant has come.
#[derive(Debug, Clone)]
struct Slot {
    holding: Holding,
    phase: Phase,
    /// When the owner's last possible hold ends.
    owner_until: Time,
    /// When the last possible hold by an unanswered order to the owner ends.
    doubt_until: Time,
    /// The same two times for the former owner.
    former_until: Time,
    former_doubt: Time,
    handover: Option<String>,
    /// Whether the owner has acknowledged a grant in this term.
    acknowledged: bool,
    moved_at: Time,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    /// The change is not in the store yet.
    Unsaved { change: u64 },
    /// The former owner has to release the keys.
    Releasing { next: Time, in_flight: bool },
    /// The former owner's hold has to run out.
    Lapsing { until: Time },
    /// The owner has to be given the keys.
    Granting { next: Time, in_flight: bool },
    /// The owner holds the keys.
    Held { renew_at: Time, in_flight: bool },
}

#[derive(Debug, Clone)]
struct PendingOrder {
    token: Token,
    range: KeyRange,
    release: bool,
    sent: Time,
}

impl Granter {
    /// Longest time for which a granter that the store does not confirm goes on renewing holds.
    pub const LONE_RENEWAL: Duration = Duration::from_secs(12);
    /// Time between two plans.
    const PLAN: Duration = Duration::from_millis(400);
    /// Time after which an order that failed is sent again.
    const RETRY: Duration = Duration::from_millis(250);
    /// Time for which a moved range stays where it is.
    const REST: Duration = Duration::from_millis(1_500);
    /// Time without a new server before keys are assigned for the first time.
    const FIRST_ASSIGNMENT_WAIT: Duration = Duration::from_millis(2_500);
    /// Time over which settled moves are gathered into one save.
    const SETTLE: Duration = Duration::from_millis(400);

    /// Takes over the table that the store has, on behalf of a new term.
    ///
    /// Every holding keeps its owner and gets a new token, so that servers refuse the orders of
    /// earlier granters once they have seen it.
    pub fn take_over(now: Time, term: Term, times: HoldTimes, stored: RangeTable) -> Granter {
        let mut granter = Granter {
            times,
            term,
            change: 1,
            dirty: true,
            saving: false,
            slots: Vec::new(),
            orders: BTreeMap::new(),
            next_order: 0,
            plan_at: now,
            settle_at: None,
            first_seen: (0, now),
            known: BTreeMap::new(),
        };
        let token = granter.token();
        // Until a server has acknowledged the new term, an earlier granter may renew its holds.
        let until = now + Granter::LONE_RENEWAL + times.longest();
        granter.slots = stored
            .holdings
            .into_iter()
            .map(|holding| Slot {
                holding: Holding { token, ..holding },
                phase: Phase::Unsaved { change: 1 },
                owner_until: until,
                doubt_until: Time::ZERO,
                former_until: until,
                former_doubt: until,
                handover: None,
                acknowledged: false,
                moved_at: now,
            })
            .collect();
        granter
    }

    /// The table with all changes, saved or not.
    pub fn table(&self) -> RangeTable {
        let holdings = self.slots.iter().map(|slot| slot.holding.clone()).collect();
        RangeTable { term: self.term, change: self.change, holdings }
    }

    /// The ranges whose owners hold them, for routing.
    pub fn serving(&self) -> Vec<(KeyRange, OwnerId)> {
        let held = self.slots.iter().filter(|slot| slot.acknowledged && slot.serves());
        held.map(|slot| (slot.holding.range, slot.holding.owner)).collect()
    }

    /// Whether any key has no owner that serves it.
    pub fn has_unserved(&self) -> bool {
        self.slots.is_empty() || !self.slots.iter().all(|slot| slot.acknowledged && slot.serves())
    }

    /// Takes note that the table with this change is in the store.
    pub fn on_saved(&mut self, now: Time, change: u64, out: &mut Vec<GranterAction>) {
        self.saving = false;
        for slot in &mut self.slots {
            if matches!(slot.phase, Phase::Unsaved { change: at } if at <= change) {
                slot.phase = match slot.holding.former {
                    Some(_) => Phase::Releasing { next: now, in_flight: false },
                    None => Phase::Granting { next: now, in_flight: false },
                };
            }
        }
        out.push(GranterAction::Publish);
    }

    /// Takes note that the table could not be saved; it is saved again at the next tick.
    pub fn on_save_failed(&mut self) {
        self.saving = false;
        self.dirty = true;
    }

    /// Takes the result of an order.
    pub fn on_order(
        &mut self,
        now: Time,
        id: OrderId,
        result: &OrderResult,
        out: &mut Vec<GranterAction>,
    ) {
        let Some(order) = self.orders.remove(&id) else {
            return;
        };
        let longest = self.times.longest();
        let mut settled = false;
        let mut outdated = false;
        for slot in &mut self.slots {
            if !slot.holding.range.overlaps(order.range) {
                continue;
            }
            if order.release {
                let former = slot.holding.former.map(|former| former.token);
                if former == Some(order.token) {
                    slot.on_release(now, result);
                }
            } else if slot.holding.token == order.token {
                let newly = !slot.acknowledged;
                outdated |= *result == OrderResult::Outdated;
                slot.on_grant(now, order.sent, result, &self.times);
                settled |= newly && slot.acknowledged;
            } else if *result != OrderResult::Granted
                && slot.holding.former.is_some_and(|former| former.token == order.token)
                && result.may_take_effect()
            {
                slot.former_doubt = slot.former_doubt.max(order.sent + longest);
            }
        }
        if outdated {
            self.refence(order.token);
        }
        if settled {
            self.settle_at.get_or_insert(now + Granter::SETTLE);
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
        for candidate in candidates {
            self.known.insert(candidate.owner, *candidate);
        }
        if !renew_only {
            self.reassign(now, candidates, loads);
            if now >= self.plan_at && !self.saving {
                self.plan_at = now + Granter::PLAN;
                self.rebalance(now, candidates, loads);
            }
            if self.settle_at.is_some_and(|at| now >= at) {
                self.settle_at = None;
                self.dirty = true;
            }
            if self.dirty && !self.saving {
                self.save(out);
            }
        }
        self.advance(now, candidates, out);
    }

    /// Gives the keys of servers that may not keep them to others, and keys without an owner.
    fn reassign(&mut self, now: Time, candidates: &[Candidate], loads: &KeyLoads) {
        let alive: BTreeMap<OwnerId, &Candidate> =
            candidates.iter().map(|candidate| (candidate.owner, candidate)).collect();
        let able: Vec<&Candidate> = candidates.iter().filter(|each| each.eligible).collect();
        let warm: Vec<&Candidate> = able.iter().copied().filter(|each| !each.cold).collect();
        let takers = if warm.is_empty() { able } else { warm };
        if takers.is_empty() || !self.may_begin(now, takers.len(), loads) {
            return;
        }
        let mut sharing = Sharing::new(&takers, candidates, loads);
        for slot in &self.slots {
            sharing.count(slot.holding.owner, slot.holding.range);
        }
        let mut moves = Vec::new();
        for slot in &self.slots {
            let owner = slot.holding.owner;
            if !alive.get(&owner).is_some_and(|candidate| candidate.eligible) {
                sharing.share(slot.holding.range, &mut moves);
            }
        }
        for gap in self.table().gaps() {
            sharing.share(gap, &mut moves);
        }
        for (range, to) in moves {
            self.assign(now, range, to);
        }
    }

    /// Whether keys may be assigned: the first time only once all servers had time to be listed,
    /// so that the keys need not be moved to those that come a moment later.
    fn may_begin(&mut self, now: Time, servers: usize, loads: &KeyLoads) -> bool {
        if self.first_seen.0 != servers {
            self.first_seen = (servers, now);
        }
        let settled = now.since(self.first_seen.1) >= Granter::FIRST_ASSIGNMENT_WAIT;
        !self.slots.is_empty() || settled || loads.total() > 0.0
    }

    fn rebalance(&mut self, now: Time, candidates: &[Candidate], loads: &KeyLoads) {
        let held: Vec<Held> = self
            .slots
            .iter()
            .map(|slot| {
                let rested = now.since(slot.moved_at) >= Granter::REST;
                let movable = rested && matches!(slot.phase, Phase::Held { .. });
                Held { range: slot.holding.range, owner: slot.holding.owner, movable }
            })
            .collect();
        for step in Planner::plan(loads, &held, candidates) {
            self.assign(now, step.range, step.to);
        }
    }

    /// Gives a range, or a part of one, to a server.
    fn assign(&mut self, now: Time, range: KeyRange, to: OwnerId) {
        if !self.dirty || self.saving {
            self.change += 1;
            self.dirty = true;
        }
        let token = self.token();
        let phase = Phase::Unsaved { change: self.change };
        let old = self.slots.iter().find(|slot| slot.holding.range.overlaps(range)).cloned();
        let slot = match old {
            None => Slot {
                holding: Holding { range, owner: to, token, former: None },
                phase,
                owner_until: Time::ZERO,
                doubt_until: Time::ZERO,
                former_until: Time::ZERO,
                former_doubt: Time::ZERO,
                handover: None,
                acknowledged: false,
                moved_at: now,
            },
            Some(old) => old.given_to(range, to, token, phase, now),
        };
        self.cut(range);
        self.slots.push(slot);
        self.slots.sort_by_key(|slot| slot.holding.range);
    }

    /// Removes a range from the slots; the rest of cut slots stays as it is.
    fn cut(&mut self, range: KeyRange) {
        let mut kept = Vec::with_capacity(self.slots.len() + 2);
        for slot in self.slots.drain(..) {
            let old = slot.holding.range;
            if !old.overlaps(range) {
                kept.push(slot);
                continue;
            }
            if old.first < range.first {
                kept.push(slot.with_range(KeyRange::new(old.first, range.first - 1)));
            }
            if old.last > range.last {
                kept.push(slot.with_range(KeyRange::new(range.last + 1, old.last)));
            }
        }
        self.slots = kept;
    }

    /// Gives the holdings with a refused token a higher one.
    fn refence(&mut self, refused: Token) {
        if !self.dirty || self.saving {
            self.change += 1;
            self.dirty = true;
        }
        let token = self.token();
        for slot in &mut self.slots {
            if slot.holding.token == refused {
                slot.holding.token = token;
                slot.acknowledged = false;
                slot.phase = Phase::Unsaved { change: self.change };
            }
        }
    }

    fn token(&self) -> Token {
        RangeTable { term: self.term, change: self.change, holdings: Vec::new() }.next_token()
    }

    fn save(&mut self, out: &mut Vec<GranterAction>) {
        self.dirty = false;
        self.saving = true;
        out.push(GranterAction::Save(self.table()));
    }

    /// Sends the orders that are due.
    fn advance(&mut self, now: Time, candidates: &[Candidate], out: &mut Vec<GranterAction>) {
        let longest = self.times.longest();
        for slot in &mut self.slots {
            let former_ended = |owner: OwnerId| {
                let same = |each: &&Candidate| each.owner.server == owner.server;
                candidates.iter().find(same).is_some_and(|each| each.owner.started != owner.started)
            };
            if let (Phase::Releasing { .. } | Phase::Lapsing { .. }, Some(former)) =
                (slot.phase, slot.holding.former)
                && (former_ended(former.owner) || now >= slot.former_until)
            {
                slot.phase = Phase::Granting { next: now, in_flight: false };
            }
            if let Phase::Lapsing { until } = slot.phase
                && now >= until
            {
                slot.phase = Phase::Granting { next: now, in_flight: false };
            }
            let (to, token, release) = match slot.phase {
                Phase::Releasing { next, in_flight: false } if now >= next => {
                    let Some(former) = slot.holding.former else {
                        continue;
                    };
                    let renewing = |order: &PendingOrder| {
                        !order.release
                            && order.token == former.token
                            && order.range.overlaps(slot.holding.range)
                    };
                    // A renewal under way could take effect after the release.
                    if self.orders.values().any(renewing) {
                        continue;
                    }
                    slot.phase = Phase::Releasing { next, in_flight: true };
                    (former.owner, former.token, true)
                }
                Phase::Granting { next, in_flight: false } if now >= next => {
                    slot.phase = Phase::Granting { next, in_flight: true };
                    (slot.holding.owner, slot.holding.token, false)
                }
                Phase::Held { renew_at, in_flight: false } if now >= renew_at => {
                    slot.phase = Phase::Held { renew_at: now + self.times.renew, in_flight: true };
                    (slot.holding.owner, slot.holding.token, false)
                }
                _ => continue,
            };
            let Some(address) = self.known.get(&to).map(|candidate| candidate.address) else {
                slot.not_sent(now);
                continue;
            };
            let range = slot.holding.range;
            let order = if release {
                GrantOrder::Release { range, token }
            } else {
                slot.owner_until = slot.owner_until.max(now + longest);
                let handover = match slot.acknowledged {
                    true => None,
                    false => slot.handover.clone(),
                };
                GrantOrder::Grant { range, token, hold: self.times.hold, handover }
            };
            self.next_order += 1;
            let id = OrderId(self.next_order);
            self.orders.insert(id, PendingOrder { token, range, release, sent: now });
            out.push(GranterAction::Order { id, to, address, order });
        }
    }
}

impl Slot {
    /// Whether the owner serves the keys, as far as its answers tell.
    fn serves(&self) -> bool {
        matches!(self.phase, Phase::Held { .. })
    }

    fn with_range(&self, range: KeyRange) -> Slot {
        let holding = Holding { range, ..self.holding.clone() };
        Slot { holding, ..self.clone() }
    }

    /// The slot of a part of the keys after they were given to another server.
    fn given_to(
        &self,
        range: KeyRange,
        to: OwnerId,
        token: Token,
        phase: Phase,
        moved_at: Time,
    ) -> Slot {
        let mut slot = self.clone();
        slot.phase = phase;
        slot.acknowledged = false;
        slot.moved_at = moved_at;
        // An owner that was never sent a grant cannot hold the keys; its own former owner may.
        let sent = slot.owner_until > Time::ZERO;
        if sent {
            let former = Former { owner: self.holding.owner, token: self.holding.token };
            slot.former_until = self.owner_until;
            // A server that has acknowledged no grant of this term may obey an earlier granter.
            slot.former_doubt = match self.acknowledged {
                true => self.doubt_until,
                false => self.owner_until,
            };
            slot.handover = None;
            slot.holding = Holding { range, owner: to, token, former: Some(former) };
        } else {
            let former = self.holding.former;
            slot.holding = Holding { range, owner: to, token, former };
        }
        slot.owner_until = Time::ZERO;
        slot.doubt_until = Time::ZERO;
        slot
    }

    fn on_release(&mut self, now: Time, result: &OrderResult) {
        let Phase::Releasing { .. } = self.phase else {
            return;
        };
        self.phase = match result {
            OrderResult::Released { handover } => {
                self.handover.clone_from(handover);
                match self.former_doubt > now {
                    true => Phase::Lapsing { until: self.former_doubt },
                    false => Phase::Granting { next: now, in_flight: false },
                }
            }
            OrderResult::OtherServer => Phase::Granting { next: now, in_flight: false },
            _ => Phase::Releasing { next: now + Granter::RETRY, in_flight: false },
        };
    }

    fn on_grant(&mut self, now: Time, sent: Time, result: &OrderResult, times: &HoldTimes) {
        match result {
            OrderResult::Granted => {
                if !self.acknowledged {
                    // From now on the owner refuses earlier granters.
                    self.owner_until = sent + times.longest();
                    self.acknowledged = true;
                    self.holding.former = None;
                    self.handover = None;
                }
                let renew_at = (sent + times.renew).max(now);
                self.phase = Phase::Held { renew_at, in_flight: false };
            }
            _ => {
                if result.may_take_effect() {
                    self.doubt_until = self.doubt_until.max(sent + times.longest());
                }
                self.not_sent(now);
            }
        }
    }

    fn not_sent(&mut self, now: Time) {
        let next = now + Granter::RETRY;
        self.phase = match self.phase {
            Phase::Releasing { .. } => Phase::Releasing { next, in_flight: false },
            Phase::Granting { .. } => Phase::Granting { next, in_flight: false },
            Phase::Held { .. } => Phase::Held { renew_at: next, in_flight: false },
            phase => phase,
        };
    }
}
