/// What a server says of its load in an answer.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LoadReport {
    /// Requests that are running.
    pub running: u32,
    /// Requests that wait for a slot.
    pub waiting: u32,
    /// Requests that run at once.
    pub slots: u32,
    /// How long work takes at the moment, relative to usual.
    pub slowdown: f64,
}
