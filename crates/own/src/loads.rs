use std::collections::{BTreeMap, BTreeSet};

use bay_types::{SliceId, ZoneName};

use crate::ServerKey;
use crate::rates::Rates;
use crate::shard_slot::ShardSlot;

/// A server below this fraction of the mean load counts as cold.
const WARM_LOAD_FRACTION: f64 = 0.5;

/// The loads of the eligible servers during one plan.
#[derive(Debug)]
pub(crate) struct Loads<'a> {
    servers: Vec<ServerLoad>,
    rates: &'a Rates,
    ranges: u32,
}

/// The load of one server.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ServerLoad {
    pub(crate) key: ServerKey,
    pub(crate) zone: ZoneName,
    /// Whether the server may be assigned more slices.
    accepts_slices: bool,
    weight: f64,
    load: f64,
}

impl ServerLoad {
    /// Creates the entry of a server without load.
    pub(crate) fn new(
        key: ServerKey,
        zone: ZoneName,
        weight: u32,
        accepts_slices: bool,
    ) -> ServerLoad {
        ServerLoad { key, zone, accepts_slices, weight: f64::from(weight), load: 0.0 }
    }

    /// Returns the server's weight in its document.
    pub(crate) fn weight(&self) -> f64 {
        self.weight
    }

    /// Returns the load divided by the weight.
    pub(crate) fn relative_load(&self) -> f64 {
        self.load / self.weight
    }
}

impl<'a> Loads<'a> {
    /// Sums the loads of the slices that each of `servers` owns.
    pub(crate) fn new(
        servers: Vec<ServerLoad>,
        shards: &[ShardSlot],
        rates: &'a Rates,
        ranges: u32,
    ) -> Loads<'a> {
        let mut loads = Loads { servers, rates, ranges };
        let index: BTreeMap<ServerKey, usize> =
            loads.servers.iter().enumerate().map(|(index, server)| (server.key, index)).collect();
        for shard in shards.iter().filter_map(ShardSlot::shard) {
            for (slice, row) in shard.slices() {
                let owner = row.owner.and_then(|owner| shard.servers.get(usize::from(owner)));
                if let Some(found) = owner.and_then(|owner| index.get(&owner.key)) {
                    loads.servers[*found].load += rates.load(slice, ranges);
                }
            }
        }
        loads
    }

    /// Returns the eligible servers.
    pub(crate) fn servers(&self) -> &[ServerLoad] {
        &self.servers
    }

    /// Returns the reported rates from which the loads are computed.
    pub(crate) fn rates(&self) -> &'a Rates {
        self.rates
    }

    /// Returns the number of ranges of the service.
    pub(crate) fn ranges(&self) -> u32 {
        self.ranges
    }

    /// Returns the load of a slice.
    pub(crate) fn load_of(&self, slice: SliceId) -> f64 {
        self.rates.load(slice, self.ranges)
    }

    /// Returns the total load divided by the total weight, or 0 without servers.
    pub(crate) fn mean_relative_load(&self) -> f64 {
        let load: f64 = self.servers.iter().map(|server| server.load).sum();
        let weight: f64 = self.servers.iter().map(|server| server.weight).sum();
        if weight == 0.0 { 0.0 } else { load / weight }
    }

    /// Picks the least loaded server for a slice and adds the slice's load to it.
    pub(crate) fn pick_server(&mut self, slice: SliceId) -> Option<ServerLoad> {
        self.pick_above(slice, 0.0)
    }

    /// Picks like [`Loads::pick_server`], but avoids cold servers unless all are cold.
    pub(crate) fn pick_warm_server(&mut self, slice: SliceId) -> Option<ServerLoad> {
        let floor = self.mean_relative_load() * WARM_LOAD_FRACTION;
        self.pick_above(slice, floor).or_else(|| self.pick_server(slice))
    }

    /// Picks the least loaded server whose relative load is at least `floor`.
    fn pick_above(&mut self, slice: SliceId, floor: f64) -> Option<ServerLoad> {
        let load = self.load_of(slice);
        let is_candidate =
            |server: &&mut ServerLoad| server.accepts_slices && server.relative_load() >= floor;
        let candidates = self.servers.iter_mut().filter(is_candidate);
        let least = candidates
            .min_by(|left, right| left.relative_load().total_cmp(&right.relative_load()))?;
        least.load += load;
        Some(*least)
    }

    /// Returns the server with the highest load relative to its weight.
    pub(crate) fn most_loaded(&self) -> Option<ServerLoad> {
        let servers = self.servers.iter();
        servers
            .max_by(|left, right| left.relative_load().total_cmp(&right.relative_load()))
            .copied()
    }

    /// Returns the server with the lowest relative load that accepts slices and is not in `full`.
    pub(crate) fn least_loaded(&self, full: &BTreeSet<ServerKey>) -> Option<ServerLoad> {
        let is_candidate =
            |server: &&ServerLoad| server.accepts_slices && !full.contains(&server.key);
        let servers = self.servers.iter().filter(is_candidate);
        servers
            .min_by(|left, right| left.relative_load().total_cmp(&right.relative_load()))
            .copied()
    }

    /// Returns whether the receiver would be less loaded after a move than the sender is now.
    pub(crate) fn improves_balance(
        &self,
        from: &ServerLoad,
        to: &ServerLoad,
        slice: SliceId,
    ) -> bool {
        to.relative_load() + self.load_of(slice) / to.weight < from.relative_load()
    }

    /// Moves the load of a slice from one server to another.
    pub(crate) fn move_load(&mut self, from: ServerKey, to: ServerKey, slice: SliceId) {
        let load = self.load_of(slice);
        for server in &mut self.servers {
            if server.key == from {
                server.load -= load;
            }
            if server.key == to {
                server.load += load;
            }
        }
    }
}
