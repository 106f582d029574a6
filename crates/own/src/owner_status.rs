use bay_types::{NodeId, ServiceName, ZoneName};

use crate::TermRecord;
use crate::owner::Owner;
use crate::service_state::ServiceState;

impl Owner {
    /// Returns whether this process is keeper or deputy of any zone.
    pub fn holds_any_role(&self) -> bool {
        let has_role =
            |service: &ServiceState| !service.keepers.is_empty() || !service.deputies.is_empty();
        self.services.values().any(has_role)
    }

    /// Iterates over the known term records.
    pub fn terms(&self) -> impl Iterator<Item = (ServiceName, ZoneName, &TermRecord)> + '_ {
        let name_of = |service: &ServiceState| service.name;
        self.services.values().flat_map(move |service| {
            let records = service.terms.iter().map(|(zone, slot)| (*zone, slot.record.as_ref()));
            records.filter_map(move |(zone, record)| Some((name_of(service), zone, record?)))
        })
    }

    /// Returns the host whose steward plans a service, or `None` without candidates.
    pub fn planner(&self, service: ServiceName) -> Option<NodeId> {
        self.stewards.planner(service).map(|holder| holder.node)
    }
}
