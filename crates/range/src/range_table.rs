use bay_types::{Term, Token};
use serde::{Deserialize, Serialize};

use crate::{Holding, KeyRange};

/// Bits of a fencing token below the term.
const TOKEN_TERM_SHIFT: u32 = 24;

/// Which server owns which keys of one service.
///
/// Fencing tokens are made of the granter's term and a counter, so that they rise whoever writes.
#[derive(Debug, Default, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RangeTable {
    /// The term of the granter that wrote the table.
    pub term: Term,
    /// Counts the changes within the term.
    pub change: u64,
    /// Holdings in the order of their keys; they do not overlap.
    pub holdings: Vec<Holding>,
}

impl RangeTable {
    /// The version: tables of later terms and later changes are newer.
    pub fn version(&self) -> (Term, u64) {
        (self.term, self.change)
    }

    /// The holding that has the key.
    pub fn find(&self, key: u16) -> Option<&Holding> {
        let at = self.holdings.partition_point(|holding| holding.range.last < key);
        self.holdings.get(at).filter(|holding| holding.range.contains(key))
    }

    /// A fencing token above all that were given out before this change.
    pub fn next_token(&self) -> Token {
        Token((self.term.0 << TOKEN_TERM_SHIFT) + self.change)
    }

    /// Replaces whatever stands on the holding's keys; the rest of cut holdings keeps its owner.
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

    /// The ranges without an owner.
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
