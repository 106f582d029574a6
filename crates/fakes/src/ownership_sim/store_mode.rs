use std::time::Duration;

/// Behaviour of the simulated store.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub enum StoreMode {
    /// Replies within milliseconds.
    #[default]
    Up,
    /// Rejects each call as unreachable.
    Down,
    /// Applies each call after this extra delay, then replies unless the caller has timed out.
    Slow(Duration),
    /// Applies each call within milliseconds; its reply is lost.
    RepliesLost,
    /// Applies each call after this time and never replies. With a time above the store timeout,
    /// a call takes effect after its caller has given up.
    DelayedEffect(Duration),
}
