use std::collections::HashMap;
use std::net::SocketAddr;

use bay_types::{KeyHash, SliceId, SliceLayout, Token};
use bay_wire::Routes;

/// Maps the keys of one service to their owners.
#[derive(Debug)]
pub struct RouteTable {
    layout: SliceLayout,
    rows: Vec<Row>,
    hot: HashMap<KeyHash, SliceId>,
    servers: Vec<SocketAddr>,
}

#[derive(Debug, Default, Clone, Copy)]
struct Row {
    token: Token,
    server: Option<u16>,
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
        let slices = layout.ranges() + SliceLayout::MAX_HOT_KEYS;
        let rows = vec![Row::default(); slices as usize];
        RouteTable { layout, rows, hot: HashMap::new(), servers: Vec::new() }
    }

    /// Takes over the rows whose tokens are at least as high as those in the table.
    pub fn merge(&mut self, routes: &Routes) {
        for hot in &routes.hot {
            self.hot.insert(hot.key, hot.slice);
        }
        let indexes: Vec<u16> = routes.servers.iter().map(|addr| self.intern(*addr)).collect();
        for row in &routes.rows {
            let Some(current) = self.rows.get_mut(row.slice.0 as usize) else {
                continue;
            };
            if row.token >= current.token {
                let server = row.server.and_then(|index| indexes.get(usize::from(index)).copied());
                *current = Row { token: row.token, server };
            }
        }
    }

    /// The owner of a key, or `None` if it has none at the moment.
    pub fn lookup(&self, key: KeyHash) -> Option<Route> {
        let slice = match self.hot.get(&key) {
            Some(slice) => *slice,
            None => self.layout.range_of(key),
        };
        let row = self.rows.get(slice.0 as usize)?;
        let server = self.servers[usize::from(row.server?)];
        Some(Route { slice, token: row.token, server })
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
