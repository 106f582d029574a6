/// Numbers of servers by what is known of their capacity.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct LearnedServerCounts {
    /// Servers with an estimate.
    pub known: usize,
    /// Those that are so much slower than the average that they are probed.
    pub slow: usize,
    /// Those that sustain fewer concurrent requests than they have slots.
    pub limited: usize,
}
