use std::collections::{BTreeMap, BTreeSet};

use bay_types::NodeId;
use bay_wire::{
    GateAddress, Item, ItemKey, ItemVersion, KeyVersion, LinkMessage, NodeVersions, Role,
};

use crate::held_item::HeldItem;
use crate::{LinkHandle, PeersOutput};

/// Bytes of items in one message.
const MESSAGE_BYTES: usize = 1 << 20;

/// The gates that follow this steward over TCP connections.
#[derive(Debug)]
pub(crate) struct SpreadLinks {
    gates: BTreeMap<LinkHandle, Follower>,
}

/// One gate.
#[derive(Debug)]
struct Follower {
    node: NodeId,
    sent: BTreeMap<ItemKey, ItemVersion>,
    in_force: BTreeMap<ItemKey, ItemVersion>,
}

impl SpreadLinks {
    pub(crate) fn new() -> SpreadLinks {
        SpreadLinks { gates: BTreeMap::new() }
    }

    /// Adds a gate that already has these versions.
    pub(crate) fn open(&mut self, link: LinkHandle, node: NodeId, have: &[KeyVersion]) {
        let sent: BTreeMap<ItemKey, ItemVersion> =
            have.iter().map(|have| (have.key, have.version)).collect();
        self.gates.insert(link, Follower { node, in_force: sent.clone(), sent });
    }

    /// Forgets a connection; returns whether it was a gate's.
    pub(crate) fn close(&mut self, link: LinkHandle) -> bool {
        self.gates.remove(&link).is_some()
    }

    /// The hosts whose gates are connected.
    pub(crate) fn hosts(&self) -> BTreeSet<NodeId> {
        self.gates.values().map(|gate| gate.node).collect()
    }

    /// Brings a gate up to date with an item.
    pub(crate) fn send(&mut self, link: LinkHandle, key: ItemKey, held: &HeldItem) -> Vec<Item> {
        let Some(gate) = self.gates.get_mut(&link) else {
            return Vec::new();
        };
        let sent = gate.sent.entry(key).or_default();
        let items = held.since(key, *sent);
        *sent = held.version().max(*sent);
        items
    }

    /// Brings every gate up to date with an item.
    pub(crate) fn push(&mut self, key: ItemKey, held: &HeldItem, out: &mut Vec<PeersOutput>) {
        let links: Vec<LinkHandle> = self.gates.keys().copied().collect();
        for link in links {
            send_items(link, self.send(link, key, held), out);
        }
    }

    /// Sends every gate the list of gates.
    pub(crate) fn push_gates(&self, gates: &[GateAddress], out: &mut Vec<PeersOutput>) {
        for link in self.gates.keys() {
            let message = LinkMessage::Gates(gates.to_vec());
            out.push(PeersOutput::Link { link: *link, message });
        }
    }

    /// Notes which versions a gate has in force.
    pub(crate) fn on_in_force(&mut self, link: LinkHandle, versions: &[KeyVersion]) {
        let Some(gate) = self.gates.get_mut(&link) else {
            return;
        };
        for have in versions {
            let known = gate.in_force.entry(have.key).or_default();
            *known = have.version.max(*known);
        }
    }

    /// The configuration that each gate has in force.
    pub(crate) fn in_force(&self) -> Vec<NodeVersions> {
        let versions = |gate: &Follower| {
            let items = gate.in_force.iter().filter(|(key, _)| key.is_configuration());
            items.map(|(key, version)| KeyVersion { key: *key, version: *version }).collect()
        };
        let report = |gate: &Follower| NodeVersions {
            node: gate.node,
            role: Role::Gate,
            versions: Some(versions(gate)),
        };
        self.gates.values().map(report).collect()
    }
}

/// Sends items over a connection, in messages of bounded size.
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
