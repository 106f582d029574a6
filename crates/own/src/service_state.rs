use std::collections::{BTreeMap, BTreeSet};

use bay_conf::{ServerDoc, ServiceDoc};
use bay_time::Time;
use bay_types::{Revision, ServerName, ServiceName, ZoneName};

use crate::deputy::Deputy;
use crate::keeper::Keeper;
use crate::loads::{Loads, ServerLoad};
use crate::planner::{PlanLimits, Planner};
use crate::rates::Rates;
use crate::shard_slot::ShardSlot;
use crate::stewards::Stewards;
use crate::term_slot::TermSlot;
use crate::{RemainingLease, ServerKey, Shard};

/// The state of one keyed service: its document, its shards and terms, and the roles of this
/// process.
#[derive(Debug)]
pub(crate) struct ServiceState {
    pub(crate) name: ServiceName,
    pub(crate) revision: Revision,
    /// The document, or `None` if the service was deleted or is not keyed.
    pub(crate) doc: Option<ServiceDoc>,
    pub(crate) shards: Vec<ShardSlot>,
    pub(crate) terms: BTreeMap<ZoneName, TermSlot>,
    pub(crate) keepers: BTreeMap<ZoneName, Keeper>,
    pub(crate) deputies: BTreeMap<ZoneName, Deputy>,
    pub(crate) planner: Planner,
    pub(crate) rates: Rates,
    /// Whether a shard may need a write.
    pub(crate) dirty: bool,
    /// Expiries of the leases that ended roles of this process may have renewed.
    ended_leases: BTreeMap<ZoneName, BTreeMap<ServerName, Time>>,
}

impl ServiceState {
    /// Creates the state of a service without document, shards and terms.
    pub(crate) fn new(name: ServiceName) -> ServiceState {
        ServiceState {
            name,
            revision: Revision(0),
            doc: None,
            shards: Vec::new(),
            terms: BTreeMap::new(),
            keepers: BTreeMap::new(),
            deputies: BTreeMap::new(),
            planner: Planner::default(),
            rates: Rates::default(),
            dirty: false,
            ended_leases: BTreeMap::new(),
        }
    }

    /// Applies a document; returns whether its slice layout fits that of the previous document.
    ///
    /// A document that doesn't fit changes nothing.
    pub(crate) fn set_doc(&mut self, now: Time, doc: Option<ServiceDoc>) -> bool {
        let keyed = doc.filter(|doc| doc.keyed_rules().is_some());
        let Some(doc) = keyed else {
            for zone in self.keepers.keys().copied().collect::<Vec<_>>() {
                self.end_keeper(zone);
            }
            self.doc = None;
            return true;
        };
        let count = doc.keyed_rules().map_or(0, |rules| Shard::count(rules.layout)) as usize;
        let layout = |doc: &ServiceDoc| doc.keyed_rules().map(|rules| rules.layout);
        if self.doc.as_ref().is_some_and(|current| layout(current) != layout(&doc)) {
            return false;
        }
        self.shards.resize_with(count, ShardSlot::default);
        self.doc = Some(doc);
        self.refresh_keepers(now);
        self.planner.schedule_now(now);
        true
    }

    /// Returns the zones whose servers need a keeper.
    pub(crate) fn zones(&self) -> BTreeSet<ZoneName> {
        let Some(doc) = &self.doc else {
            return BTreeSet::new();
        };
        let named = self.shards.iter().filter_map(ShardSlot::shard);
        let named = named.flat_map(|shard| shard.keepers.keys().copied());
        doc.servers.iter().map(|server| server.zone).chain(named).collect()
    }

    /// Updates the keepers from the current document and shards.
    pub(crate) fn refresh_keepers(&mut self, now: Time) {
        self.dirty = true;
        let Some(doc) = &self.doc else {
            return;
        };
        let mut superseded = Vec::new();
        for (zone, keeper) in &mut self.keepers {
            keeper.update_servers(now, doc, &self.shards);
            keeper.feed.mark_dirty();
            if keeper.installed && self.deputies.contains_key(zone) {
                superseded.push(*zone);
            }
        }
        for zone in superseded {
            // This process was the zone's deputy; its orders as keeper replace those as deputy.
            self.end_deputy(now, zone);
            let expiries = self.ended_leases.get(&zone).cloned().unwrap_or_default();
            if let Some(keeper) = self.keepers.get_mut(&zone) {
                keeper.extend_expiries(&expiries);
            }
        }
    }

    /// Ends the keeper role of this process in a zone and records the leases that it renewed.
    pub(crate) fn end_keeper(&mut self, zone: ZoneName) -> Option<Keeper> {
        let keeper = self.keepers.remove(&zone)?;
        let expiries = self.ended_leases.entry(zone).or_default();
        for (key, state) in &keeper.servers {
            let expiry = expiries.entry(key.name).or_default();
            *expiry = state.latest_expiry().max(*expiry);
        }
        Some(keeper)
    }

    /// Ends the deputy role of this process in a zone and records the leases that it renewed.
    pub(crate) fn end_deputy(&mut self, now: Time, zone: ZoneName) {
        let Some(deputy) = self.deputies.remove(&zone) else {
            return;
        };
        let expiries = self.ended_leases.entry(zone).or_default();
        for lease in deputy.remaining_leases(now) {
            let expiry = expiries.entry(lease.server).or_default();
            *expiry = (now + std::time::Duration::from_millis(lease.remaining_ms)).max(*expiry);
        }
    }

    /// Returns the leases that ended roles may have renewed and that may still run.
    pub(crate) fn remaining_leases(&mut self, now: Time, zone: ZoneName) -> Vec<RemainingLease> {
        let expiries = self.ended_leases.entry(zone).or_default();
        expiries.retain(|_, expiry| *expiry > now);
        let entry = |(server, expiry): (&ServerName, &Time)| RemainingLease {
            server: *server,
            remaining_ms: expiry.since(now).as_millis() as u64 + 1,
        };
        expiries.iter().map(entry).collect()
    }

    /// Returns the shard that should be written now, or `None` if it needs no change.
    ///
    /// The planner takes part if `limits` is given.
    pub(crate) fn next_shard(
        &mut self,
        now: Time,
        index: usize,
        loads: &mut Loads<'_>,
        limits: Option<&mut PlanLimits>,
    ) -> Option<Shard> {
        let current = self.shards.get(index)?.shard()?;
        let mut next = current.clone();
        for keeper in self.keepers.values() {
            keeper.update_shard(now, &mut next, loads);
        }
        if let Some(limits) = limits {
            self.planner.plan_shard(now, &mut next, loads, limits);
        }
        (next != *current).then_some(next)
    }

    /// Returns the servers that may own slices, and whether all are up and every zone has a term.
    pub(crate) fn eligible_servers(
        &self,
        stewards: &Stewards,
        zones_out: &BTreeSet<ZoneName>,
    ) -> (Vec<ServerLoad>, bool) {
        let Some(doc) = &self.doc else {
            return (Vec::new(), false);
        };
        let may_own = |server: &&ServerDoc| !server.leaving && !zones_out.contains(&server.zone);
        let mut servers = Vec::new();
        let mut all_up = true;
        for server in doc.servers.iter().filter(may_own) {
            let key = ServerKey::of(server);
            let term = self.terms.get(&server.zone).and_then(|term| term.record.as_ref());
            let has_live_keeper = term.is_some_and(|record| stewards.is_alive(record.keeper));
            let up = self.is_up(key);
            servers.push(ServerLoad::new(key, server.zone, server.weight, up && has_live_keeper));
            all_up &= up;
        }
        let has_term =
            |zone: &ZoneName| self.terms.get(zone).is_some_and(|term| term.record.is_some());
        all_up &= doc.servers.iter().all(|server| has_term(&server.zone));
        (servers, all_up)
    }

    /// Returns whether a shard names the server and no shard marks it as down.
    fn is_up(&self, key: ServerKey) -> bool {
        let shards = self.shards.iter().filter_map(ShardSlot::shard);
        let named = shards.flat_map(|shard| shard.servers.iter().find(|server| server.key == key));
        let mut up = false;
        for server in named {
            if !server.up {
                return false;
            }
            up = true;
        }
        up
    }

    /// Returns the limits of the next plan.
    pub(crate) fn plan_limits(&self, all_up: bool) -> PlanLimits {
        let shards = || self.shards.iter().filter_map(ShardSlot::shard);
        let moving = shards()
            .flat_map(Shard::slices)
            .filter(|(_, row)| row.previous_owner.is_some())
            .count();
        let rules = self.doc.as_ref().and_then(|doc| doc.keyed_rules());
        // A server that checks no tokens can't release one key of a range.
        let hot_keys = rules.filter(|rules| rules.fenced).map_or(0, |rules| rules.hot_keys);
        PlanLimits {
            all_up,
            hot_keys: hot_keys as usize,
            moving,
            slots_used: shards().map(|shard| shard.hot.len()).sum(),
            received: BTreeMap::new(),
        }
    }

    /// Returns the servers of a zone whose leases a deputy may renew.
    pub(crate) fn servers_in(&self, zone: ZoneName) -> Vec<ServerKey> {
        let doc = self.doc.iter().flat_map(|doc| &doc.servers);
        let listed = doc.filter(|server| server.zone == zone).map(ServerKey::of);
        let shards = self.shards.iter().filter_map(ShardSlot::shard);
        let named = shards.flat_map(|shard| &shard.servers);
        let named =
            named.filter(|server| server.zone == zone && server.up).map(|server| server.key);
        listed.chain(named).collect::<BTreeSet<_>>().into_iter().collect()
    }
}
