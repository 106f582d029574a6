use crate::Time;

/// A source of clock readings at the edge of a process.
pub trait Clock {
    /// Reads the clock.
    fn now(&self) -> Time;
}
