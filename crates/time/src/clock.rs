use crate::Time;

/// A source of clock readings for the I/O layer of a process.
pub trait Clock {
    /// Returns the current reading.
    fn now(&self) -> Time;
}
