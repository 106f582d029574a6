mod fetch;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use bay_time::Time;
use bay_wire::{Item, ItemKey, ItemVersion, KeyVersion};

use self::fetch::FETCH_TIMEOUT;
use crate::buckets::Buckets;
use crate::held_item::HeldItem;
use crate::packet::{Outgoing, PacketKind, split_list};
use crate::rumor_queue::{RumorQueue, transmissions};
use crate::spread_links::{SpreadLinks, send_items};
use crate::{LinkHandle, PeerCounts, PeersOutput};

/// Time between two comparisons of all versions.
const COMPARE: Duration = Duration::from_secs(2);
/// Time between two comparisons while news on the datagram may explain the difference.
const COMPARE_BUSY: Duration = Duration::from_secs(5);
/// Datagrams that answer one comparison.
const PACKETS_PER_COMPARISON: usize = 4;
/// Pause before news is sent on, in which it is gathered.
const NEWS_PAUSE: Duration = Duration::from_millis(10);
/// Shortest time between two rounds of news.
const NEWS_SPACING: Duration = Duration::from_millis(250);
/// Longest item that is sent in a datagram, in bytes.
const SMALL_BODY: usize = 600;

/// What an offered item came to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Offered {
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
pub struct Spread {
    items: BTreeMap<ItemKey, HeldItem>,
    buckets: Buckets,
    news: RumorQueue<ItemKey>,
    fresh: Vec<Item>,
    fetches: BTreeMap<ItemKey, Fetch>,
    next_fetch: Option<Time>,
    compared: Option<Time>,
    news_due: Option<Time>,
    last_news: Option<Time>,
    pub(crate) links: SpreadLinks,
    pub(crate) counts: PeerCounts,
}

impl Default for Spread {
    fn default() -> Spread {
        Spread::new()
    }
}

/// An item that a peer was asked for.
#[derive(Debug)]
struct Fetch {
    version: ItemVersion,
    sources: Vec<SocketAddr>,
    asked: Time,
    times_asked: u32,
}

impl Spread {
    /// A spread without items.
    pub fn new() -> Spread {
        Spread {
            items: BTreeMap::new(),
            buckets: Buckets::new(),
            news: RumorQueue::new(),
            fresh: Vec::new(),
            fetches: BTreeMap::new(),
            next_fetch: None,
            compared: None,
            news_due: None,
            last_news: None,
            links: SpreadLinks::new(),
            counts: PeerCounts::default(),
        }
    }

    /// Takes an item from any source, unless it is not newer than what is held.
    pub fn offer(&mut self, item: &Item) -> Offered {
        let offered = self.take(item);
        match offered {
            Offered::Newer => {}
            Offered::Stale => self.counts.stale_items += 1,
            Offered::Gap => self.counts.gaps += 1,
        }
        offered
    }

    /// An item, whole.
    pub fn item(&self, key: ItemKey) -> Option<Item> {
        self.items.get(&key).map(|held| held.whole(key))
    }

    /// The version of an item; the lowest one if it is not known.
    pub fn version(&self, key: ItemKey) -> ItemVersion {
        self.items.get(&key).map(HeldItem::version).unwrap_or_default()
    }

    /// The version of each item.
    pub fn versions(&self) -> impl Iterator<Item = KeyVersion> + '_ {
        self.items.iter().map(|(key, held)| KeyVersion { key: *key, version: held.version() })
    }

    /// The version of each item that is configuration.
    pub(crate) fn configuration(&self) -> Vec<KeyVersion> {
        self.versions().filter(|have| have.key.is_configuration()).collect()
    }

    pub(crate) fn summary(&self) -> u64 {
        self.buckets.summary()
    }

    /// The items that a receiver at these versions lacks.
    pub(crate) fn since(&self, have: &[KeyVersion]) -> Vec<Item> {
        let lacking = |have: &KeyVersion| {
            let held = self.items.get(&have.key);
            held.map(|held| held.since(have.key, have.version)).unwrap_or_default()
        };
        have.iter().flat_map(lacking).collect()
    }

    /// Takes items and tells the driver, the gates and, in time, the peers of what is new.
    /// Returns the keys of which the whole is needed.
    pub(crate) fn on_items(
        &mut self,
        now: Time,
        items: Vec<Item>,
        out: &mut Vec<PeersOutput>,
    ) -> Vec<KeyVersion> {
        let mut gaps = Vec::new();
        for item in items {
            match self.offer(&item) {
                Offered::Newer => self.publish(now, item, out),
                Offered::Stale => {}
                Offered::Gap => {
                    gaps.push(KeyVersion { key: item.key, version: ItemVersion::default() });
                }
            }
        }
        gaps
    }

    /// Hears which versions a peer has and asks it for what is newer; returns whether any is.
    pub(crate) fn on_news(
        &mut self,
        now: Time,
        from: SocketAddr,
        news: &[KeyVersion],
        out: &mut Vec<PeersOutput>,
    ) -> bool {
        let mut wanted = Vec::new();
        let mut newer = false;
        for theirs in news {
            let version = self.version(theirs.key);
            if theirs.version <= version {
                continue;
            }
            newer = true;
            if self.fetch(now, from, *theirs) {
                wanted.push(KeyVersion { key: theirs.key, version });
            }
        }
        self.ask(from, wanted, out);
        newer
    }

    /// Compares all versions with a peer whose hash differs, unless that was done lately.
    pub(crate) fn on_summary(
        &mut self,
        now: Time,
        from: SocketAddr,
        summary: u64,
        explained: bool,
        out: &mut Vec<Outgoing>,
    ) {
        let pause = if explained { COMPARE_BUSY } else { COMPARE };
        let lately = self.compared.is_some_and(|at| now.since(at) < pause);
        if lately || summary == self.summary() {
            return;
        }
        self.compared = Some(now);
        let kind = PacketKind::ItemBuckets(self.buckets.cells().to_vec());
        out.push(Outgoing { to: from, kind });
    }

    /// Answers a comparison.
    pub(crate) fn on_buckets(&self, from: SocketAddr, cells: &[u32], out: &mut Vec<Outgoing>) {
        let differing = |have: &KeyVersion| self.buckets.differs(Buckets::of(&have.key), cells);
        let versions: Vec<KeyVersion> = self.versions().filter(differing).collect();
        for versions in split_list(versions).into_iter().take(PACKETS_PER_COMPARISON) {
            out.push(Outgoing { to: from, kind: PacketKind::ItemVersions(versions) });
        }
    }

    pub(crate) fn next_deadline(&self) -> Option<Time> {
        [self.next_fetch, self.news_due].into_iter().flatten().min()
    }

    /// Asks other peers for what has not come.
    pub(crate) fn tick(&mut self, now: Time, out: &mut Vec<PeersOutput>) {
        if self.next_fetch.is_none_or(|at| now < at) {
            return;
        }
        let late: Vec<ItemKey> = self
            .fetches
            .iter()
            .filter(|(_, fetch)| now.since(fetch.asked) >= FETCH_TIMEOUT)
            .map(|(key, _)| *key)
            .collect();
        for key in late {
            self.ask_next(now, key, out);
        }
        self.set_next_fetch();
    }

    /// Takes the small items to send to a few peers at once, if a round of news is due.
    pub(crate) fn take_round(&mut self, now: Time) -> Option<Vec<Item>> {
        if self.news_due.is_none_or(|at| now < at) {
            return None;
        }
        self.news_due = None;
        self.last_news = Some(now);
        // What does not fit one datagram is told of by its version only.
        let parts = split_list(std::mem::take(&mut self.fresh));
        Some(parts.into_iter().next().unwrap_or_default())
    }

    pub(crate) fn take_news(&mut self, members: usize, budget: usize) -> Vec<KeyVersion> {
        let items = &self.items;
        let load = |key| items.get(&key).map(|held| KeyVersion { key, version: held.version() });
        self.news.take(transmissions(members), budget, load)
    }

    fn take(&mut self, item: &Item) -> Offered {
        let held = self.items.get_mut(&item.key);
        let before = held.as_ref().map(|held| held.version());
        if before.is_some_and(|before| before >= item.version) {
            return Offered::Stale;
        }
        let taken = match (item.base, held) {
            (None, _) => {
                HeldItem::new(item).map(|held| self.items.insert(item.key, held)).is_some()
            }
            (Some(base), Some(held)) => held.builds_on(base) && held.apply(item),
            (Some(_), None) => false,
        };
        if !taken {
            return Offered::Gap;
        }
        if let Some(before) = before {
            self.buckets.toggle(&item.key, &before);
        }
        self.buckets.toggle(&item.key, &item.version);
        Offered::Newer
    }

    fn publish(&mut self, now: Time, item: Item, out: &mut Vec<PeersOutput>) {
        let key = item.key;
        if self.fetches.get(&key).is_some_and(|fetch| fetch.version <= item.version) {
            self.fetches.remove(&key);
            self.set_next_fetch();
        }
        self.news.push(key);
        let earliest = self.last_news.map_or(Time::ZERO, |last| last + NEWS_SPACING);
        let due = earliest.max(now + NEWS_PAUSE);
        self.news_due = Some(self.news_due.map_or(due, |at| at.min(due)));
        let Some(held) = self.items.get(&key) else {
            return;
        };
        self.links.push(key, held, out);
        out.push(PeersOutput::ItemChanged(held.whole(key)));
        if item.body.len() <= SMALL_BODY {
            self.fresh.push(item);
        }
    }

    /// Sends a gate all that it lacks.
    pub(crate) fn bring_up_to_date(&mut self, link: LinkHandle, out: &mut Vec<PeersOutput>) {
        let mut items = Vec::new();
        for (key, held) in &self.items {
            items.extend(self.links.send(link, *key, held));
        }
        send_items(link, items, out);
    }

    /// Answers a message of a connection with what its sender lacks.
    pub(crate) fn answer_want(
        &self,
        link: LinkHandle,
        have: &[KeyVersion],
        out: &mut Vec<PeersOutput>,
    ) {
        send_items(link, self.since(have), out);
    }
}
