use std::time::Duration;

use bay_time::Time;

use crate::FeedState;

/// Progress of the feed of documents that a router sends to the others as the granter.
#[derive(Debug, Default)]
pub struct FeedPublisher {
    /// Sequence number of the last update of servers in this term.
    sequence: u64,
    /// Time of the last read of the servers from the store.
    servers_read_at: Option<Time>,
    /// Time of the last read of the configuration. It stays when the term changes: the watch that
    /// follows a read reports changes at once.
    config_read_at: Option<Time>,
    /// Time of the last read of the zones that are out of service. It stays, too.
    zones_read_at: Option<Time>,
    /// Newest version of the configuration that the other routers were sent or told of; `None` if it
    /// is unknown.
    published_config: Option<u64>,
}

impl FeedPublisher {
    /// Age of the last read of the zones up to which they are known: the longest wait of a watch, and
    /// a second for its reply.
    const MAX_ZONES_AGE: Duration = Duration::from_secs(3);

    /// Starts again for a new term. The previous granter has told the other routers of
    /// `published_config`.
    pub fn reset(&mut self, published_config: Option<u64>) {
        let FeedPublisher { config_read_at, zones_read_at, .. } = *self;
        *self = FeedPublisher {
            config_read_at,
            zones_read_at,
            published_config,
            ..FeedPublisher::default()
        };
    }

    /// Returns whether a version of the configuration has to be sent to the other routers.
    ///
    /// The first version of a router that has heard of no granter has not: routers that start read the
    /// configuration themselves.
    pub fn must_send_config(&mut self, version: u64) -> bool {
        *self.published_config.get_or_insert(version) < version
    }

    /// Records that a version of the configuration was sent to the other routers.
    pub fn record_config_sent(&mut self, version: u64) {
        self.published_config = Some(version);
    }

    /// Records a read of the servers from the store.
    pub fn record_servers_read(&mut self, now: Time) {
        self.servers_read_at = Some(now);
    }

    /// Records a read of the configuration.
    pub fn record_config_read(&mut self, now: Time) {
        self.config_read_at = Some(now);
    }

    /// Records a read of the zones that are out of service.
    pub fn record_zones_read(&mut self, now: Time) {
        self.zones_read_at = Some(now);
    }

    /// Returns whether the zones that are out of service were read after `at`.
    pub fn has_read_zones_since(&self, at: Time) -> bool {
        self.zones_read_at.is_some_and(|read| read >= at)
    }

    /// Returns the sequence number of the next update of servers.
    pub fn next_sequence(&mut self) -> u64 {
        self.sequence += 1;
        self.sequence
    }

    /// Returns the sequence number of the last update, once the servers were read in this term.
    pub fn servers_sequence(&self) -> Option<u64> {
        self.servers_read_at.map(|_| self.sequence)
    }

    /// Fills in the age and the sequence of the feed for a heartbeat; `None` until all documents were
    /// read. The rest of `documents` is what this router knows.
    ///
    /// The age is that of the least recent read, as a heartbeat vouches for all documents. Zones count
    /// once they are older than the longest wait of their watch.
    pub fn state(&self, now: Time, documents: FeedState) -> Option<FeedState> {
        let zones_age = now.since(self.zones_read_at?);
        let read_at = self.servers_read_at?.min(self.config_read_at?);
        let age = match zones_age < FeedPublisher::MAX_ZONES_AGE {
            true => now.since(read_at),
            false => now.since(read_at).max(zones_age),
        };
        let age_ms = age.as_millis() as u32;
        Some(FeedState { age_ms, server_sequence: self.sequence, ..documents })
    }
}
