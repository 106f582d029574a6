use std::time::Duration;

/// How the driver's store answers.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub enum StoreMode {
    /// It answers in milliseconds.
    #[default]
    Up,
    /// It refuses each call.
    Down,
    /// It takes effect and answers this much later.
    Slow(Duration),
    /// It takes effect at once, and its answers are lost.
    RepliesLost,
    /// It takes effect this much later, after the caller has given up.
    DelayedEffect(Duration),
}
