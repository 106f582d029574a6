use std::collections::BTreeMap;

use crate::wanted_rates::WantedRates;
use crate::{Candidate, KeyLoads, KeyRange, KeyRates, OwnerId};

/// Finds the moves that bring the servers' load to what is best.
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

/// A range, who holds it, and whether it may move.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OwnedRange {
    /// The keys.
    pub range: KeyRange,
    /// The server that holds them.
    pub owner: OwnerId,
    /// Whether they may go to another server now.
    pub movable: bool,
}

#[derive(Debug)]
struct Share {
    capacity: f64,
    rate: f64,
    /// The rate that it should have.
    wanted: f64,
}

impl Share {
    fn utilisation(&self) -> f64 {
        self.rate / self.capacity
    }

    /// How far its utilisation is above what it should be.
    fn excess(&self) -> f64 {
        (self.rate - self.wanted) / self.capacity
    }

    /// Whether its rate differs enough from the wanted one to move keys.
    fn has_surplus(&self) -> bool {
        let counted = |rate: f64| rate * KeyLoads::SPAN.as_secs_f64();
        let noise = counted(self.wanted.max(0.0)).sqrt() * Planner::NOISE;
        let surplus = self.rate - self.wanted;
        self.excess() > Planner::LEAST_EXCESS
            && self.rate > self.wanted * Planner::EXCESS
            && counted(surplus) > noise
    }
}

impl Planner {
    /// Utilisation below which queueing is negligible.
    const BUSY: f64 = 0.45;
    /// How far above the wanted rate a server's rate has to be.
    const EXCESS: f64 = 1.35;
    /// The same as a utilisation, so that small differences move nothing.
    const LEAST_EXCESS: f64 = 0.1;
    /// How many standard deviations of the count of its requests a surplus has to be.
    const NOISE: f64 = 2.5;
    /// How far a cut may exceed the surplus.
    const OVERSHOOT: f64 = 1.2;
    /// Part of the wanted rate that a server keeps at least.
    const KEPT_SHARE: f64 = 0.7;
    /// Share of its server's load above which a key cannot be relieved by moving others.
    const DOMINANT: f64 = 0.6;
    /// How much more a server has to bear for a key to move to it.
    const UPGRADE: f64 = 1.3;
    /// Part of a server's utilisation below which the taker of one of its keys has to stay.
    const WORTHWHILE: f64 = 0.8;
    /// Most moves of one plan, so that their effect is seen before the next.
    const MAX_MOVES: usize = 24;
    /// The same for each server of a large fleet.
    const MOVES_PER_SERVER: f64 = 0.5;
    /// Time a request takes where no server has reported one, in milliseconds.
    const UNKNOWN_SERVICE_MS: f64 = 100.0;

    /// The moves that bring the servers' load to what is best.
    pub fn plan(loads: &KeyRates, holdings: &[OwnedRange], candidates: &[Candidate]) -> Vec<Move> {
        let usual = Planner::mean_service_ms(candidates);
        let takers: Vec<&Candidate> =
            candidates.iter().filter(|each| each.eligible && !each.cold).collect();
        if takers.len() < 2 {
            return Vec::new();
        }
        let wanted = WantedRates::new(loads.total(), &takers, usual);
        let share = |each: &&Candidate| {
            let wanted = wanted.of(each.owner);
            (each.owner, Share { capacity: each.capacity(usual), rate: 0.0, wanted })
        };
        let mut shares: BTreeMap<OwnerId, Share> = takers.iter().map(share).collect();
        for held in holdings {
            if let Some(share) = shares.get_mut(&held.owner) {
                share.rate += loads.rate(held.range);
            }
        }
        let mut held = holdings.to_vec();
        let mut moves: Vec<Move> = Vec::new();
        let most = (shares.len() as f64 * Planner::MOVES_PER_SERVER) as usize;
        while moves.len() < most.max(Planner::MAX_MOVES) {
            let Some((from, rate, next)) = Planner::step(loads, &held, &shares) else {
                break;
            };
            if let Some(share) = shares.get_mut(&from) {
                share.rate -= rate;
            }
            if let Some(share) = shares.get_mut(&next.to) {
                share.rate += rate;
            }
            cut(&mut held, next.range);
            moves.push(next);
        }
        moves
    }

    /// The mean time a request takes at the servers that have reported one, in milliseconds.
    pub fn mean_service_ms(candidates: &[Candidate]) -> f64 {
        let known: Vec<f64> = candidates.iter().filter_map(|each| each.service_ms).collect();
        match known.len() {
            0 => Planner::UNKNOWN_SERVICE_MS,
            count => known.iter().sum::<f64>() / count as f64,
        }
    }

    /// One move from the server with the largest excess to the one that lacks most.
    fn step(
        loads: &KeyRates,
        held: &[OwnedRange],
        shares: &BTreeMap<OwnerId, Share>,
    ) -> Option<(OwnerId, f64, Move)> {
        let by_excess =
            |a: &(&OwnerId, &Share), b: &(&OwnerId, &Share)| a.1.excess().total_cmp(&b.1.excess());
        let (to, idlest) = shares.iter().min_by(by_excess)?;
        let room = idlest.wanted - idlest.rate;
        let mut busy: Vec<_> = shares.iter().filter(|(_, share)| share.has_surplus()).collect();
        busy.sort_by(|a, b| by_excess(b, a));
        for (from, busiest) in busy {
            let amount = (busiest.rate - busiest.wanted).min(room);
            let ranges = held.iter().filter(|held| held.owner == *from && held.movable);
            let most = (amount * Planner::OVERSHOOT)
                .min(busiest.rate - busiest.wanted * Planner::KEPT_SHARE);
            let cuts = ranges.flat_map(|held| Planner::cuts(loads, held.range, most));
            let value = |cut: &(KeyRange, f64)| Planner::value(cut, amount);
            let best = cuts.max_by(|a, b| value(a).total_cmp(&value(b)));
            if let Some((range, rate)) = best.filter(|(_, rate)| *rate > 0.0) {
                return Some((*from, rate, Move { range, to: *to }));
            }
            if busiest.utilisation() <= Planner::BUSY {
                continue;
            }
            let key = Planner::spread_key(loads, held, shares, *from);
            if let Some(step) = key.or_else(|| Planner::upgrade(loads, held, shares, *from)) {
                return Some(step);
            }
        }
        None
    }

    /// Moves the busiest key whose taker, although it becomes busy itself, is left clearly less so
    /// than its present server.
    fn spread_key(
        loads: &KeyRates,
        held: &[OwnedRange],
        shares: &BTreeMap<OwnerId, Share>,
        from: OwnerId,
    ) -> Option<(OwnerId, f64, Move)> {
        let limit = shares.get(&from)?.utilisation() * Planner::WORTHWHILE;
        let own = held.iter().filter(|held| held.owner == from && held.movable);
        let mut keys: Vec<(u16, f64)> = own.flat_map(|held| loads.iter_range(held.range)).collect();
        keys.sort_by(|(_, a), (_, b)| b.total_cmp(a));
        keys.into_iter().find_map(|(key, rate)| {
            let after = |share: &Share| (share.rate + rate) / share.capacity;
            let others = shares.iter().filter(|(owner, _)| **owner != from);
            let (to, share) = others.min_by(|(_, a), (_, b)| after(a).total_cmp(&after(b)))?;
            let range = KeyRange::new(key, key);
            (after(share) < limit).then_some((from, rate, Move { range, to: *to }))
        })
    }

    /// Moves a key that alone is too much for its server to one that can take much more.
    fn upgrade(
        loads: &KeyRates,
        held: &[OwnedRange],
        shares: &BTreeMap<OwnerId, Share>,
        from: OwnerId,
    ) -> Option<(OwnerId, f64, Move)> {
        let share = shares.get(&from)?;
        let own = held.iter().filter(|held| held.owner == from && held.movable);
        let keys = own.flat_map(|held| loads.iter_range(held.range));
        let (key, rate) = keys.max_by(|(_, a), (_, b)| a.total_cmp(b))?;
        if rate < share.rate * Planner::DOMINANT {
            return None;
        }
        let by_capacity =
            |a: &(&OwnerId, &Share), b: &(&OwnerId, &Share)| a.1.capacity.total_cmp(&b.1.capacity);
        let (to, best) = shares.iter().max_by(by_capacity)?;
        let better = best.capacity >= share.capacity * Planner::UPGRADE;
        let range = KeyRange::new(key, key);
        better.then_some((from, rate, Move { range, to: *to }))
    }

    /// How well a cut fits: most of the amount, with few keys.
    fn value(cut: &(KeyRange, f64), amount: f64) -> f64 {
        let (range, rate) = cut;
        (rate / amount).min(1.0) - f64::from(range.len()) / f64::from(KeyRange::ALL.len())
    }

    /// The part at each end of a range, and the part around its busiest key, whose rate comes
    /// closest to the most that may move.
    fn cuts(loads: &KeyRates, range: KeyRange, most: f64) -> Vec<(KeyRange, f64)> {
        let keys: Vec<(u16, f64)> = loads.iter_range(range).collect();
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

/// Removes a range from what is held; the rest of a cut range may still move.
fn cut(held: &mut Vec<OwnedRange>, range: KeyRange) {
    let mut rest = Vec::new();
    held.retain(|each| {
        if !each.range.overlaps(range) {
            return true;
        }
        if each.range.first < range.first {
            let range = KeyRange::new(each.range.first, range.first - 1);
            rest.push(OwnedRange { range, ..*each });
        }
        if each.range.last > range.last {
            let range = KeyRange::new(range.last + 1, each.range.last);
            rest.push(OwnedRange { range, ..*each });
        }
        false
    });
    held.append(&mut rest);
}
