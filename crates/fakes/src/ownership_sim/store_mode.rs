use std::time::Duration;

/// Behaviour of the simulated store.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub enum StoreMode {
    /// Replies within milliseconds.
    #[default]
    Up,
    /// Rejects each call as unreachable.
    Down,
    /// Applies each call and replies with this extra delay.
    Slow(Duration),
    /// Applies each call at once; its reply is lost.
    RepliesLost,
    /// Applies each call after this time and never replies.
    DelayedEffect(Duration),
}
