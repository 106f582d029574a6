use std::collections::BTreeMap;
use std::net::SocketAddr;

use bay_conf::ServerDoc;
use bay_store::Object;
use bay_types::{KeyHash, ServerName, ServiceName, SliceId, SliceLayout, Term, Token, ZoneName};
use serde::{Deserialize, Serialize};

/// Most ranges in one shard; with them a shard's text stays under 512 KiB.
pub const SHARD_RANGES: u32 = 8_192;

/// One shard of a service's assignment, as the store keeps it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Shard {
    /// The first range in the shard.
    pub first: SliceId,
    /// The highest token given out.
    pub last_token: Token,
    /// The keeper's term for the servers of each zone; a keeper of an earlier term changes nothing.
    pub keepers: BTreeMap<ZoneName, Term>,
    /// The servers that the rows name by index.
    pub servers: Vec<ShardServer>,
    /// The ranges.
    pub rows: Vec<ShardRow>,
    /// The keys with a slice of their own.
    pub hot: Vec<HotRow>,
}

/// A server in a [`Shard`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShardServer {
    /// The server.
    #[serde(flatten)]
    pub key: ServerKey,
    /// Its zone.
    pub zone: ZoneName,
    /// Whether its keeper reaches it.
    pub up: bool,
}

/// Identifies a server; one that moves to another address is another server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ServerKey {
    /// Its name within the service.
    pub name: ServerName,
    /// Where it listens.
    pub address: SocketAddr,
}

impl ServerKey {
    /// The key of a server in a document.
    pub fn of(doc: &ServerDoc) -> ServerKey {
        ServerKey { name: doc.name, address: doc.address }
    }
}

/// One slice's owner.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "RowText", into = "RowText")]
pub struct ShardRow {
    /// The fencing token.
    pub token: Token,
    /// The owner's index.
    pub owner: Option<u16>,
    /// The index of an earlier owner that is not known to have let go.
    pub previous_owner: Option<u16>,
}

/// A [`ShardRow`] as a short list.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
struct RowText(u64, Option<u16>, Option<u16>);

impl From<RowText> for ShardRow {
    fn from(text: RowText) -> ShardRow {
        ShardRow { token: Token(text.0), owner: text.1, previous_owner: text.2 }
    }
}

impl From<ShardRow> for RowText {
    fn from(row: ShardRow) -> RowText {
        RowText(row.token.0, row.owner, row.previous_owner)
    }
}

/// A key with a slice of its own.
///
/// The range that holds the key gets a higher token in the same write, so that its owner stops
/// serving the key when it takes that token.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct HotRow {
    /// The slot.
    pub slice: SliceId,
    /// The key.
    pub key: KeyHash,
    /// The range that holds the key when it has no slot.
    pub base: SliceId,
    /// The slot's token when it got this key.
    pub since: Token,
    /// The slot's owner.
    pub row: ShardRow,
}

impl Shard {
    /// A shard in which no slice has an owner.
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

    /// How many shards a service has.
    pub fn count(layout: SliceLayout) -> u32 {
        layout.ranges().div_ceil(SHARD_RANGES)
    }

    /// Reads a shard's object.
    pub fn parse(object: &Object) -> Option<Shard> {
        serde_json::from_str(&object.body).ok()
    }

    /// Writes the object's text.
    pub fn to_text(&self) -> String {
        serde_json::to_string(self).unwrap_or_default()
    }

    /// Every slice with its row.
    pub fn slices(&self) -> impl Iterator<Item = (SliceId, ShardRow)> + '_ {
        let ranges = (self.first.0..).map(SliceId).zip(self.rows.iter().copied());
        ranges.chain(self.hot.iter().map(|hot| (hot.slice, hot.row)))
    }

    /// Every slice with its row, to be changed.
    pub fn slices_mut(&mut self) -> impl Iterator<Item = (SliceId, &mut ShardRow)> + '_ {
        let ranges = (self.first.0..).map(SliceId).zip(self.rows.iter_mut());
        ranges.chain(self.hot.iter_mut().map(|hot| (hot.slice, &mut hot.row)))
    }

    /// The row of a slice.
    pub fn row(&self, slice: SliceId) -> Option<ShardRow> {
        let index = slice.0.checked_sub(self.first.0);
        let range = index.and_then(|index| self.rows.get(index as usize));
        let hot = || self.hot.iter().find(|hot| hot.slice == slice).map(|hot| &hot.row);
        range.or_else(hot).copied()
    }

    /// The row of a slice, to be changed.
    pub fn row_mut(&mut self, slice: SliceId) -> Option<&mut ShardRow> {
        if let Some(found) = self.hot.iter().position(|hot| hot.slice == slice) {
            return Some(&mut self.hot[found].row);
        }
        let index = slice.0.checked_sub(self.first.0)?;
        self.rows.get_mut(index as usize)
    }

    /// The index of a server.
    pub fn server(&self, key: ServerKey) -> Option<u16> {
        let found = self.servers.iter().position(|server| server.key == key);
        found.map(|index| index as u16)
    }

    /// The index of a server, which is added if it is not there yet.
    pub fn intern(&mut self, key: ServerKey, zone: ZoneName) -> u16 {
        let found = self.server(key);
        found.unwrap_or_else(|| {
            self.servers.push(ShardServer { key, zone, up: false });
            (self.servers.len() - 1) as u16
        })
    }

    /// A token higher than any given out before.
    pub fn next_token(&mut self) -> Token {
        self.last_token.0 += 1;
        self.last_token
    }
}

/// The service and index of a shard's key.
pub(crate) fn parse_shard_key(key: &str) -> Option<(ServiceName, u32)> {
    let path = key.strip_prefix(bay_store::ObjectKey::ASSIGNMENTS)?;
    let (service, index) = path.split_once('/')?;
    Some((ServiceName::new(service).ok()?, index.parse().ok()?))
}
