use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use bay_types::{ServiceName, SliceId, Term, Token, ZoneName};
use bay_wire::{HotKey, Item, ItemKey, ItemVersion, RouteRow, Routes, encode};

use crate::server_state::ServerState;
use crate::shard_slot::ShardSlot;
use crate::{OwnerOutput, ServerKey};

/// Builds new versions of a zone's routes from the slices that its servers hold.
#[derive(Debug, Default)]
pub(crate) struct RouteFeed {
    dirty: bool,
    last: ItemVersion,
    rows: BTreeMap<SliceId, (Token, SocketAddr)>,
    hot: BTreeSet<HotKey>,
}

impl RouteFeed {
    /// Records that the routes may have changed.
    pub(crate) fn mark_dirty(&mut self) {
        self.dirty = true;
    }

    /// Returns whether the routes may have changed since the last publication.
    pub(crate) fn is_dirty(&self) -> bool {
        self.dirty
    }

    /// Returns the next version of the routes, or `None` if nothing changed.
    pub(crate) fn publish(
        &mut self,
        (service, zone): (ServiceName, ZoneName),
        term: Term,
        servers: &BTreeMap<ServerKey, ServerState>,
        shards: &[ShardSlot],
    ) -> Option<OwnerOutput> {
        self.dirty = false;
        let rows = latest_rows(servers);
        let hot = hot_keys(&rows, shards);
        if rows == self.rows && hot == self.hot && self.last.major == term.0 {
            return None;
        }
        let minor = if self.last.major == term.0 { self.last.minor + 1 } else { 1 };
        let version = ItemVersion { major: term.0, minor };
        let key = ItemKey::Routes(service, zone);
        let item = |base, routes: &Routes| {
            let body = encode(routes).ok()?;
            Some(Item { key, version, base, body })
        };
        let whole = item(None, &routes_of(rows.iter().map(present_row), &hot))?;
        let change = match self.last.major == term.0 {
            true => item(Some(self.last), &self.diff(&rows, &hot)),
            false => None,
        };
        self.last = version;
        self.rows = rows;
        self.hot = hot;
        Some(OwnerOutput::PublishRoutes { whole, change })
    }

    fn diff(
        &self,
        rows: &BTreeMap<SliceId, (Token, SocketAddr)>,
        hot: &BTreeSet<HotKey>,
    ) -> Routes {
        let changed = rows.iter().filter(|(slice, row)| self.rows.get(slice) != Some(row));
        let removed = self.rows.iter().filter(|(slice, _)| !rows.contains_key(slice));
        let removed = removed.map(|(slice, (token, _))| (*slice, *token, None));
        routes_of(changed.map(present_row).chain(removed), hot)
    }
}

/// Returns the row with the highest token of each slice.
///
/// A lost server may still be listed for a slice that was granted to another server of the
/// zone since.
fn latest_rows(
    servers: &BTreeMap<ServerKey, ServerState>,
) -> BTreeMap<SliceId, (Token, SocketAddr)> {
    let mut rows: BTreeMap<SliceId, (Token, SocketAddr)> = BTreeMap::new();
    for (key, state) in servers {
        for (slice, token) in &state.granted {
            let row = rows.entry(*slice).or_insert((*token, key.address));
            if *token > row.0 {
                *row = (*token, key.address);
            }
        }
    }
    rows
}

type Row = (SliceId, Token, Option<SocketAddr>);

fn present_row((slice, (token, address)): (&SliceId, &(Token, SocketAddr))) -> Row {
    (*slice, *token, Some(*address))
}

/// Returns the hot keys whose range or slot is among the rows.
fn hot_keys(
    rows: &BTreeMap<SliceId, (Token, SocketAddr)>,
    shards: &[ShardSlot],
) -> BTreeSet<HotKey> {
    let all = shards.iter().filter_map(ShardSlot::shard).flat_map(|shard| &shard.hot);
    let listed = all.filter(|hot| rows.contains_key(&hot.base) || rows.contains_key(&hot.slice));
    listed.map(|hot| HotKey { slice: hot.slice, key: hot.key, since: hot.since }).collect()
}

fn routes_of<I>(rows: I, hot: &BTreeSet<HotKey>) -> Routes
where
    I: Iterator<Item = Row>,
{
    let mut routes = Routes { hot: hot.iter().copied().collect(), ..Routes::default() };
    let mut indexes = BTreeMap::new();
    for (slice, token, address) in rows {
        let server = address.map(|address| {
            *indexes.entry(address).or_insert_with(|| {
                routes.servers.push(address);
                (routes.servers.len() - 1) as u16
            })
        });
        routes.rows.push(RouteRow { slice, token, server });
    }
    routes
}
