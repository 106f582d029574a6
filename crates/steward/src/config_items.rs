//! Conversion of configuration items to inputs of the owner.

use bay_conf::{ServiceDoc, ZoneDoc, ZoneState};
use bay_own::OwnerInput;
use bay_types::{Revision, ServiceName, ZoneName};
use bay_wire::{Item, ItemKey};

/// Converts an item to an input of the owner.
///
/// Returns `None` if the item is invalid or isn't configuration.
pub(crate) fn owner_input(item: &Item) -> Option<OwnerInput> {
    let revision = Revision(item.version.major);
    match item.key {
        ItemKey::Document(service) => document_input(service, revision, &item.body),
        ItemKey::Zone(zone) => zone_input(zone, revision, &item.body),
        _ => None,
    }
}

fn document_input(service: ServiceName, revision: Revision, body: &[u8]) -> Option<OwnerInput> {
    if body.is_empty() {
        return Some(OwnerInput::Document { service, revision, doc: None });
    }
    let doc = ServiceDoc::parse_named(service.as_str(), service, body).ok()?;
    Some(OwnerInput::Document { service, revision, doc: Some(doc) })
}

fn zone_input(zone: ZoneName, revision: Revision, body: &[u8]) -> Option<OwnerInput> {
    if body.is_empty() {
        // A zone without an object is in service.
        return Some(OwnerInput::Zone { zone, revision, state: ZoneState::In });
    }
    let doc = ZoneDoc::parse_named(zone.as_str(), zone, body).ok()?;
    Some(OwnerInput::Zone { zone, revision, state: doc.state })
}
