/// Load of a server, as reported in an answer.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LoadReport {
    /// Number of running requests.
    pub running: u32,
    /// Number of requests that wait for a slot.
    pub waiting: u32,
    /// Number of requests that can run at once.
    pub slots: u32,
    /// Current duration of work relative to normal; 1.0 is normal.
    pub slowdown: f64,
}
