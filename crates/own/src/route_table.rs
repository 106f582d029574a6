use std::net::SocketAddr;

use bay_types::{KeyHash, SliceId, SliceLayout, Token};
use bay_wire::{HotKey, Routes};

use crate::Shard;

/// Lookup table from the keys of one service to their owners.
#[derive(Debug)]
pub struct RouteTable {
    layout: SliceLayout,
    rows: Vec<Row>,
    /// The hot keys, sorted by key.
    hot: Vec<HotKey>,
    servers: Vec<SocketAddr>,
}

#[derive(Debug, Default, Clone, Copy)]
struct Row {
    token: Token,
    server: Option<u16>,
    /// Whether the range contains a hot key.
    has_hot: bool,
}

/// The owner of a key, with the slice and token that a request to it carries.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Route {
    /// The key's slice.
    pub slice: SliceId,
    /// The slice's fencing token.
    pub token: Token,
    /// The owner's address.
    pub server: SocketAddr,
}

impl RouteTable {
    /// Creates a table without owners.
    pub fn new(layout: SliceLayout) -> RouteTable {
        let slots = Shard::count(layout) * SliceLayout::MAX_HOT_KEYS;
        let rows = vec![Row::default(); (layout.ranges() + slots) as usize];
        RouteTable { layout, rows, hot: Vec::new(), servers: Vec::new() }
    }

    /// Merges the rows whose tokens are at least as high as those in the table; skips the others.
    pub fn merge(&mut self, routes: &Routes) {
        let indexes: Vec<u16> = routes.servers.iter().map(|addr| self.intern(*addr)).collect();
        let mut hot_changed = false;
        for row in &routes.rows {
            let Some(current) = self.rows.get_mut(row.slice.0 as usize) else {
                continue;
            };
            if row.token < current.token {
                continue;
            }
            let server = row.server.and_then(|index| indexes.get(usize::from(index)).copied());
            hot_changed |= current.has_hot;
            *current = Row { token: row.token, server, has_hot: false };
        }
        self.merge_hot(routes, hot_changed);
    }

    /// Returns the owner of a key, or `None` if it has none at the moment.
    ///
    /// A hot key has no owner until its slot's row reaches the token with which the slot was
    /// assigned.
    pub fn lookup(&self, key: KeyHash) -> Option<Route> {
        let mut slice = self.layout.range_of(key);
        let mut row = self.rows.get(slice.0 as usize)?;
        if row.has_hot
            && let Ok(found) = self.hot.binary_search_by_key(&key, |hot| hot.key)
        {
            let hot = self.hot[found];
            slice = hot.slice;
            row = self.rows.get(slice.0 as usize).filter(|row| row.token >= hot.since)?;
        }
        let server = self.servers[usize::from(row.server?)];
        Some(Route { slice, token: row.token, server })
    }

    /// Returns the size of the table's allocations in bytes.
    pub fn memory_bytes(&self) -> usize {
        let rows = self.rows.capacity() * size_of::<Row>();
        let hot = self.hot.capacity() * size_of::<HotKey>();
        rows + hot + self.servers.capacity() * size_of::<SocketAddr>()
    }

    /// Replaces the hot keys of the ranges whose rows were merged.
    fn merge_hot(&mut self, routes: &Routes, hot_changed: bool) {
        if hot_changed {
            let rows = &self.rows;
            let layout = self.layout;
            self.hot.retain(|hot| rows[layout.range_of(hot.key).0 as usize].has_hot);
        }
        for hot in &routes.hot {
            let base = self.layout.range_of(hot.key);
            let listed = routes
                .rows
                .iter()
                .any(|row| row.slice == base && row.token == self.rows[base.0 as usize].token);
            if listed {
                self.rows[base.0 as usize].has_hot = true;
                self.hot.push(*hot);
            }
        }
        self.hot.sort_unstable_by_key(|hot| hot.key);
    }

    fn intern(&mut self, address: SocketAddr) -> u16 {
        let found = self.servers.iter().position(|server| *server == address);
        let index = found.unwrap_or_else(|| {
            self.servers.push(address);
            self.servers.len() - 1
        });
        index as u16
    }
}
