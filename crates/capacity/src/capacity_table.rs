use std::collections::{BTreeMap, BTreeSet};
use std::ops::Bound;

use bay_time::Time;

use crate::{CapacitySample, LearnedCapacity, ServerCapacity, ServerEstimate, ServerId};

/// The granter's estimates of all servers, from the samples of all routers.
#[derive(Debug, Default)]
pub struct CapacityTable {
    /// Slots of the registered servers.
    registered: BTreeMap<ServerId, u32>,
    servers: BTreeMap<ServerId, Entry>,
    /// Servers whose estimate differs from the published one.
    changed: BTreeSet<ServerId>,
    /// The last server whose unchanged estimate was repeated.
    last_repeated: Option<ServerId>,
}

#[derive(Debug)]
struct Entry {
    estimate: ServerEstimate,
    /// Number of answers so far, up to [`CapacityTable::MIN_ANSWERS`].
    answers: u32,
    published: Option<LearnedCapacity>,
}

impl CapacityTable {
    /// Number of answers from which an estimate is published.
    const MIN_ANSWERS: u32 = 4;
    /// Maximum number of changed estimates that are sent at a time.
    const MAX_CHANGED: usize = 10;
    /// Number of unchanged estimates that are sent at a time, in turn, for routers that have missed
    /// them.
    const REPEATED: usize = 2;

    /// Replaces the registered servers, with the slots of each, and forgets all others.
    pub fn set_servers(&mut self, servers: impl Iterator<Item = (ServerId, u32)>) {
        self.registered = servers.collect();
        self.servers.retain(|server, _| self.registered.contains_key(server));
        self.changed.retain(|server| self.registered.contains_key(server));
    }

    /// Adds a sample; that of a server that isn't registered is ignored.
    pub fn record(&mut self, now: Time, sample: &CapacitySample) {
        let Some(slots) = self.registered.get(&sample.server).copied() else {
            return;
        };
        let entry = self.servers.entry(sample.server).or_insert_with(|| Entry {
            estimate: ServerEstimate::new(slots, sample),
            answers: 0,
            published: None,
        });
        entry.estimate.record(now, sample);
        entry.answers = (entry.answers + u32::from(sample.answers)).min(CapacityTable::MIN_ANSWERS);
        let learned = entry.estimate.learned();
        if entry.answers >= CapacityTable::MIN_ANSWERS
            && entry.published.is_none_or(|published| learned.differs_from(&published))
        {
            self.changed.insert(sample.server);
        }
    }

    /// Returns the published estimate of a server. It does not follow small changes, so that a plan
    /// based on it is not changed by noise.
    pub fn published(&self, server: ServerId) -> Option<LearnedCapacity> {
        self.servers.get(&server)?.published
    }

    /// Drains the estimates to be sent to the routers: some changed ones, and a few others in turn.
    pub fn drain_updates(&mut self) -> Vec<ServerCapacity> {
        let mut updates = Vec::new();
        while updates.len() < CapacityTable::MAX_CHANGED
            && let Some(server) = self.changed.pop_first()
        {
            let Some(entry) = self.servers.get_mut(&server) else {
                continue;
            };
            let learned = entry.estimate.learned();
            entry.published = Some(learned);
            updates.push(ServerCapacity::new(server, learned));
        }
        for _ in 0..CapacityTable::REPEATED {
            let after = self.last_repeated.map_or(Bound::Unbounded, Bound::Excluded);
            let mut rest = self.servers.range((after, Bound::Unbounded));
            let next = rest.find_map(|(server, entry)| Some((*server, entry.published?)));
            self.last_repeated = next.map(|(server, _)| server);
            updates.extend(next.map(|(server, learned)| ServerCapacity::new(server, learned)));
        }
        updates
    }
}
