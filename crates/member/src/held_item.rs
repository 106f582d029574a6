use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

use bay_types::SliceId;
use bay_wire::{HotKey, Item, ItemKey, ItemVersion, RouteRow, Routes, decode, encode};

/// Deltas kept for receivers that lag by a few versions.
const MAX_DELTAS: usize = 16;

/// An item at its highest known version.
#[derive(Debug)]
pub(crate) struct HeldItem {
    version: ItemVersion,
    body: Body,
    deltas: VecDeque<Item>,
}

#[derive(Debug)]
enum Body {
    Plain(Vec<u8>),
    Routes(RouteSet),
}

impl HeldItem {
    /// Creates a held item from a full one; returns `None` for a delta, or if it does not decode.
    pub(crate) fn new(item: &Item) -> Option<HeldItem> {
        let is_full = item.base.is_none();
        let body = if is_full { Body::decode_item(item) } else { None };
        Some(HeldItem { version: item.version, body: body?, deltas: VecDeque::new() })
    }

    pub(crate) fn version(&self) -> ItemVersion {
        self.version
    }

    /// Whether a delta from `base` can be applied to the held version.
    ///
    /// All versions with one major number come from one producer. A delta from an earlier one of
    /// them contains all changes since, so it applies to later ones as well.
    pub(crate) fn builds_on(&self, base: ItemVersion) -> bool {
        base == self.version || base.major == self.version.major && base < self.version
    }

    /// Applies a delta that builds on the held version; returns whether it decoded.
    pub(crate) fn apply(&mut self, item: &Item) -> bool {
        let Body::Routes(routes) = &mut self.body else {
            return false;
        };
        let Ok(delta) = decode::<Routes>(&item.body) else {
            return false;
        };
        routes.apply(&delta);
        if item.base != Some(self.version) {
            // A delta that skips versions does not continue the kept ones.
            self.deltas.clear();
        }
        self.version = item.version;
        self.deltas.push_back(item.clone());
        if self.deltas.len() > MAX_DELTAS {
            self.deltas.pop_front();
        }
        true
    }

    /// Returns the full item.
    pub(crate) fn full_item(&self, key: ItemKey) -> Item {
        let body = match &self.body {
            Body::Plain(bytes) => bytes.clone(),
            Body::Routes(routes) => encode(&routes.to_routes()).unwrap_or_default(),
        };
        Item { key, version: self.version, base: None, body }
    }

    /// Returns what a receiver at a version lacks: deltas if they are kept, else the full item.
    pub(crate) fn changes_since(&self, key: ItemKey, version: ItemVersion) -> Vec<Item> {
        if version >= self.version {
            return Vec::new();
        }
        match self.deltas_since(version) {
            Some(deltas) => deltas,
            None => vec![self.full_item(key)],
        }
    }

    fn deltas_since(&self, version: ItemVersion) -> Option<Vec<Item>> {
        let start = self.deltas.iter().position(|item| item.base == Some(version))?;
        Some(self.deltas.iter().skip(start).cloned().collect())
    }
}

impl Body {
    fn decode_item(item: &Item) -> Option<Body> {
        match item.key {
            ItemKey::Routes(..) => {
                let routes: Routes = decode(&item.body).ok()?;
                let mut set = RouteSet::default();
                set.apply(&routes);
                Some(Body::Routes(set))
            }
            ItemKey::Document(_) | ItemKey::Zone(_) => Some(Body::Plain(item.body.clone())),
        }
    }
}

/// The rows of a route table, by slice.
#[derive(Debug, Default)]
struct RouteSet {
    servers: Vec<SocketAddr>,
    rows: BTreeMap<SliceId, RouteRow>,
    hot: BTreeMap<SliceId, HotKey>,
}

impl RouteSet {
    fn apply(&mut self, routes: &Routes) {
        let indexes: Vec<u16> = routes.servers.iter().map(|server| self.index(*server)).collect();
        for row in &routes.rows {
            let server = row.server.and_then(|index| indexes.get(usize::from(index)).copied());
            self.rows.insert(row.slice, RouteRow { server, ..*row });
        }
        self.hot.extend(routes.hot.iter().map(|hot| (hot.slice, *hot)));
    }

    fn index(&mut self, server: SocketAddr) -> u16 {
        let known = self.servers.iter().position(|other| *other == server);
        let index = known.unwrap_or_else(|| {
            self.servers.push(server);
            self.servers.len() - 1
        });
        u16::try_from(index).unwrap_or(u16::MAX)
    }

    fn to_routes(&self) -> Routes {
        Routes {
            servers: self.servers.clone(),
            rows: self.rows.values().copied().collect(),
            hot: self.hot.values().copied().collect(),
        }
    }
}
