use bay_types::{ServerName, SliceId, Token};
use serde::{Deserialize, Serialize};

/// One shard of a service's assignment, as the store keeps it.
#[derive(Debug, Default, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Assignment {
    /// Identifies the write, so that one whose answer was lost can be settled.
    pub nonce: u64,
    /// The slices.
    pub rows: Vec<AssignmentRow>,
}

/// One slice's owner.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct AssignmentRow {
    /// The slice.
    pub slice: SliceId,
    /// The fencing token.
    pub token: Token,
    /// The owner.
    pub owner: ServerName,
}
