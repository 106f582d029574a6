use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use bay_range::{
    Candidate, GrantOrder, Granter, GranterAction, HoldTimes, Holding, KeyLoads, KeyRange,
    KnownHolds, OrderId, OrderResult, OwnerId, RangeTable,
};
use bay_time::Time;
use bay_types::{ServerName, Term, Token, ZoneName};

const RANGES: usize = 545;
const SERVERS: usize = 245;
/// Servers that left during the outage.
const GONE: usize = 49;

/// The stored table, and what the granter that is stopped knows about it.
pub struct Keys {
    table: RangeTable,
    candidates: Vec<Candidate>,
    /// Ranges of the servers that have left.
    ended: Vec<KeyRange>,
}

/// The granter of a term after the outage.
pub struct NewGranter {
    pub term: Term,
    granter: Granter,
    orders: Vec<(OrderId, OwnerId, GrantOrder)>,
    /// Change of the table that is being saved.
    saving: Option<u64>,
}

impl Keys {
    pub fn new() -> Keys {
        let width = 65_536 / RANGES;
        let holding = |index: usize| {
            let first = (index * width) as u16;
            let last = if index + 1 == RANGES { u16::MAX } else { first + width as u16 - 1 };
            let Candidate { owner, address, .. } = candidate(index % SERVERS);
            let token = Token((2 << 24) + 7);
            let range = KeyRange::new(first, last);
            Holding { range, owner, address, token, former: None, has_earlier_former: false }
        };
        let holdings: Vec<Holding> = (0..RANGES).map(holding).collect();
        let gone: BTreeSet<OwnerId> = (0..GONE).map(|index| candidate(index).owner).collect();
        let ended = holdings.iter().filter(|each| gone.contains(&each.owner));
        Keys {
            ended: ended.map(|each| each.range).collect(),
            table: RangeTable { term: Term(1), change: 7, holdings, store_era: None },
            candidates: (GONE..SERVERS).map(candidate).collect(),
        }
    }

    /// Starts the granter of a term; `is_told` says whether it has heard what its predecessor knew.
    pub fn take_over(&self, now: Time, term: Term, is_told: bool) -> NewGranter {
        let times = HoldTimes::bounded_by(Duration::from_secs(10));
        let known_holds = KnownHolds::new(now, false);
        let proven = known_holds.prove(now, Some(self.table.clone()), &times).unwrap();
        let mut granter = Granter::take_over(now, term, times, proven);
        granter.record_earlier_granters_ended(now);
        if is_told {
            granter.record_ended_holds(now, self.table.term, &self.ended);
        }
        NewGranter { term, granter, orders: Vec::new(), saving: None }
    }

    /// Returns the term of the granter that is stopped.
    pub fn stored_term(&self) -> Term {
        self.table.term
    }

    /// Advances the granter; returns whether a save is due.
    pub fn tick(&self, now: Time, new: &mut NewGranter) -> bool {
        let mut out = Vec::new();
        let loads = KeyLoads::default();
        new.granter.tick(now, &self.candidates, &loads, false, &mut out);
        new.take(out)
    }

    /// Answers the orders under way: servers that have left do not get any.
    pub fn answer_orders(&self, now: Time, new: &mut NewGranter) {
        for (id, to, order) in std::mem::take(&mut new.orders) {
            let is_live = self.candidates.iter().any(|each| each.owner == to);
            let result = match order {
                _ if !is_live => OrderResult::NotSent,
                GrantOrder::Grant { .. } => OrderResult::Granted,
                GrantOrder::Release { .. } => OrderResult::Released { handover: None },
            };
            new.granter.handle_order_result(now, id, &result, &mut Vec::new());
        }
    }

    /// Returns whether a live server owns each key.
    pub fn all_served(&self, new: &NewGranter) -> bool {
        let live: BTreeSet<OwnerId> = self.candidates.iter().map(|each| each.owner).collect();
        let served = new.granter.served_ranges();
        let keys = served.iter().filter(|(_, owner)| live.contains(owner));
        keys.map(|(range, _)| range.len()).sum::<u32>() == KeyRange::ALL.len()
    }
}

impl NewGranter {
    pub fn record_save(&mut self, now: Time) {
        if let Some(change) = self.saving.take() {
            self.granter.record_save(now, change, &mut Vec::new());
        }
    }

    fn take(&mut self, actions: Vec<GranterAction>) -> bool {
        let mut must_save = false;
        for action in actions {
            match action {
                GranterAction::Save(table) => {
                    self.saving = Some(table.change);
                    must_save = true;
                }
                GranterAction::Order { id, to, order, .. } => self.orders.push((id, to, order)),
                GranterAction::Publish => {}
            }
        }
        must_save
    }
}

fn candidate(index: usize) -> Candidate {
    Candidate {
        owner: OwnerId { server: ServerName::new(&format!("s{index}")).unwrap(), started: 1 },
        address: SocketAddr::from(([10, 0, 0, index as u8], 8_000)),
        zone: ZoneName::new("z").unwrap(),
        slots: 4,
        eligible: true,
        cold: false,
        service_ms: Some(100.0),
        rate_limit: None,
    }
}
