use std::collections::BTreeMap;

use bay_call::{Action, Counter};
use bay_conf::{ServiceDoc, ZoneDoc, ZoneState};
use bay_time::Time;
use bay_types::{ServiceName, ZoneName};
use bay_wire::{Item, ItemKey, Routes, decode};

use crate::Gate;
use crate::service::{Service, ServiceId};

/// Result of applying an item to a gate.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ApplyResult {
    /// The item is now in force.
    Applied,
    /// This version or a later one was already in force.
    Stale,
    /// The item is a delta to a version that is not in force; the whole item is needed.
    Gap,
    /// The item cannot be parsed, does not match its key, or holds early routes for which there is
    /// no room.
    Invalid,
}

impl Gate {
    /// Maximum number of early routes: those of services whose document has not arrived.
    const MAX_EARLY_ROUTES: usize = 256;
    /// Number of rows after which early routes accept no further delta.
    const MAX_EARLY_ROUTE_ROWS: usize = 131_072;

    /// Applies an item if it is newer than the version in force.
    ///
    /// Requests that wait for it are placed again.
    pub fn apply(&mut self, now: Time, item: &Item, out: &mut Vec<Action>) -> ApplyResult {
        let version = self.versions.get(&item.key).copied();
        if version.is_some_and(|version| version >= item.version) {
            self.count(Counter::StaleItems);
            return ApplyResult::Stale;
        }
        if item.base.is_some() && item.base != version {
            return ApplyResult::Gap;
        }
        let valid = match item.key {
            ItemKey::Document(name) if item.body.is_empty() => self.delete_service(name),
            ItemKey::Document(name) => self.apply_document(now, name, &item.body),
            ItemKey::Routes(name, zone) => self.apply_routes(name, zone, item),
            ItemKey::Zone(zone) => self.apply_zone(now, zone, &item.body),
        };
        if !valid {
            self.count(Counter::InvalidItems);
            return ApplyResult::Invalid;
        }
        self.versions.insert(item.key, item.version);
        self.run_pending_work(now, out);
        ApplyResult::Applied
    }

    fn apply_document(&mut self, now: Time, name: ServiceName, body: &[u8]) -> bool {
        let Ok(doc) = ServiceDoc::parse(name.as_str(), body) else {
            return false;
        };
        if doc.name != name {
            return false;
        }
        let id = match self.services_by_name.get(&name) {
            Some(id) => self.replace_document(now, *id, doc),
            None => self.add_service(now, doc),
        };
        self.assign_hosts();
        self.update_targets(now, id);
        self.wake_waiting(id);
        true
    }

    fn replace_document(&mut self, now: Time, id: ServiceId, doc: ServiceDoc) -> ServiceId {
        if let Some(service) = self.services.get_mut(id) {
            service.replace_document(&self.config, doc, now);
        }
        id
    }

    fn add_service(&mut self, now: Time, doc: ServiceDoc) -> ServiceId {
        let name = doc.name;
        let mut service = Service::new(&self.config, doc, now);
        let of_service = |(service, _): &(ServiceName, ZoneName)| *service == name;
        let (early, others): (BTreeMap<_, _>, _) =
            std::mem::take(&mut self.early_routes).into_iter().partition(|(k, _)| of_service(k));
        self.early_routes = others;
        if let Some(table) = &mut service.routes {
            early.values().for_each(|routes| table.merge(routes));
        }
        let gates: Vec<_> = self.gates.values().copied().collect();
        service.pool.set_gates(now, &gates);
        let id = self.services.insert(service);
        self.services_by_name.insert(name, id);
        id
    }

    /// Removes a service. Its live attempts continue; requests that wait are refused.
    fn delete_service(&mut self, name: ServiceName) -> bool {
        let Some(id) = self.services_by_name.remove(&name) else {
            return true;
        };
        self.wake_waiting(id);
        self.services.remove(id);
        self.assign_hosts();
        true
    }

    /// Rebuilds the map from host names to services.
    ///
    /// A host name in several documents goes to the service whose name sorts first, so that all
    /// gates agree.
    fn assign_hosts(&mut self) {
        self.services_by_host.clear();
        for id in self.services_by_name.values() {
            let Some(service) = self.services.get(*id) else {
                continue;
            };
            for host in &service.doc.hosts {
                self.services_by_host.entry(host.clone()).or_insert(*id);
            }
        }
    }

    fn apply_routes(&mut self, name: ServiceName, zone: ZoneName, item: &Item) -> bool {
        let Ok(routes) = decode::<Routes>(&item.body) else {
            return false;
        };
        let Some(id) = self.services_by_name.get(&name).copied() else {
            return self.store_early_routes((name, zone), routes, item.base.is_none());
        };
        let table = self.services.get_mut(id).and_then(|service| service.routes.as_mut());
        if let Some(table) = table {
            table.merge(&routes);
        }
        self.wake_ownerless(id);
        true
    }

    /// Stores routes until the document of their service arrives.
    ///
    /// Returns whether there was room for them.
    fn store_early_routes(
        &mut self,
        key: (ServiceName, ZoneName),
        routes: Routes,
        whole: bool,
    ) -> bool {
        let full = self.early_routes.len() >= Gate::MAX_EARLY_ROUTES;
        match self.early_routes.get_mut(&key) {
            Some(earlier) if whole => *earlier = routes,
            Some(earlier) if earlier.rows.len() < Gate::MAX_EARLY_ROUTE_ROWS => {
                append_routes(earlier, routes)
            }
            None if !full => {
                self.early_routes.insert(key, routes);
            }
            _ => return false,
        }
        true
    }

    fn apply_zone(&mut self, now: Time, zone: ZoneName, body: &[u8]) -> bool {
        let is_out = if body.is_empty() {
            false
        } else {
            match ZoneDoc::parse(zone.as_str(), body) {
                Ok(doc) if doc.zone == zone => doc.state == ZoneState::Out,
                _ => return false,
            }
        };
        if is_out {
            self.zones_out.insert(zone);
        } else {
            self.zones_out.remove(&zone);
        }
        let ids: Vec<_> = self.services.keys().collect();
        for id in ids {
            self.update_targets(now, id);
            self.wake_ownerless(id);
        }
        true
    }

    fn update_targets(&mut self, now: Time, id: ServiceId) {
        let zones_out = &self.zones_out;
        if let Some(service) = self.services.get_mut(id) {
            service.update_targets(now, |zone| zones_out.contains(&zone));
        }
        self.touched_services.push(id);
    }

    /// Schedules the requests of a service that wait for an owner for another placement.
    fn wake_ownerless(&mut self, id: ServiceId) {
        if let Some(service) = self.services.get_mut(id) {
            self.calls_to_place.extend(std::mem::take(&mut service.ownerless));
        }
    }

    /// Schedules all waiting requests of a service for another placement.
    fn wake_waiting(&mut self, id: ServiceId) {
        self.wake_ownerless(id);
        if let Some(service) = self.services.get_mut(id) {
            self.calls_to_place.extend(std::mem::take(&mut service.deferred_suspects));
            self.calls_to_place.extend(service.queued.values().copied());
        }
    }
}

/// Appends a delta to earlier routes, whose rows are applied in order. The delta's server indices
/// are shifted behind the earlier servers.
fn append_routes(earlier: &mut Routes, mut later: Routes) {
    let base = earlier.servers.len();
    earlier.servers.append(&mut later.servers);
    for row in &mut later.rows {
        row.server = row.server.and_then(|index| u16::try_from(base + usize::from(index)).ok());
    }
    earlier.rows.append(&mut later.rows);
    earlier.hot.append(&mut later.hot);
}
