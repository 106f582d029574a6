use std::fmt;

/// Why a call of the object API has no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoreError {
    /// The store could not be reached, so the call took no effect.
    Unreachable,
    /// The store refused the call for now, so it took no effect.
    Unavailable,
    /// The call was not made, as the store has not answered for a while.
    Suspended,
    /// The answer was lost or late; a write may have taken effect.
    Unknown,
    /// The store found the call malformed or too large.
    Rejected,
}

impl StoreError {
    /// Whether a write that ended so may have taken effect.
    pub fn may_have_taken_effect(self) -> bool {
        self == StoreError::Unknown
    }
}

impl fmt::Display for StoreError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            StoreError::Unreachable => "the store cannot be reached; check its address",
            StoreError::Unavailable => "the store is not available; try again later",
            StoreError::Suspended => {
                "the store has not answered for a while; the call was not made"
            }
            StoreError::Unknown => "the store's answer was lost; the write may have taken effect",
            StoreError::Rejected => "the store rejected the call as malformed or too large",
        })
    }
}

impl std::error::Error for StoreError {}
