mod fetch;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use bay_time::Time;
use bay_wire::{Interest, Item, ItemKey, ItemVersion};

use self::fetch::FETCH_TIMEOUT;
use crate::bucket_hashes::BucketHashes;
use crate::gate_links::{GateLinks, send_items};
use crate::held_item::HeldItem;
use crate::packet::{OutgoingPacket, PacketKind, split_list};
use crate::rumor_queue::{RumorQueue, max_transmissions};
use crate::{LinkHandle, PeerCounts, PeersOutput};

/// Time between two comparisons of all versions.
const COMPARE_INTERVAL: Duration = Duration::from_secs(2);
/// Time between two comparisons while news on the datagram may explain the difference.
const BUSY_COMPARE_INTERVAL: Duration = Duration::from_secs(5);
/// Datagrams that answer one comparison.
const PACKETS_PER_COMPARISON: usize = 4;
/// Pause before news is sent on, in which it is gathered.
const PUSH_DELAY: Duration = Duration::from_millis(10);
/// Shortest time between two rounds of news.
const PUSH_INTERVAL: Duration = Duration::from_millis(250);
/// Longest item that is sent in a datagram, in bytes.
const MAX_DATAGRAM_BODY: usize = 600;

/// What an offered item came to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OfferResult {
    /// The item is newer and now held.
    Newer,
    /// The item is not newer than what is held, and was dropped.
    Stale,
    /// The item is a difference from a version that is not held, and was dropped; the whole is
    /// needed.
    Gap,
}

/// The versioned items of a node; versions only go up.
#[derive(Debug)]
pub struct ItemTable {
    items: BTreeMap<ItemKey, HeldItem>,
    buckets: BucketHashes,
    version_rumors: RumorQueue<ItemKey>,
    push_items: Vec<Item>,
    fetches: BTreeMap<ItemKey, Fetch>,
    next_fetch: Option<Time>,
    last_compare: Option<Time>,
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

/// An item that a peer was asked for.
#[derive(Debug)]
struct Fetch {
    version: ItemVersion,
    sources: Vec<SocketAddr>,
    requested_at: Time,
    attempts: u32,
}

impl ItemTable {
    /// A spread without items.
    pub fn new() -> ItemTable {
        ItemTable {
            items: BTreeMap::new(),
            buckets: BucketHashes::new(),
            version_rumors: RumorQueue::new(),
            push_items: Vec::new(),
            fetches: BTreeMap::new(),
            next_fetch: None,
            last_compare: None,
            push_due: None,
            last_push: None,
            links: GateLinks::new(),
            counts: PeerCounts::default(),
        }
    }

    /// Takes an item from any source, unless it is not newer than what is held.
    pub fn offer(&mut self, item: &Item) -> OfferResult {
        let offered = self.apply(item);
        match offered {
            OfferResult::Newer => {}
            OfferResult::Stale => self.counts.stale_items += 1,
            OfferResult::Gap => self.counts.gaps += 1,
        }
        offered
    }

    /// An item, whole.
    pub fn item(&self, key: ItemKey) -> Option<Item> {
        self.items.get(&key).map(|held| held.full_item(key))
    }

    /// The version of an item; the lowest one if it is not known.
    pub fn version(&self, key: ItemKey) -> ItemVersion {
        self.items.get(&key).map(HeldItem::version).unwrap_or_default()
    }

    /// The version of each item.
    pub fn versions(&self) -> impl Iterator<Item = Interest> + '_ {
        self.items.iter().map(|(key, held)| Interest { key: *key, version: held.version() })
    }

    /// The version of each item that is configuration.
    pub(crate) fn configuration(&self) -> Vec<Interest> {
        self.versions().filter(|have| have.key.is_configuration()).collect()
    }

    pub(crate) fn summary(&self) -> u64 {
        self.buckets.summary()
    }

    /// The items that a receiver at these versions lacks.
    pub(crate) fn newer_than(&self, have: &[Interest]) -> Vec<Item> {
        let lacking = |have: &Interest| {
            let held = self.items.get(&have.key);
            held.map(|held| held.since(have.key, have.version)).unwrap_or_default()
        };
        have.iter().flat_map(lacking).collect()
    }

    /// Takes items and tells the driver, the gates and, in time, the peers of what is new.
    /// Returns the keys of which the whole is needed.
    pub(crate) fn handle_items(
        &mut self,
        now: Time,
        items: Vec<Item>,
        out: &mut Vec<PeersOutput>,
    ) -> Vec<Interest> {
        let mut gaps = Vec::new();
        for item in items {
            match self.offer(&item) {
                OfferResult::Newer => self.publish(now, item, out),
                OfferResult::Stale => {}
                OfferResult::Gap => {
                    gaps.push(Interest { key: item.key, version: ItemVersion::default() });
                }
            }
        }
        gaps
    }

    /// Hears which versions a peer has and asks it for what is newer; returns whether any is.
    pub(crate) fn handle_versions(
        &mut self,
        now: Time,
        from: SocketAddr,
        versions: &[Interest],
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
                wanted.push(Interest { key: theirs.key, version });
            }
        }
        self.request_items(from, wanted, out);
        newer
    }

    /// Compares all versions with a peer whose hash differs, unless that was done lately.
    pub(crate) fn compare_summary(
        &mut self,
        now: Time,
        from: SocketAddr,
        summary: u64,
        explained: bool,
        out: &mut Vec<OutgoingPacket>,
    ) {
        let pause = if explained { BUSY_COMPARE_INTERVAL } else { COMPARE_INTERVAL };
        let lately = self.last_compare.is_some_and(|at| now.since(at) < pause);
        if lately || summary == self.summary() {
            return;
        }
        self.last_compare = Some(now);
        let kind = PacketKind::ItemBuckets(self.buckets.hashes().to_vec());
        out.push(OutgoingPacket { to: from, kind });
    }

    /// Answers a comparison.
    pub(crate) fn handle_buckets(
        &self,
        from: SocketAddr,
        hashes: &[u32],
        out: &mut Vec<OutgoingPacket>,
    ) {
        let differing =
            |have: &Interest| self.buckets.differs(BucketHashes::index_of(&have.key), hashes);
        let versions: Vec<Interest> = self.versions().filter(differing).collect();
        for versions in split_list(versions).into_iter().take(PACKETS_PER_COMPARISON) {
            out.push(OutgoingPacket { to: from, kind: PacketKind::ItemVersions(versions) });
        }
    }

    pub(crate) fn next_deadline(&self) -> Option<Time> {
        [self.next_fetch, self.push_due].into_iter().flatten().min()
    }

    /// Asks other peers for what has not come.
    pub(crate) fn tick(&mut self, now: Time, out: &mut Vec<PeersOutput>) {
        if self.next_fetch.is_none_or(|at| now < at) {
            return;
        }
        let late: Vec<ItemKey> = self
            .fetches
            .iter()
            .filter(|(_, fetch)| now.since(fetch.requested_at) >= FETCH_TIMEOUT)
            .map(|(key, _)| *key)
            .collect();
        for key in late {
            self.request_from_next_source(now, key, out);
        }
        self.schedule_fetch();
    }

    /// Takes the small items to send to a few peers at once, if a round of news is due.
    pub(crate) fn take_push_round(&mut self, now: Time) -> Option<Vec<Item>> {
        if self.push_due.is_none_or(|at| now < at) {
            return None;
        }
        self.push_due = None;
        self.last_push = Some(now);
        // What does not fit one datagram is told of by its version only.
        let parts = split_list(std::mem::take(&mut self.push_items));
        Some(parts.into_iter().next().unwrap_or_default())
    }

    pub(crate) fn take_versions(&mut self, members: usize, budget: usize) -> Vec<Interest> {
        let items = &self.items;
        let load = |key| items.get(&key).map(|held| Interest { key, version: held.version() });
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
            self.schedule_fetch();
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
            self.push_items.push(item);
        }
    }

    /// Sends a gate all that it lacks.
    pub(crate) fn send_missing_items(&mut self, link: LinkHandle, out: &mut Vec<PeersOutput>) {
        let mut items = Vec::new();
        for (key, held) in &self.items {
            items.extend(self.links.send(link, *key, held));
        }
        send_items(link, items, out);
    }

    /// Answers a message of a connection with what its sender lacks.
    pub(crate) fn handle_want(
        &self,
        link: LinkHandle,
        have: &[Interest],
        out: &mut Vec<PeersOutput>,
    ) {
        send_items(link, self.newer_than(have), out);
    }
}
