/// Counts consecutive late attempts at one target.
#[derive(Debug, Default, Clone, Copy)]
pub(crate) struct LateStreak {
    count: u32,
}

impl LateStreak {
    /// Consecutive late attempts after which a target counts as slow.
    const SLOW_THRESHOLD: u32 = 3;

    /// Counts a late attempt; returns whether the target counts as slow now.
    pub(crate) fn record_late(&mut self) -> bool {
        self.count += 1;
        self.count >= LateStreak::SLOW_THRESHOLD
    }

    /// Clears the count, after an attempt in time or once the target is handled as slow.
    pub(crate) fn reset(&mut self) {
        self.count = 0;
    }
}
