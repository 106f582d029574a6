use serde::{Deserialize, Serialize};

/// A version of a store object; it rises with each write, also over a delete and re-create.
#[derive(
    Debug, Default, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Revision(pub u64);

/// Numbers the terms of a keeper; a later keeper has a higher number.
#[derive(
    Debug, Default, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Term(pub u64);

/// A fencing token; it rises each time a slice gets another owner.
#[derive(
    Debug, Default, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Token(pub u64);
