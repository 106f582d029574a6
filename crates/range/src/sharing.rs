use std::collections::BTreeMap;

use crate::planner::Planner;
use crate::wanted_rates::WantedRates;
use crate::{Candidate, KeyRange, KeyRates, OwnerId};

/// Shares ranges without an owner out among servers, by load and number of keys.
#[derive(Debug)]
pub(crate) struct Sharing<'a> {
    loads: &'a KeyRates,
    /// Load of a key without requests, so that idle ranges are shared out too.
    key_load: f64,
    /// Largest load of one part.
    part: f64,
    takers: BTreeMap<OwnerId, Taker>,
}

#[derive(Debug)]
struct Taker {
    /// The load that it should have.
    wanted: f64,
    load: f64,
}

impl<'a> Sharing<'a> {
    /// Share of the load that is spread evenly over all keys.
    const EVEN_SHARE: f64 = 0.25;
    /// Load of all keys while there are no requests, in requests a second.
    const IDLE_LOAD: f64 = 1.0;

    /// Servers to share among.
    pub(crate) fn new(
        takers: &[&Candidate],
        candidates: &[Candidate],
        loads: &'a KeyRates,
    ) -> Sharing<'a> {
        let usual = Planner::mean_service_ms(candidates);
        let even = loads.total() * Sharing::EVEN_SHARE + Sharing::IDLE_LOAD;
        let key_load = even / f64::from(KeyRange::ALL.len());
        let part = (loads.total() + even) / takers.len() as f64;
        let wanted = WantedRates::new(loads.total() + even, takers, usual);
        let takers = takers
            .iter()
            .map(|each| (each.owner, Taker { wanted: wanted.of(each.owner), load: 0.0 }))
            .collect();
        Sharing { loads, key_load, part, takers }
    }

    /// Takes note of keys that a server has already.
    pub(crate) fn count(&mut self, owner: OwnerId, range: KeyRange) {
        let load = self.load(range);
        if let Some(taker) = self.takers.get_mut(&owner) {
            taker.load += load;
        }
    }

    /// Gives a range, in parts where it is large, to the servers with the most room.
    pub(crate) fn share(&mut self, range: KeyRange, out: &mut Vec<(KeyRange, OwnerId)>) {
        for part in self.parts(range) {
            let load = self.load(part);
            let idlest = self.takers.iter_mut().min_by(|(_, a), (_, b)| {
                ((a.load + load) / a.wanted).total_cmp(&((b.load + load) / b.wanted))
            });
            let Some((owner, taker)) = idlest else {
                return;
            };
            taker.load += load;
            out.push((part, *owner));
        }
    }

    fn load(&self, range: KeyRange) -> f64 {
        self.loads.rate(range) + f64::from(range.len()) * self.key_load
    }

    /// Cuts a range into parts of about equal load.
    fn parts(&self, range: KeyRange) -> Vec<KeyRange> {
        let count = (self.load(range) / self.part).ceil().max(1.0);
        let most = self.load(range) / count;
        let mut parts = Vec::new();
        let (mut first, mut load) = (u32::from(range.first), 0.0);
        let mut next = first;
        let mut keys = self.loads.iter_range(range).peekable();
        while next <= u32::from(range.last) {
            // Skips to the next busy key, or to where the even load alone fills the part.
            let stop = keys.peek().map_or(u32::from(range.last) + 1, |(key, _)| u32::from(*key));
            let room = ((most - load) / self.key_load).max(0.0) as u32;
            if next + room < stop {
                let end = next + room;
                parts.push(KeyRange::new(first as u16, end as u16));
                (first, load, next) = (end + 1, 0.0, end + 1);
                continue;
            }
            load += f64::from(stop - next) * self.key_load;
            next = stop;
            if let Some((key, rate)) = keys.next() {
                load += rate + self.key_load;
                next = u32::from(key) + 1;
                if load >= most {
                    parts.push(KeyRange::new(first as u16, key));
                    (first, load) = (next, 0.0);
                }
            }
        }
        if first <= u32::from(range.last) {
            parts.push(KeyRange::new(first as u16, range.last));
        }
        parts
    }
}
