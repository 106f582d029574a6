use serde::{Deserialize, Serialize};

/// A revision of the store. An object's revision increases with each write, also if the object is
/// deleted and created again.
#[derive(
    Debug, Default, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Revision(pub u64);

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
