use std::collections::VecDeque;
use std::time::Duration;

use bay_time::Time;
use bay_types::{Revision, ServerName, Term};

use crate::{FeedState, ReassemblyBuffer, ServerEntry, ServerUpdate, StoreRead};

/// The store's documents as the granter sends them to this router.
///
/// The granter reads the store for all routers. A router reads it itself only while it has no
/// recent state from the granter, so the store's load doesn't grow with the number of routers.
#[derive(Debug, Default)]
pub struct GranterFeed {
    last_heartbeat: Option<ReceivedState>,
    /// Versions of the configuration that heartbeats have named, oldest first.
    announced_configs: VecDeque<AnnouncedConfig>,
    /// Term and sequence of the last update of servers that was applied.
    applied: Option<(Term, u64)>,
    /// When a granter last read the store and had no later update of servers than the last one applied.
    servers_current_at: Option<Time>,
    /// When a heartbeat first showed that updates are missing; `None` while there are none.
    behind_since: Option<Time>,
    /// Received parts of a full list of servers.
    parts: ReassemblyBuffer<(Term, u64), ServerUpdate>,
}

#[derive(Debug, Clone)]
struct ReceivedState {
    at: Time,
    term: Term,
    state: FeedState,
}

/// A version of the configuration that heartbeats have named.
#[derive(Debug)]
struct AnnouncedConfig {
    version: u64,
    /// When the first heartbeat named it; `None` for the version that was in force before.
    announced_at: Option<Time>,
    /// When a granter last read the store and had no later version.
    current_at: Time,
}

/// The servers of a full list, with the revision of each entry.
pub type ServerList = Vec<(ServerName, Revision, ServerEntry)>;

/// Effect of an update of servers.
#[derive(Debug, Clone, PartialEq)]
pub enum UpdateOutcome {
    /// No effect: the update is a duplicate, or parts of its list are missing.
    Unchanged,
    /// The changes to apply, in order; an entry of `None` is a removal.
    Changes(Vec<(ServerName, Revision, Option<ServerEntry>)>),
    /// The complete list that replaces the known servers.
    FullList(ServerList),
    /// Earlier changes are missing; the full list must be requested.
    Gap,
}

impl GranterFeed {
    /// Time without a heartbeat after which the servers are read from the store.
    const SERVERS_TIMEOUT: Duration = Duration::from_millis(700);
    /// Versions of the configuration that are remembered.
    const MAX_ANNOUNCED: usize = 64;
    /// Time for which updates that are missing may arrive from the granter or a relay before the
    /// documents are read from the store.
    const MAX_BEHIND: Duration = Duration::from_millis(500);
    /// Time without a heartbeat after which the other documents, which change rarely, are read
    /// from the store.
    const TIMEOUT: Duration = Duration::from_millis(1_200);
    /// Age of the granter's last read of the store up to which its state is used instead. With a poll
    /// and a read of the store it stays below the two seconds within which a document must be in
    /// force.
    const MAX_AGE: Duration = Duration::from_millis(1_500);

    /// Records the state in a granter's heartbeat.
    ///
    /// Returns whether this router lacks updates of servers and must request the full list.
    pub fn handle_heartbeat(&mut self, now: Time, term: Term, state: FeedState) -> bool {
        let age = Duration::from_millis(u64::from(state.age_ms));
        self.record_config(now, now - age, state.config_version);
        let is_behind = self.applied != Some((term, state.server_sequence));
        self.behind_since = is_behind.then(|| self.behind_since.unwrap_or(now));
        self.last_heartbeat = Some(ReceivedState { at: now, term, state });
        self.update_servers_current();
        is_behind
    }

    /// Notes up to when the servers are current, if the last heartbeat shows that none is missing.
    fn update_servers_current(&mut self) {
        let Some(received) = &self.last_heartbeat else {
            return;
        };
        if self.applied == Some((received.term, received.state.server_sequence)) {
            let read_at = received.at - received.age(received.at);
            self.servers_current_at = self.servers_current_at.max(Some(read_at));
        }
    }

    /// Returns whether the granter's state is recent and all of its server updates were applied.
    pub fn has_current_servers(&self, now: Time) -> bool {
        self.last_heartbeat.as_ref().is_some_and(|received| {
            received.is_recent(now, GranterFeed::SERVERS_TIMEOUT)
                && self.applied == Some((received.term, received.state.server_sequence))
        })
    }

    /// Returns the last state that the granter has sent and the age of its last read of the store,
    /// whether recent or not.
    pub fn last_state(&self, now: Time) -> Option<(&FeedState, Duration)> {
        self.last_heartbeat.as_ref().map(|received| (&received.state, received.age(now)))
    }

    /// Returns whether entries of servers may have lapsed in an outage of the store that has ended now;
    /// `last_failure` is when a call of this router last failed.
    ///
    /// They have not if a granter has read the store since: it was back earlier, or had refused only this
    /// router, which has not called it again.
    pub fn may_have_lapsed(&self, last_failure: Option<Time>) -> bool {
        let received = self.last_heartbeat.as_ref();
        let read_at = received.map(|received| received.at - received.age(received.at));
        read_at.is_none_or(|read_at| last_failure.is_some_and(|failed_at| failed_at >= read_at))
    }

    /// Returns whether a heartbeat with a state has arrived.
    pub fn has_heartbeat(&self) -> bool {
        self.last_heartbeat.is_some()
    }

    /// Records that a heartbeat names a version of the configuration, read at `current_at`.
    fn record_config(&mut self, now: Time, current_at: Time, version: u64) {
        match self.announced_configs.back_mut() {
            Some(last) if last.version > version => {}
            Some(last) if last.version == version => {
                last.current_at = last.current_at.max(current_at);
            }
            last => {
                let announced_at = last.is_some().then_some(now);
                let announced = AnnouncedConfig { version, announced_at, current_at };
                self.announced_configs.push_back(announced);
            }
        }
        if self.announced_configs.len() > GranterFeed::MAX_ANNOUNCED {
            self.announced_configs.pop_front();
        }
    }

    /// Returns what this router must read to have the configuration in force; `known` is the version
    /// that it has.
    pub fn config_read(&self, now: Time, known: Option<u64>) -> StoreRead {
        let Some(state) = self.state(now) else {
            return StoreRead::Watch;
        };
        let may_arrive = known.is_some_and(|known| self.awaits_config(now, known));
        match known >= Some(state.config_version) || may_arrive {
            true => StoreRead::Skip,
            false => StoreRead::List,
        }
    }

    /// Returns whether the granter may still send a configuration that this router lacks.
    ///
    /// `known` is the version in force here. One that was in force before the first heartbeat is
    /// not sent. A new granter names a version that its predecessor could not read, so the wait also
    /// ends once `known` has not been current for a while.
    pub fn awaits_config(&self, now: Time, known: u64) -> bool {
        let missing = self.announced_configs.iter().position(|config| config.version > known);
        let Some(missing) = missing.filter(|index| *index > 0) else {
            return false;
        };
        let announced_at = self.announced_configs[missing].announced_at;
        let current_at = self.announced_configs[missing - 1].current_at;
        announced_at.is_some_and(|at| now.since(at) < GranterFeed::MAX_BEHIND)
            && now.since(current_at) < GranterFeed::MAX_AGE
    }

    /// Returns whether the granter is known to have updates that this router lacks, and may still
    /// send them before the router has to read the store.
    pub fn awaits_servers(&self, now: Time) -> bool {
        let is_recent = self
            .last_heartbeat
            .as_ref()
            .is_some_and(|received| received.is_recent(now, GranterFeed::SERVERS_TIMEOUT));
        let is_short = |since| now.since(since) < GranterFeed::MAX_BEHIND;
        // A new granter may lack updates that its predecessor could not read either.
        let is_bounded = |at| now.since(at) < GranterFeed::MAX_AGE;
        is_recent
            && self.applied.is_some()
            && self.behind_since.is_none_or(is_short)
            && self.servers_current_at.is_none_or(is_bounded)
    }

    /// Returns the version of the servers that were received, if they are current.
    ///
    /// A relay with this version can send the full list in the granter's place.
    pub fn current_servers(&self, now: Time) -> Option<(Term, u64)> {
        self.applied.filter(|_| self.has_current_servers(now))
    }

    /// Returns the granter's state if it is recent enough to replace the store.
    pub fn state(&self, now: Time) -> Option<&FeedState> {
        let received = self
            .last_heartbeat
            .as_ref()
            .filter(|received| received.is_recent(now, GranterFeed::TIMEOUT))?;
        Some(&received.state)
    }

    /// Processes an update of servers; returns what the caller has to apply.
    pub fn apply_update(&mut self, update: ServerUpdate) -> UpdateOutcome {
        let Some((part, part_count)) = update.part else {
            return self.apply_changes(update);
        };
        let version = (update.term, update.sequence);
        let Some(all) = self.parts.insert(version, part, part_count, update) else {
            return UpdateOutcome::Unchanged;
        };
        self.applied = Some(version);
        self.update_servers_current();
        let servers = all.into_iter();
        let servers = servers.flat_map(|update| update.servers);
        let with_entry =
            |(name, revision, entry): (_, _, Option<_>)| Some((name, revision, entry?));
        UpdateOutcome::FullList(servers.filter_map(with_entry).collect())
    }

    /// Accepts changes that directly follow the last ones.
    fn apply_changes(&mut self, update: ServerUpdate) -> UpdateOutcome {
        match self.applied {
            Some((term, sequence)) if term == update.term && sequence + 1 == update.sequence => {
                self.applied = Some((term, update.sequence));
                self.update_servers_current();
                UpdateOutcome::Changes(update.servers)
            }
            Some((term, sequence)) if term == update.term && sequence >= update.sequence => {
                UpdateOutcome::Unchanged
            }
            _ => UpdateOutcome::Gap,
        }
    }
}

impl ReceivedState {
    /// Returns the time since the granter's last read of the store.
    fn age(&self, now: Time) -> Duration {
        Duration::from_millis(u64::from(self.state.age_ms)) + now.since(self.at)
    }

    /// Returns whether the heartbeat and the granter's read behind it are recent.
    fn is_recent(&self, now: Time, timeout: Duration) -> bool {
        now.since(self.at) < timeout && self.age(now) < GranterFeed::MAX_AGE
    }
}
