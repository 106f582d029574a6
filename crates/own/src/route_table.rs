use std::net::SocketAddr;

use bay_types::{KeyHash, SliceId, SliceLayout, Token};
use bay_wire::{HotKey, Routes};

use crate::Shard;

/// Maps the keys of one service to their owners.
#[derive(Debug)]
pub struct RouteTable {
    layout: SliceLayout,
    rows: Vec<Row>,
    /// The keys with a slice of their own, in order.
    hot: Vec<HotKey>,
    servers: Vec<SocketAddr>,
}

#[derive(Debug, Default, Clone, Copy)]
struct Row {
    token: Token,
    server: Option<u16>,
    /// Whether a key of the range has a slice of its own.
    has_hot: bool,
}

/// The owner of a key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Route {
    /// The key's slice.
    pub slice: SliceId,
    /// The slice's fencing token.
    pub token: Token,
    /// The owner.
    pub server: SocketAddr,
}

impl RouteTable {
    /// A table without owners.
    pub fn new(layout: SliceLayout) -> RouteTable {
        let slots = Shard::count(layout) * SliceLayout::MAX_HOT_KEYS;
        let rows = vec![Row::default(); (layout.ranges() + slots) as usize];
        RouteTable { layout, rows, hot: Vec::new(), servers: Vec::new() }
    }

    /// Takes over the rows whose tokens are at least as high as those in the table.
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

    /// The owner of a key, or `None` if it has none at the moment.
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

    /// The memory that the table takes, in bytes.
    pub fn memory_bytes(&self) -> usize {
        let rows = self.rows.capacity() * size_of::<Row>();
        let hot = self.hot.capacity() * size_of::<HotKey>();
        rows + hot + self.servers.capacity() * size_of::<SocketAddr>()
    }

    /// Replaces the hot keys of the ranges that were taken over.
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
