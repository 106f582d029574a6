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

/// How long the store may hold a watch open.
const WATCH_WAIT: Duration = Duration::from_secs(20);
/// Time beyond a call's own wait after which its reply counts as lost.
const REPLY_TIMEOUT: Duration = Duration::from_secs(10);
/// Pause between two watches, which batches changes.
const WATCH_PAUSE: Duration = Duration::from_millis(50);
/// Pause between two watches of the terms. It is longer since every keeper renews its term every
/// few seconds.
const TERM_WATCH_PAUSE: Duration = Duration::from_millis(500);
/// Pause between two watches of a store that replies at once instead of waiting for changes.
const POLL_PAUSE: Duration = Duration::from_millis(200);
/// First backoff after a failed call or a stale reply; doubles with each further one.
const FIRST_BACKOFF: Duration = Duration::from_millis(200);
/// Maximum backoff, before jitter.
const MAX_BACKOFF: Duration = Duration::from_secs(5);
/// Time without a message from any peer after which the node reads the store itself.
const PEER_SILENCE_TIMEOUT: Duration = Duration::from_secs(5);
/// Time between two lists by a node that doesn't watch and whose peers are silent.
const LIST_PERIOD_ALONE: Duration = Duration::from_secs(5);

/// Identifies a store call of a [`StoreWatch`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WatchCallId(pub u64);

/// An action or event of a [`StoreWatch`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WatchOutput {
    /// Calls the store; the result goes to [`StoreWatch::handle_reply`].
    Call {
        /// The call's identifier.
        id: WatchCallId,
        /// The request.
        request: StoreRequest,
    },
    /// An object was written or deleted, at a higher revision than any known for it.
    Changed(Change),
}

/// Follows the changes of the store's objects under some prefixes.
///
/// A node that watches a prefix lists it once and then waits for changes. A node that doesn't
/// watch relies on its peers and lists the prefix only while they are silent.
#[derive(Debug)]
pub struct StoreWatch {
    prefixes: Vec<PrefixWatch>,
    last_peer_contact: Time,
    next_id: u64,
    stale_count: u64,
    rng: SmallRng,
}

/// The watch of one prefix.
#[derive(Debug)]
struct PrefixWatch {
    prefix: &'static str,
    watching: bool,
    known_objects: BTreeMap<ObjectKey, KnownObject>,
    /// The revision up to which all changes are known, or `None` if a list is needed.
    since: Option<Revision>,
    /// The highest revision of an applied reply. A list below it is stale.
    highest_revision: Revision,
    call: Option<PendingCall>,
    next_call: Time,
    failures: u32,
}

#[derive(Debug, Clone, Copy)]
struct KnownObject {
    revision: Revision,
    exists: bool,
}

#[derive(Debug, Clone, Copy)]
struct PendingCall {
    id: WatchCallId,
    /// Whether the call waits for changes instead of listing the prefix.
    is_watch: bool,
    sent: Time,
    times_out_at: Time,
}

impl StoreWatch {
    /// Creates a watch of `prefixes` for a node that watches none of them yet.
    pub fn new(prefixes: &[&'static str], seed: u64, now: Time) -> StoreWatch {
        StoreWatch {
            prefixes: prefixes.iter().map(|prefix| PrefixWatch::new(prefix, now)).collect(),
            last_peer_contact: now,
            next_id: 0,
            stale_count: 0,
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// Sets whether this node watches a prefix; ignores a prefix not passed to [`StoreWatch::new`].
    pub fn set_watching(&mut self, now: Time, prefix: &str, watching: bool) {
        let found = self.prefixes.iter_mut().find(|watch| watch.prefix == prefix);
        if let Some(watch) = found
            && watch.watching != watching
        {
            watch.watching = watching;
            // Changes may have been missed while the node didn't watch, hence the list. The reply
            // to a call in flight is ignored.
            watch.next_call = watch.next_call.min(now);
            watch.since = None;
            watch.call = None;
        }
    }

    /// Records that a message of a peer was received.
    pub fn record_peer_contact(&mut self, now: Time) {
        self.last_peer_contact = now;
    }

    /// Records an object received from a peer. Older versions from the store are then dropped.
    pub fn record_peer_object(&mut self, key: &ObjectKey, revision: Revision, exists: bool) {
        let covers = |watch: &&mut PrefixWatch| key.as_str().starts_with(watch.prefix);
        if let Some(watch) = self.prefixes.iter_mut().find(covers) {
            watch.record_known(key, KnownObject { revision, exists });
        }
    }

    /// Returns the number of objects and replies dropped because a newer revision was known.
    pub fn stale_count(&self) -> u64 {
        self.stale_count
    }

    /// Returns when the next tick is due, or `None` without prefixes.
    pub fn next_deadline(&self) -> Option<Time> {
        let peers_silent_at = self.last_peer_contact + PEER_SILENCE_TIMEOUT;
        self.prefixes.iter().map(|watch| watch.next_deadline(peers_silent_at)).min()
    }

    /// Times out lost calls and starts the calls that are due.
    pub fn tick(&mut self, now: Time, out: &mut Vec<WatchOutput>) {
        let peers_silent = now >= self.last_peer_contact + PEER_SILENCE_TIMEOUT;
        for watch in &mut self.prefixes {
            if watch.call.is_some_and(|call| now >= call.times_out_at) {
                watch.call = None;
                watch.back_off(now, &mut self.rng);
            }
            let due = watch.call.is_none() && now >= watch.next_call;
            if due && (watch.watching || peers_silent) {
                self.next_id += 1;
                watch.start_call(now, WatchCallId(self.next_id), out);
            }
        }
    }

    /// Applies the result of a call; drops the result of a call that is no longer in flight.
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
        let (stale_before, outputs_before) = (self.stale_count, out.len());
        match result {
            Ok(StoreReply::Objects(body)) => self.stale_count += watch.apply_list(body, out),
            Ok(StoreReply::Changes(body)) => self.stale_count += watch.apply_changes(body, out),
            _ => {
                watch.back_off(now, &mut self.rng);
                return;
            }
        }
        if self.stale_count != stale_before {
            watch.back_off(now, &mut self.rng);
            return;
        }
        watch.failures = 0;
        let empty = out.len() == outputs_before;
        let returned_early = call.is_watch && empty && now.since(call.sent) < WATCH_WAIT / 2;
        watch.next_call = now + if returned_early { POLL_PAUSE } else { watch.pause() };
    }
}

impl PrefixWatch {
    fn new(prefix: &'static str, now: Time) -> PrefixWatch {
        PrefixWatch {
            prefix,
            watching: false,
            known_objects: BTreeMap::new(),
            since: None,
            highest_revision: Revision(0),
            call: None,
            next_call: now,
            failures: 0,
        }
    }

    fn next_deadline(&self, peers_silent_at: Time) -> Time {
        if let Some(call) = self.call {
            return call.times_out_at;
        }
        if self.watching { self.next_call } else { self.next_call.max(peers_silent_at) }
    }

    fn pause(&self) -> Duration {
        match (self.watching, self.prefix) {
            (false, _) => LIST_PERIOD_ALONE,
            (true, ObjectKey::TERMS) => TERM_WATCH_PAUSE,
            (true, _) => WATCH_PAUSE,
        }
    }

    fn start_call(&mut self, now: Time, id: WatchCallId, out: &mut Vec<WatchOutput>) {
        let prefix = self.prefix.to_owned();
        let (request, wait) = match self.since {
            Some(since) if self.watching => {
                (StoreRequest::Watch { prefix, since, wait: WATCH_WAIT }, WATCH_WAIT)
            }
            _ => (StoreRequest::List { prefix }, Duration::ZERO),
        };
        let times_out_at = now + wait + REPLY_TIMEOUT;
        self.call = Some(PendingCall { id, is_watch: !wait.is_zero(), sent: now, times_out_at });
        out.push(WatchOutput::Call { id, request });
    }

    fn back_off(&mut self, now: Time, rng: &mut SmallRng) {
        let factor = 1 << self.failures.min(8);
        self.failures = self.failures.saturating_add(1);
        let pause = (FIRST_BACKOFF * factor).min(MAX_BACKOFF);
        self.next_call = now + pause.mul_f64(rng.random_range(0.75..1.25));
    }

    /// Applies a list of all objects under the prefix; returns how many of them were stale.
    fn apply_list(&mut self, body: ObjectsBody, out: &mut Vec<WatchOutput>) -> u64 {
        if body.revision < self.highest_revision {
            return 1;
        }
        let deleted: Vec<ObjectKey> = self
            .known_objects
            .iter()
            .filter(|(_, known)| known.exists && known.revision < body.revision)
            .filter(|(key, _)| !body.objects.iter().any(|object| object.key == **key))
            .map(|(key, _)| key.clone())
            .collect();
        let mut stale = 0;
        for object in body.objects {
            let change =
                Change { key: object.key, revision: object.revision, body: Some(object.body) };
            stale += self.apply_change(change, out);
        }
        for key in deleted {
            // The list shows that the object was deleted, but not at which revision.
            stale += self.apply_change(Change { key, revision: body.revision, body: None }, out);
        }
        self.advance(body.revision);
        stale
    }

    fn apply_changes(&mut self, body: ChangesBody, out: &mut Vec<WatchOutput>) -> u64 {
        if body.compacted {
            self.since = None;
            return 0;
        }
        if self.since.is_some_and(|since| body.revision < since) {
            return 1;
        }
        let stale = body.changes.into_iter().map(|change| self.apply_change(change, out)).sum();
        self.advance(body.revision);
        stale
    }

    /// Applies one change; returns 1 if it is stale and 0 otherwise.
    fn apply_change(&mut self, change: Change, out: &mut Vec<WatchOutput>) -> u64 {
        let known = self.known_objects.get(&change.key).map(|known| known.revision);
        if known.is_some_and(|known| known >= change.revision) {
            return u64::from(known > Some(change.revision));
        }
        let current = KnownObject { revision: change.revision, exists: change.body.is_some() };
        self.known_objects.insert(change.key.clone(), current);
        out.push(WatchOutput::Changed(change));
        0
    }

    fn record_known(&mut self, key: &ObjectKey, object: KnownObject) {
        let known = self.known_objects.get(key);
        if known.is_none_or(|known| known.revision < object.revision) {
            self.known_objects.insert(key.clone(), object);
        }
    }

    fn advance(&mut self, revision: Revision) {
        self.since = Some(revision);
        self.highest_revision = self.highest_revision.max(revision);
    }
}

/// Converts a change of configuration to an item, or returns `None` for other objects.
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

/// Returns the key of a configuration item's object, or `None` for routes.
pub fn object_key_from_item(item: ItemKey) -> Option<ObjectKey> {
    match item {
        ItemKey::Document(service) => Some(ObjectKey::service(service)),
        ItemKey::Zone(zone) => Some(ObjectKey::zone(zone)),
        ItemKey::Routes(..) => None,
    }
}
