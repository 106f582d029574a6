use std::fmt;

/// The reason why a store request failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoreError {
    /// The store could not be reached. The request had no effect.
    Unreachable,
    /// The store temporarily refuses requests. The request had no effect.
    Unavailable,
    /// The client's circuit breaker is open, because the store has not replied for a while. The
    /// request was not sent.
    Suspended,
    /// The reply was lost or late. A write may have taken effect.
    Unknown,
    /// The request is malformed or too large.
    Rejected,
}

impl StoreError {
    /// Returns whether a write that failed with this error may have taken effect.
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
                "the store has not replied for a while; the request was not sent"
            }
            StoreError::Unknown => {
                "the store's reply was lost or late; a write may have taken effect"
            }
            StoreError::Rejected => "the store rejected the request as malformed or too large",
        })
    }
}

impl std::error::Error for StoreError {}
