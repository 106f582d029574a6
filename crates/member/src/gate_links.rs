use std::collections::{BTreeMap, BTreeSet};

use bay_types::NodeId;
use bay_wire::{
    GateAddress, Item, ItemKey, ItemVersion, KeyVersion, LinkMessage, NodeVersions, Role,
};

use crate::held_item::HeldItem;
use crate::{LinkHandle, PeersOutput};

/// Maximum size of the items in one message, in bytes; a single larger item is sent alone.
const MESSAGE_BYTES: usize = 1 << 20;

/// The gates connected to this steward over TCP.
#[derive(Debug)]
pub(crate) struct GateLinks {
    gates: BTreeMap<LinkHandle, GateLink>,
}

/// A connected gate, and the versions it has been sent and has put in force.
#[derive(Debug)]
struct GateLink {
    node: NodeId,
    sent: BTreeMap<ItemKey, ItemVersion>,
    in_force: BTreeMap<ItemKey, ItemVersion>,
}

impl GateLinks {
    pub(crate) fn new() -> GateLinks {
        GateLinks { gates: BTreeMap::new() }
    }

    /// Adds a gate that starts with these versions.
    pub(crate) fn add_gate(&mut self, link: LinkHandle, node: NodeId, have: &[KeyVersion]) {
        let sent: BTreeMap<ItemKey, ItemVersion> =
            have.iter().map(|have| (have.key, have.version)).collect();
        self.gates.insert(link, GateLink { node, in_force: sent.clone(), sent });
    }

    /// Removes a connection; returns whether it was a gate's.
    pub(crate) fn remove_gate(&mut self, link: LinkHandle) -> bool {
        self.gates.remove(&link).is_some()
    }

    /// Returns the hosts whose gates are connected.
    pub(crate) fn connected_hosts(&self) -> BTreeSet<NodeId> {
        self.gates.values().map(|gate| gate.node).collect()
    }

    /// Returns the full item or the deltas that a gate lacks, and records them as sent.
    pub(crate) fn collect_unsent(
        &mut self,
        link: LinkHandle,
        key: ItemKey,
        held: &HeldItem,
    ) -> Vec<Item> {
        let Some(gate) = self.gates.get_mut(&link) else {
            return Vec::new();
        };
        let sent = gate.sent.entry(key).or_default();
        let items = held.changes_since(key, *sent);
        *sent = held.version().max(*sent);
        items
    }

    /// Sends every gate what it lacks of an item.
    pub(crate) fn send_to_all(
        &mut self,
        key: ItemKey,
        held: &HeldItem,
        out: &mut Vec<PeersOutput>,
    ) {
        let links: Vec<LinkHandle> = self.gates.keys().copied().collect();
        for link in links {
            send_items(link, self.collect_unsent(link, key, held), out);
        }
    }

    /// Sends the list of gates to every gate.
    pub(crate) fn send_gate_list(&self, gates: &[GateAddress], out: &mut Vec<PeersOutput>) {
        for link in self.gates.keys() {
            let message = LinkMessage::Gates(gates.to_vec());
            out.push(PeersOutput::Link { link: *link, message });
        }
    }

    /// Records the versions that a gate has in force; lower ones are ignored.
    pub(crate) fn record_in_force(&mut self, link: LinkHandle, versions: &[KeyVersion]) {
        let Some(gate) = self.gates.get_mut(&link) else {
            return;
        };
        for have in versions {
            let known = gate.in_force.entry(have.key).or_default();
            *known = have.version.max(*known);
        }
    }

    /// Returns the versions of configuration in force on each gate.
    pub(crate) fn in_force(&self) -> Vec<NodeVersions> {
        let versions = |gate: &GateLink| {
            let items = gate.in_force.iter().filter(|(key, _)| key.is_configuration());
            items.map(|(key, version)| KeyVersion { key: *key, version: *version }).collect()
        };
        let report = |gate: &GateLink| NodeVersions {
            node: gate.node,
            role: Role::Gate,
            versions: Some(versions(gate)),
        };
        self.gates.values().map(report).collect()
    }
}

/// Sends items over a connection, split into messages of bounded size.
pub(crate) fn send_items(link: LinkHandle, items: Vec<Item>, out: &mut Vec<PeersOutput>) {
    let mut message = Vec::new();
    let mut bytes = 0;
    for item in items {
        if bytes + item.body.len() > MESSAGE_BYTES && !message.is_empty() {
            let items = LinkMessage::Items(std::mem::take(&mut message));
            out.push(PeersOutput::Link { link, message: items });
            bytes = 0;
        }
        bytes += item.body.len();
        message.push(item);
    }
    if !message.is_empty() {
        out.push(PeersOutput::Link { link, message: LinkMessage::Items(message) });
    }
}
