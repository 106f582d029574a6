//! Requests for items that peers have announced.

use std::net::SocketAddr;
use std::time::Duration;

use bay_time::Time;
use bay_wire::{ItemKey, KeyVersion, LinkMessage};

use super::{Fetch, ItemTable};
use crate::PeersOutput;

/// Timeout after which the next source is asked for an item.
pub(super) const FETCH_TIMEOUT: Duration = Duration::from_secs(1);
/// Most requests for an item; after that, it is left to the next comparison.
const MAX_REQUESTS: u32 = 8;
/// Most peers remembered as sources of one item.
const MAX_SOURCES: usize = 4;

impl ItemTable {
    /// Records a source of an item; returns whether the caller must request the item from it now.
    pub(super) fn record_source(
        &mut self,
        now: Time,
        from: SocketAddr,
        theirs: KeyVersion,
    ) -> bool {
        if let Some(fetch) = self.fetches.get_mut(&theirs.key) {
            if !fetch.sources.contains(&from) && fetch.sources.len() < MAX_SOURCES {
                fetch.sources.push(from);
            }
            fetch.version = fetch.version.max(theirs.version);
            return false;
        }
        let fetch =
            Fetch { version: theirs.version, sources: vec![from], requested_at: now, attempts: 1 };
        self.fetches.insert(theirs.key, fetch);
        self.update_fetch_timeout();
        true
    }

    pub(super) fn request_from_next_source(
        &mut self,
        now: Time,
        key: ItemKey,
        out: &mut Vec<PeersOutput>,
    ) {
        let Some(fetch) = self.fetches.get_mut(&key) else {
            return;
        };
        if fetch.attempts >= MAX_REQUESTS {
            // The next comparison with a peer finds new sources.
            self.fetches.remove(&key);
            return;
        }
        fetch.attempts += 1;
        fetch.requested_at = now;
        fetch.sources.rotate_left(1);
        let source = fetch.sources[0];
        let version = self.version(key);
        self.request_items(source, vec![KeyVersion { key, version }], out);
    }

    pub(super) fn request_items(
        &mut self,
        to: SocketAddr,
        wanted: Vec<KeyVersion>,
        out: &mut Vec<PeersOutput>,
    ) {
        if wanted.is_empty() {
            return;
        }
        self.counts.wanted += wanted.len() as u64;
        out.push(PeersOutput::Steward { to, message: LinkMessage::RequestItems(wanted) });
    }

    pub(super) fn update_fetch_timeout(&mut self) {
        let earliest = self.fetches.values().map(|fetch| fetch.requested_at).min();
        self.next_fetch_timeout = earliest.map(|requested_at| requested_at + FETCH_TIMEOUT);
    }
}
