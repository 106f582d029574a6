use std::collections::BTreeMap;

use crate::optimal_rates::OptimalRates;
use crate::planner::Planner;
use crate::{Candidate, KeyRange, KeyRates, OwnerId};

/// Distributes ranges without an owner among servers, by request rate and number of keys.
#[derive(Debug)]
pub(crate) struct Distribution<'a> {
    rates: &'a KeyRates,
    /// Load added for each key, in requests per second, so that idle ranges are spread too.
    key_load: f64,
    /// Load above which a range is split, in requests per second.
    max_part_load: f64,
    recipients: BTreeMap<OwnerId, Recipient>,
}

/// A server that may get ranges; loads are in requests per second.
#[derive(Debug)]
struct Recipient {
    /// Load at which the mean service time of all requests is lowest.
    optimal_load: f64,
    load: f64,
}

impl<'a> Distribution<'a> {
    /// Uniform load of all keys together, relative to the measured load.
    const UNIFORM_SHARE: f64 = 0.25;
    /// Part of the uniform load that does not depend on traffic, in requests per second.
    const IDLE_LOAD: f64 = 1.0;

    /// Creates a distribution among the recipients, which own nothing yet.
    ///
    /// `candidates` gives the mean service time for recipients that have not reported one.
    pub(crate) fn new(
        recipients: &[&Candidate],
        candidates: &[Candidate],
        rates: &'a KeyRates,
    ) -> Distribution<'a> {
        let mean_service_ms = Planner::mean_service_ms(candidates);
        let uniform = rates.total() * Distribution::UNIFORM_SHARE + Distribution::IDLE_LOAD;
        let key_load = uniform / f64::from(KeyRange::ALL.len());
        let max_part_load = (rates.total() + uniform) / recipients.len() as f64;
        let optimal_rates = OptimalRates::new(rates.total() + uniform, recipients, mean_service_ms);
        let recipients = recipients
            .iter()
            .map(|each| {
                (each.owner, Recipient { optimal_load: optimal_rates.rate(each.owner), load: 0.0 })
            })
            .collect();
        Distribution { rates, key_load, max_part_load, recipients }
    }

    /// Adds the load of a range that a server owns already; other servers are ignored.
    pub(crate) fn add_owned_range(&mut self, owner: OwnerId, range: KeyRange) {
        let load = self.load(range);
        if let Some(recipient) = self.recipients.get_mut(&owner) {
            recipient.load += load;
        }
    }

    /// Splits a range by load and assigns each part to the relatively least loaded recipient.
    pub(crate) fn distribute(&mut self, range: KeyRange, out: &mut Vec<(KeyRange, OwnerId)>) {
        for part in self.split_by_load(range) {
            let load = self.load(part);
            let least_loaded = self.recipients.iter_mut().min_by(|(_, a), (_, b)| {
                ((a.load + load) / a.optimal_load).total_cmp(&((b.load + load) / b.optimal_load))
            });
            let Some((owner, recipient)) = least_loaded else {
                return;
            };
            recipient.load += load;
            out.push((part, *owner));
        }
    }

    fn load(&self, range: KeyRange) -> f64 {
        self.rates.rate(range) + f64::from(range.len()) * self.key_load
    }

    /// Splits a range into parts of about equal load.
    fn split_by_load(&self, range: KeyRange) -> Vec<KeyRange> {
        let count = (self.load(range) / self.max_part_load).ceil().max(1.0);
        let max_load = self.load(range) / count;
        let mut parts = Vec::new();
        let (mut first, mut load) = (u32::from(range.first), 0.0);
        let mut next = first;
        let mut keys = self.rates.iter_range(range).peekable();
        while next <= u32::from(range.last) {
            // Skips to the next busy key, or to where the uniform load alone fills the part.
            let stop = keys.peek().map_or(u32::from(range.last) + 1, |(key, _)| u32::from(*key));
            let room = ((max_load - load) / self.key_load).max(0.0) as u32;
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
                if load >= max_load {
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
