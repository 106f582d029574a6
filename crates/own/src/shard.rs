use std::collections::BTreeMap;
use std::net::SocketAddr;

use bay_conf::ServerDoc;
use bay_store::Object;
use bay_types::{KeyHash, ServerName, ServiceName, SliceId, SliceLayout, Term, Token, ZoneName};
use serde::{Deserialize, Serialize};

/// Maximum number of ranges in one shard, which keeps a shard's text under 512 KiB.
pub const SHARD_RANGES: u32 = 8_192;

/// One shard of a service's slice assignment, as written to the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Shard {
    /// The first range in the shard.
    pub first: SliceId,
    /// The highest token issued.
    pub last_token: Token,
    /// The keeper's term for each zone; a keeper of an earlier term must not change the shard.
    pub keepers: BTreeMap<ZoneName, Term>,
    /// The servers that the rows refer to by index.
    pub servers: Vec<ShardServer>,
    /// The rows of the ranges, from `first` on.
    pub rows: Vec<ShardRow>,
    /// The hot keys, each with a slice of its own.
    pub hot: Vec<HotRow>,
}

/// A server that a [`Shard`] refers to.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShardServer {
    /// The server's name and address.
    #[serde(flatten)]
    pub key: ServerKey,
    /// Its zone.
    pub zone: ZoneName,
    /// Set once the server answers the keeper; cleared once its leases have certainly expired.
    pub up: bool,
}

/// Identifies a server by name and address. A server that moves to another address is a new one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ServerKey {
    /// The server's name within the service.
    pub name: ServerName,
    /// The address on which the server listens.
    pub address: SocketAddr,
}

impl ServerKey {
    /// Returns the key of a server in a document.
    pub fn of(doc: &ServerDoc) -> ServerKey {
        ServerKey { name: doc.name, address: doc.address }
    }
}

/// The owner and fencing token of one slice.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "RowJson", into = "RowJson")]
pub struct ShardRow {
    /// The fencing token, which rises with every new owner and whenever a hot key of the range gets
    /// or loses a slot.
    pub token: Token,
    /// The owner's index in [`Shard::servers`].
    pub owner: Option<u16>,
    /// The index of a previous owner that is not known to have released the slice.
    pub previous_owner: Option<u16>,
}

/// The JSON form of a [`ShardRow`]: token, owner and previous owner as a list.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
struct RowJson(u64, Option<u16>, Option<u16>);

impl From<RowJson> for ShardRow {
    fn from(json: RowJson) -> ShardRow {
        ShardRow { token: Token(json.0), owner: json.1, previous_owner: json.2 }
    }
}

impl From<ShardRow> for RowJson {
    fn from(row: ShardRow) -> RowJson {
        RowJson(row.token.0, row.owner, row.previous_owner)
    }
}

/// A hot key with a slice of its own.
///
/// The range that contains the key gets a higher token in the same write. The range's owner stops
/// serving the key when it accepts that token.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct HotRow {
    /// The key's slice, which is a hot-key slot.
    pub slice: SliceId,
    /// The key.
    pub key: KeyHash,
    /// The range that contains the key's hash.
    pub base: SliceId,
    /// The slot's token when it was given this key.
    pub since: Token,
    /// The slot's owner and token.
    pub row: ShardRow,
}

impl Shard {
    /// Creates a shard in which no slice has an owner.
    pub fn new(layout: SliceLayout, index: u32, last_token: Token) -> Shard {
        let count = layout.ranges().min(SHARD_RANGES);
        Shard {
            first: SliceId(index * SHARD_RANGES),
            last_token,
            keepers: BTreeMap::new(),
            servers: Vec::new(),
            rows: vec![ShardRow::default(); count as usize],
            hot: Vec::new(),
        }
    }

    /// Returns the number of shards of a service.
    pub fn count(layout: SliceLayout) -> u32 {
        layout.ranges().div_ceil(SHARD_RANGES)
    }

    /// Parses the body of a shard's object, or returns `None` if it is invalid.
    pub fn parse(object: &Object) -> Option<Shard> {
        serde_json::from_str(&object.body).ok()
    }

    /// Serializes the shard as the body of its object.
    pub fn to_text(&self) -> String {
        serde_json::to_string(self).unwrap_or_default()
    }

    /// Iterates over the ranges and then the hot slots, with their rows.
    pub fn slices(&self) -> impl Iterator<Item = (SliceId, ShardRow)> + '_ {
        let ranges = (self.first.0..).map(SliceId).zip(self.rows.iter().copied());
        ranges.chain(self.hot.iter().map(|hot| (hot.slice, hot.row)))
    }

    /// Iterates mutably, in the order of [`Shard::slices`].
    pub fn slices_mut(&mut self) -> impl Iterator<Item = (SliceId, &mut ShardRow)> + '_ {
        let ranges = (self.first.0..).map(SliceId).zip(self.rows.iter_mut());
        ranges.chain(self.hot.iter_mut().map(|hot| (hot.slice, &mut hot.row)))
    }

    /// Returns the row of a slice, or `None` if the shard doesn't contain it.
    pub fn row(&self, slice: SliceId) -> Option<ShardRow> {
        let index = slice.0.checked_sub(self.first.0);
        let range = index.and_then(|index| self.rows.get(index as usize));
        let hot = || self.hot.iter().find(|hot| hot.slice == slice).map(|hot| &hot.row);
        range.or_else(hot).copied()
    }

    /// Returns the row of a slice mutably, or `None` if the shard doesn't contain it.
    pub fn row_mut(&mut self, slice: SliceId) -> Option<&mut ShardRow> {
        if let Some(found) = self.hot.iter().position(|hot| hot.slice == slice) {
            return Some(&mut self.hot[found].row);
        }
        let index = slice.0.checked_sub(self.first.0)?;
        self.rows.get_mut(index as usize)
    }

    /// Returns the index of a server, or `None` if the shard doesn't list it.
    pub fn server(&self, key: ServerKey) -> Option<u16> {
        let found = self.servers.iter().position(|server| server.key == key);
        found.map(|index| index as u16)
    }

    /// Returns the index of a server; adds the server as down if the shard doesn't list it.
    pub fn intern(&mut self, key: ServerKey, zone: ZoneName) -> u16 {
        let found = self.server(key);
        found.unwrap_or_else(|| {
            self.servers.push(ShardServer { key, zone, up: false });
            (self.servers.len() - 1) as u16
        })
    }

    /// Issues a token higher than any before.
    pub fn next_token(&mut self) -> Token {
        self.last_token.0 += 1;
        self.last_token
    }
}

/// Parses the service and shard index from an object key.
pub(crate) fn parse_shard_key(key: &str) -> Option<(ServiceName, u32)> {
    let path = key.strip_prefix(bay_store::ObjectKey::ASSIGNMENTS)?;
    let (service, index) = path.split_once('/')?;
    Some((ServiceName::new(service).ok()?, index.parse().ok()?))
}
