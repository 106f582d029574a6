use bay_types::{StoreEra, Term, Token};
use serde::{Deserialize, Serialize};

use crate::{Holding, KeyRange};

/// Bits of a fencing token below the term, which hold the change.
const TOKEN_TERM_SHIFT: u32 = 24;

/// The owners of the keys of one service, as stored.
///
/// Fencing tokens consist of the granter's term and the number of the change. They increase even
/// if the granter changes.
#[derive(Debug, Default, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RangeTable {
    /// Term of the granter that wrote the table.
    pub term: Term,
    /// Number of the change within the term.
    pub change: u64,
    /// Holdings in key order, without overlaps.
    pub holdings: Vec<Holding>,
    /// Era of the store in which the table was written; `None` if the store tells none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub store_era: Option<StoreEra>,
}

impl RangeTable {
    /// Returns the version, which increases with the term and with each change.
    pub fn version(&self) -> (Term, u64) {
        (self.term, self.change)
    }

    /// Returns the holding that contains the key, if any.
    pub fn find(&self, key: u16) -> Option<&Holding> {
        let at = self.holdings.partition_point(|holding| holding.range.last < key);
        self.holdings.get(at).filter(|holding| holding.range.contains(key))
    }

    /// Returns the fencing token of the table's present change, above those of all earlier ones.
    pub fn token(&self) -> Token {
        Token((self.term.0 << TOKEN_TERM_SHIFT) + self.change)
    }

    /// Inserts a holding and removes its keys from others, which keep their remaining keys.
    pub fn put(&mut self, holding: Holding) {
        let mut kept = Vec::with_capacity(self.holdings.len() + 2);
        for old in self.holdings.drain(..) {
            if !old.range.overlaps(holding.range) {
                kept.push(old);
                continue;
            }
            if old.range.first < holding.range.first {
                let range = KeyRange::new(old.range.first, holding.range.first - 1);
                kept.push(Holding { range, ..old.clone() });
            }
            if old.range.last > holding.range.last {
                let range = KeyRange::new(holding.range.last + 1, old.range.last);
                kept.push(Holding { range, ..old });
            }
        }
        kept.push(holding);
        kept.sort_by_key(|holding| holding.range);
        self.holdings = kept;
    }

    /// Returns the ranges without an owner, in key order.
    pub fn gaps(&self) -> Vec<KeyRange> {
        let mut gaps = Vec::new();
        let mut next = 0_u32;
        for holding in &self.holdings {
            let first = u32::from(holding.range.first);
            if first > next {
                gaps.push(KeyRange::new(next as u16, (first - 1) as u16));
            }
            next = u32::from(holding.range.last) + 1;
        }
        if next <= u32::from(u16::MAX) {
            gaps.push(KeyRange::new(next as u16, u16::MAX));
        }
        gaps
    }
}
