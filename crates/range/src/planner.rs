use std::collections::BTreeMap;

use crate::optimal_rates::OptimalRates;
use crate::{Candidate, KeyRange, KeyRates, OwnerId, RateEstimate};

/// Plans moves of key ranges that bring each server's request rate closer to its optimal rate.
#[derive(Debug, Clone, Copy)]
pub struct Planner;

/// A planned change of a range's owner.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Move {
    /// The keys to move; part of a range or a whole one.
    pub range: KeyRange,
    /// The new owner.
    pub to: OwnerId,
}

/// A range as the planner sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OwnedRange {
    /// The keys; the ranges given to one plan do not overlap.
    pub range: KeyRange,
    /// The server that owns the keys.
    pub owner: OwnerId,
    /// Whether a plan may move the keys. Ranges that moved a moment ago stay.
    pub movable: bool,
    /// Whether a plan may move a key that no server can serve alone to a larger server.
    pub upgradable: bool,
}

/// Load of one server; all rates are in requests per second.
#[derive(Debug)]
struct ServerLoad {
    capacity: f64,
    rate: f64,
    /// The rate at which the mean service time of all requests is lowest.
    optimal_rate: f64,
    /// Seconds over which the rate was measured.
    window: f64,
}

impl ServerLoad {
    fn utilisation(&self) -> f64 {
        self.rate / self.capacity
    }

    /// Returns the utilisation above the optimal one; negative if the server has room.
    fn excess(&self) -> f64 {
        (self.rate - self.optimal_rate) / self.capacity
    }

    /// Returns whether the rate exceeds the optimal one by more than tolerance and noise.
    fn has_surplus(&self) -> bool {
        let tolerance = self.tolerance();
        let deviation = (self.optimal_rate.max(0.0) / self.window).sqrt();
        let surplus = self.rate - self.optimal_rate;
        self.excess() > Planner::MIN_EXCESS * tolerance.max(Planner::MIN_TOLERANCE)
            && surplus > self.optimal_rate * Planner::MIN_SURPLUS_SHARE * tolerance
            && surplus > deviation * Planner::NOISE_DEVIATIONS * tolerance
            && surplus * self.window > Planner::MIN_SURPLUS_REQUESTS
    }

    /// Returns how much imbalance is harmless at this server: 1 while queueing is negligible, and
    /// 0 from full utilisation on, where the queue grows for as long as the imbalance lasts.
    fn tolerance(&self) -> f64 {
        ((1.0 - self.utilisation()) / (1.0 - Planner::BUSY_UTILISATION)).clamp(0.0, 1.0)
    }
}

impl Planner {
    /// Utilisation up to which queueing is negligible.
    const BUSY_UTILISATION: f64 = 0.45;
    /// Share of the optimal rate by which a server exceeds it before it gives keys away, at full
    /// tolerance.
    const MIN_SURPLUS_SHARE: f64 = 0.35;
    /// Excess utilisation above which a server gives keys away, at full tolerance. Without it, small
    /// differences at light load would move keys.
    const MIN_EXCESS: f64 = 0.1;
    /// Lower bound of the tolerance of an excess. Without it, keys would move without end while all
    /// servers are overloaded.
    const MIN_TOLERANCE: f64 = 0.5;
    /// Standard deviations of a server's rate below which a surplus counts as noise, at full
    /// tolerance.
    const NOISE_DEVIATIONS: f64 = 2.5;
    /// Requests beyond the optimal rate below which a surplus counts as chance, however busy the
    /// server looks.
    const MIN_SURPLUS_REQUESTS: f64 = 8.0;
    /// Ratio by which one move may exceed the rate that is to move.
    const MAX_OVERSHOOT_RATIO: f64 = 1.2;
    /// Share of its optimal rate that a server keeps at least.
    const MIN_KEPT_SHARE: f64 = 0.7;
    /// Share of its server's load from which a key is dominant: moving other keys away does not
    /// relieve the server.
    const DOMINANT_SHARE: f64 = 0.6;
    /// Ratio of capacities from which a dominant key moves to a larger server.
    const UPGRADE_RATIO: f64 = 1.3;
    /// Ratio to the source's utilisation that the recipient of a busy key has to stay below.
    const MAX_SPREAD_RATIO: f64 = 0.8;
    /// Moves in one plan of a small fleet. The effect of a plan is measured before the next one.
    const MAX_MOVES: usize = 24;
    /// Moves in one plan for each server, in a fleet where that allows more.
    const MOVES_PER_SERVER: f64 = 0.5;
    /// Service time assumed if no server has reported one, in milliseconds.
    const DEFAULT_SERVICE_MS: f64 = 100.0;

    /// Plans moves between eligible warm servers; empty if there are fewer than two of them.
    pub fn plan(
        estimate: &RateEstimate,
        owned_ranges: &[OwnedRange],
        candidates: &[Candidate],
    ) -> Vec<Move> {
        let rates = &estimate.rates;
        let mean_service_ms = Planner::mean_service_ms(candidates);
        let recipients: Vec<&Candidate> =
            candidates.iter().filter(|each| each.eligible && !each.cold).collect();
        if recipients.len() < 2 {
            return Vec::new();
        }
        let optimal_rates = OptimalRates::new(rates.total(), &recipients, mean_service_ms);
        let empty_load = |each: &&Candidate| {
            let load = ServerLoad {
                capacity: each.capacity(mean_service_ms),
                rate: 0.0,
                optimal_rate: optimal_rates.rate(each.owner),
                window: estimate.window(each.owner),
            };
            (each.owner, load)
        };
        let mut server_loads: BTreeMap<OwnerId, ServerLoad> =
            recipients.iter().map(empty_load).collect();
        for owned in owned_ranges {
            if let Some(load) = server_loads.get_mut(&owned.owner) {
                load.rate += rates.rate(owned.range);
            }
        }
        let mut owned_ranges = owned_ranges.to_vec();
        let mut moves: Vec<Move> = Vec::new();
        let max_moves = (server_loads.len() as f64 * Planner::MOVES_PER_SERVER) as usize;
        while moves.len() < max_moves.max(Planner::MAX_MOVES) {
            let Some((from, rate, next)) = Planner::next_move(rates, &owned_ranges, &server_loads)
            else {
                break;
            };
            if let Some(load) = server_loads.get_mut(&from) {
                load.rate -= rate;
            }
            if let Some(load) = server_loads.get_mut(&next.to) {
                load.rate += rate;
            }
            remove_range(&mut owned_ranges, next.range);
            moves.push(next);
        }
        moves
    }

    /// Returns the mean of the reported service times, in milliseconds.
    ///
    /// Servers without a report do not count; a default applies if there is no report at all.
    pub fn mean_service_ms(candidates: &[Candidate]) -> f64 {
        let known: Vec<f64> = candidates.iter().filter_map(|each| each.service_ms).collect();
        match known.len() {
            0 => Planner::DEFAULT_SERVICE_MS,
            count => known.iter().sum::<f64>() / count as f64,
        }
    }

    /// Finds one move off an overloaded server, those with the largest excess first.
    ///
    /// Returns the source, the rate that moves, and the move. Where no cut fits and the source is
    /// busy, single keys are tried.
    fn next_move(
        rates: &KeyRates,
        owned_ranges: &[OwnedRange],
        server_loads: &BTreeMap<OwnerId, ServerLoad>,
    ) -> Option<(OwnerId, f64, Move)> {
        let by_excess = |a: &(&OwnerId, &ServerLoad), b: &(&OwnerId, &ServerLoad)| {
            a.1.excess().total_cmp(&b.1.excess())
        };
        let (to, least_loaded) = server_loads.iter().min_by(by_excess)?;
        let room = least_loaded.optimal_rate - least_loaded.rate;
        let mut overloaded: Vec<_> =
            server_loads.iter().filter(|(_, load)| load.has_surplus()).collect();
        overloaded.sort_by(|a, b| by_excess(b, a));
        for (from, source) in overloaded {
            let amount = (source.rate - source.optimal_rate).min(room);
            let ranges = owned_ranges.iter().filter(|owned| owned.owner == *from && owned.movable);
            let max_rate = (amount * Planner::MAX_OVERSHOOT_RATIO)
                .min(source.rate - source.optimal_rate * Planner::MIN_KEPT_SHARE);
            let possible_cuts =
                ranges.flat_map(|owned| Planner::possible_cuts(rates, owned.range, max_rate));
            let score = |cut: &(KeyRange, f64)| Planner::score(cut, amount);
            let best = possible_cuts.max_by(|a, b| score(a).total_cmp(&score(b)));
            if let Some((range, rate)) = best.filter(|(_, rate)| *rate > 0.0) {
                return Some((*from, rate, Move { range, to: *to }));
            }
            if source.utilisation() <= Planner::BUSY_UTILISATION {
                continue;
            }
            let key = Planner::move_busy_key(rates, owned_ranges, server_loads, *from);
            if let Some(next_move) =
                key.or_else(|| Planner::move_dominant_key(rates, owned_ranges, server_loads, *from))
            {
                return Some(next_move);
            }
        }
        None
    }

    /// Moves the busiest key that leaves its recipient clearly less utilised than the source.
    ///
    /// The recipient may become busy: some key sets fit no server without that.
    fn move_busy_key(
        rates: &KeyRates,
        owned_ranges: &[OwnedRange],
        server_loads: &BTreeMap<OwnerId, ServerLoad>,
        from: OwnerId,
    ) -> Option<(OwnerId, f64, Move)> {
        let limit = server_loads.get(&from)?.utilisation() * Planner::MAX_SPREAD_RATIO;
        let own = owned_ranges.iter().filter(|owned| owned.owner == from && owned.movable);
        let mut keys: Vec<(u16, f64)> =
            own.flat_map(|owned| rates.iter_range(owned.range)).collect();
        keys.sort_by(|(_, a), (_, b)| b.total_cmp(a));
        keys.into_iter().find_map(|(key, rate)| {
            let after = |load: &ServerLoad| (load.rate + rate) / load.capacity;
            let others = server_loads.iter().filter(|(owner, _)| **owner != from);
            let (to, load) = others.min_by(|(_, a), (_, b)| after(a).total_cmp(&after(b)))?;
            let range = KeyRange::new(key, key);
            (after(load) < limit).then_some((from, rate, Move { range, to: *to }))
        })
    }

    /// Moves a dominant key to the server with the largest capacity if that is much larger.
    fn move_dominant_key(
        rates: &KeyRates,
        owned_ranges: &[OwnedRange],
        server_loads: &BTreeMap<OwnerId, ServerLoad>,
        from: OwnerId,
    ) -> Option<(OwnerId, f64, Move)> {
        let load = server_loads.get(&from)?;
        let own = owned_ranges.iter().filter(|owned| owned.owner == from && owned.upgradable);
        let keys = own.flat_map(|owned| rates.iter_range(owned.range));
        let (key, rate) = keys.max_by(|(_, a), (_, b)| a.total_cmp(b))?;
        if rate < load.rate * Planner::DOMINANT_SHARE {
            return None;
        }
        let by_capacity = |a: &(&OwnerId, &ServerLoad), b: &(&OwnerId, &ServerLoad)| {
            a.1.capacity.total_cmp(&b.1.capacity)
        };
        let (to, best) = server_loads.iter().max_by(by_capacity)?;
        let is_larger = best.capacity >= load.capacity * Planner::UPGRADE_RATIO;
        let range = KeyRange::new(key, key);
        is_larger.then_some((from, rate, Move { range, to: *to }))
    }

    /// Scores a cut: high if it covers the rate to move, low if it has many keys.
    fn score(cut: &(KeyRange, f64), amount: f64) -> f64 {
        let (range, rate) = cut;
        (rate / amount).min(1.0) - f64::from(range.len()) / f64::from(KeyRange::ALL.len())
    }

    /// Returns up to three cuts of a range, each as large as `max_rate` allows: one at each end,
    /// and one that starts at the busiest key.
    fn possible_cuts(rates: &KeyRates, range: KeyRange, max_rate: f64) -> Vec<(KeyRange, f64)> {
        let keys: Vec<(u16, f64)> = rates.iter_range(range).collect();
        let mut possible_cuts = Vec::new();
        let mut rate = 0.0;
        let mut count = 0;
        for (_, each) in &keys {
            if rate + each > max_rate {
                break;
            }
            rate += each;
            count += 1;
        }
        if count > 0 {
            // A cut with all busy keys takes the whole range; no idle remainder stays behind.
            let last = if count == keys.len() { range.last } else { keys[count - 1].0 };
            possible_cuts.push((KeyRange::new(range.first, last), rate));
        }
        let (mut rate, mut first) = (0.0, None);
        for (key, each) in keys.iter().rev() {
            if rate + each > max_rate {
                break;
            }
            rate += each;
            first = Some(*key);
        }
        if let Some(first) = first {
            possible_cuts.push((KeyRange::new(first, range.last), rate));
        }
        possible_cuts.extend(Planner::cut_from_busiest_key(&keys, max_rate));
        possible_cuts
    }

    /// Returns the keys from the busiest one upwards whose total rate is at most `max_rate`.
    fn cut_from_busiest_key(keys: &[(u16, f64)], max_rate: f64) -> Option<(KeyRange, f64)> {
        let (at, (key, rate)) =
            keys.iter().enumerate().max_by(|(_, (_, a)), (_, (_, b))| a.total_cmp(b))?;
        if *rate > max_rate {
            return None;
        }
        let (mut range, mut total) = (KeyRange::new(*key, *key), *rate);
        for (key, rate) in &keys[at + 1..] {
            if total + rate > max_rate {
                break;
            }
            total += rate;
            range.last = *key;
        }
        Some((range, total))
    }
}

/// Removes a range from the owned ranges. The remainder of a split range stays movable.
fn remove_range(owned_ranges: &mut Vec<OwnedRange>, range: KeyRange) {
    let mut rest = Vec::new();
    owned_ranges.retain(|each| {
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
    owned_ranges.append(&mut rest);
}
