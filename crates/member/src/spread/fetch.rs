//! How a node asks its peers for items.

use std::net::SocketAddr;
use std::time::Duration;

use bay_time::Time;
use bay_wire::{ItemKey, KeyVersion, LinkMessage};

use super::{Fetch, Spread};
use crate::PeersOutput;

/// Time that a peer has to send an item before the next one is asked.
pub(super) const FETCH_TIMEOUT: Duration = Duration::from_secs(1);
/// Peers asked for an item before it is left to the next comparison.
const MAX_ASKED: u32 = 8;
/// Peers remembered as sources of one item.
const MAX_SOURCES: usize = 4;

impl Spread {
    /// Notes a source of an item; returns whether it has to be asked now.
    pub(super) fn fetch(&mut self, now: Time, from: SocketAddr, theirs: KeyVersion) -> bool {
        if let Some(fetch) = self.fetches.get_mut(&theirs.key) {
            if !fetch.sources.contains(&from) && fetch.sources.len() < MAX_SOURCES {
                fetch.sources.push(from);
            }
            fetch.version = fetch.version.max(theirs.version);
            return false;
        }
        let fetch =
            Fetch { version: theirs.version, sources: vec![from], asked: now, times_asked: 1 };
        self.fetches.insert(theirs.key, fetch);
        self.set_next_fetch();
        true
    }

    pub(super) fn ask_next(&mut self, now: Time, key: ItemKey, out: &mut Vec<PeersOutput>) {
        let Some(fetch) = self.fetches.get_mut(&key) else {
            return;
        };
        if fetch.times_asked >= MAX_ASKED {
            // The next comparison finds other sources.
            self.fetches.remove(&key);
            return;
        }
        fetch.times_asked += 1;
        fetch.asked = now;
        fetch.sources.rotate_left(1);
        let source = fetch.sources[0];
        let version = self.version(key);
        self.ask(source, vec![KeyVersion { key, version }], out);
    }

    pub(super) fn ask(
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

    pub(super) fn set_next_fetch(&mut self) {
        let earliest = self.fetches.values().map(|fetch| fetch.asked).min();
        self.next_fetch = earliest.map(|asked| asked + FETCH_TIMEOUT);
    }
}
