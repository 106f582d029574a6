use std::collections::BTreeMap;

use crate::{Candidate, KeyLoads, KeyRange, OwnerId};

/// Finds the moves that even out the load of the servers.
#[derive(Debug, Clone, Copy)]
pub struct Planner;

/// A range that is to get another owner.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Move {
    /// The keys.
    pub range: KeyRange,
    /// The new owner.
    pub to: OwnerId,
}

struct Share<'a> {
    candidate: &'a Candidate,
    capacity: f64,
    rate: f64,
}

impl Share<'_> {
    fn utilisation(&self) -> f64 {
        self.rate / self.capacity
    }
}

impl Planner {
    /// Utilisation below which a server's keys stay: queueing is negligible there.
    const BUSY: f64 = 0.5;
    /// How far above the mean a server's utilisation has to be.
    const EXCESS: f64 = 1.25;
    /// Most moves of one plan, so that their effect is seen before the next.
    const MAX_MOVES: usize = 4;
    /// Utilisation up to which a server is given keys.
    const ROOM: f64 = 0.9;
    /// Time a request takes where no server has reported one, in milliseconds.
    const UNKNOWN_SERVICE_MS: f64 = 100.0;

    /// The moves for the given holdings; `movable` tells which ranges may move at all.
    pub fn plan(
        loads: &KeyLoads,
        holdings: &[(KeyRange, OwnerId, bool)],
        candidates: &[Candidate],
    ) -> Vec<Move> {
        let usual = Planner::usual_service_ms(candidates);
        let mut shares: BTreeMap<OwnerId, Share<'_>> = candidates
            .iter()
            .filter(|candidate| candidate.eligible && !candidate.cold)
            .map(|candidate| {
                let capacity = candidate.capacity(usual);
                (candidate.owner, Share { candidate, capacity, rate: 0.0 })
            })
            .collect();
        for (range, owner, _) in holdings {
            if let Some(share) = shares.get_mut(owner) {
                share.rate += loads.rate(*range);
            }
        }
        let capacity: f64 = shares.values().map(|share| share.capacity).sum();
        if shares.len() < 2 || capacity <= 0.0 {
            return Vec::new();
        }
        let mean = loads.total() / capacity;
        let mut moves: Vec<Move> = Vec::new();
        while moves.len() < Planner::MAX_MOVES {
            let Some(step) = Planner::step(loads, holdings, &shares, mean, &moves) else {
                break;
            };
            let (from, rate, next) = step;
            if let Some(share) = shares.get_mut(&from) {
                share.rate -= rate;
            }
            if let Some(share) = shares.get_mut(&next.to) {
                share.rate += rate;
            }
            moves.push(next);
        }
        moves
    }

    /// The mean time a request takes at the servers that have reported one, in milliseconds.
    pub fn usual_service_ms(candidates: &[Candidate]) -> f64 {
        let known: Vec<f64> = candidates.iter().filter_map(|each| each.service_ms).collect();
        match known.len() {
            0 => Planner::UNKNOWN_SERVICE_MS,
            count => known.iter().sum::<f64>() / count as f64,
        }
    }

    /// One move from the busiest server to the idlest.
    fn step(
        loads: &KeyLoads,
        holdings: &[(KeyRange, OwnerId, bool)],
        shares: &BTreeMap<OwnerId, Share<'_>>,
        mean: f64,
        planned: &[Move],
    ) -> Option<(OwnerId, f64, Move)> {
        let order = |a: &&Share<'_>, b: &&Share<'_>| a.utilisation().total_cmp(&b.utilisation());
        let busiest = shares.values().max_by(order)?;
        let idlest = shares.values().min_by(order)?;
        let limit = Planner::BUSY.max(mean * Planner::EXCESS);
        if busiest.utilisation() <= limit {
            return None;
        }
        let target = mean.max(Planner::BUSY);
        let surplus = (busiest.utilisation() - target) * busiest.capacity;
        let room_to = mean.max(target.min(Planner::ROOM));
        let room = (room_to - idlest.utilisation()) * idlest.capacity;
        let amount = surplus.min(room);
        if amount <= 0.0 {
            return None;
        }
        let from = busiest.candidate.owner;
        let free = |range: KeyRange| planned.iter().all(|planned| !planned.range.overlaps(range));
        let ranges = holdings
            .iter()
            .filter(|(range, owner, movable)| *owner == from && *movable && free(*range));
        let cuts = ranges.flat_map(|(range, _, _)| Planner::cuts(loads, *range, amount));
        let best =
            cuts.max_by(|a, b| Planner::value(a, amount).total_cmp(&Planner::value(b, amount)));
        let (range, rate) = best?;
        (rate > 0.0).then_some((from, rate, Move { range, to: idlest.candidate.owner }))
    }

    /// How well a cut fits: most of the amount, with few keys.
    fn value(cut: &(KeyRange, f64), amount: f64) -> f64 {
        let (range, rate) = cut;
        (rate / amount).min(1.0) - f64::from(range.len()) / f64::from(KeyRange::ALL.len())
    }

    /// The part at each end of a range, and the part around its busiest key, whose rate comes
    /// closest to the amount without much exceeding it.
    fn cuts(loads: &KeyLoads, range: KeyRange, amount: f64) -> Vec<(KeyRange, f64)> {
        /// How far a cut may exceed the amount.
        const OVERSHOOT: f64 = 1.2;
        let most = amount * OVERSHOOT;
        let keys: Vec<(u16, f64)> = loads.within(range).collect();
        let mut cuts = Vec::new();
        let mut rate = 0.0;
        let mut count = 0;
        for (_, each) in &keys {
            if rate + each > most {
                break;
            }
            rate += each;
            count += 1;
        }
        if count > 0 {
            // A whole range moves to its end, so that no empty rest stays behind.
            let last = if count == keys.len() { range.last } else { keys[count - 1].0 };
            cuts.push((KeyRange::new(range.first, last), rate));
        }
        let (mut rate, mut first) = (0.0, None);
        for (key, each) in keys.iter().rev() {
            if rate + each > most {
                break;
            }
            rate += each;
            first = Some(*key);
        }
        if let Some(first) = first {
            cuts.push((KeyRange::new(first, range.last), rate));
        }
        cuts.extend(Planner::densest(&keys, most));
        cuts
    }

    /// The keys around the busiest one that together stay below the rate.
    fn densest(keys: &[(u16, f64)], most: f64) -> Option<(KeyRange, f64)> {
        let (at, (key, rate)) =
            keys.iter().enumerate().max_by(|(_, (_, a)), (_, (_, b))| a.total_cmp(b))?;
        if *rate > most {
            return None;
        }
        let (mut range, mut total) = (KeyRange::new(*key, *key), *rate);
        for (key, rate) in &keys[at + 1..] {
            if total + rate > most {
                break;
            }
            total += rate;
            range.last = *key;
        }
        Some((range, total))
    }
}
