use std::collections::BTreeMap;
use std::time::Duration;

use bay_store::{
    Change, ChangesBody, ObjectKey, ObjectsBody, StoreReply, StoreRequest, StoreResult,
};
use bay_time::Time;
use bay_types::{Revision, ServiceName, ZoneName};
use bay_wire::{Item, ItemKey, ItemVersion};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

/// Time that the store holds a watch open.
const WATCH_WAIT: Duration = Duration::from_secs(20);
/// Time after a call's own wait when its answer is taken as lost.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(10);
/// Pause between two watches, in which changes gather.
const WATCH_PAUSE: Duration = Duration::from_millis(50);
/// Pause between two watches of the terms, which every keeper renews every few seconds.
const TERM_WATCH_PAUSE: Duration = Duration::from_millis(500);
/// Pause between two watches of a store that answers at once instead of waiting for changes.
const POLL_PAUSE: Duration = Duration::from_millis(200);
/// First pause after a call without a useful answer; it doubles with each further one.
const FIRST_BACKOFF: Duration = Duration::from_millis(200);
/// Longest pause after a call without a useful answer.
const MAX_BACKOFF: Duration = Duration::from_secs(5);
/// Time after which silent peers are no longer relied on.
const PEERS_SILENT: Duration = Duration::from_secs(5);
/// Time between two readings of a node whose peers are silent.
const READ_ALONE: Duration = Duration::from_secs(5);

/// Numbers the calls of a [`StoreWatch`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WatchCallId(pub u64);

/// Something that a [`StoreWatch`] asks for or tells.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WatchOutput {
    /// Calls the store; the answer goes to [`StoreWatch::handle_reply`].
    Call {
        /// The call.
        id: WatchCallId,
        /// What to call.
        request: StoreRequest,
    },
    /// An object was written or deleted; its revision is higher than any known before.
    Changed(Change),
}

/// Follows the store's objects under some prefixes.
///
/// A node that watches lists a prefix once and then waits for changes. A node that does not watch
/// relies on its peers, and reads for itself only when they are silent.
#[derive(Debug)]
pub struct StoreWatch {
    prefixes: Vec<PrefixWatch>,
    peers_heard: Time,
    next_id: u64,
    stale: u64,
    rng: SmallRng,
}

/// One prefix.
#[derive(Debug)]
struct PrefixWatch {
    prefix: &'static str,
    watching: bool,
    known: BTreeMap<ObjectKey, Known>,
    /// The revision up to which the changes are known, or `None` if a list is needed.
    since: Option<Revision>,
    highest: Revision,
    call: Option<PendingCall>,
    next_call: Time,
    failures: u32,
}

#[derive(Debug, Clone, Copy)]
struct Known {
    revision: Revision,
    exists: bool,
}

#[derive(Debug, Clone, Copy)]
struct PendingCall {
    id: WatchCallId,
    watch: bool,
    made: Time,
    lost_at: Time,
}

impl StoreWatch {
    /// A node that does not watch yet.
    pub fn new(prefixes: &[&'static str], seed: u64, now: Time) -> StoreWatch {
        StoreWatch {
            prefixes: prefixes.iter().map(|prefix| PrefixWatch::new(prefix, now)).collect(),
            peers_heard: now,
            next_id: 0,
            stale: 0,
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// Sets whether this node watches a prefix.
    pub fn set_watching(&mut self, now: Time, prefix: &str, watching: bool) {
        let found = self.prefixes.iter_mut().find(|watch| watch.prefix == prefix);
        if let Some(watch) = found
            && watch.watching != watching
        {
            watch.watching = watching;
            // Changes may have been missed while the node did not watch, so that it lists; an
            // answer to an earlier call comes too late.
            watch.next_call = watch.next_call.min(now);
            watch.since = None;
            watch.call = None;
        }
    }

    /// Notes that a peer was heard.
    pub fn record_peer_contact(&mut self, now: Time) {
        self.peers_heard = now;
    }

    /// Notes an object that came from a peer, so that an older one of the store is dropped.
    pub fn record_peer_object(&mut self, key: &ObjectKey, revision: Revision, exists: bool) {
        let covers = |watch: &&mut PrefixWatch| key.as_str().starts_with(watch.prefix);
        if let Some(watch) = self.prefixes.iter_mut().find(covers) {
            watch.learn(key, Known { revision, exists });
        }
    }

    /// How many objects and answers were older than what is known, and dropped.
    pub fn stale_count(&self) -> u64 {
        self.stale
    }

    /// The time of the next tick.
    pub fn next_deadline(&self) -> Option<Time> {
        let alone = self.peers_heard + PEERS_SILENT;
        self.prefixes.iter().map(|watch| watch.next_deadline(alone)).min()
    }

    /// Makes the calls that are due.
    pub fn tick(&mut self, now: Time, out: &mut Vec<WatchOutput>) {
        let alone = now >= self.peers_heard + PEERS_SILENT;
        for watch in &mut self.prefixes {
            if watch.call.is_some_and(|call| now >= call.lost_at) {
                watch.call = None;
                watch.back_off(now, &mut self.rng);
            }
            let due = watch.call.is_none() && now >= watch.next_call;
            if due && (watch.watching || alone) {
                self.next_id += 1;
                watch.make_call(now, WatchCallId(self.next_id), out);
            }
        }
    }

    /// Takes the answer to a call; one that came too late is dropped.
    pub fn handle_reply(
        &mut self,
        now: Time,
        id: WatchCallId,
        result: StoreResult,
        out: &mut Vec<WatchOutput>,
    ) {
        let is_call = |watch: &&mut PrefixWatch| watch.call.is_some_and(|call| call.id == id);
        let Some(watch) = self.prefixes.iter_mut().find(is_call) else {
            return;
        };
        let Some(call) = watch.call.take() else {
            return;
        };
        let (stale_before, brought_before) = (self.stale, out.len());
        match result {
            Ok(StoreReply::Objects(body)) => self.stale += watch.take_list(body, out),
            Ok(StoreReply::Changes(body)) => self.stale += watch.take_changes(body, out),
            _ => {
                watch.back_off(now, &mut self.rng);
                return;
            }
        }
        if self.stale != stale_before {
            watch.back_off(now, &mut self.rng);
            return;
        }
        watch.failures = 0;
        let empty = out.len() == brought_before;
        let early = call.watch && empty && now.since(call.made) < WATCH_WAIT / 2;
        watch.next_call = now + if early { POLL_PAUSE } else { watch.pause() };
    }
}

impl PrefixWatch {
    fn new(prefix: &'static str, now: Time) -> PrefixWatch {
        PrefixWatch {
            prefix,
            watching: false,
            known: BTreeMap::new(),
            since: None,
            highest: Revision(0),
            call: None,
            next_call: now,
            failures: 0,
        }
    }

    fn next_deadline(&self, alone: Time) -> Time {
        if let Some(call) = self.call {
            return call.lost_at;
        }
        if self.watching { self.next_call } else { self.next_call.max(alone) }
    }

    fn pause(&self) -> Duration {
        match (self.watching, self.prefix) {
            (false, _) => READ_ALONE,
            (true, ObjectKey::TERMS) => TERM_WATCH_PAUSE,
            (true, _) => WATCH_PAUSE,
        }
    }

    fn make_call(&mut self, now: Time, id: WatchCallId, out: &mut Vec<WatchOutput>) {
        let prefix = self.prefix.to_owned();
        let (request, wait) = match self.since {
            Some(since) if self.watching => {
                (StoreRequest::Watch { prefix, since, wait: WATCH_WAIT }, WATCH_WAIT)
            }
            _ => (StoreRequest::List { prefix }, Duration::ZERO),
        };
        let lost_at = now + wait + ANSWER_TIMEOUT;
        self.call = Some(PendingCall { id, watch: !wait.is_zero(), made: now, lost_at });
        out.push(WatchOutput::Call { id, request });
    }

    fn back_off(&mut self, now: Time, rng: &mut SmallRng) {
        let factor = 1 << self.failures.min(8);
        self.failures = self.failures.saturating_add(1);
        let pause = (FIRST_BACKOFF * factor).min(MAX_BACKOFF);
        self.next_call = now + pause.mul_f64(rng.random_range(0.75..1.25));
    }

    /// Takes the objects under the prefix; returns how many were stale.
    fn take_list(&mut self, body: ObjectsBody, out: &mut Vec<WatchOutput>) -> u64 {
        if body.revision < self.highest {
            return 1;
        }
        let gone: Vec<ObjectKey> = self
            .known
            .iter()
            .filter(|(_, known)| known.exists && known.revision < body.revision)
            .filter(|(key, _)| !body.objects.iter().any(|object| object.key == **key))
            .map(|(key, _)| key.clone())
            .collect();
        let mut stale = 0;
        for object in body.objects {
            let change =
                Change { key: object.key, revision: object.revision, body: Some(object.body) };
            stale += self.take(change, out);
        }
        for key in gone {
            // The list shows that the object was deleted, though not at which revision.
            stale += self.take(Change { key, revision: body.revision, body: None }, out);
        }
        self.advance(body.revision);
        stale
    }

    fn take_changes(&mut self, body: ChangesBody, out: &mut Vec<WatchOutput>) -> u64 {
        if body.compacted {
            self.since = None;
            return 0;
        }
        if self.since.is_some_and(|since| body.revision < since) {
            return 1;
        }
        let stale = body.changes.into_iter().map(|change| self.take(change, out)).sum();
        self.advance(body.revision);
        stale
    }

    /// Takes one change; returns 1 if it is stale.
    fn take(&mut self, change: Change, out: &mut Vec<WatchOutput>) -> u64 {
        let known = self.known.get(&change.key).map(|known| known.revision);
        if known.is_some_and(|known| known >= change.revision) {
            return u64::from(known > Some(change.revision));
        }
        let now = Known { revision: change.revision, exists: change.body.is_some() };
        self.known.insert(change.key.clone(), now);
        out.push(WatchOutput::Changed(change));
        0
    }

    fn learn(&mut self, key: &ObjectKey, learned: Known) {
        let known = self.known.get(key);
        if known.is_none_or(|known| known.revision < learned.revision) {
            self.known.insert(key.clone(), learned);
        }
    }

    fn advance(&mut self, revision: Revision) {
        self.since = Some(revision);
        self.highest = self.highest.max(revision);
    }
}

/// The item that a change of configuration makes, or `None` for other objects.
pub fn item_from_change(change: &Change) -> Option<Item> {
    let key = change.key.as_str();
    let item = if let Some(name) = key.strip_prefix(ObjectKey::SERVICES) {
        ItemKey::Document(ServiceName::new(name).ok()?)
    } else {
        let name = key.strip_prefix(ObjectKey::ZONES)?;
        ItemKey::Zone(ZoneName::new(name).ok()?)
    };
    let version = ItemVersion { major: change.revision.0, minor: 0 };
    let body = change.body.clone().unwrap_or_default().into_bytes();
    Some(Item { key: item, version, base: None, body })
}

/// The key of the object from which an item of configuration was made.
pub fn object_key_from_item(item: ItemKey) -> Option<ObjectKey> {
    match item {
        ItemKey::Document(service) => Some(ObjectKey::service(service)),
        ItemKey::Zone(zone) => Some(ObjectKey::zone(zone)),
        ItemKey::Routes(..) => None,
    }
}
