use serde::{Deserialize, Serialize};

/// A revision of the store. An object's revision increases with each write, also if the object is
/// deleted and created again.
///
/// A store that was restored from an older copy gives revisions out again. The upper bits hold the
/// number of restorations, so that a revision is always above all of an earlier era.
#[derive(
    Debug, Default, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Revision(pub u64);

impl Revision {
    /// Number of bits that hold the store's own revision.
    const OWN_BITS: u32 = 40;

    /// Returns a revision as the store numbers it in an era, qualified by the era.
    pub fn in_era(self, era: StoreEra) -> Revision {
        Revision(u64::from(era.0) << Revision::OWN_BITS | self.own().0)
    }

    /// Returns the era.
    pub fn era(self) -> StoreEra {
        StoreEra((self.0 >> Revision::OWN_BITS) as u32)
    }

    /// Returns the revision as the store numbers it.
    pub fn own(self) -> Revision {
        Revision(self.0 & ((1 << Revision::OWN_BITS) - 1))
    }
}

/// How often the store was restored from an older copy. Revisions of different eras have nothing to do
/// with each other.
#[derive(
    Debug, Default, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct StoreEra(pub u32);

/// The number of a keeper's term. Each new keeper has a higher one than its predecessor.
#[derive(
    Debug, Default, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Term(pub u64);

/// A fencing token. A slice's token increases with each change of its owner.
#[derive(
    Debug, Default, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Token(pub u64);
