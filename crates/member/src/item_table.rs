mod fetch;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use bay_time::Time;
use bay_wire::{Item, ItemKey, ItemVersion, KeyVersion};

use self::fetch::FETCH_TIMEOUT;
use crate::bucket_hashes::BucketHashes;
use crate::gate_links::{GateLinks, send_items};
use crate::held_item::HeldItem;
use crate::packet::{OutgoingPacket, PacketKind, split_list};
use crate::rumor_queue::{RumorQueue, max_transmissions};
use crate::{LinkHandle, PeerCounts, PeersOutput};

/// Shortest interval between comparisons of all versions.
const COMPARE_INTERVAL: Duration = Duration::from_secs(2);
/// Shortest interval between comparisons while versions on the datagram may explain why the
/// hashes differ.
const BUSY_COMPARE_INTERVAL: Duration = Duration::from_secs(5);
/// Most datagrams sent in reply to one comparison.
const PACKETS_PER_COMPARISON: usize = 4;
/// Delay before new items are pushed, to batch them.
const PUSH_DELAY: Duration = Duration::from_millis(10);
/// Shortest interval between push rounds.
const PUSH_INTERVAL: Duration = Duration::from_millis(250);
/// Longest item body that is pushed in a datagram, in bytes.
const MAX_DATAGRAM_BODY: usize = 600;

/// The result of offering an item.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OfferResult {
    /// The item was newer and is now held.
    Newer,
    /// The item was not newer than the held one, and was dropped.
    Stale,
    /// The item was a delta that does not apply to the held version, or did not decode, and was
    /// dropped. The full item is needed.
    Gap,
}

/// A node's replica of the versioned items. The version of an item never decreases.
#[derive(Debug)]
pub struct ItemTable {
    items: BTreeMap<ItemKey, HeldItem>,
    buckets: BucketHashes,
    version_rumors: RumorQueue<ItemKey>,
    /// Small new items to push to peers in the next round.
    pending_pushes: Vec<Item>,
    fetches: BTreeMap<ItemKey, Fetch>,
    /// When the oldest outstanding request times out.
    next_fetch_timeout: Option<Time>,
    last_comparison: Option<Time>,
    push_due: Option<Time>,
    last_push: Option<Time>,
    pub(crate) links: GateLinks,
    pub(crate) counts: PeerCounts,
}

impl Default for ItemTable {
    fn default() -> ItemTable {
        ItemTable::new()
    }
}

/// An outstanding request for an item.
#[derive(Debug)]
struct Fetch {
    version: ItemVersion,
    sources: Vec<SocketAddr>,
    requested_at: Time,
    attempts: u32,
}

impl ItemTable {
    /// Creates an empty table.
    pub fn new() -> ItemTable {
        ItemTable {
            items: BTreeMap::new(),
            buckets: BucketHashes::new(),
            version_rumors: RumorQueue::new(),
            pending_pushes: Vec::new(),
            fetches: BTreeMap::new(),
            next_fetch_timeout: None,
            last_comparison: None,
            push_due: None,
            last_push: None,
            links: GateLinks::new(),
            counts: PeerCounts::default(),
        }
    }

    /// Applies an item from any source if it is newer than the held one.
    pub fn offer(&mut self, item: &Item) -> OfferResult {
        let offered = self.apply(item);
        match offered {
            OfferResult::Newer => {}
            OfferResult::Stale => self.counts.stale_items += 1,
            OfferResult::Gap => self.counts.gaps += 1,
        }
        offered
    }

    /// Returns the full item, if held.
    pub fn item(&self, key: ItemKey) -> Option<Item> {
        self.items.get(&key).map(|held| held.full_item(key))
    }

    /// Returns the version of an item; the lowest version if it is not held.
    pub fn version(&self, key: ItemKey) -> ItemVersion {
        self.items.get(&key).map(HeldItem::version).unwrap_or_default()
    }

    /// Returns the version of each item.
    pub fn versions(&self) -> impl Iterator<Item = KeyVersion> + '_ {
        self.items.iter().map(|(key, held)| KeyVersion { key: *key, version: held.version() })
    }

    /// Returns the version of each item that is configuration.
    pub(crate) fn configuration(&self) -> Vec<KeyVersion> {
        self.versions().filter(|have| have.key.is_configuration()).collect()
    }

    pub(crate) fn summary(&self) -> u64 {
        self.buckets.summary()
    }

    /// Returns what a receiver at these versions lacks, as deltas where possible.
    pub(crate) fn missing_items(&self, have: &[KeyVersion]) -> Vec<Item> {
        let lacking = |have: &KeyVersion| {
            let held = self.items.get(&have.key);
            held.map(|held| held.changes_since(have.key, have.version)).unwrap_or_default()
        };
        have.iter().flat_map(lacking).collect()
    }

    /// Applies items, and publishes the newer ones to the driver, the gates and, after a delay, the
    /// peers. Returns the keys whose full item is needed.
    pub(crate) fn handle_items(
        &mut self,
        now: Time,
        items: Vec<Item>,
        out: &mut Vec<PeersOutput>,
    ) -> Vec<KeyVersion> {
        let mut gaps = Vec::new();
        for item in items {
            match self.offer(&item) {
                OfferResult::Newer => self.publish(now, item, out),
                OfferResult::Stale => {}
                OfferResult::Gap => {
                    gaps.push(KeyVersion { key: item.key, version: ItemVersion::default() });
                }
            }
        }
        gaps
    }

    /// Handles a peer's versions and requests newer items from it; returns whether any is newer.
    pub(crate) fn handle_versions(
        &mut self,
        now: Time,
        from: SocketAddr,
        versions: &[KeyVersion],
        out: &mut Vec<PeersOutput>,
    ) -> bool {
        let mut wanted = Vec::new();
        let mut newer = false;
        for theirs in versions {
            let version = self.version(theirs.key);
            if theirs.version <= version {
                continue;
            }
            newer = true;
            if self.record_source(now, from, *theirs) {
                wanted.push(KeyVersion { key: theirs.key, version });
            }
        }
        self.request_items(from, wanted, out);
        newer
    }

    /// Starts a comparison with a peer whose summary differs, at most once per interval. `explained`
    /// says that the peer's datagram may account for the difference.
    pub(crate) fn compare_summary(
        &mut self,
        now: Time,
        from: SocketAddr,
        summary: u64,
        explained: bool,
        out: &mut Vec<OutgoingPacket>,
    ) {
        let interval = if explained { BUSY_COMPARE_INTERVAL } else { COMPARE_INTERVAL };
        let too_soon = self.last_comparison.is_some_and(|at| now.since(at) < interval);
        if too_soon || summary == self.summary() {
            return;
        }
        self.last_comparison = Some(now);
        let kind = PacketKind::ItemBuckets(self.buckets.hashes().to_vec());
        out.push(OutgoingPacket { to: from, kind });
    }

    /// Replies to a comparison with the versions in all buckets that differ.
    pub(crate) fn handle_buckets(
        &self,
        from: SocketAddr,
        hashes: &[u32],
        out: &mut Vec<OutgoingPacket>,
    ) {
        let differing =
            |have: &KeyVersion| self.buckets.differs(BucketHashes::index_of(&have.key), hashes);
        let versions: Vec<KeyVersion> = self.versions().filter(differing).collect();
        for versions in split_list(versions).into_iter().take(PACKETS_PER_COMPARISON) {
            out.push(OutgoingPacket { to: from, kind: PacketKind::ItemVersions(versions) });
        }
    }

    pub(crate) fn next_deadline(&self) -> Option<Time> {
        [self.next_fetch_timeout, self.push_due].into_iter().flatten().min()
    }

    /// Repeats timed-out requests with other sources.
    pub(crate) fn tick(&mut self, now: Time, out: &mut Vec<PeersOutput>) {
        if self.next_fetch_timeout.is_none_or(|at| now < at) {
            return;
        }
        let timed_out: Vec<ItemKey> = self
            .fetches
            .iter()
            .filter(|(_, fetch)| now.since(fetch.requested_at) >= FETCH_TIMEOUT)
            .map(|(key, _)| *key)
            .collect();
        for key in timed_out {
            self.request_from_next_source(now, key, out);
        }
        self.update_fetch_timeout();
    }

    /// Returns the small items to push, if a round is due. The list may be empty.
    pub(crate) fn take_push_round(&mut self, now: Time) -> Option<Vec<Item>> {
        if self.push_due.is_none_or(|at| now < at) {
            return None;
        }
        self.push_due = None;
        self.last_push = Some(now);
        // Items beyond one datagram are announced by version only.
        let parts = split_list(std::mem::take(&mut self.pending_pushes));
        Some(parts.into_iter().next().unwrap_or_default())
    }

    pub(crate) fn take_versions(&mut self, members: usize, budget: usize) -> Vec<KeyVersion> {
        let items = &self.items;
        let load = |key| items.get(&key).map(|held| KeyVersion { key, version: held.version() });
        self.version_rumors.next_batch(max_transmissions(members), budget, load)
    }

    fn apply(&mut self, item: &Item) -> OfferResult {
        let held = self.items.get_mut(&item.key);
        let before = held.as_ref().map(|held| held.version());
        if before.is_some_and(|before| before >= item.version) {
            return OfferResult::Stale;
        }
        let applied = match (item.base, held) {
            (None, _) => {
                HeldItem::new(item).map(|held| self.items.insert(item.key, held)).is_some()
            }
            (Some(base), Some(held)) => held.builds_on(base) && held.apply(item),
            (Some(_), None) => false,
        };
        if !applied {
            return OfferResult::Gap;
        }
        if let Some(before) = before {
            self.buckets.toggle(&item.key, &before);
        }
        self.buckets.toggle(&item.key, &item.version);
        OfferResult::Newer
    }

    fn publish(&mut self, now: Time, item: Item, out: &mut Vec<PeersOutput>) {
        let key = item.key;
        if self.fetches.get(&key).is_some_and(|fetch| fetch.version <= item.version) {
            self.fetches.remove(&key);
            self.update_fetch_timeout();
        }
        self.version_rumors.push(key);
        let earliest = self.last_push.map_or(Time::ZERO, |last| last + PUSH_INTERVAL);
        let due = earliest.max(now + PUSH_DELAY);
        self.push_due = Some(self.push_due.map_or(due, |at| at.min(due)));
        let Some(held) = self.items.get(&key) else {
            return;
        };
        self.links.send_to_all(key, held, out);
        out.push(PeersOutput::ItemChanged(held.full_item(key)));
        if item.body.len() <= MAX_DATAGRAM_BODY {
            self.pending_pushes.push(item);
        }
    }

    /// Sends a gate every item that it lacks.
    pub(crate) fn send_missing_items(&mut self, link: LinkHandle, out: &mut Vec<PeersOutput>) {
        let mut items = Vec::new();
        for (key, held) in &self.items {
            items.extend(self.links.collect_unsent(link, *key, held));
        }
        send_items(link, items, out);
    }

    /// Replies to a request over a connection with what the sender lacks.
    pub(crate) fn handle_want(
        &self,
        link: LinkHandle,
        have: &[KeyVersion],
        out: &mut Vec<PeersOutput>,
    ) {
        send_items(link, self.missing_items(have), out);
    }
}
