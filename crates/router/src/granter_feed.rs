use std::time::Duration;

use bay_time::Time;
use bay_types::{Revision, ServerName, Term};

use crate::{FeedState, ReassemblyBuffer, ServerEntry, ServerUpdate};

/// What a router gets of the store's documents from the granter instead of the store.
///
/// One router reads the store and tells the others; each reads it itself only while it hears
/// nothing recent, so that the calls do not grow with the number of routers.
#[derive(Debug, Default)]
pub struct GranterFeed {
    heard: Option<Heard>,
    /// The term and number of the last changes of servers that were applied.
    applied: Option<(Term, u64)>,
    /// The parts of a whole list that have arrived.
    parts: ReassemblyBuffer<(Term, u64), ServerUpdate>,
}

#[derive(Debug, Clone)]
struct Heard {
    at: Time,
    term: Term,
    state: FeedState,
}

/// The servers of a whole list.
pub type ServerList = Vec<(ServerName, Revision, ServerEntry)>;

/// What news of servers lead to.
#[derive(Debug, Clone, PartialEq)]
pub enum UpdateOutcome {
    /// Nothing yet.
    Unchanged,
    /// These changes.
    Changes(Vec<(ServerName, Revision, Option<ServerEntry>)>),
    /// This whole list.
    FullList(ServerList),
    /// Changes are missing, so that the whole list is needed.
    Gap,
}

impl GranterFeed {
    /// Time without a heartbeat after which the servers are read from the store.
    const SERVERS_SILENCE: Duration = Duration::from_millis(700);
    /// The same for the other documents, which change rarely.
    const SILENCE: Duration = Duration::from_millis(1_200);
    /// Age of what the granter has read up to which it stands for the store.
    const FRESH: Duration = Duration::from_millis(1_400);

    /// Takes the state that a granter's heartbeat tells; returns whether the list of servers is
    /// needed.
    pub fn handle_heartbeat(&mut self, now: Time, term: Term, state: FeedState) -> bool {
        let behind = self.applied != Some((term, state.server_sequence));
        self.heard = Some(Heard { at: now, term, state });
        behind
    }

    /// Forgets the granter, such as when this router becomes it.
    pub fn clear(&mut self) {
        *self = GranterFeed::default();
    }

    /// Whether the granter's news of servers stand for the store.
    pub fn has_current_servers(&self, now: Time) -> bool {
        self.heard.as_ref().is_some_and(|heard| {
            heard.is_fresh(now, GranterFeed::SERVERS_SILENCE)
                && self.applied == Some((heard.term, heard.state.server_sequence))
        })
    }

    /// What the granter has read, if that stands for the store.
    pub fn state(&self, now: Time) -> Option<&FeedState> {
        let heard =
            self.heard.as_ref().filter(|heard| heard.is_fresh(now, GranterFeed::SILENCE))?;
        Some(&heard.state)
    }

    /// Takes news of servers.
    pub fn apply_update(&mut self, news: ServerUpdate) -> UpdateOutcome {
        let Some((part, parts)) = news.part else {
            return self.on_changes(news);
        };
        let version = (news.term, news.sequence);
        let Some(all) = self.parts.insert(version, part, parts, news) else {
            return UpdateOutcome::Unchanged;
        };
        self.applied = Some(version);
        let servers = all.into_iter();
        let servers = servers.flat_map(|news| news.servers);
        let listed = |(name, revision, entry): (_, _, Option<_>)| Some((name, revision, entry?));
        UpdateOutcome::FullList(servers.filter_map(listed).collect())
    }

    fn on_changes(&mut self, news: ServerUpdate) -> UpdateOutcome {
        match self.applied {
            Some((term, number)) if term == news.term && number + 1 == news.sequence => {
                self.applied = Some((term, news.sequence));
                UpdateOutcome::Changes(news.servers)
            }
            Some((term, number)) if term == news.term && number >= news.sequence => {
                UpdateOutcome::Unchanged
            }
            _ => UpdateOutcome::Gap,
        }
    }
}

impl Heard {
    fn is_fresh(&self, now: Time, silence: Duration) -> bool {
        let age = Duration::from_millis(u64::from(self.state.age_ms));
        now.since(self.at) < silence && age < GranterFeed::FRESH
    }
}
