/// Counts consecutive late attempts at one target.
#[derive(Debug, Default, Clone, Copy)]
pub(crate) struct LateStreak {
    late: u32,
}

impl LateStreak {
    /// Consecutive late attempts after which a target counts as slow.
    const LATE_IN_A_ROW: u32 = 3;

    /// Records a late attempt; returns whether the target counts as slow now.
    pub(crate) fn record_late(&mut self) -> bool {
        self.late += 1;
        self.late >= LateStreak::LATE_IN_A_ROW
    }

    /// Clears the count, after an attempt in time or once the target is handled as slow.
    pub(crate) fn reset(&mut self) {
        self.late = 0;
    }
}
